package member

import (
	"time"

	"skylarklead/internal/fleet"
)

// name is what is known of a name that replicas register under. It outlives them by a
// tombstone's time: a record of a replica that is gone may be read late, and one of an
// earlier incarnation may be written after the later one's.
//
// Invariant: born never goes back.
type name struct {
	// id and born are of the latest incarnation, "" before any.
	id   string
	born int64
	// beat is the highest number of what that incarnation has written.
	beat uint64
	// over is set once that incarnation is known to have ended, whatever its records say.
	over bool
	// leaving is set once that incarnation has said that it leaves. It outlives its place on the
	// list: the record from before may be written again.
	leaving bool
	// removed is set once the name was taken off the list, last at removedAt.
	removed   bool
	removedAt uint64
	// heard is when something was last said of it.
	heard time.Duration
}

// begin takes a replica as the latest incarnation of its name and returns the one that
// it follows, "" for none. It reports false where the replica isn't the latest.
//
// Symptom without it: a replica that has started again under its name is believed to
// hold its cache, refuses each order for its number of orders, or gets no work since its
// predecessor was leaving. A replica that has once said when it started always does, so
// that a record that doesn't is not its own.
func (n *name) begin(r *fleet.Replica, now time.Duration) (ended string, ok bool) {
	if r.StartedAtMs < n.born || r.ID == n.id && n.over {
		return "", false
	}
	n.heard = now
	if r.ID == n.id {
		n.beat = max(n.beat, r.HeartbeatSeq)
		return "", true
	}
	ended = n.id
	n.id, n.born, n.beat, n.over, n.leaving = r.ID, r.StartedAtMs, r.HeartbeatSeq, false, false
	return ended, true
}

// copied reports whether a record is an older one of a replica that was taken off the list since,
// brought back by a store that came back from an older copy.
func (n *name) copied(r *fleet.Replica, position uint64) bool {
	return fleet.Era(position) > fleet.Era(n.removedAt) && r.ID == n.id && r.HeartbeatSeq <= n.beat
}
