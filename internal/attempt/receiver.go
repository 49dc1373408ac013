package attempt

import (
	"time"

	"skylarklead/internal/protocol"
)

// DropReason is why a message was dropped; Accepted means that it wasn't.
type DropReason uint8

// Values of DropReason.
const (
	Accepted DropReason = iota
	// DropOtherAttempt: the message does not belong to the live attempt.
	DropOtherAttempt
	// DropDuplicate: the chunk was already delivered or is already buffered.
	DropDuplicate
	// DropBeyondWindow: the chunk is beyond the credit given.
	DropBeyondWindow
	// DropInconsistent: an End that states fewer chunks than were delivered, or a
	// chunk after the End.
	DropInconsistent
	dropReasons
)

var dropNames = [dropReasons]string{"taken", "crossed", "doubled", "beyond_window", "contradicting"}

// String returns the reason's name in logs and metrics.
func (d DropReason) String() string { return dropNames[d] }

// gapTimeout is how long a chunk may be missing while later ones are buffered. A
// session delivers in order, so a gap means that a message was lost or took another
// path; waiting longer only delays the caller.
const gapTimeout = 250 * time.Millisecond

// Receiver puts the chunks of one request's answer in order across attempts.
//
// Invariants: every chunk below next was delivered exactly once, in order. pending
// holds only chunks above next that are below next+window or below credit. A chunk of
// an attempt other than live is never accepted.
type Receiver struct {
	live         protocol.AttemptID
	next         uint64
	consumed     uint64
	window       uint64
	credit       uint64
	pending      map[uint64][]byte
	start        *protocol.Start
	end          *protocol.End
	gapSince     time.Duration
	gap          bool
	inconsistent bool
	drops        [dropReasons]uint64
}

// NewReceiver returns a receiver that allows window chunks in transit.
func NewReceiver(window uint32) *Receiver {
	w := uint64(max(window, 1))
	return &Receiver{window: w, credit: w, pending: map[uint64][]byte{}}
}

// Begin makes a the live attempt. Its chunks continue at Next; chunks of earlier
// attempts that still arrive are dropped.
func (r *Receiver) Begin(a protocol.AttemptID) {
	r.live = a
	r.start, r.end = nil, nil
	r.gap, r.inconsistent = false, false
	r.credit = r.next + r.window
	clear(r.pending)
}

// BeginAt makes a the live attempt from chunk seq on, for a caller that reconnects and
// already has the chunks before it.
func (r *Receiver) BeginAt(a protocol.AttemptID, seq uint64) {
	r.next, r.consumed = seq, seq
	r.Begin(a)
}

// Resumed prepares for the live attempt to be requested again from Next on a new
// session. It returns the window for the Resume. Chunks that the caller has not
// consumed yet count against the window; otherwise a session that is cut repeatedly
// would let a caller that doesn't read fill this process's memory.
func (r *Receiver) Resumed() (window uint32) {
	r.gap, r.inconsistent = false, false
	r.credit = max(r.next, r.consumed+r.window)
	clear(r.pending)
	return uint32(r.credit - r.next)
}

// Next is the number of the next chunk to deliver.
func (r *Receiver) Next() uint64 { return r.next }

// Live is the attempt whose messages are accepted.
func (r *Receiver) Live() protocol.AttemptID { return r.live }

// Start accepts the start of the live attempt's answer.
func (r *Receiver) Start(m *protocol.Start) DropReason {
	if m.Attempt != r.live {
		return r.countDrop(DropOtherAttempt)
	}
	if r.start != nil {
		return r.countDrop(DropDuplicate)
	}
	r.start = m
	return Accepted
}

// Chunk accepts one chunk and returns the chunks that can be delivered now, in order.
func (r *Receiver) Chunk(m *protocol.Chunk, now time.Duration) ([][]byte, DropReason) {
	if d := r.classify(m); d != Accepted {
		return nil, r.countDrop(d)
	}
	if m.Seq != r.next {
		r.pending[m.Seq] = m.Data
		r.startGap(now)
		return nil, Accepted
	}
	due := [][]byte{m.Data}
	r.next++
	for {
		data, ok := r.pending[r.next]
		if !ok {
			break
		}
		delete(r.pending, r.next)
		due = append(due, data)
		r.next++
	}
	r.gap = false
	if r.missing() {
		r.startGap(now)
	}
	return due, Accepted
}

func (r *Receiver) classify(m *protocol.Chunk) DropReason {
	if m.Attempt != r.live {
		return DropOtherAttempt
	}
	if _, ok := r.pending[m.Seq]; ok || m.Seq < r.next {
		return DropDuplicate
	}
	if r.end != nil && m.Seq >= r.end.Seq {
		return DropInconsistent
	}
	if m.Seq >= max(r.credit, r.next+r.window) {
		return DropBeyondWindow
	}
	return Accepted
}

// End accepts the end of the live attempt. complete is set when every chunk before it
// was delivered, or when the attempt failed, since its missing chunks will never
// arrive.
func (r *Receiver) End(m *protocol.End, now time.Duration) (complete bool, d DropReason) {
	if m.Attempt != r.live {
		return false, r.countDrop(DropOtherAttempt)
	}
	if r.end != nil {
		return r.Complete(), r.countDrop(DropDuplicate)
	}
	if failed := m.Outcome != protocol.Done; failed {
		r.end = m
		return true, Accepted
	}
	if m.Seq < r.next {
		// An End with fewer chunks than the caller already has can't belong to this
		// answer. Accepting it would report a wrong answer as complete.
		r.inconsistent = true
		return false, r.countDrop(DropInconsistent)
	}
	r.end = m
	if r.missing() {
		r.startGap(now)
	}
	return r.Complete(), Accepted
}

// Complete reports whether the live attempt has ended and all of it is delivered.
func (r *Receiver) Complete() bool {
	return r.end != nil && (r.end.Outcome != protocol.Done || r.next == r.end.Seq)
}

// Ended returns the live attempt's End, nil before it has arrived.
func (r *Receiver) Ended() *protocol.End { return r.end }

// MustResume reports whether the attempt has to be requested again from Next: a chunk
// has been missing for gapTimeout, or the End was inconsistent.
func (r *Receiver) MustResume(now time.Duration) bool {
	return r.inconsistent || r.gap && now-r.gapSince >= gapTimeout
}

func (r *Receiver) missing() bool {
	return len(r.pending) > 0 || r.end != nil && r.end.Outcome == protocol.Done && r.next < r.end.Seq
}

func (r *Receiver) startGap(now time.Duration) {
	if !r.gap {
		r.gap, r.gapSince = true, now
	}
}

// Consumed records that the caller has consumed n more chunks. It returns a credit to
// send once half of the window has been used up since the last one.
func (r *Receiver) Consumed(n int) (protocol.Credit, bool) {
	r.consumed += uint64(n)
	due := r.consumed + r.window
	if r.end != nil || due < r.credit+(r.window+1)/2 {
		return protocol.Credit{}, false
	}
	r.credit = due
	return protocol.Credit{Attempt: r.live, Seq: due}, true
}

// Dropped returns how many messages were dropped for a reason.
func (r *Receiver) Dropped(d DropReason) uint64 { return r.drops[d] }

func (r *Receiver) countDrop(d DropReason) DropReason {
	r.drops[d]++
	return d
}
