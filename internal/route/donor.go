package route

import (
	"slices"
	"time"

	"skylarklead/internal/prefix"
	"skylarklead/internal/protocol"
)

// donor names the endpoint that the chosen one is to import a prefix from, or nil
// if none holds more of it or computing is cheaper. Only what an engine's own
// events or answers have confirmed counts as held: a prediction may be of a
// request that is still being computed, and its blocks not there.
func (r *Router) donor(now time.Duration, q *Query, chosen int, endpoints []Endpoint) *protocol.Donor {
	if r.params.TransferTokensPerSecond <= 0 || q.Suspect {
		return nil
	}
	executor := &endpoints[r.scratch[chosen].endpoint]
	best, level, gain := -1, prefix.Level{}, 0.0
	for i := range r.scratch {
		c := &r.scratch[i]
		e := &endpoints[c.endpoint]
		if i == chosen || !mayDonate(q, e) {
			continue
		}
		held := r.table.confirmedLevel(now, q.Levels, c.slot)
		saved := r.transferGain(held.Tokens-r.scratch[chosen].cached, e.FailureDomain != executor.FailureDomain)
		if saved > gain {
			best, level, gain = c.endpoint, held, saved
		}
	}
	if best < 0 {
		return nil
	}
	e := &endpoints[best]
	return &protocol.Donor{
		Target:      protocol.Target{Endpoint: e.ID, Epoch: e.Epoch},
		Incarnation: e.Load.Incarnation,
		Version:     e.Load.Version,
		Level:       level,
	}
}

// mayDonate reports whether an endpoint's engine is known to be up, by name, with
// the weights that q asks for. One that is leaving may: its
// prefixes are wanted elsewhere right then.
func mayDonate(q *Query, e *Endpoint) bool {
	return (e.Alive || e.Leaving) && !slices.Contains(q.Exclude, e.ID) && e.HasLoad && e.Load.EngineUp && e.Load.Incarnation != "" &&
		e.Load.Model == q.Model && e.Load.Version == q.Version && q.Version != ""
}

// transferGain is the milliseconds that importing so many tokens saves over
// computing them, negative if it takes longer.
func (r *Router) transferGain(tokens int, otherDomain bool) float64 {
	p := &r.params
	cost := ms(p.TransferSetup) + float64(tokens)*1000/p.TransferTokensPerSecond
	if otherDomain {
		cost += 2 * ms(p.CrossingCost)
	}
	return float64(tokens)*r.prefillMs() - cost
}

// confirmedLevel is the deepest level that slot s is confirmed to hold whole.
func (t *Table) confirmedLevel(now time.Duration, levels []prefix.Level, s uint16) (deepest prefix.Level) {
	for _, l := range levels {
		n, ok := t.index[l.Hash]
		if !ok {
			continue
		}
		if h := t.find(n, s); h != nil && h.confirmed && t.live(now, h) && int(h.tokens) >= l.Tokens {
			deepest = l
		}
	}
	return deepest
}
