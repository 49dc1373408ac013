package direct

import (
	"time"

	"skylarklead/internal/admit"
	"skylarklead/internal/fleet"
	"skylarklead/internal/member"
)

// requiredSoftware is the software version that a replica must run to take a request. What two
// versions write into one stream doesn't fit together, and replicas don't check who began it. The zero
// value requires nothing.
type requiredSoftware struct {
	// bound is set if a version is required.
	bound bool
	// version is the required one, "" if it isn't known: then no replica meets the requirement.
	version string
}

// meets reports whether a replica is known to run the required software.
func (q requiredSoftware) meets(r *fleet.Replica) bool {
	return !q.bound || q.version != "" && r.Software == q.version
}

// mayMeet is meets, except that a replica of unknown software counts: its record may be on its way.
func (q requiredSoftware) mayMeet(r *fleet.Replica) bool {
	return q.meets(r) || q.version != "" && r.Software == ""
}

// requiredSoftware returns what the stream's first event requires of the replica that goes on with it.
// The caller holds the state's lock.
func (req *request) requiredSoftware() requiredSoftware {
	if req.begunAt == nil {
		return requiredSoftware{}
	}
	return requiredSoftware{bound: true, version: req.entry.state.softwareAt(req.begunAt)}
}

// softwareAt returns the software that a replica ran when a request was sent to it, "" if unknown; r is
// its registration at that time. A later incarnation under its name may have answered in its place,
// as the name is all that a replica checks. The caller holds mu.
func (s *state) softwareAt(r *fleet.Replica) string {
	latest := s.replicas.Latest(r.Name)
	switch {
	case latest == nil:
		return r.Software
	case latest.ID == r.ID && r.Software == "":
		return latest.Software
	case latest.Software != r.Software:
		return ""
	}
	return r.Software
}

// anyMayMeet reports whether a replica of a service that isn't leaving may run the required software.
// The caller holds mu.
func (s *state) anyMayMeet(service *fleet.Service, required requiredSoftware, now time.Duration) bool {
	for _, id := range s.replicas.IDs() {
		r := s.replicas.Get(id)
		if r.Service == service.Name && required.mayMeet(r) && s.replicas.Health(id, now) != member.Left {
			return true
		}
	}
	return false
}

// rejectUnresumable rejects the waiting streams that no replica of the software that began them can
// take in time. The caller holds mu.
func (s *state) rejectUnresumable(q *serviceQueue, now time.Duration) {
	rejected := q.resuming.RemoveMatching(func(queued *admit.QueuedRequest) bool {
		req := queued.Value.(*request)
		required := req.requiredSoftware()
		if !s.anyMayMeet(req.service, required, now) {
			return true
		}
		capacity, closed := s.upcomingCapacity(req.service, req.params.Model, required, now)
		if !closed || capacity.AcceptedBy(queued.ExpiresAt) > 0 {
			return false
		}
		req.capacityIn = max(defaultRetryAfter, capacity.TimeUntil(1, now))
		return true
	})
	for _, queued := range rejected {
		queued.Value.(*request).placed <- nil
	}
}
