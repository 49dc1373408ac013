package route

import (
	"slices"
	"time"

	"skylarklead/internal/prefix"
	"skylarklead/internal/protocol"
)

// donor returns the endpoint from which the chosen one should import a prefix, or nil if none
// holds more of it or computing it is cheaper. Only levels confirmed by an engine's own events or
// answers count as held: a predicted one may belong to a request that is still being computed,
// whose blocks aren't there yet.
func (r *Router) donor(now time.Duration, q *Query, chosen int, endpoints []Endpoint) *protocol.Donor {
	if r.params.TransferTokensPerSecond <= 0 || q.Suspect {
		return nil
	}
	executor := &endpoints[r.candidates[chosen].endpoint]
	best, level, gain := -1, prefix.Level{}, 0.0
	for i := range r.candidates {
		c := &r.candidates[i]
		e := &endpoints[c.endpoint]
		if i == chosen || !mayDonate(q, e) {
			continue
		}
		held := r.table.confirmedLevel(now, q.Levels, c.slot)
		saved := r.transferGain(held.Tokens-r.candidates[chosen].cachedTokens, e.FailureDomain != executor.FailureDomain)
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

// mayDonate reports whether an endpoint's engine is known to be up, in a known incarnation and
// with the weights that q asks for. An endpoint that is leaving may donate: its prefixes are
// needed elsewhere at that moment.
func mayDonate(q *Query, e *Endpoint) bool {
	return (e.Alive || e.Leaving) && !slices.Contains(q.Exclude, e.ID) && e.HasLoad && e.Load.EngineUp && e.Load.Incarnation != "" &&
		e.Load.Model == q.Model && e.Load.Version == q.Version && q.Version != ""
}

// transferGain is the milliseconds that importing tokens saves over computing them, negative if
// importing takes longer.
func (r *Router) transferGain(tokens int, otherDomain bool) float64 {
	p := &r.params
	cost := ms(p.TransferSetup) + float64(tokens)*1000/p.TransferTokensPerSecond
	if otherDomain {
		cost += 2 * ms(p.CrossDomainDelay)
	}
	return float64(tokens)*r.prefillMs() - cost
}

// confirmedLevel is the deepest level that slot s is confirmed to hold completely.
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
