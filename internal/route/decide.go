package route

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"skylarklead/internal/wire"
)

// Why a candidate was filtered out, as candidates and logs show it.
const (
	excludedDead        = "dead"
	excludedLeaving     = "leaving"
	excludedEngineDown  = "engine_down"
	excludedModel       = "other_model"
	excludedVersion     = "other_version"
	excludedFailed      = "already_failed"
	excludedCrashed     = "crashed_by_request"
	excludedQuarantined = "quarantined"
)

// Reasons of a decision.
const (
	reasonHolder  = "holder"
	reasonWidened = "widened"
	reasonSpill   = "spill"
	reasonNew     = "new_prefix"
	reasonLoad    = "least_cost"
	reasonSuspect = "suspect"
)

// candidate is one endpoint while a decision is made.
type candidate struct {
	endpoint int
	slot     uint16
	excluded string
	cached   int
	wait     float64 // ms
	score    float64 // ms
	holder   bool
	full     bool // the organisation is over its share of this cache
}

// Router decides for the prefixes that its process owns.
type Router struct {
	params  Params
	table   *Table
	scratch []candidate
	cached  []int32 // by slot, tokens of this query
}

// NewRouter returns a Router that knows nothing yet.
func NewRouter(p Params) *Router {
	r := &Router{params: p.withDefaults()}
	r.table = newTable(&r.params)
	return r
}

// Table returns the router's table, for explanations and tests.
func (r *Router) Table() *Table { return r.table }

// Finished takes the engine's own account of a request.
func (r *Router) Finished(now time.Duration, f Finished) {
	s, ok := r.table.bySlot[f.Endpoint]
	if !ok || r.table.slots[s].epoch != f.Epoch || !f.Ran {
		return
	}
	r.table.finished(now, organisationHash(f.Organisation), f.Levels, s)
	r.table.slots[s].served.add(now, r.params.HeatHalfLife, float64(f.CachedTokens))
}

// Advertised takes an endpoint's word on what its engine holds.
func (r *Router) Advertised(now time.Duration, a Advertised) {
	s := r.table.slotOf(a.Endpoint)
	r.table.identify(s, a.Epoch, a.Incarnation, a.Version)
	r.table.advertised(now, s, a)
}

// EndpointGone forgets an endpoint.
func (r *Router) EndpointGone(endpoint string) { r.table.gone(endpoint) }

// Decide picks the executor of q. Endpoints is the whole group, in any order.
func (r *Router) Decide(now time.Duration, rng *rand.Rand, q *Query, endpoints []Endpoint) Result {
	if q.GivenUp {
		return Result{Reason: "given_up", Refusal: &wire.Refusal{
			Code: wire.CodeGivenUp, Message: "the request crashed several engines", Ran: wire.Unknown,
		}}
	}
	r.filter(q, endpoints)
	r.findCached(now, q)
	r.score(now, q, endpoints)
	best, reason := r.pick(now, rng, q)
	if best < 0 {
		return r.refuse(endpoints)
	}
	r.commit(now, q, best)
	return r.result(best, reason, q, endpoints)
}

// filter fills scratch with all endpoints and says which can't run q.
func (r *Router) filter(q *Query, endpoints []Endpoint) {
	r.scratch = r.scratch[:0]
	for i := range endpoints {
		e := &endpoints[i]
		s := r.table.slotOf(e.ID)
		r.table.identify(s, e.Epoch, e.Load.Incarnation, e.Load.Version)
		r.scratch = append(r.scratch, candidate{
			endpoint: i,
			slot:     s,
			excluded: exclusion(q, e),
		})
	}
}

func exclusion(q *Query, e *Endpoint) string {
	switch {
	case !e.Alive:
		return excludedDead
	case e.Leaving:
		return excludedLeaving
	case e.Quarantined:
		return excludedQuarantined
	case slices.Contains(q.Crashed, e.ID):
		return excludedCrashed
	case slices.Contains(q.Exclude, e.ID):
		return excludedFailed
	case !e.HasLoad:
		return ""
	case !e.Load.EngineUp:
		return excludedEngineDown
	case differs(e.Load.Model, q.Model):
		return excludedModel
	case differs(e.Load.Version, q.Version):
		return excludedVersion
	}
	return ""
}

// findCached sets how much of the prompt each candidate's engine holds.
func (r *Router) findCached(now time.Duration, q *Query) {
	t := r.table
	r.cached = slices.Grow(r.cached[:0], len(t.slots))[:len(t.slots)]
	clear(r.cached)
	for _, l := range q.Levels {
		n, ok := t.index[l.Hash]
		if !ok {
			continue
		}
		for h := t.nodes[n].holders; h != none; h = t.holders[h].next {
			holder := &t.holders[h]
			if t.live(now, holder) {
				r.cached[holder.slot] = max(r.cached[holder.slot], holder.tokens)
			}
		}
	}
	key := r.keyNode(q)
	for i := range r.scratch {
		c := &r.scratch[i]
		c.cached = min(int(r.cached[c.slot]), q.PromptTokens)
		if key != none {
			h := t.find(key, c.slot)
			c.holder = h != nil && t.live(now, h)
		}
	}
}

