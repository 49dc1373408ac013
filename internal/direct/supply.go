package direct

import (
	"time"

	"skylarklead/internal/admit"
	"skylarklead/internal/fleet"
	"skylarklead/internal/member"
)

// supplyIfClosed returns when the replicas of a service that could take a request for a model
// accept requests again. It returns false if any replica of the service accepts requests now or is
// not known to refuse them. The caller holds mu.
func (s *state) supplyIfClosed(service *fleet.Service, model string, now time.Duration) (admit.UpcomingCapacity, bool) {
	var supply admit.UpcomingCapacity
	for _, id := range s.replicas.IDs() {
		r := s.replicas.Get(id)
		if r.Service != service.Name || s.replicas.Health(id, now) == member.Left {
			continue
		}
		opening, closed := s.opening(id, now)
		if !closed {
			return nil, false
		}
		if _, runs := r.Weights[model]; runs || model == "" {
			supply = append(supply, opening)
		}
	}
	return supply, len(supply) > 0
}

// opening returns when a replica accepts requests again, false if it is not known to refuse them
// now. The caller holds mu.
func (s *state) opening(id string, now time.Duration) (admit.Reopening, bool) {
	opening := admit.Reopening{At: max(s.replicas.BackoffUntil(id), s.rateLimits.Next(id, now)), Rate: admit.Unlimited}
	if limit, limited := s.rateLimits.State(id, now); limited {
		opening.Rate = limit.Share
	}
	return opening, opening.At > now
}

// rejectBeyondSupply rejects the waiting requests for which the replicas will have no capacity in
// time, the last in the queue first. The caller holds mu.
func (s *state) rejectBeyondSupply(g *serviceQueue, now time.Duration) {
	t := g.waiting.Next(now)
	if t == nil {
		return
	}
	j := t.Value.(*request)
	supply, closed := s.supplyIfClosed(j.service, j.params.Model, now)
	if !closed {
		return
	}
	for _, t := range g.waiting.Trim(supply.AcceptedBy(t.ExpiresAt), now) {
		j := t.Value.(*request)
		j.capacityIn = max(defaultRetryAfter, supply.TimeUntil(g.waiting.Len()+1, now))
		j.placed <- nil
	}
}
