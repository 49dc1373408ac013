package direct

import (
	"time"

	"skylarklead/internal/admit"
	"skylarklead/internal/fleet"
	"skylarklead/internal/member"
)

// supplyIfClosed returns when the replicas of a service that could take a request for a model take
// something again, if none of them does now and of each it is known why. The caller holds mu.
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

// opening returns when a replica takes something again, false if it isn't known to take nothing
// now. The caller holds mu.
func (s *state) opening(id string, now time.Duration) (admit.Reopening, bool) {
	opening := admit.Reopening{At: max(s.replicas.BackoffUntil(id), s.rateLimits.Next(id, now)), Rate: admit.Unlimited}
	if limit, limited := s.rateLimits.State(id, now); limited {
		opening.Rate = limit.Share
	}
	return opening, opening.At > now
}

// rejectBeyondSupply ends the wait of those for whom the replicas will have no place in time, the
// last in turn first. The caller holds mu.
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
