package direct

import (
	"time"

	"skylarklead/internal/admit"
	"skylarklead/internal/fleet"
	"skylarklead/internal/member"
)

// upcomingCapacity returns when the replicas of a service that serve a model ("" for any) and run the
// required software accept requests again. It returns false if any of the service with that software
// is not known to refuse requests now, or if none serves the model. The caller holds mu.
func (s *state) upcomingCapacity(service *fleet.Service, model string, required requiredSoftware, now time.Duration) (admit.UpcomingCapacity, bool) {
	var capacity admit.UpcomingCapacity
	for _, id := range s.replicas.IDs() {
		r := s.replicas.Get(id)
		if r.Service != service.Name || s.replicas.Health(id, now) == member.Left || !required.meets(r) {
			continue
		}
		reopening, closed := s.reopening(id, now)
		if !closed {
			return nil, false
		}
		if _, runs := r.Weights[model]; runs || model == "" {
			capacity = append(capacity, reopening)
		}
	}
	return capacity, len(capacity) > 0
}

// reopening returns when and at which rate a replica accepts requests again; false if it is not
// known to refuse them now. The caller holds mu.
func (s *state) reopening(id string, now time.Duration) (admit.Reopening, bool) {
	reopening := admit.Reopening{At: max(s.replicas.BackoffUntil(id), s.rateLimits.Next(id, now)), Rate: admit.Unlimited}
	if limit, limited := s.rateLimits.State(id, now); limited {
		reopening.Rate = limit.Share
	}
	return reopening, reopening.At > now
}

// rejectBeyondCapacity rejects the waiting requests for which the replicas will have no capacity in
// time, the last in the queue first. The caller holds mu.
func (s *state) rejectBeyondCapacity(q *serviceQueue, now time.Duration) {
	queued := q.waiting.Next(now)
	if queued == nil {
		return
	}
	req := queued.Value.(*request)
	capacity, closed := s.upcomingCapacity(req.service, req.params.Model, requiredSoftware{}, now)
	if !closed {
		return
	}
	for _, queued := range q.waiting.Trim(capacity.AcceptedBy(queued.ExpiresAt), now) {
		req := queued.Value.(*request)
		req.capacityIn = max(defaultRetryAfter, capacity.TimeUntil(q.waiting.Len()+1, now))
		req.placed <- nil
	}
}