// keyNode is the node whose holder set binds q: its second level if it has one,
// else its first. Deeper levels are single cases, too cool to need a set.
func (r *Router) keyNode(q *Query) int32 {
	if len(q.Levels) == 0 {
		return none
	}
	n, ok := r.table.index[q.Levels[min(1, len(q.Levels)-1)].Hash]
	if !ok {
		return none
	}
	return n
}

// score sets the expected milliseconds to first token at each candidate, with
// what the placement costs others.
func (r *Router) score(now time.Duration, q *Query, endpoints []Endpoint) {
	p := &r.params
	owner := organisationHash(q.Organisation)
	for i := range r.scratch {
		c := &r.scratch[i]
		if c.excluded != "" {
			continue
		}
		e := &endpoints[c.endpoint]
		uncached := float64(q.PromptTokens - c.cached)
		c.wait = r.wait(now, c, e)
		c.score = uncached/p.PrefillTokensPerSecond*1000 + c.wait
		if q.FailureDomain != "" && e.FailureDomain != q.FailureDomain {
			c.score += 2 * ms(p.CrossingCost)
		}
		c.score += uncached * r.evictionPrice(now, c, e)
		total := r.cacheTokens(e)
		held := r.table.shares[shareKey{owner, c.slot}]
		c.full = !c.holder && float64(held)+uncached > p.MaxShare*float64(total)
	}
}

// wait estimates the time until a place and the prefill before it are free.
func (r *Router) wait(now time.Duration, c *candidate, e *Endpoint) float64 {
	p := &r.params
	w := r.table.slots[c.slot].pending.since(now, e.LoadAge)
	prefill := float64(e.Load.QueuedTokens + w.prefill)
	wait := prefill / p.PrefillTokensPerSecond * 1000
	requests := e.Load.Running + e.Load.Queued + w.requests
	over := requests + 1 - p.MaxRunning
	if over <= 0 || requests == 0 {
		return wait
	}
	mean := float64(e.Load.DecodeTokens+w.decode) / float64(requests)
	return wait + float64(over)/float64(p.MaxRunning)*mean*ms(p.DecodeTokenTime)
}

// evictionPrice is the harm, in milliseconds for each token stored, of evicting
// what the engine holds: the prefill that an evicted token would have saved
// within the horizon, weighted by how full the cache is.
func (r *Router) evictionPrice(now time.Duration, c *candidate, e *Endpoint) float64 {
	p := &r.params
	total := float64(r.cacheTokens(e))
	pressure := 1.0
	if e.Load.CacheTotal > 0 {
		used := float64(e.Load.CacheUsed) / float64(e.Load.CacheTotal)
		pressure = min(1, max(0, (used-freeCache)/(1-freeCache)))
	}
	rate := r.table.slots[c.slot].served.rate(now, p.HeatHalfLife)
	hits := min(1, rate/total*p.CacheHorizon.Seconds())
	return pressure * hits / p.PrefillTokensPerSecond * 1000
}

// freeCache is the used share below which storing evicts nothing.
const freeCache = 0.8

func (r *Router) cacheTokens(e *Endpoint) int {
	if e.Load.CacheTotal > 0 {
		return e.Load.CacheTotal
	}
	return r.params.CacheTokens
}

// pick chooses among the candidates that are left.
func (r *Router) pick(now time.Duration, rng *rand.Rand, q *Query) (int, string) {
	all := r.best(rng, func(*candidate) bool { return true })
	if all < 0 {
		return -1, ""
	}
	if q.Suspect {
		return r.quietest(), reasonSuspect
	}
	if len(q.Levels) == 0 {
		return all, reasonLoad
	}
	inShare := r.best(rng, func(c *candidate) bool { return !c.full })
	if inShare < 0 {
		inShare = all
	}
	held := r.best(rng, func(c *candidate) bool { return c.holder })
	if held < 0 {
		return inShare, reasonNew
	}
	return r.amongHolders(now, q, held, inShare)
}

// amongHolders keeps a prefix on its holders unless its holder set is to grow,
// or the best of them would cost more than computing it elsewhere by a wide
// margin.
func (r *Router) amongHolders(now time.Duration, q *Query, held, other int) (int, string) {
	p := &r.params
	n := r.keyNode(q)
	h := r.table.heats[n]
	if h == nil {
		h = &heat{}
		r.table.heats[n] = h
	}
	count := 0
	for i := range r.scratch {
		if r.scratch[i].excluded == "" && r.scratch[i].holder {
			count++
		}
	}
	best := &r.scratch[held]
	h.observe(now, p, r.cost(q, best.cached), best.wait, count)
	if r.scratch[other].holder || r.scratch[other].score >= best.score {
		return held, reasonHolder
	}
	if count < h.holders {
		return other, reasonWidened
	}
	if best.score > spillFactor*r.scratch[other].score+ms(p.WidenWait) {
		return other, reasonSpill
	}
	return held, reasonHolder
}

