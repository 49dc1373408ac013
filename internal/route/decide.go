package route

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"skylarklead/internal/rendezvous"
)

// Why a candidate was filtered out, as candidates and logs show it.
const (
	excludedDead       = "dead"
	excludedLeaving    = "leaving"
	excludedEngineDown = "engine_down"
	excludedModel      = "other_model"
	excludedVersion    = "other_version"
	excludedFailed     = "already_failed"
	excludedCrashed    = "crashed_by_request"
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
	copying  float64 // ms, of computing what it lacks, harm to others included
	score    float64 // ms
	holder   bool    // of the prefix that binds the query
	active   bool    // among the holders in use
	rank     uint64  // of a holder, in rendezvous order
	full     bool    // the organisation is over its share of this cache
}

// Decide picks the executor of q. Endpoints is the whole group, in any order.
func (r *Router) Decide(now time.Duration, rng *rand.Rand, q *Query, endpoints []Endpoint) Result {
	if q.Poison {
		return refuseGivenUp()
	}
	r.filter(q, endpoints)
	r.findCached(now, q)
	r.score(now, q, endpoints)
	chosen, reason := r.pick(now, rng, q, endpoints)
	if chosen < 0 {
		return r.refuse(endpoints)
	}
	donor := r.donor(now, q, chosen, endpoints)
	r.commit(now, q, chosen)
	result := r.result(chosen, reason, q, endpoints)
	result.Donor = donor
	return result
}

// filter fills scratch with all endpoints and says which can't run q.
func (r *Router) filter(q *Query, endpoints []Endpoint) {
	r.scratch = r.scratch[:0]
	for i := range endpoints {
		e := &endpoints[i]
		s := r.table.slotOf(e.ID)
		r.table.identify(s, e.Epoch, e.Load.Incarnation, e.Load.Version)
		r.learnOutput(&e.Load)
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
	r.key = r.keyNode(now, q)
	for i := range r.scratch {
		c := &r.scratch[i]
		c.cached = min(int(r.cached[c.slot]), q.PromptTokens)
		if r.key != none {
			h := t.find(r.key, c.slot)
			c.holder = h != nil && t.live(now, h)
		}
	}
}

// maxKeyLevel is the deepest level that may bind a query; deeper ones are too
// cool to need a holder set.
const maxKeyLevel = 2

// keyNode is the node whose holder set binds q: the deepest level with a holder,
// if it is at least two thirds of all that q shares. A new case thus goes to where its
// charter is held, while a new charter is placed freely: what it has in common
// with its organisation's others is no reason to have them all in one cache.
func (r *Router) keyNode(now time.Duration, q *Query) int32 {
	if len(q.Levels) == 0 {
		return none
	}
	shared := q.Levels[len(q.Levels)-1].Tokens
	for i := min(maxKeyLevel, len(q.Levels)-1); i >= 0; i-- {
		n, ok := r.table.index[q.Levels[i].Hash]
		if ok && 3*q.Levels[i].Tokens >= 2*shared && r.table.held(now, n) {
			return n
		}
	}
	return none
}

// pick chooses among the candidates that are left.
func (r *Router) pick(now time.Duration, rng *rand.Rand, q *Query, endpoints []Endpoint) (int, string) {
	best := r.best(rng, func(*candidate) bool { return true })
	if best >= 0 && q.Suspect {
		return r.quietest(), reasonSuspect
	}
	if best < 0 || len(q.Levels) == 0 {
		return best, reasonLoad
	}
	if r.holders() == 0 {
		if inShare := r.best(rng, func(c *candidate) bool { return !c.full }); inShare >= 0 {
			return inShare, reasonNew
		}
		return best, reasonNew
	}
	return r.amongHolders(now, rng, q, endpoints)
}

// amongHolders keeps a prefix on the holders in use unless their number is to
// grow, or the best of them would cost more than another endpoint by a wide
// margin.
func (r *Router) amongHolders(now time.Duration, rng *rand.Rand, q *Query, endpoints []Endpoint) (int, string) {
	h := r.heat(now, r.key)
	inUse := r.activate(h, endpoints)
	held := r.best(rng, func(c *candidate) bool { return c.active })
	other := r.best(rng, func(c *candidate) bool { return !c.active && !c.full })
	if other < 0 {
		return held, reasonHolder
	}
	here, there := &r.scratch[held], &r.scratch[other]
	h.observe(now, &r.params, view{
		held:    inUse,
		wait:    here.wait,
		other:   there.wait,
		copying: there.copying - here.copying,
		work:    r.engineMs(q, here.cached),
	})
	switch {
	case inUse < h.holders && there.wait < here.wait:
		return other, reasonWidened
	case here.score > spillFactor*there.score+ms(r.params.WidenWait):
		return other, reasonSpill
	}
	return held, reasonHolder
}

// spillFactor is how much worse the best holder must be than another endpoint
// for a single request to leave the holder set.
const spillFactor = 2

func (r *Router) heat(now time.Duration, n int32) *heat {
	h := r.table.heats[n]
	if h == nil {
		h = &heat{holders: 1, wait: smooth{at: now}}
		r.table.heats[n] = h
	}
	return h
}

// holders counts the candidates that hold the prefix and can run the query.
func (r *Router) holders() int {
	count := 0
	for i := range r.scratch {
		if r.scratch[i].excluded == "" && r.scratch[i].holder {
			count++
		}
	}
	return count
}

// activate marks the holders in use, as many as the prefix is to have. When it
// has more, the ones first in rendezvous order stay, so that every decision
// leaves out the same ones and their copies can age out.
func (r *Router) activate(h *heat, endpoints []Endpoint) int {
	count := r.holders()
	spare := max(0, count-h.holders)
	key := uint64(r.table.nodes[r.key].hash)
	for i := range r.scratch {
		c := &r.scratch[i]
		c.active = c.excluded == "" && c.holder
		if c.active && spare > 0 {
			c.rank = rendezvous.Weight(key, endpoints[c.endpoint].ID)
		}
	}
	for range spare {
		r.scratch[r.lowestRank()].active = false
	}
	return count - spare
}

// lowestRank returns the active candidate that is last in rendezvous order.
func (r *Router) lowestRank() int {
	lowest := -1
	for i := range r.scratch {
		c := &r.scratch[i]
		if c.active && (lowest < 0 || c.rank < r.scratch[lowest].rank) {
			lowest = i
		}
	}
	return lowest
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
	chosen, least := -1, 0.0
	for i := range r.scratch {
		c := &r.scratch[i]
		requests := r.table.slots[c.slot].occupancy.value.requests
		if c.excluded == "" && (chosen < 0 || requests < least) {
			chosen, least = i, requests
		}
	}
	return chosen
}

// commit notes the decision in the table and as work in flight.
func (r *Router) commit(now time.Duration, q *Query, chosen int) {
	c := &r.scratch[chosen]
	owner := OrganisationHash(q.Organisation)
	s := &r.table.slots[c.slot]
	requests := r.serviceMs(q) / r.meanServiceMs(q)
	if q.Suspect {
		// It runs alone and so takes every place. Counted as one request, all
		// the suspects of a crash would queue for the same quiet endpoint.
		requests *= float64(r.params.MaxRunning)
	}
	s.occupancy.add(now, amount{
		requests: requests,
		prefill:  float64(q.PromptTokens-c.cached) * r.prefillMs(),
	})
	s.served.add(now, r.params.HeatHalfLife, float64(c.cached))
	r.flights.add(now, shareKey{owner, c.slot}, c.wait+r.serviceMs(q))
	r.table.decided(now, owner, q.Levels, c.slot)
}
