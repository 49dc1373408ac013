package rollout

import "time"

// OrderedTTL is how long a replica gets no new work after an ordered record that no other
// record follows. Finishing the running requests and loading takes a second or two. If the
// lease holder is lost meanwhile, nobody publishes the end of the load.
const OrderedTTL = 6 * time.Second

// modelState is what is known of one replica's weights of one model.
//
// Invariant: version and acceptedOrders only grow, since an incarnation never goes back to
// an older version.
type modelState struct {
	version        uint64
	acceptedOrders uint64
	orderedAt      time.Duration
	// orderedVersion is the version of the order in progress, 0 if there is none.
	orderedVersion uint64
	// slotVersion is the version that the slot at slotAt is for, 0 if none is planned.
	slotVersion uint64
	slotAt      time.Duration
}

type stateKey struct{ replica, model string }

// VersionTracker is one entry's view of the weights version at each replica. Registrations,
// rollout records and responses all report versions, with different delays; the highest
// reported version counts.
type VersionTracker struct {
	states map[stateKey]*modelState
}

// NewVersionTracker returns a VersionTracker that knows no versions.
func NewVersionTracker() *VersionTracker { return &VersionTracker{states: map[stateKey]*modelState{}} }

func (t *VersionTracker) state(replica, model string) *modelState {
	k := stateKey{replica, model}
	s := t.states[k]
	if s == nil {
		s = &modelState{}
		t.states[k] = s
	}
	return s
}

// ObserveVersion records that a replica was seen to serve a version, and the number of orders
// that it has accepted, 0 if unknown. It reports whether the version is higher than any
// observed before.
func (t *VersionTracker) ObserveVersion(replica, model string, version, orders uint64) bool {
	s := t.state(replica, model)
	s.acceptedOrders = max(s.acceptedOrders, orders)
	if version <= s.version {
		return false
	}
	s.version = version
	if version >= s.orderedVersion {
		s.orderedVersion = 0
	}
	return true
}

// ApplyRecord applies a rollout record and reports whether it has a higher version of the
// replica than any observed before.
func (t *VersionTracker) ApplyRecord(r *Record, now time.Duration) bool {
	s := t.state(r.Replica, r.Model)
	switch r.Phase {
	case PhaseServing:
		if r.Version >= s.orderedVersion {
			s.orderedVersion = 0
		}
		return t.ObserveVersion(r.Replica, r.Model, r.Version, r.AcceptedOrders)
	case PhaseReleased:
		s.orderedVersion = 0
	case PhaseOrdered:
		if r.Version > s.version {
			s.orderedVersion, s.orderedAt = r.Version, now
		}
	case PhasePlanned:
		s.slotVersion, s.slotAt = r.Version, now+time.Duration(r.AfterMs)*time.Millisecond
	}
	return false
}

// TimeToSlot returns the time until the replica's next slot, if one is planned.
func (t *VersionTracker) TimeToSlot(replica, model string, now time.Duration) (time.Duration, bool) {
	s := t.states[stateKey{replica, model}]
	if s == nil || s.slotVersion <= s.version || now > s.slotAt+slotTTL {
		return 0, false
	}
	return max(0, s.slotAt-now), true
}

// slotTTL is how long after its scheduled start a slot is still expected to begin.
const slotTTL = 3 * time.Second

// Version is the version that a replica is known to serve, 0 if unknown.
func (t *VersionTracker) Version(replica, model string) uint64 {
	if s := t.states[stateKey{replica, model}]; s != nil {
		return s.version
	}
	return 0
}

// AcceptedOrders is the number of orders that a replica is known to have accepted.
func (t *VersionTracker) AcceptedOrders(replica, model string) uint64 {
	if s := t.states[stateKey{replica, model}]; s != nil {
		return s.acceptedOrders
	}
	return 0
}

// Ordered reports whether a replica is about to load or is loading.
func (t *VersionTracker) Ordered(replica, model string, now time.Duration) bool {
	s := t.states[stateKey{replica, model}]
	return s != nil && s.orderedVersion != 0 && now-s.orderedAt < OrderedTTL
}

// Forget drops all state of a replica.
func (t *VersionTracker) Forget(replica string) {
	for k := range t.states {
		if k.replica == replica {
			delete(t.states, k)
		}
	}
}
