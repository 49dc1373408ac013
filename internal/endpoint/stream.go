package endpoint

import (
	"context"
	"errors"
	"sync"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/protocol"
	"skylarklead/internal/wire"
)

const (
	// maxUnsent bounds in bytes how far a plain service's answer is read ahead of the
	// receiver. A slow caller then delays only its own answer.
	maxUnsent = 64 << 10
	// maxCallBytes bounds what is kept of a plain service's answer: a window of
	// chunks and maxUnsent fit well.
	maxCallBytes = 8 << 20
)

// errAborted ends a back end's work when its stream was aborted.
var errAborted = errors.New("endpoint: stream aborted")

// stream is one attempt's answer on its way to the session that receives it. It is
// shared between the reader of the back end, the pump that sends, and the loop.
type stream struct {
	now  func() time.Duration
	wake chan struct{}

	mu      sync.Mutex
	sender  *attempt.Sender
	session *wire.Session
	release func()
	// outbox has the messages to be sent on session, in order.
	outbox []protocol.Message
	// unsent counts the bytes in chunks numbered unsentFrom and up, which were never
	// queued for a session.
	unsent     int
	unsentFrom uint64
	addedAt    time.Duration // when the last chunk was added, 0 for never
	spaceFreed chan struct{} // closed and replaced when unsent shrinks
	recording  *recording    // nil unless the answer is under an idempotency key
}

func newStream(run *protocol.Run, s *wire.Session, now func() time.Duration) *stream {
	limits := attempt.DefaultSenderLimits
	if run.Call != nil {
		limits.MaxBytes = maxCallBytes
	}
	return &stream{
		now:        now,
		wake:       make(chan struct{}, 1),
		sender:     attempt.NewSender(run.Attempt, run.FirstSeq, run.Window, limits),
		session:    s,
		release:    s.MarkAwaited(),
		unsentFrom: run.FirstSeq,
		spaceFreed: make(chan struct{}),
	}
}

// enqueue queues the sender's output; mu must be held.
func (st *stream) enqueue(out attempt.Output) {
	st.outbox = append(st.outbox, out.Send...)
	for _, m := range out.Send {
		if chunk, ok := m.(*protocol.Chunk); ok && chunk.Seq >= st.unsentFrom {
			st.unsentFrom = chunk.Seq + 1
			st.unsent -= len(chunk.Data)
		}
	}
	if len(out.Send) == 0 {
		return
	}
	close(st.spaceFreed)
	st.spaceFreed = make(chan struct{})
	select {
	case st.wake <- struct{}{}:
	default:
	}
}

// start queues the Start.
func (st *stream) start(status int, contentType string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.recording.start(status, contentType)
	st.enqueue(st.sender.Start(status, contentType))
}

// add appends a chunk. The error is errAborted when the receiver has left too much
// unread.
func (st *stream) add(data []byte) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.recording.add(data)
	st.unsent += len(data)
	st.addedAt = st.now()
	out := st.sender.Produce(data, st.addedAt)
	st.enqueue(out)
	if out.Abort != attempt.AbortNone {
		return errAborted
	}
	return nil
}

// lastChunkAt is when the back end last produced a chunk, 0 for never.
func (st *stream) lastChunkAt() time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.addedAt
}

// waitForSpace blocks while too much is unsent, until ctx ends.
func (st *stream) waitForSpace(ctx context.Context) error {
	for {
		st.mu.Lock()
		full, spaceFreed := st.unsent >= maxUnsent, st.spaceFreed
		if st.recording != nil {
			// The first receiver may be gone while others need the answer.
			full = full && !st.recording.withinLimit()
		}
		st.mu.Unlock()
		if !full {
			return nil
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-spaceFreed:
		}
	}
}

// finish sets the explicit end.
func (st *stream) finish(end protocol.End) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if !st.sender.Ended() {
		st.enqueue(st.sender.Finish(end, st.now()))
	}
}

// addCredit lets chunks below seq be sent.
func (st *stream) addCredit(seq uint64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.enqueue(st.sender.Credit(seq, st.now()))
}

// attach continues from chunk seq on another session. It reports false when that
// chunk is no longer kept.
func (st *stream) attach(s *wire.Session, seq uint64, window uint32) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	out, ok := st.sender.Resume(seq, window, st.now())
	if !ok {
		return false
	}
	st.release()
	st.session = s
	st.release = s.MarkAwaited()
	st.outbox = nil
	st.enqueue(out)
	return true
}

// detach stops sending to s; it does nothing if another session has replaced s.
func (st *stream) detach(s *wire.Session) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.session != s {
		return
	}
	st.session = nil
	st.outbox = nil
	st.release()
	st.sender.Detach(st.now())
}

// abortReason returns why the stream has to be aborted, AbortNone if it hasn't.
func (st *stream) abortReason() attempt.AbortReason {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.sender.Tick(st.now())
}

// retainedBytes is the size of the chunks kept.
func (st *stream) retainedBytes() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.sender.Bytes()
}

// pump sends until ctx ends. It calls delivered each time an End was written.
func (st *stream) pump(ctx context.Context, delivered func(*wire.Session)) {
	for {
		s, m := st.takeNext()
		if m == nil {
			select {
			case <-ctx.Done():
				return
			case <-st.wake:
			}
			continue
		}
		if err := s.Send(m); err != nil {
			st.detach(s)
			continue
		}
		if _, ok := m.(*protocol.End); ok {
			delivered(s)
		}
	}
}

func (st *stream) takeNext() (*wire.Session, protocol.Message) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.session == nil || len(st.outbox) == 0 {
		return nil, nil
	}
	m := st.outbox[0]
	st.outbox = st.outbox[1:]
	return st.session, m
}
