package rollout

import "time"

// OrderedTTL is how long a replica stays without new work on the word of a note
// that nothing has followed. Finishing what runs and loading takes a second or two;
// a holder that was lost meanwhile leaves nobody to say that it is over.
const OrderedTTL = 6 * time.Second

// slot is what is believed of one replica's weights of one model.
//
// Invariant: version and orders only grow, since an incarnation never goes back.
type slot struct {
	version   uint64
	orders    uint64
	orderedAt time.Duration
	// target is the version of the order under way, 0 if none is.
	target uint64
	// planned is the version that its turn at turnAt is for, 0 if none is planned.
	planned uint64
	turnAt  time.Duration
}

type slotKey struct{ replica, model string }

// VersionTracker is one entry's belief of which weights each replica serves. Records,
// notes and answers all speak of it, each late in its own way; the newest version
// that any of them has named is taken.
type VersionTracker struct {
	slots map[slotKey]*slot
}

// NewVersionTracker returns an empty board.
func NewVersionTracker() *VersionTracker { return &VersionTracker{slots: map[slotKey]*slot{}} }

func (b *VersionTracker) slot(replica, model string) *slot {
	k := slotKey{replica, model}
	s := b.slots[k]
	if s == nil {
		s = &slot{}
		b.slots[k] = s
	}
	return s
}

// ObserveVersion takes a version that a replica was seen to serve, and the number of orders
// it has accepted if known. It reports whether the version is news.
func (b *VersionTracker) ObserveVersion(replica, model string, version, orders uint64) bool {
	s := b.slot(replica, model)
	s.orders = max(s.orders, orders)
	if version <= s.version {
		return false
	}
	s.version = version
	if version >= s.target {
		s.target = 0
	}
	return true
}

// ApplyRecord applies a note and reports whether the replica's version is news.
func (b *VersionTracker) ApplyRecord(n *Record, now time.Duration) bool {
	s := b.slot(n.Replica, n.Model)
	switch n.Phase {
	case PhaseServing:
		if n.Version >= s.target {
			s.target = 0
		}
		return b.ObserveVersion(n.Replica, n.Model, n.Version, n.AcceptedOrders)
	case PhaseReleased:
		s.target = 0
	case PhaseOrdered:
		if n.Version > s.version {
			s.target, s.orderedAt = n.Version, now
		}
	case PhasePlanned:
		s.planned, s.turnAt = n.Version, now+time.Duration(n.AfterMs)*time.Millisecond
	}
	return false
}

// TimeToSlot is how long it is until a replica's planned order, if one is planned.
func (b *VersionTracker) TimeToSlot(replica, model string, now time.Duration) (time.Duration, bool) {
	s := b.slots[slotKey{replica, model}]
	if s == nil || s.planned <= s.version || now > s.turnAt+planFor {
		return 0, false
	}
	return max(0, s.turnAt-now), true
}

// planFor is how long after its time a planned turn is still believed to come.
const planFor = 3 * time.Second

// Version is the version that a replica is believed to serve, 0 if unknown.
func (b *VersionTracker) Version(replica, model string) uint64 {
	if s := b.slots[slotKey{replica, model}]; s != nil {
		return s.version
	}
	return 0
}

// AcceptedOrders is how many orders a replica is known to have accepted.
func (b *VersionTracker) AcceptedOrders(replica, model string) uint64 {
	if s := b.slots[slotKey{replica, model}]; s != nil {
		return s.orders
	}
	return 0
}

// Ordered reports whether a replica is about to load or loading.
func (b *VersionTracker) Ordered(replica, model string, now time.Duration) bool {
	s := b.slots[slotKey{replica, model}]
	return s != nil && s.target != 0 && now-s.orderedAt < OrderedTTL
}

// Forget forgets a replica.
func (b *VersionTracker) Forget(replica string) {
	for k := range b.slots {
		if k.replica == replica {
			delete(b.slots, k)
		}
	}
}