// spillFactor is how much worse the best holder must be than another endpoint
// for a single request to leave the holder set.
const spillFactor = 2

// cost is a request's engine time in milliseconds.
func (r *Router) cost(q *Query, cached int) float64 {
	uncached := float64(q.PromptTokens - cached)
	return uncached/r.params.PrefillTokensPerSecond*1000 + float64(q.MaxTokens)/2*ms(r.params.DecodeTokenTime)
}

// best returns the candidate with the lowest score among those that pass, any
// of the near-equal ones at random: endpoints that score alike would otherwise
// all be asked in the same order by every owner.
func (r *Router) best(rng *rand.Rand, pass func(*candidate) bool) int {
	low := math.Inf(1)
	for i := range r.scratch {
		c := &r.scratch[i]
		if c.excluded == "" && pass(c) {
			low = min(low, c.score)
		}
	}
	chosen, equals := -1, 0
	for i := range r.scratch {
		c := &r.scratch[i]
		if c.excluded != "" || !pass(c) || c.score > low+ms(r.params.TieMargin) {
			continue
		}
		equals++
		if rng.IntN(equals) == 0 {
			chosen = i
		}
	}
	return chosen
}

// quietest returns the candidate with the least work to lose.
func (r *Router) quietest() int {
	chosen := -1
	for i := range r.scratch {
		c := &r.scratch[i]
		if c.excluded == "" && (chosen < 0 || c.wait < r.scratch[chosen].wait) {
			chosen = i
		}
	}
	return chosen
}

// commit notes the decision in the table and as work in flight.
func (r *Router) commit(now time.Duration, q *Query, chosen int) {
	c := &r.scratch[chosen]
	r.table.decided(now, organisationHash(q.Organisation), q.Levels, c.slot)
	r.table.slots[c.slot].pending.add(now, work{
		requests: 1,
		prefill:  q.PromptTokens - c.cached,
		decode:   q.MaxTokens / 2,
	})
}

// result explains a decision.
func (r *Router) result(chosen int, reason string, q *Query, endpoints []Endpoint) Result {
	c := r.scratch[chosen]
	e := &endpoints[c.endpoint]
	return Result{
		Executor:        e.ID,
		Epoch:           e.Epoch,
		Reason:          reason,
		PredictedCached: c.cached,
		Suspect:         q.Suspect,
		Candidates:      r.explain(chosen, endpoints),
	}
}

// explain lists the chosen candidate, then the others by score, the excluded
// ones last.
func (r *Router) explain(chosen int, endpoints []Endpoint) []wire.Candidate {
	if chosen >= 0 {
		r.scratch[0], r.scratch[chosen] = r.scratch[chosen], r.scratch[0]
	}
	rest := r.scratch
	if chosen >= 0 {
		rest = rest[1:]
	}
	slices.SortFunc(rest, compareCandidates)
	n := min(len(r.scratch), MaxCandidates)
	list := make([]wire.Candidate, n)
	for i := range list {
		c := &r.scratch[i]
		list[i] = wire.Candidate{
			Endpoint:     endpoints[c.endpoint].ID,
			Excluded:     c.excluded,
			Score:        c.score,
			CachedTokens: c.cached,
			WaitMs:       c.wait,
		}
	}
	return list
}

func compareCandidates(a, b candidate) int {
	if (a.excluded == "") != (b.excluded == "") {
		if a.excluded == "" {
			return -1
		}
		return 1
	}
	switch {
	case a.score < b.score:
		return -1
	case a.score > b.score:
		return 1
	}
	return a.endpoint - b.endpoint
}

// refuse says that no endpoint can run the request, and why.
func (r *Router) refuse(endpoints []Endpoint) Result {
	why := "the group has no endpoint"
	if len(r.scratch) > 0 {
		why = fmt.Sprintf("none of %d endpoints can run it, the first is %s", len(r.scratch), r.scratch[0].excluded)
	}
	return Result{
		Reason:     "no_endpoint",
		Candidates: r.explain(-1, endpoints),
		Refusal: &wire.Refusal{
			Code:         wire.CodeNoEndpoint,
			Message:      why,
			Ran:          wire.NotRun,
			RetryAfterMs: noEndpointRetryAfter.Milliseconds(),
		},
	}
}

// noEndpointRetryAfter is about the time in which a group finds a new member.
const noEndpointRetryAfter = 2 * time.Second
