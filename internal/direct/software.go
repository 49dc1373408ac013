package direct

import (
	"time"

	"skylarklead/internal/admit"
	"skylarklead/internal/fleet"
	"skylarklead/internal/member"
	"skylarklead/internal/origin"
)

// resumedSoftwareRetryAfter is the Retry-After of a caller that takes up a stream whose software no
// replica runs now: one that has crashed is back after some seconds.
const resumedSoftwareRetryAfter = 2 * time.Second

// requiredSoftware is the software version that a replica must run to take a request. What two
// versions write into one stream doesn't fit together, and replicas don't check who began it. The zero
// value requires nothing.
type requiredSoftware struct {
	// bound is set if a version is required.
	bound bool
	// version is the required one. No replica is known to run the unknown one.
	version origin.Software
	// recorded is set if streams must be known to have begun at the version, should this one begin there.
	recorded bool
}

// meets reports whether a replica is known to run the required software.
func (q requiredSoftware) meets(r *fleet.Replica) bool {
	return !q.bound || q.version != origin.Unknown && origin.SoftwareOf(r.Service, r.Software) == q.version
}

// mayMeet is meets, except that a replica of unknown software counts: its record may be on its way.
func (q requiredSoftware) mayMeet(r *fleet.Replica) bool {
	return q.meets(r) || q.version != origin.Unknown && r.Software == ""
}

// takesUp reports whether the request goes on with a stream that an earlier attempt began.
func (req *request) takesUp() bool {
	return req.route.Kind == fleet.Streaming && req.params.LastEvent != ""
}

// resolveOrigin finds out which software began the stream that the request takes up. If the caller doesn't
// name the attempt that began it, or no entry is left that knows, it is the only one that can have.
func (req *request) resolveOrigin() {
	if !req.takesUp() {
		return
	}
	if !req.route.Resumable {
		// Such streams begin at versions that aren't recorded too.
		req.takenUp, req.originBy = origin.Unknown, originOnce
		return
	}
	req.originBy = originUnnamed
	if req.params.Resumes != "" {
		known := false
		req.originBy = originHoldersLost
		if req.takenUp, known = req.entry.peers.origins.resolve(req.ctx, origin.StreamOf(req.params.Resumes)); known {
			req.originBy = originKnown
		}
	}
	if req.originBy != originKnown {
		req.takenUp = req.entry.uses.only(req.ctx, req.params.Model)
	}
	req.selectOriginService()
}

// selectOriginService selects, of a route's services, the one whose software began the stream.
func (req *request) selectOriginService() {
	s := req.entry.state
	s.mu.Lock()
	defer s.mu.Unlock()
	required := requiredSoftware{bound: true, version: req.takenUp}
	for _, target := range req.route.Targets {
		service := req.config.Services[target.Service]
		for _, id := range s.replicas.IDs() {
			if r := s.replicas.Get(id); service != nil && r.Service == service.Name && required.meets(r) {
				req.service = service
				return
			}
		}
	}
}

// requiredSoftware returns what the stream's first event requires of the replica that goes on with it.
// The caller holds the state's lock.
func (req *request) requiredSoftware() requiredSoftware {
	switch {
	case req.takesUp():
		return requiredSoftware{bound: true, version: req.takenUp}
	case req.begunAt != nil:
		return requiredSoftware{bound: true, version: origin.SoftwareOf(req.begunAt.Service, req.entry.state.softwareAt(req.begunAt))}
	}
	return requiredSoftware{recorded: req.route.Kind == fleet.Streaming && req.route.Resumable}
}

// announceOrigin tells other entries which software began the stream, before the caller has its first
// event. Streams that can't be taken up need no announcement.
func (req *request) announceOrigin() {
	if !req.route.Resumable || req.route.Kind != fleet.Streaming {
		return
	}
	s := req.entry.state
	s.mu.Lock()
	version := req.requiredSoftware().version
	var doubts []origin.Doubt
	if version == origin.Unknown && req.begunAt != nil && !req.takesUp() {
		if now := req.entry.clock.now(); s.uses.BeganUnrecorded(req.begunAt.Service, req.params.Model, now) {
			doubts = s.uses.Doubts(now)
		}
	}
	s.mu.Unlock()
	req.entry.uses.tell(doubts)
	// A stream of unknown software is announced too, so that the records don't decide it.
	req.entry.peers.origins.announce(origin.StreamOf(req.params.ID), version)
}

// abortUnresumable breaks off a stream that no replica can go on with. If its software can't be told
// any more, what was announced of it doesn't hold either.
func (req *request) abortUnresumable() {
	s := req.entry.state
	s.mu.Lock()
	version := req.requiredSoftware().version
	s.mu.Unlock()
	if version == origin.Unknown && req.route.Resumable {
		req.entry.peers.origins.announce(origin.StreamOf(req.params.ID), origin.Unknown)
	}
	req.abort("no replica of the software that began the stream can resume it")
}

// refuseTakeUp refuses a request that takes up a stream which no replica can go on with.
func (req *request) refuseTakeUp() {
	if req.takenUp == origin.Unknown {
		req.entry.tel.Metrics.Count("refused_unknown_software", 1)
		req.refuse("it is not known which software began the stream", defaultRetryAfter)
		return
	}
	req.entry.tel.Metrics.Count("refused_other_software", 1)
	req.refuse("no replica of the software that began the stream can take the request", resumedSoftwareRetryAfter)
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
