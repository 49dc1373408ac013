package route

import (
	"math/rand/v2"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Feed picks replicas for an entry that hands requests to them itself. It knows
// its own work there and where it has sent which prefixes. It is pure.
type Feed struct {
	params FeedParams
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
	// open are those of them that may take the request, kept likewise.
	open []int
	// told are this entry's latest placements, for its peers.
	told []toldPlacement
	// tokenMs is the time of an output token, learnt from streams that have ended.
	tokenMs float64
}

// NewFeed returns a feed that knows of no load.
func NewFeed(p FeedParams, rng *rand.Rand) *Feed {
	kept, err := lru.New[uint64, time.Duration](p.Known)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Feed{
		params: p, rng: rng, peers: NewPeers(p.PeerFresh), loads: map[string]*feedLoad{}, domainTaken: map[uint64]float64{}, engines: map[string]*engineSpeed{},
		stores:   storeDelays{known: map[string]*storeDelay{}},
		resident: newResidents(p.Known, p.KnownFor), kept: kept, tokenMs: p.OutputTokenMs,
	}
}

// feedView is what a choice knows of a candidate.
type feedView struct {
	key uint64
	// load is what all entries have there, wait how long a request is expected to wait for it,
	// in milliseconds.
	load Load
	wait float64
	// held is how many shared tokens it is believed to hold, read those of them that it
	// has read already.
	held, read int
	// weight is its rendezvous weight for the prefix.
	weight uint64
}

// Pick returns the candidate with the lowest cost: what the engine has to read
// before, what it has to read anew, and what speaks against the replica. It
// returns false if all candidates are excluded.
func (f *Feed) Pick(now time.Duration, q *FeedQuery, candidates []FeedCandidate) (FeedChoice, bool) {
	f.look(now, q, candidates)
	home := f.home(q, candidates)
	best, at := FeedChoice{Of: len(candidates)}, -1
	for _, i := range f.sampled(q, home, f.eligible(now, q, candidates)) {
		choice := f.cost(now, q, &candidates[i], &f.views[i], i == home)
		if at < 0 || choice.Score < best.Score {
			choice.Of = len(candidates)
			best, at = choice, i
		}
	}
	if at >= 0 && len(q.Levels) > 0 {
		best.Source, best.SourceTokens = f.source(q, at, candidates)
	}
	return best, at >= 0
}

// look fills the views of all candidates.
func (f *Feed) look(now time.Duration, q *FeedQuery, candidates []FeedCandidate) {
	f.views = f.views[:0]
	holders := f.resident.holders(q.Levels)
	informed := f.Informed(now)
	for i := range candidates {
		c := &candidates[i]
		v := feedView{key: ReplicaKey(c.ID)}
		v.load = f.total(now, c.ID, v.key, informed)
		if len(q.Levels) > 0 {
			v.weight = weight(q.prefixKey(), c.ID)
			v.held, v.read = f.held(now, q, holders, v.key, f.room(c, v.load))
		}
		f.views = append(f.views, v)
	}
}

// eligible lists the candidates that may take the request: those that haven't had it, whose load
// is within its bound.
func (f *Feed) eligible(now time.Duration, q *FeedQuery, candidates []FeedCandidate) []int {
	bounded := q.MaxLoad > 0 && f.Informed(now)
	f.open = f.open[:0]
	for i := range candidates {
		c := &candidates[i]
		if excluded(q.Exclude, c.ID) {
			continue
		}
		v := &f.views[i]
		if v.wait = f.load(now, q, c, v); bounded && v.wait > q.MaxLoad {
			continue
		}
		f.open = append(f.open, i)
	}
	return f.open
}

// sampled are those of the eligible that are looked at: the home, those that hold most of the
// prefix, and as many drawn at random as the query says. What peers tell is some tens of
// milliseconds old: were all entries to look at all replicas, those that choose meanwhile
// would all send to the one that was idle.
//
// They are drawn from those that may take it. Drawn from all, a request waits at its entry where
// the few that were drawn are busy, however many others are free: with half of 160 replicas
// at the bound and four drawn, one request in sixteen, and all behind it.
func (f *Feed) sampled(q *FeedQuery, home int, eligible []int) []int {
	if q.Sample <= 0 || q.Sample >= len(eligible) {
		return eligible
	}
	f.rng.Shuffle(len(eligible), func(i, j int) { eligible[i], eligible[j] = eligible[j], eligible[i] })
	looked := eligible[:q.Sample]
	for _, i := range eligible[q.Sample:] {
		if i == home || 2*f.views[i].held > q.SharedTokens {
			looked = append(looked, i)
		}
	}
	return looked
}

func excluded(ids []string, id string) bool {
	for _, e := range ids {
		if e == id {
			return true
		}
	}
	return false
}

func (f *Feed) cost(now time.Duration, q *FeedQuery, c *FeedCandidate, v *feedView, home bool) FeedChoice {
	out := FeedChoice{ID: c.ID, Ahead: v.load, Load: v.wait, Reason: feedLeast}
	out.Score = out.Load
	if len(q.Levels) > 0 {
		out.Missed, out.Reason = f.missing(q, v.held, home)
		out.Score += f.params.MissWeight * f.engineOf(q).reading(float64(out.Missed))
	}
	if q.Wanted != 0 && c.Version < q.Wanted {
		out.Score += f.params.OldWeights
	}
	if c.Planned {
		over := f.StreamTime(q) - c.Turn
		out.Score += f.params.Outlasts * max(0, float64(over.Milliseconds()))
	}
	if c.Doubtful {
		out.Score += f.params.Doubtful
	}
	if c.FailureDomain != q.FailureDomain {
		out.Score += f.params.Crossing
	}
	return out
}

// load is the expected wait at a replica, in milliseconds.
func (f *Feed) load(now time.Duration, q *FeedQuery, c *FeedCandidate, v *feedView) float64 {
	if !c.Engine {
		return float64(v.load.Running) * f.params.PlainMs / float64(max(1, c.Slots))
	}
	lag := 0.0
	if l := f.loads[c.ID]; l != nil {
		lag = f.lag(l, now)
	}
	return f.engineOf(q).wait(v.load) + lag
}
