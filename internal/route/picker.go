package route

import (
	"math"
	"math/rand/v2"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"skylarklead/internal/rendezvous"
)

// Picker chooses replicas for a direct entry, which dispatches requests to them itself. It tracks
// the entry's own load at each replica, the loads that peers report, and which prefixes were sent
// where. It does no I/O.
type Picker struct {
	params PickerParams
	rng    *rand.Rand
	loads  map[string]*ownLoad
	peers  *PeerLoads
	// domainAddedTokens counts, by replica, the tokens added to its cache by peers that report
	// directly, not in another failure domain's digest.
	domainAddedTokens map[uint64]float64
	// residency records which levels were sent where; saved, when a prefix was last sent to a KV
	// store, by savedKey. Both include what peers report.
	residency *prefixResidency
	saved     *lru.Cache[uint64, time.Duration]
	// meanRequestTokens is the memory that a running request takes at a replica, averaged over
	// the dispatched requests.
	meanRequestTokens float64
	// stores tracks by how much fetches from each KV store delay requests.
	stores storeDelays
	// engines has the learnt speed of each service's engines.
	engines map[string]*engineSpeed
	// views describe the candidates of the latest pick; the slice is reused.
	views []candidateView
	// outbox has this entry's latest placements, to be sent to its peers.
	outbox []outgoingPlacement
	// tokenMs is the time per output token, learnt from streams that have ended.
	tokenMs float64
}

// NewPicker returns a Picker without any load.
func NewPicker(p PickerParams, rng *rand.Rand) *Picker {
	saved, err := lru.New[uint64, time.Duration](p.MaxLevels)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Picker{
		params: p, rng: rng, peers: NewPeerLoads(p.PeerTTL), loads: map[string]*ownLoad{}, domainAddedTokens: map[uint64]float64{}, engines: map[string]*engineSpeed{},
		stores:    storeDelays{byStore: map[string]*storeDelay{}},
		residency: newPrefixResidency(p.MaxLevels, p.LevelTTL), saved: saved, tokenMs: p.OutputTokenMs,
	}
}

// candidateView is what a pick knows of a candidate.
type candidateView struct {
	replicaKey uint64
	// load is the load of all entries there.
	load Load
	// heldTokens is how many shared tokens it is expected to hold, prefilledTokens how many of
	// them it has already computed.
	heldTokens, prefilledTokens int
	// ownerWeight is its rendezvous weight for the prefix.
	ownerWeight uint64
}

// Pick returns the candidate with the lowest score: the expected wait, the prefill of missing
// shared tokens, and penalties. It returns false if all candidates are excluded, or if peers'
// loads are known and no candidate has both a wait within q.MaxWaitMs and memory for the request; the
// result then tells how many were looked at.
func (p *Picker) Pick(now time.Duration, q *PickQuery, candidates []PickCandidate) (PickResult, bool) {
	p.fillViews(now, q, candidates)
	owner := p.ownerIndex(q, candidates)
	best, bestIndex := PickResult{}, -1
	overBound, leastWaitMs := 0, math.Inf(1)
	sampled := p.sample(q.Sample, len(candidates))
	bounded := q.MaxWaitMs > 0 && p.PeerLoadsKnown(now)
	for i := range candidates {
		c := &candidates[i]
		if containsID(q.Exclude, c.ID) {
			continue
		}
		if sampled != nil && !sampled[i] && i != owner && 2*p.views[i].heldTokens <= q.SharedTokens {
			continue
		}
		choice := p.score(now, q, c, &p.views[i], i == owner)
		if bounded && (choice.WaitMs > q.MaxWaitMs || !fitsMemory(q, c, p.views[i].load)) {
			overBound++
			leastWaitMs = min(leastWaitMs, choice.WaitMs)
			continue
		}
		if bestIndex < 0 || choice.Score < best.Score {
			best, bestIndex = choice, i
		}
	}
	best.CandidateCount, best.OverBound = len(candidates), overBound
	if overBound > 0 {
		best.LeastWaitMs = leastWaitMs
	}
	if bestIndex >= 0 && len(q.Levels) > 0 {
		best.Donor, best.DonorTokens = p.chooseDonor(q, bestIndex, candidates)
	}
	return best, bestIndex >= 0
}

// fillViews computes the views of all candidates.
func (p *Picker) fillViews(now time.Duration, q *PickQuery, candidates []PickCandidate) {
	p.views = p.views[:0]
	holders := p.residency.holders(q.Levels)
	peersKnown := p.PeerLoadsKnown(now)
	for i := range candidates {
		c := &candidates[i]
		v := candidateView{replicaKey: ReplicaKey(c.ID)}
		v.load = p.totalLoad(now, c.ID, v.replicaKey, peersKnown)
		if len(q.Levels) > 0 {
			v.ownerWeight = rendezvous.Weight(q.prefixKey(), c.ID)
			capacity := p.cacheCapacity(c, v.load)
			v.heldTokens, v.prefilledTokens = p.heldTokens(now, q, holders, v.replicaKey, capacity, p.donorCapacity(c, capacity))
		}
		p.views = append(p.views, v)
	}
}

// sample draws n of the candidates, or returns nil for all. Peers' loads are some tens of
// milliseconds old: if every entry looked at all replicas, those that choose in that time would
// all send to the one that was idle.
func (p *Picker) sample(n, total int) []bool {
	if n <= 0 || n >= total {
		return nil
	}
	drawn := make([]bool, total)
	for _, i := range p.rng.Perm(total)[:n] {
		drawn[i] = true
	}
	return drawn
}

func containsID(ids []string, id string) bool {
	for _, e := range ids {
		if e == id {
			return true
		}
	}
	return false
}

func (p *Picker) score(now time.Duration, q *PickQuery, c *PickCandidate, v *candidateView, isOwner bool) PickResult {
	result := PickResult{ID: c.ID, Reason: pickLeastLoaded}
	result.Ahead = Load{PrefillTokens: v.load.PrefillTokens, Running: v.load.Running}
	result.WaitMs = p.expectedWaitMs(now, q, c, result.Ahead)
	result.Score = result.WaitMs
	if len(q.Levels) > 0 {
		result.MissingTokens, result.Reason = p.missingTokens(q, v.heldTokens, isOwner)
		result.Score += p.params.MissWeight * p.engineFor(q).prefillMs(float64(result.MissingTokens))
	}
	if q.DesiredVersion != 0 && c.Version < q.DesiredVersion {
		result.Score += p.params.OldWeightsCost
	}
	if c.RolloutPlanned {
		overrun := p.ExpectedStreamTime(q) - c.RolloutIn
		result.Score += p.params.OverrunCost * max(0, float64(overrun.Milliseconds()))
	}
	if c.RecentFaults {
		result.Score += p.params.RecentFaultsCost
	}
	if c.FailureDomain != q.FailureDomain {
		result.Score += p.params.CrossDomainCost
	}
	return result
}

// expectedWaitMs is the expected wait at a replica with a load ahead, in milliseconds.
func (p *Picker) expectedWaitMs(now time.Duration, q *PickQuery, c *PickCandidate, ahead Load) float64 {
	if !c.Engine {
		return float64(ahead.Running) * p.params.PlainServiceMs / float64(max(1, c.Slots))
	}
	return p.engineFor(q).waitMs(ahead) + p.delayMs(now, c)
}

// delayMs is the extra wait that requests have recently met at a replica, in milliseconds.
func (p *Picker) delayMs(now time.Duration, c *PickCandidate) float64 {
	if l := p.loads[c.ID]; l != nil {
		return p.queueDelay(l, now)
	}
	return 0
}
