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
	// maxUnsent bounds in bytes what is read of a plain service's answer ahead
	// of the receiver. A slow caller holds up its own answer there, no other.
	maxUnsent = 64 << 10
	// callBytes bounds what is kept of a plain service's answer: a window of
	// pieces and maxUnsent more fit well.
	callBytes = 8 << 20
)

// errCut is what a back end's work ends with when its stream was cut off.
var errCut = errors.New("endpoint: stream cut off")

// stream is one attempt's answer on its way to the session that takes it. It is
// shared between the reader of the back end, the pump that sends, and the loop.
type stream struct {
	now  func() time.Duration
	wake chan struct{}

	mu      sync.Mutex
	sender  *attempt.Sender
	session *wire.Session
	release func()
	// outbox is what the sender wants sent on session, in order.
	outbox []protocol.Message
	// unsent are the bytes produced of pieces numbered unsentFrom and up, which
	// no session was ever given.
	unsent     int
	unsentFrom uint64
	addedAt    time.Duration // when the last piece came, 0 for never
	room       chan struct{} // closed and replaced when unsent shrinks
	recording  *recording    // nil but for an answer under an idempotency key
}

func newStream(run *protocol.Run, s *wire.Session, now func() time.Duration) *stream {
	limits := attempt.DefaultSenderLimits
	if run.Call != nil {
		limits.MaxBytes = callBytes
	}
	return &stream{
		now:        now,
		wake:       make(chan struct{}, 1),
		sender:     attempt.NewSender(run.Attempt, run.FirstSeq, run.Window, limits),
		session:    s,
		release:    s.Hold(),
		unsentFrom: run.FirstSeq,
		room:       make(chan struct{}),
	}
}

// queue takes what the sender wants sent; mu is held.
func (st *stream) queue(out attempt.Output) {
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
	close(st.room)
	st.room = make(chan struct{})
	select {
	case st.wake <- struct{}{}:
	default:
	}
}

// begin queues the Start.
func (st *stream) begin(status int, contentType string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.recording.begin(status, contentType)
	st.queue(st.sender.Start(status, contentType))
}

// add appends a piece. The error is errCut when the receiver has left too much
// unread.
func (st *stream) add(data []byte) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.recording.add(data)
	st.unsent += len(data)
	st.addedAt = st.now()
	out := st.sender.Produce(data, st.addedAt)
	st.queue(out)
	if out.Abort != attempt.AbortNone {
		return errCut
	}
	return nil
}

// lastPiece is when the back end last gave a piece, 0 for never.
func (st *stream) lastPiece() time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.addedAt
}

// waitRoom blocks while too much is unsent, until ctx ends.
func (st *stream) waitRoom(ctx context.Context) error {
	for {
		st.mu.Lock()
		full, room := st.unsent >= maxUnsent, st.room
		if st.recording != nil {
			// The first sender may be gone, and others want the answer.
			full = full && !st.recording.whole()
		}
		st.mu.Unlock()
		if !full {
			return nil
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-room:
		}
	}
}

// finish sets the explicit end.
func (st *stream) finish(end protocol.End) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if !st.sender.Ended() {
		st.queue(st.sender.Finish(end, st.now()))
	}
}

// grant lets pieces below seq be sent.
func (st *stream) grant(seq uint64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.queue(st.sender.Credit(seq, st.now()))
}

// attach sends from piece seq on to another session. It reports false when that
// piece isn't there.
func (st *stream) attach(s *wire.Session, seq uint64, window uint32) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	out, ok := st.sender.Resume(seq, window, st.now())
	if !ok {
		return false
	}
	st.release()
	st.session = s
	st.release = s.Hold()
	st.outbox = nil
	st.queue(out)
	return true
}

// detach stops sending to s; it does nothing if another session has taken over.
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

// cut reports whether and why the stream has to be given up.
func (st *stream) cut() attempt.AbortReason {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.sender.Tick(st.now())
}

// bytes is the size of the pieces kept.
func (st *stream) bytes() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.sender.Bytes()
}

// pump sends until ctx ends. delivered is called each time an End was written.
func (st *stream) pump(ctx context.Context, delivered func(*wire.Session)) {
	for {
		s, m := st.take()
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

func (st *stream) take() (*wire.Session, protocol.Message) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.session == nil || len(st.outbox) == 0 {
		return nil, nil
	}
	m := st.outbox[0]
	st.outbox = st.outbox[1:]
	return st.session, m
}
