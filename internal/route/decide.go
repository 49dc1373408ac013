package route

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"skylarklead/internal/rendezvous"
)

// Why a candidate was excluded, as shown in candidate lists and logs.
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
	reasonHolder    = "holder"
	reasonWidened   = "widened"
	reasonSpill     = "spill"
	reasonNewPrefix = "new_prefix"
	reasonLeastCost = "least_cost"
	reasonSuspect   = "suspect"
)

// candidate is the state of one endpoint during a decision.
type candidate struct {
	endpoint         int
	slot             uint16
	excluded         string
	cachedTokens     int
	waitMs           float64 // ms until a running slot is free and the prefill ahead is done
	copyCostMs       float64 // ms to compute the uncached tokens, cost of evictions included
	score            float64 // ms
	isHolder         bool    // holds the prefix that binds the query
	active           bool    // one of the holders in use
	rendezvousWeight uint64  // rendezvous weight of a holder, set if some holders are left out
	overShare        bool    // the organisation would exceed its share of this cache
}

// Decide picks the executor of q. endpoints is the whole group, in any order.
func (r *Router) Decide(now time.Duration, rng *rand.Rand, q *Query, endpoints []Endpoint) Result {
	if q.Poison {
		return refusePoison()
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

// filter fills r.candidates with all endpoints and marks those that can't run q.
func (r *Router) filter(q *Query, endpoints []Endpoint) {
	r.candidates = r.candidates[:0]
	for i := range endpoints {
		e := &endpoints[i]
		s := r.table.slotOf(e.ID)
		r.table.identify(s, e.Epoch, e.Load.Incarnation, e.Load.Version)
		r.learnOutput(&e.Load)
		r.candidates = append(r.candidates, candidate{
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
	r.cachedBySlot = slices.Grow(r.cachedBySlot[:0], len(t.slots))[:len(t.slots)]
	clear(r.cachedBySlot)
	for _, l := range q.Levels {
		n, ok := t.index[l.Hash]
		if !ok {
			continue
		}
		for h := t.nodes[n].holders; h != none; h = t.holders[h].next {
			holder := &t.holders[h]
			if t.live(now, holder) {
				r.cachedBySlot[holder.slot] = max(r.cachedBySlot[holder.slot], holder.tokens)
			}
		}
	}
	r.boundNode = r.findBoundNode(now, q)
	for i := range r.candidates {
		c := &r.candidates[i]
		c.cachedTokens = min(int(r.cachedBySlot[c.slot]), q.PromptTokens)
		if r.boundNode != none {
			h := t.find(r.boundNode, c.slot)
			c.isHolder = h != nil && t.live(now, h)
		}
	}
}

// maxBoundLevel is the index of the deepest level that may bind a query. Deeper ones get too few
// requests to need a holder set.
const maxBoundLevel = 2

// findBoundNode returns the node whose holder set binds q: the deepest level that has a holder
// and covers at least two thirds of the shared part of q. A request for a known document thus
// goes where the document's prefix is cached, while one for a new document is placed freely: the
// part that it has in common with the organisation's other documents is no reason to have them
// all in one cache.
func (r *Router) findBoundNode(now time.Duration, q *Query) int32 {
	if len(q.Levels) == 0 {
		return none
	}
	shared := q.Levels[len(q.Levels)-1].Tokens
	for i := min(maxBoundLevel, len(q.Levels)-1); i >= 0; i-- {
		n, ok := r.table.index[q.Levels[i].Hash]
		if ok && 3*q.Levels[i].Tokens >= 2*shared && r.table.isHeld(now, n) {
			return n
		}
	}
	return none
}

// pick chooses among the candidates that are not excluded.
func (r *Router) pick(now time.Duration, rng *rand.Rand, q *Query, endpoints []Endpoint) (int, string) {
	best := r.best(rng, func(*candidate) bool { return true })
	if best >= 0 && q.Suspect {
		return r.pickSuspect(now, q, endpoints), reasonSuspect
	}
	if best < 0 || len(q.Levels) == 0 {
		return best, reasonLeastCost
	}
	if r.holders() == 0 {
		if inShare := r.best(rng, func(c *candidate) bool { return !c.overShare }); inShare >= 0 {
			return inShare, reasonNewPrefix
		}
		return best, reasonNewPrefix
	}
	return r.pickAmongHolders(now, rng, q, endpoints)
}

// pickAmongHolders keeps a prefix on its holders in use, unless a holder is to be added or the
// best holder would cost more than another endpoint by a wide margin.
func (r *Router) pickAmongHolders(now time.Duration, rng *rand.Rand, q *Query, endpoints []Endpoint) (int, string) {
	h := r.heat(now, r.boundNode)
	inUse := r.activate(h, endpoints)
	heldIndex := r.best(rng, func(c *candidate) bool { return c.active })
	otherIndex := r.best(rng, func(c *candidate) bool { return !c.active && !c.overShare })
	if otherIndex < 0 {
		return heldIndex, reasonHolder
	}
	heldCandidate, otherCandidate := &r.candidates[heldIndex], &r.candidates[otherIndex]
	h.observe(now, &r.params, holderView{
		activeHolders: inUse,
		waitMs:        heldCandidate.waitMs,
		otherWaitMs:   otherCandidate.waitMs,
		copyCostMs:    otherCandidate.copyCostMs - heldCandidate.copyCostMs,
		workMs:        r.engineMs(q, heldCandidate.cachedTokens),
	})
	switch {
	case inUse < h.holders && otherCandidate.waitMs < heldCandidate.waitMs:
		return otherIndex, reasonWidened
	case heldCandidate.score > spillFactor*otherCandidate.score+ms(r.params.WidenWait):
		return otherIndex, reasonSpill
	}
	return heldIndex, reasonHolder
}

// spillFactor is how many times worse than another endpoint the best holder must be for a single
// request to leave the holder set.
const spillFactor = 2

func (r *Router) heat(now time.Duration, n int32) *heat {
	h := r.table.heats[n]
	if h == nil {
		h = &heat{holders: 1, wait: smoothedWait{at: now}}
		r.table.heats[n] = h
	}
	return h
}

// holders counts the candidates that hold the prefix and can run the query.
func (r *Router) holders() int {
	count := 0
	for i := range r.candidates {
		if r.candidates[i].excluded == "" && r.candidates[i].isHolder {
			count++
		}
	}
	return count
}

// activate marks the holders in use, as many as h allows, and returns their number. If there are
// more, those that are first in rendezvous order stay, so that every decision leaves out the same
// ones and their copies can expire.
func (r *Router) activate(h *heat, endpoints []Endpoint) int {
	count := r.holders()
	excess := max(0, count-h.holders)
	key := uint64(r.table.nodes[r.boundNode].hash)
	for i := range r.candidates {
		c := &r.candidates[i]
		c.active = c.excluded == "" && c.isHolder
		if c.active && excess > 0 {
			c.rendezvousWeight = rendezvous.Weight(key, endpoints[c.endpoint].ID)
		}
	}
	for range excess {
		r.candidates[r.lowestRank()].active = false
	}
	return count - excess
}

// lowestRank returns the active candidate that is last in rendezvous order.
func (r *Router) lowestRank() int {
	lowest := -1
	for i := range r.candidates {
		c := &r.candidates[i]
		if c.active && (lowest < 0 || c.rendezvousWeight < r.candidates[lowest].rendezvousWeight) {
			lowest = i
		}
	}
	return lowest
}

// best returns the candidate with the lowest score among those that pass, or -1. One within
// TieMargin of it is chosen at random: otherwise every owner would use endpoints with similar
// scores in the same order.
func (r *Router) best(rng *rand.Rand, pass func(*candidate) bool) int {
	low := math.Inf(1)
	for i := range r.candidates {
		c := &r.candidates[i]
		if c.excluded == "" && pass(c) {
			low = min(low, c.score)
		}
	}
	chosen, equals := -1, 0
	for i := range r.candidates {
		c := &r.candidates[i]
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

// leastBusy returns the candidate with the fewest requests, or -1.
func (r *Router) leastBusy() int {
	chosen, least := -1, 0.0
	for i := range r.candidates {
		c := &r.candidates[i]
		requests := r.table.slots[c.slot].occupancy.estimate.requests
		if c.excluded == "" && (chosen < 0 || requests < least) {
			chosen, least = i, requests
		}
	}
	return chosen
}

// pickSuspect picks where a suspect runs: where a copy of it was placed before, so that one copy runs at a
// time, else where the least work would be lost.
func (r *Router) pickSuspect(now time.Duration, q *Query, endpoints []Endpoint) int {
	if last, known := r.suspects.Get(q.Fingerprint); known && now-last.at < suspectStays {
		for i := range r.candidates {
			if c := &r.candidates[i]; c.excluded == "" && endpoints[c.endpoint].ID == last.endpoint {
				return i
			}
		}
	}
	chosen := r.leastBusy()
	r.suspects.Add(q.Fingerprint, suspectPlacement{endpoints[r.candidates[chosen].endpoint].ID, now})
	return chosen
}

// commit records the decision in the table and counts the request as in flight.
func (r *Router) commit(now time.Duration, q *Query, chosen int) {
	c := &r.candidates[chosen]
	organisation := OrganisationHash(q.Organisation)
	s := &r.table.slots[c.slot]
	requests := r.serviceMs(q) / r.meanServiceMs(q)
	if q.Suspect {
		// A suspect runs alone and so takes every running slot. If it were counted as one
		// request, all the suspects of a crash would queue at the same idle endpoint.
		requests *= float64(r.params.MaxRunning)
	}
	s.occupancy.add(now, amount{
		requests:  requests,
		prefillMs: float64(q.PromptTokens-c.cachedTokens) * r.prefillMs(),
	})
	s.served.add(now, r.params.HeatHalfLife, float64(c.cachedTokens))
	r.serviceLoads.add(now, shareKey{organisation, c.slot}, c.waitMs+r.serviceMs(q))
	r.table.recordDecision(now, organisation, q.Levels, c.slot)
}
