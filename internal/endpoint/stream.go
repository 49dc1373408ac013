package endpoint

import (
	"context"
	"sync"

	"skylarklead/internal/wire"
)

// maxUnsent bounds in bytes what is read from the back end ahead of the
// receiver. A slow caller holds up its own stream there, and no other.
const maxUnsent = 1 << 20

// stream is one attempt's answer: the chunks, kept so that they can be sent
// again on another session, and where sending stands. It is shared between the
// reader of the back end, the pump that sends, and the loop.
//
// Invariants: chunks[i] has sequence number first+i; next is at most
// first+len(chunks); nothing is sent at or past credit.
type stream struct {
	attempt wire.AttemptID
	wake    chan struct{}

	mu       sync.Mutex
	first    uint64
	chunks   [][]byte
	unsent   int // bytes of chunks at or past the highest number ever sent
	sentUpTo uint64
	session  *wire.Session
	release  func()
	next     uint64
	credit   uint64
	start    *wire.Start
	end      *wire.End
	endSent  bool
	room     chan struct{} // closed and replaced when unsent shrinks
}

func newStream(run *wire.Run, s *wire.Session) *stream {
	return &stream{
		attempt:  run.Attempt,
		wake:     make(chan struct{}, 1),
		first:    run.FirstSeq,
		sentUpTo: run.FirstSeq,
		session:  s,
		release:  s.Hold(),
		next:     run.FirstSeq,
		credit:   run.FirstSeq + uint64(run.Window),
		room:     make(chan struct{}),
	}
}

func (st *stream) signal() {
	select {
	case st.wake <- struct{}{}:
	default:
	}
}

// begin queues the Start.
func (st *stream) begin(start *wire.Start) {
	st.mu.Lock()
	st.start = start
	st.mu.Unlock()
	st.signal()
}

// add appends a chunk; it blocks while too much is unsent, until ctx ends.
func (st *stream) add(ctx context.Context, data []byte) error {
	for {
		st.mu.Lock()
		if st.unsent < maxUnsent {
			st.chunks = append(st.chunks, data)
			st.unsent += len(data)
			st.mu.Unlock()
			st.signal()
			return nil
		}
		room := st.room
		st.mu.Unlock()
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-room:
		}
	}
}

// finish sets the explicit end; only the first call counts. It reports whether
// this was the first.
func (st *stream) finish(end wire.End) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.end != nil {
		return false
	}
	end.Attempt = st.attempt
	end.Seq = st.first + uint64(len(st.chunks))
	st.end = &end
	st.signal()
	return true
}

// grant moves the credit forward; an old one changes nothing.
func (st *stream) grant(upTo uint64) {
	st.mu.Lock()
	st.credit = max(st.credit, upTo)
	st.mu.Unlock()
	st.signal()
}

// attach sends from seq on to another session. It reports false when the chunks
// from seq on aren't there.
func (st *stream) attach(s *wire.Session, seq uint64, window uint32) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if seq < st.first || seq > st.first+uint64(len(st.chunks)) {
		return false
	}
	st.release()
	st.session = s
	st.release = s.Hold()
	st.next = seq
	st.credit = seq + uint64(window)
	st.start = nil
	st.endSent = false
	st.signal()
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
	st.release()
}

// drop frees the chunks; the stream can't be resumed after.
func (st *stream) drop() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.first += uint64(len(st.chunks))
	st.next = st.first
	st.chunks = nil
	st.session = nil
	st.release()
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
		if _, ok := m.(*wire.End); ok {
			delivered(s)
		}
	}
}

// take returns the next message that may be sent and counts it as sent. One that
// is then lost with its session is asked for again by Resume.
func (st *stream) take() (*wire.Session, wire.Message) {
	st.mu.Lock()
	defer st.mu.Unlock()
	limit := st.first + uint64(len(st.chunks))
	switch {
	case st.session == nil:
		return nil, nil
	case st.start != nil:
		m := st.start
		st.start = nil
		return st.session, m
	case st.next < limit && st.next < st.credit:
		m := &wire.Chunk{Attempt: st.attempt, Seq: st.next, Data: st.chunks[st.next-st.first]}
		st.next++
		st.countSent(len(m.Data))
		return st.session, m
	case st.end != nil && st.next == limit && !st.endSent:
		st.endSent = true
		return st.session, st.end
	}
	return nil, nil
}

func (st *stream) countSent(bytes int) {
	if st.next <= st.sentUpTo {
		return // sent again
	}
	st.sentUpTo = st.next
	st.unsent -= bytes
	close(st.room)
	st.room = make(chan struct{})
}
