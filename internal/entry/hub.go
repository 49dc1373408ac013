package entry

import (
	"sync"

	"skylarklead/internal/protocol"
	"skylarklead/internal/telemetry"
)

const (
	// window is how many chunks an executor may send ahead of the caller.
	window = 64
	// mailboxSize holds the chunks of a window from the session before a resume
	// and those of one after it, the Start and the End.
	mailboxSize = 2*window + 8
)

// arrival is a message and the epoch of the process that sent it.
type arrival struct {
	message protocol.Message
	epoch   protocol.Epoch
}

// mailbox takes what arrives for one attempt, whichever session brings it. It is
// bounded by the attempt's window, so that a caller who doesn't read holds up
// neither the session nor its other streams.
type mailbox struct {
	arrivals chan arrival
	// superseded is closed when a resume through this entry took the attempt over.
	superseded chan struct{}
	// overflowed has a value once the executor has sent more than the window.
	overflowed chan struct{}
}

// hub hands arriving messages to the attempts they belong to, by attempt ID
// alone. A message of no live attempt is late or crossed; it is dropped and
// counted, so it can never reach another caller.
type hub struct {
	tel *telemetry.Telemetry

	mu        sync.Mutex
	mailboxes map[protocol.AttemptID]*mailbox
}

func newHub(tel *telemetry.Telemetry) *hub {
	return &hub{tel: tel, mailboxes: make(map[protocol.AttemptID]*mailbox)}
}

// open makes the attempt's mailbox and supersedes an earlier one.
func (h *hub) open(id protocol.AttemptID) *mailbox {
	mb := &mailbox{
		arrivals:   make(chan arrival, mailboxSize),
		superseded: make(chan struct{}),
		overflowed: make(chan struct{}, 1),
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.mailboxes[id]; old != nil {
		close(old.superseded)
	}
	h.mailboxes[id] = mb
	return mb
}

// close forgets the attempt unless another mailbox has superseded mb.
func (h *hub) close(id protocol.AttemptID, mb *mailbox) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.mailboxes[id] == mb {
		delete(h.mailboxes, id)
	}
}

// deliver never blocks.
func (h *hub) deliver(id protocol.AttemptID, a arrival) {
	h.mu.Lock()
	mb := h.mailboxes[id]
	h.mu.Unlock()
	if mb == nil {
		h.tel.Metrics.Dropped.Inc(1)
		h.tel.Log.Debug("message of no live attempt dropped", "attempt", id.String())
		return
	}
	select {
	case mb.arrivals <- a:
		return
	default:
	}
	select {
	case mb.overflowed <- struct{}{}:
	default:
	}
}
