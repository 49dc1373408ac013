package route

import (
	"math"
	"slices"
	"time"

	"skylarklead/internal/protocol"
)

// score sets the cost of each candidate: the expected milliseconds to the first token, plus what
// the placement costs other requests.
func (r *Router) score(now time.Duration, q *Query, endpoints []Endpoint) {
	organisation := OrganisationHash(q.Organisation)
	for i := range r.candidates {
		c := &r.candidates[i]
		if c.excluded == "" {
			r.scoreOne(now, q, organisation, c, &endpoints[c.endpoint])
		}
	}
}

func (r *Router) scoreOne(now time.Duration, q *Query, organisation uint64, c *candidate, e *Endpoint) {
	p := &r.params
	k := shareKey{organisation, c.slot}
	uncached := float64(q.PromptTokens - c.cachedTokens)
	c.waitMs = r.wait(now, q, k, e)
	c.copyCostMs = uncached * (r.prefillMs() + r.evictionPrice(now, k, e))
	c.score = c.waitMs + c.copyCostMs
	if q.FailureDomain != "" && e.FailureDomain != q.FailureDomain {
		c.score += 2 * ms(p.CrossDomainDelay)
	}
	shareTokens := r.table.shares[k]
	c.overShare = !c.isHolder && float64(shareTokens)+uncached > p.MaxShare*r.cacheTokens(e)
}

// prefillMs is the engine time to compute one prompt token.
func (r *Router) prefillMs() float64 { return 1000 / r.params.PrefillTokensPerSecond }

// wait estimates the milliseconds until a running slot is free and the prefill ahead is done.
// While there are free slots it is a small cost that rises with the slots taken, since other
// owners may have sent requests that are not reported yet.
func (r *Router) wait(now time.Duration, q *Query, k shareKey, e *Endpoint) float64 {
	capacity, serviceMs := r.params.openCapacity(), r.meanServiceMs(q)
	o := &r.table.slots[k.slot].occupancy
	if e.HasLoad {
		o.report(now, now-e.LoadAge, r.reportedWork(&e.Load), capacity, serviceMs)
	}
	o.advance(now, capacity, serviceMs)
	releaseInterval := serviceMs / capacity
	utilisation := min(1, o.estimate.requests/capacity)
	contention := releaseInterval * utilisation * utilisation * utilisation
	if r.isLight(now, k, e) {
		return contention + lightPrefill(o.estimate, e) + releaseInterval*max(0, min(1, o.estimate.requests+1-capacity))
	}
	return contention + o.estimate.prefillMs + releaseInterval*max(0, o.estimate.requests+1-capacity)
}

// lightPrefill is the prefill ahead of a request of an organisation with little load. Engines
// compute prompts one after another and let such a request overtake only those of heavy
// organisations. After a crash everybody's prompts are recomputed and no organisation is heavy:
// the whole backlog then counts. If only a share of it counted, a holder with half a second of
// prompts ahead would look better than an idle engine that needs a tenth of a second to compute
// the prefix, and all requests bound to that prefix would queue there.
func lightPrefill(v amount, e *Endpoint) float64 {
	if len(e.Load.Heavy) == 0 {
		return v.prefillMs
	}
	return v.prefillMs / max(1, v.requests)
}

// reportedWork is the work in a load summary, in requests of mean output.
func (r *Router) reportedWork(l *protocol.Load) amount {
	requests := float64(l.Running + l.Queued)
	if r.output > 0 {
		requests = float64(l.DecodeTokens) / r.output
	}
	return amount{requests: requests, prefillMs: float64(l.QueuedTokens) * r.prefillMs()}
}

// openCapacity is the number of running slots not reserved for organisations with little load.
func (p *Params) openCapacity() float64 {
	return max(1, math.Floor(float64(p.MaxRunning)*(1-p.SmallReserve)))
}

// serviceMs is how long q is expected to occupy a running slot.
func (r *Router) serviceMs(q *Query) float64 {
	return max(minServiceMs, r.expectedOutput(q)*ms(r.params.DecodeTokenTime))
}

// meanServiceMs is the mean service time of the group's requests, or that of q if it isn't known.
func (r *Router) meanServiceMs(q *Query) float64 {
	if r.output == 0 {
		return r.serviceMs(q)
	}
	return max(minServiceMs, r.output*ms(r.params.DecodeTokenTime))
}

// isLight reports whether an organisation waits at most for one running slot: it gets a reserved
// slot or the next free one, and its prompts are computed first. That holds unless the endpoint
// reports it as heavy, or the requests that this owner sent there for it are estimated to take half
// of the slots. Without this case, a backlog that a small organisation never has to wait for would
// move its requests away from the holder of their prefix.
func (r *Router) isLight(now time.Duration, k shareKey, e *Endpoint) bool {
	if slices.Contains(e.Load.Heavy, k.organisation) {
		return false
	}
	return r.serviceLoads.estimate(now, k) < float64(r.params.MaxRunning)/2
}

// evictionPrice is the cost of evicting cached blocks, in milliseconds for each token stored: the
// prefill that an evicted token would have saved within CacheHorizon, weighted by how full the
// cache is. It rises with the share of the cache that the organisation already has, so that a
// busy organisation's requests stay where they are cached and don't fill every cache that holds
// its prefixes.
func (r *Router) evictionPrice(now time.Duration, k shareKey, e *Endpoint) float64 {
	p := &r.params
	pressure := 1.0
	if e.Load.CacheTotal > 0 {
		used := float64(e.Load.CacheUsed) / float64(e.Load.CacheTotal)
		pressure = min(1, max(0, (used-evictionThreshold)/(1-evictionThreshold)))
	}
	if pressure == 0 {
		return 0
	}
	total := r.cacheTokens(e)
	rate := r.table.slots[k.slot].served.rate(now, p.HeatHalfLife)
	hits := min(1, rate/total*p.CacheHorizon.Seconds())
	shareUsed := float64(r.table.shares[k]) / (p.MaxShare * total)
	return pressure * (hits + crowdingSlope*max(0, shareUsed-0.5)) * r.prefillMs()
}

// crowdingSlope is how steeply the price rises with the share beyond half of MaxShare: at
// MaxShare it adds twice the token's prefill.
const crowdingSlope = 4

// evictionThreshold is the used fraction of a cache below which storing evicts nothing.
const evictionThreshold = 0.8

// cacheTokens is the size of an endpoint's cache in tokens.
func (r *Router) cacheTokens(e *Endpoint) float64 {
	if e.Load.CacheTotal > 0 {
		return float64(e.Load.CacheTotal)
	}
	return float64(r.params.CacheTokens)
}

// engineMs is a request's engine time in milliseconds: prefill of the uncached prompt tokens and
// decode of the expected output.
func (r *Router) engineMs(q *Query, cached int) float64 {
	return float64(q.PromptTokens-cached)*r.prefillMs() + r.expectedOutput(q)*ms(r.params.DecodeTokenTime)
}
