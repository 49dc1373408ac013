package route

import (
	"math"
	"slices"
	"time"

	"skylarklead/internal/protocol"
)

// score sets the expected milliseconds to first token at each candidate, with
// what the placement costs others.
func (r *Router) score(now time.Duration, q *Query, endpoints []Endpoint) {
	owner := OrganisationHash(q.Organisation)
	for i := range r.scratch {
		c := &r.scratch[i]
		if c.excluded == "" {
			r.scoreOne(now, q, owner, c, &endpoints[c.endpoint])
		}
	}
}

func (r *Router) scoreOne(now time.Duration, q *Query, owner uint64, c *candidate, e *Endpoint) {
	p := &r.params
	k := shareKey{owner, c.slot}
	uncached := float64(q.PromptTokens - c.cached)
	c.wait = r.wait(now, q, k, e)
	c.copying = uncached * (r.prefillMs() + r.evictionPrice(now, k, e))
	c.score = c.wait + c.copying
	if q.FailureDomain != "" && e.FailureDomain != q.FailureDomain {
		c.score += 2 * ms(p.CrossingCost)
	}
	held := r.table.shares[k]
	c.full = !c.holder && float64(held)+uncached > p.MaxShare*r.cacheTokens(e)
}

// prefillMs is the engine time of computing one prompt token.
func (r *Router) prefillMs() float64 { return 1000 / r.params.PrefillTokensPerSecond }

// wait estimates the milliseconds until a place is free and the prefill before
// it is done. Below the number of places it is a small cost that rises with the
// places taken: others' work that this process doesn't know of may take the rest.
func (r *Router) wait(now time.Duration, q *Query, k shareKey, e *Endpoint) float64 {
	places, service := r.params.openPlaces(), r.meanServiceMs(q)
	o := &r.table.slots[k.slot].occupancy
	if e.HasLoad {
		o.report(now, now-e.LoadAge, r.reported(&e.Load), places, service)
	}
	o.advance(now, places, service)
	turn := service / places
	use := min(1, o.value.requests/places)
	rising := turn * use * use * use
	if r.light(now, k, e) {
		return rising + lightPrefill(o.value, e) + turn*max(0, min(1, o.value.requests+1-places))
	}
	return rising + o.value.prefill + turn*max(0, o.value.requests+1-places)
}

// lightPrefill is the prefill before a request of an organisation that uses little.
// Engines compute prompts one after another and let it pass those of heavy
// organisations only. Taken for a share of the backlog where nobody is heavy, as
// after a crash, when everybody's prompts are computed anew, a holder with half a
// second of prompts before it looks better than an idle engine that needs a tenth
// of one to compute the prefix: all that it binds queues there.
func lightPrefill(v amount, e *Endpoint) float64 {
	if len(e.Load.Heavy) == 0 {
		return v.prefill
	}
	return v.prefill / max(1, v.requests)
}

// reported is the work of a load summary, in requests of mean output.
func (r *Router) reported(l *protocol.Load) amount {
	requests := float64(l.Running + l.Queued)
	if r.output > 0 {
		requests = float64(l.DecodeTokens) / r.output
	}
	return amount{requests: requests, prefill: float64(l.QueuedTokens) * r.prefillMs()}
}

// openPlaces is how many places are not reserved for organisations that use
// little.
func (p *Params) openPlaces() float64 {
	return max(1, math.Floor(float64(p.MaxRunning)*(1-p.SmallReserve)))
}

// serviceMs is how long q will take a place.
func (r *Router) serviceMs(q *Query) float64 {
	return max(minService, r.expectedOutput(q)*ms(r.params.DecodeTokenTime))
}

// meanServiceMs is the mean over the group's requests, of q if there is none.
func (r *Router) meanServiceMs(q *Query) float64 {
	if r.output == 0 {
		return r.serviceMs(q)
	}
	return max(minService, r.output*ms(r.params.DecodeTokenTime))
}

// light reports whether an organisation waits for a place at most: it takes a
// reserved one or the next that is free, and its prompts are computed first. It
// does unless the endpoint has told that it has more than its share there, or has
// half of the places by what was sent since. Without this a small organisation
// would be sent away from the holder of its prefix by a backlog that it never has
// to wait for.
func (r *Router) light(now time.Duration, k shareKey, e *Endpoint) bool {
	if slices.Contains(e.Load.Heavy, k.owner) {
		return false
	}
	return r.flights.read(now, k) < float64(r.params.MaxRunning)/2
}

// evictionPrice is the harm, in milliseconds for each token stored, of evicting
// what the engine holds: the prefill that an evicted token would have saved
// within the horizon, weighted by how full the cache is. It rises with the share
// of the cache that the organisation already has, so that a hot one's cases stay
// where they are and don't fill every cache that holds its charters.
func (r *Router) evictionPrice(now time.Duration, k shareKey, e *Endpoint) float64 {
	p := &r.params
	pressure := 1.0
	if e.Load.CacheTotal > 0 {
		used := float64(e.Load.CacheUsed) / float64(e.Load.CacheTotal)
		pressure = min(1, max(0, (used-freeCache)/(1-freeCache)))
	}
	if pressure == 0 {
		return 0
	}
	total := r.cacheTokens(e)
	rate := r.table.slots[k.slot].served.rate(now, p.HeatHalfLife)
	hits := min(1, rate/total*p.CacheHorizon.Seconds())
	share := float64(r.table.shares[k]) / (p.MaxShare * total)
	return pressure * (hits + crowding*max(0, share-0.5)) * r.prefillMs()
}

// crowding is how steeply the price rises with the share beyond half of what is
// allowed: at the whole of it a token costs twice more than its prefill.
const crowding = 4

// freeCache is the used share below which storing evicts nothing.
const freeCache = 0.8

// cacheTokens is the size of an endpoint's cache.
func (r *Router) cacheTokens(e *Endpoint) float64 {
	if e.Load.CacheTotal > 0 {
		return float64(e.Load.CacheTotal)
	}
	return float64(r.params.CacheTokens)
}

// engineMs is a request's engine time in milliseconds, uncached prompt tokens
// and expected output together.
func (r *Router) engineMs(q *Query, cached int) float64 {
	return float64(q.PromptTokens-cached)*r.prefillMs() + r.expectedOutput(q)*ms(r.params.DecodeTokenTime)
}
