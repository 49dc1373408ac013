package route

import "time"

// score sets the expected milliseconds to first token at each candidate, with
// what the placement costs others.
func (r *Router) score(now time.Duration, q *Query, endpoints []Endpoint) {
	owner := organisationHash(q.Organisation)
	for i := range r.scratch {
		c := &r.scratch[i]
		if c.excluded == "" {
			r.scoreOne(now, q, owner, c, &endpoints[c.endpoint])
		}
	}
}

func (r *Router) scoreOne(now time.Duration, q *Query, owner uint64, c *candidate, e *Endpoint) {
	p := &r.params
	uncached := float64(q.PromptTokens - c.cached)
	c.wait = r.wait(now, q, owner, c, e)
	c.copying = uncached*r.prefillMs() + uncached*r.evictionPrice(now, c, e)
	c.score = c.wait + c.copying
	if q.FailureDomain != "" && e.FailureDomain != q.FailureDomain {
		c.score += 2 * ms(p.CrossingCost)
	}
	held := r.table.shares[shareKey{owner, c.slot}]
	c.full = !c.holder && float64(held)+uncached > p.MaxShare*r.cacheTokens(e)
}

// prefillMs is the engine time of computing one prompt token.
func (r *Router) prefillMs() float64 { return 1000 / r.params.PrefillTokensPerSecond }

// wait estimates the milliseconds until a place is free and the prefill before
// it is done. Below the number of places it is a small cost that rises with the
// places taken: others' work that this process doesn't know of may take the rest.
func (r *Router) wait(now time.Duration, q *Query, owner uint64, c *candidate, e *Endpoint) float64 {
	places, service := float64(r.params.MaxRunning), r.serviceMs(q)
	o := &r.table.slots[c.slot].occupancy
	if e.HasLoad {
		o.report(now, now-e.LoadAge, amount{
			requests: float64(e.Load.Running + e.Load.Queued),
			prefill:  float64(e.Load.QueuedTokens) * r.prefillMs(),
		}, places, service)
	}
	o.advance(now, places, service)
	turn := service / places
	use := min(1, o.value.requests/places)
	wait := o.value.prefill + turn*use*use*use
	if over := o.value.requests + 1 - places; over > 0 {
		wait += turn * min(over, r.turns(now, shareKey{owner, c.slot}, e))
	}
	return wait
}

// serviceMs is how long a request takes a place, in the mean.
func (r *Router) serviceMs(q *Query) float64 {
	return max(minService, r.expectedOutput(q)*ms(r.params.DecodeTokenTime))
}

// turns bounds how many requests are served before one of this organisation at
// a fair queue: its own that wait there, each with one turn of every other
// organisation. Without it a small organisation would be sent away from the
// holder of its prefix by a backlog that it never has to wait for.
func (r *Router) turns(now time.Duration, k shareKey, e *Endpoint) float64 {
	waiting := float64(e.Load.Organisations)
	if waiting == 0 {
		return float64(e.Load.Running + e.Load.Queued + r.params.MaxRunning)
	}
	share := float64(r.params.MaxRunning) / (waiting + 1)
	ownWaiting := max(0, r.flights.read(now, k)-share)
	return 1 + ownWaiting*(waiting+1)
}

// evictionPrice is the harm, in milliseconds for each token stored, of evicting
// what the engine holds: the prefill that an evicted token would have saved
// within the horizon, weighted by how full the cache is.
func (r *Router) evictionPrice(now time.Duration, c *candidate, e *Endpoint) float64 {
	p := &r.params
	pressure := 1.0
	if e.Load.CacheTotal > 0 {
		used := float64(e.Load.CacheUsed) / float64(e.Load.CacheTotal)
		pressure = min(1, max(0, (used-freeCache)/(1-freeCache)))
	}
	if pressure == 0 {
		return 0
	}
	rate := r.table.slots[c.slot].served.rate(now, p.HeatHalfLife)
	hits := min(1, rate/r.cacheTokens(e)*p.CacheHorizon.Seconds())
	return pressure * hits * r.prefillMs()
}

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
