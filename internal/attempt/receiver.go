package attempt

import (
	"time"

	"skylarklead/internal/protocol"
)

// DropReason is why a message was not taken.
type DropReason uint8

// The reasons.
const (
	Accepted DropReason = iota
	// DropOtherAttempt: the message belongs to no live attempt.
	DropOtherAttempt
	// DropDuplicate: the piece was already delivered or is already buffered.
	DropDuplicate
	// DropBeyondWindow: the piece is further ahead than any credit given.
	DropBeyondWindow
	// DropInconsistent: an end that claims fewer pieces than were delivered, a
	// piece behind the end, or a second end.
	DropInconsistent
	dropReasons
)

var dropNames = [dropReasons]string{"taken", "crossed", "doubled", "beyond_window", "contradicting"}

// String names the reason as logs and metrics have it.
func (d DropReason) String() string { return dropNames[d] }

// gapPatience is how long a piece may be missing while later ones are here. A
// session delivers in order, so a gap means a lost message or one that took
// another path; waiting longer only delays the caller.
const gapPatience = 250 * time.Millisecond

// Receiver puts the pieces of one request's answer in order across attempts.
//
// Invariants: every piece below next was delivered exactly once, in order;
// pending holds only pieces in (next, next+window), or below credit; a piece of an attempt other
// than live is never taken.
type Receiver struct {
	live    protocol.AttemptID
	next    uint64
	taken   uint64
	window  uint64
	credit  uint64
	pending map[uint64][]byte
	start   *protocol.Start
	end     *protocol.End
	gapAt   time.Duration
	gap     bool
	broken  bool
	drops   [dropReasons]uint64
}

// NewReceiver returns a receiver that lets window pieces be under way.
func NewReceiver(window uint32) *Receiver {
	w := uint64(max(window, 1))
	return &Receiver{window: w, credit: w, pending: map[uint64][]byte{}}
}

// Begin makes a the live attempt. Its pieces go on from Next; whatever still
// comes from an earlier attempt is dropped.
func (r *Receiver) Begin(a protocol.AttemptID) {
	r.live = a
	r.start, r.end = nil, nil
	r.gap, r.broken = false, false
	r.credit = r.next + r.window
	clear(r.pending)
}

// BeginAt makes a live from piece seq on, for a caller that comes back with what
// it has.
func (r *Receiver) BeginAt(a protocol.AttemptID, seq uint64) {
	r.next, r.taken = seq, seq
	r.Begin(a)
}

// Resumed is called when the live attempt is asked for again from Next on a new
// session. It returns the window for the Resume: what the caller has not taken
// yet counts against it, or a session that is cut again and again would let a
// caller that doesn't read fill this process's memory.
func (r *Receiver) Resumed() (window uint32) {
	r.gap, r.broken = false, false
	r.credit = max(r.next, r.taken+r.window)
	clear(r.pending)
	return uint32(r.credit - r.next)
}

// Next is the number of the next piece to deliver.
func (r *Receiver) Next() uint64 { return r.next }

// Live is the attempt whose messages are taken.
func (r *Receiver) Live() protocol.AttemptID { return r.live }

// Start takes the start of the live attempt's answer.
func (r *Receiver) Start(m *protocol.Start) DropReason {
	if m.Attempt != r.live {
		return r.drop(DropOtherAttempt)
	}
	if r.start != nil {
		return r.drop(DropDuplicate)
	}
	r.start = m
	return Accepted
}

// Chunk takes one piece and returns those that are now due, in order.
func (r *Receiver) Chunk(m *protocol.Chunk, now time.Duration) ([][]byte, DropReason) {
	if d := r.judge(m); d != Accepted {
		return nil, r.drop(d)
	}
	if m.Seq != r.next {
		r.pending[m.Seq] = m.Data
		r.noteGap(now)
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
		r.noteGap(now)
	}
	return due, Accepted
}

func (r *Receiver) judge(m *protocol.Chunk) DropReason {
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

// End takes the end of the live attempt. complete is set when every piece before
// it was delivered, or when the attempt failed, so that waiting for its missing
// pieces is in vain.
func (r *Receiver) End(m *protocol.End, now time.Duration) (complete bool, d DropReason) {
	if m.Attempt != r.live {
		return false, r.drop(DropOtherAttempt)
	}
	if r.end != nil {
		return r.Complete(), r.drop(DropDuplicate)
	}
	if failed := m.Outcome != protocol.Done; failed {
		r.end = m
		return true, Accepted
	}
	if m.Seq < r.next {
		// An end with fewer pieces than the caller already has can't belong to
		// this answer. Taking it would call a wrong answer whole.
		r.broken = true
		return false, r.drop(DropInconsistent)
	}
	r.end = m
	if r.missing() {
		r.noteGap(now)
	}
	return r.Complete(), Accepted
}

// Complete reports whether the live attempt has ended and all of it is delivered.
func (r *Receiver) Complete() bool {
	return r.end != nil && (r.end.Outcome != protocol.Done || r.next == r.end.Seq)
}

// Ended returns the live attempt's end, nil before it.
func (r *Receiver) Ended() *protocol.End { return r.end }

// MustResume reports whether a piece has been missing for so long, or the end is
// so wrong, that the attempt has to be asked for again from Next.
func (r *Receiver) MustResume(now time.Duration) bool {
	return r.broken || r.gap && now-r.gapAt >= gapPatience
}

func (r *Receiver) missing() bool {
	return len(r.pending) > 0 || r.end != nil && r.end.Outcome == protocol.Done && r.next < r.end.Seq
}

func (r *Receiver) noteGap(now time.Duration) {
	if !r.gap {
		r.gap, r.gapAt = true, now
	}
}

// Consumed says that the caller has taken n more pieces. It returns the credit to
// send when half of the window has been used up since the last one.
func (r *Receiver) Consumed(n int) (protocol.Credit, bool) {
	r.taken += uint64(n)
	due := r.taken + r.window
	if r.end != nil || due < r.credit+(r.window+1)/2 {
		return protocol.Credit{}, false
	}
	r.credit = due
	return protocol.Credit{Attempt: r.live, Seq: due}, true
}

// Dropped returns how many messages were dropped for a reason.
func (r *Receiver) Dropped(d DropReason) uint64 { return r.drops[d] }

func (r *Receiver) drop(d DropReason) DropReason {
	r.drops[d]++
	return d
}
