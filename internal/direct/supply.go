package direct

import (
	"time"

	"skylarklead/internal/admit"
	"skylarklead/internal/fleet"
	"skylarklead/internal/member"
)

// closed returns when the replicas of a service that could take a request for a model take
// something again, if none of them does now and of each it is known why. The caller holds mu.
func (s *state) closed(service *fleet.Service, model string, now time.Duration) (admit.Supply, bool) {
	var supply admit.Supply
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
func (s *state) opening(id string, now time.Duration) (admit.Opening, bool) {
	opening := admit.Opening{At: max(s.replicas.BackoffUntil(id), s.limits.Next(id, now)), Rate: admit.Unlimited}
	if limit, limited := s.limits.State(id, now); limited {
		opening.Rate = limit.Share
	}
	return opening, opening.At > now
}

// refuseBeyond ends the wait of those for whom the replicas will have no place in time, the
// last in turn first. The caller holds mu.
func (s *state) refuseBeyond(g *gate, now time.Duration) {
	t := g.line.Next(now)
	if t == nil {
		return
	}
	j := t.Value.(*job)
	supply, closed := s.closed(j.service, j.asked.Model, now)
	if !closed {
		return
	}
	for _, t := range g.line.Trim(supply.Places(t.GiveUp), now) {
		j := t.Value.(*job)
		j.openIn = max(comeBack, supply.Wait(g.line.Len()+1, now))
		j.turn <- nil
	}
}
