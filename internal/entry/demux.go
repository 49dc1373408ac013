package entry

import (
	"sync"

	"skylarklead/internal/protocol"
	"skylarklead/internal/telemetry"
)

const (
	// window is how many chunks an executor may send ahead of the caller.
	window = 64
	// mailboxSize fits a window of chunks from the session before a resume, another
	// from the session after it, the Start and the End.
	mailboxSize = 2*window + 8
)

// receivedMessage is a message with the epoch of the process that sent it.
type receivedMessage struct {
	message protocol.Message
	epoch   protocol.Epoch
}

// mailbox queues the messages of one attempt, from whichever session they come. Its
// size follows from the attempt's window, so that a caller that doesn't read blocks
// neither the session nor the session's other streams.
type mailbox struct {
	messages chan receivedMessage
	// superseded is closed when a resume through this entry takes the attempt over.
	superseded chan struct{}
	// overflowed receives a value once the executor has exceeded its window.
	overflowed chan struct{}
}

// messageDemux delivers received messages to the attempts that they belong to, by
// attempt ID alone. A message of an attempt that isn't live is late or misdirected.
// It is dropped and counted, so that it can't reach another caller.
type messageDemux struct {
	tel *telemetry.Telemetry

	mu        sync.Mutex
	mailboxes map[protocol.AttemptID]*mailbox
}

func newDemux(tel *telemetry.Telemetry) *messageDemux {
	return &messageDemux{tel: tel, mailboxes: make(map[protocol.AttemptID]*mailbox)}
}

// open creates the attempt's mailbox and supersedes an existing one.
func (d *messageDemux) open(id protocol.AttemptID) *mailbox {
	mb := &mailbox{
		messages:   make(chan receivedMessage, mailboxSize),
		superseded: make(chan struct{}),
		overflowed: make(chan struct{}, 1),
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if old := d.mailboxes[id]; old != nil {
		close(old.superseded)
	}
	d.mailboxes[id] = mb
	return mb
}

// close removes the attempt unless another mailbox has superseded mb.
func (d *messageDemux) close(id protocol.AttemptID, mb *mailbox) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mailboxes[id] == mb {
		delete(d.mailboxes, id)
	}
}

// deliver never blocks: a full mailbox is marked as overflowed.
func (d *messageDemux) deliver(id protocol.AttemptID, m receivedMessage) {
	d.mu.Lock()
	mb := d.mailboxes[id]
	d.mu.Unlock()
	if mb == nil {
		d.tel.Metrics.Dropped.Inc(1)
		d.tel.Log.Debug("message of an unknown attempt dropped", "attempt", id.String())
		return
	}
	select {
	case mb.messages <- m:
		return
	default:
	}
	select {
	case mb.overflowed <- struct{}{}:
	default:
	}
}
