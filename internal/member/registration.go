package member

import (
	"time"

	"skylarklead/internal/fleet"
)

// registration is what is known of a name under which replicas register. It is kept for
// TombstoneTTL after the replica is gone: a record of a removed replica may be read late,
// and a record of an earlier incarnation may be written after one of a later incarnation.
//
// Invariant: born never decreases.
type registration struct {
	// id and born are those of the latest incarnation; id is "" before the first one.
	id          string
	startedAtMs int64
	// heartbeatSeq is the highest record number of that incarnation.
	heartbeatSeq uint64
	// ended is set once that incarnation is known to have ended, whatever its records say.
	ended bool
	// leaving is set once that incarnation has announced that it leaves. It is kept after
	// the removal, since a record from before the announcement may be written again.
	leaving bool
	// removed is set once the name was removed from the list, last at offset removedAt.
	removed   bool
	removedAt uint64
	// lastSeen is the time of the last record or report of this name.
	lastSeen time.Duration
}

// advance makes a replica the latest incarnation of its name and returns the ID of the
// one that it supersedes, "" for none. It reports false if a later incarnation is known
// or this one has ended.
//
// Without it a replica that restarted under its name would be expected to hold its old
// cache, refuse each order because of the order number, or get no work because the
// previous incarnation was leaving. A replica that has once stated its start time always
// does, so a record without one is not its own.
func (reg *registration) advance(r *fleet.Replica, now time.Duration) (ended string, ok bool) {
	if r.StartedAtMs < reg.startedAtMs || r.ID == reg.id && reg.ended {
		return "", false
	}
	reg.lastSeen = now
	if r.ID == reg.id {
		reg.heartbeatSeq = max(reg.heartbeatSeq, r.HeartbeatSeq)
		return "", true
	}
	ended = reg.id
	reg.id, reg.startedAtMs, reg.heartbeatSeq, reg.ended, reg.leaving = r.ID, r.StartedAtMs, r.HeartbeatSeq, false, false
	return ended, true
}

// isStaleCopy reports whether a record is an old one of a replica that has since been
// removed, which came back because the store was restored from an older copy.
func (reg *registration) isStaleCopy(r *fleet.Replica, offset uint64) bool {
	return fleet.Era(offset) > fleet.Era(reg.removedAt) && r.ID == reg.id && r.HeartbeatSeq <= reg.heartbeatSeq
}

// occupant is the incarnation that was last listed at an address.
type occupant struct {
	id, name    string
	startedAtMs int64
}

// occupy records that an incarnation is listed at its address, and returns the one of another name that was
// there before. A record of one that started earlier is a late one.
func (v *Replicas) occupy(r *fleet.Replica) (displaced string) {
	before := v.occupants[r.Address]
	if r.StartedAtMs < before.startedAtMs {
		return ""
	}
	v.occupants[r.Address] = occupant{r.ID, r.Name, r.StartedAtMs}
	if before.name == r.Name {
		return ""
	}
	return before.id
}
