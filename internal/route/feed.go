package route

import (
	"math/rand/v2"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"skylarklead/internal/rendezvous"
)

// Picker picks replicas for an entry that hands requests to them itself. It knows
// its own work there and where it has sent which prefixes. It is pure.
type Picker struct {
	params PickerParams
	rng    *rand.Rand
	loads  map[string]*feedLoad
	peers  *Peers
	// domainTaken counts the tokens that each replica has taken in from peers heard directly.
	domainTaken map[uint64]float64
	// resident has which levels were sent where, kept when a prefix was last sent to be
	// kept in the store, by its hash with its salt. Both have what peers tell, too.
	resident *residents
	kept     *lru.Cache[uint64, time.Duration]
	// promptTokens is what a running request takes of a replica's memory, learnt from
	// those that were placed.
	promptTokens float64
	// stores has by how much fetches from stores of kept cache delay requests.
	stores storeDelays
	// engines has the speed of each service's engines.
	engines map[string]*engineSpeed
	// views are of the candidates of the latest choice, kept for their memory.
	views []feedView
	// told are this entry's latest placements, for its peers.
	told []toldPlacement
	// tokenMs is the time of an output token, learnt from streams that have ended.
	tokenMs float64
}

// NewPicker returns a feed that knows of no load.
func NewPicker(p PickerParams, rng *rand.Rand) *Picker {
	kept, err := lru.New[uint64, time.Duration](p.Known)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Picker{
		params: p, rng: rng, peers: NewPeers(p.PeerFresh), loads: map[string]*feedLoad{}, domainTaken: map[uint64]float64{}, engines: map[string]*engineSpeed{},
		stores:   storeDelays{known: map[string]*storeDelay{}},
		resident: newResidents(p.Known, p.KnownFor), kept: kept, tokenMs: p.OutputTokenMs,
	}
}

// feedView is what a choice knows of a candidate.
type feedView struct {
	key uint64
	// load is what all entries have there.
	load Load
	// held is how many shared tokens it is believed to hold, read those of them that it
	// has read already.
	held, read int
	// weight is its rendezvous weight for the prefix.
	weight uint64
}

// Pick returns the candidate with the lowest cost: what the engine has to read
// before, what it has to read anew, and what speaks against the replica. It
// returns false if all candidates are excluded.
func (f *Picker) Pick(now time.Duration, q *PickQuery, candidates []PickCandidate) (PickResult, bool) {
	f.look(now, q, candidates)
	home := f.home(q, candidates)
	best, at := PickResult{CandidateCount: len(candidates)}, -1
	sampled := f.sample(q.Sample, len(candidates))
	bounded := q.MaxWaitMs > 0 && f.PeerLoadsKnown(now)
	for i := range candidates {
		c := &candidates[i]
		if excluded(q.Exclude, c.ID) {
			continue
		}
		if sampled != nil && !sampled[i] && i != home && 2*f.views[i].held <= q.SharedTokens {
			continue
		}
		choice := f.cost(now, q, c, &f.views[i], i == home)
		if bounded && choice.WaitMs > q.MaxWaitMs {
			continue
		}
		if at < 0 || choice.Score < best.Score {
			choice.CandidateCount = len(candidates)
			best, at = choice, i
		}
	}
	if at >= 0 && len(q.Levels) > 0 {
		best.Donor, best.DonorTokens = f.source(q, at, candidates)
	}
	return best, at >= 0
}

// look fills the views of all candidates.
func (f *Picker) look(now time.Duration, q *PickQuery, candidates []PickCandidate) {
	f.views = f.views[:0]
	holders := f.resident.holders(q.Levels)
	informed := f.PeerLoadsKnown(now)
	for i := range candidates {
		c := &candidates[i]
		v := feedView{key: ReplicaKey(c.ID)}
		v.load = f.total(now, c.ID, v.key, informed)
		if len(q.Levels) > 0 {
			v.weight = rendezvous.Weight(q.prefixKey(), c.ID)
			v.held, v.read = f.held(now, q, holders, v.key, f.room(c, v.load))
		}
		f.views = append(f.views, v)
	}
}

// sample draws n of the candidates, nil for all. What peers tell is some tens of
// milliseconds old: were all entries to look at all replicas, those that choose
// meanwhile would all send to the one that was idle.
func (f *Picker) sample(n, of int) []bool {
	if n <= 0 || n >= of {
		return nil
	}
	drawn := make([]bool, of)
	for _, i := range f.rng.Perm(of)[:n] {
		drawn[i] = true
	}
	return drawn
}

func excluded(ids []string, id string) bool {
	for _, e := range ids {
		if e == id {
			return true
		}
	}
	return false
}

func (f *Picker) cost(now time.Duration, q *PickQuery, c *PickCandidate, v *feedView, home bool) PickResult {
	out := PickResult{ID: c.ID, LoadAtPick: v.load, Reason: feedLeast}
	out.WaitMs = f.load(now, q, c, v)
	out.Score = out.WaitMs
	if len(q.Levels) > 0 {
		out.MissingTokens, out.Reason = f.missing(q, v.held, home)
		out.Score += f.params.MissWeight * f.engineOf(q).reading(float64(out.MissingTokens))
	}
	if q.WantedVersion != 0 && c.Version < q.WantedVersion {
		out.Score += f.params.OldWeights
	}
	if c.RolloutPlanned {
		over := f.ExpectedStreamTime(q) - c.RolloutIn
		out.Score += f.params.Outlasts * max(0, float64(over.Milliseconds()))
	}
	if c.RecentFaults {
		out.Score += f.params.Doubtful
	}
	if c.FailureDomain != q.FailureDomain {
		out.Score += f.params.Crossing
	}
	return out
}

// load is the expected wait at a replica, in milliseconds.
func (f *Picker) load(now time.Duration, q *PickQuery, c *PickCandidate, v *feedView) float64 {
	if !c.Engine {
		return float64(v.load.Running) * f.params.PlainMs / float64(max(1, c.Slots))
	}
	lag := 0.0
	if l := f.loads[c.ID]; l != nil {
		lag = f.lag(l, now)
	}
	return f.engineOf(q).wait(v.load) + lag
}
