package route

import (
	"math"
	"math/rand/v2"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// FeedParams weigh what a direct entry knows of the replicas that it feeds. Times
// are engine time in milliseconds.
type FeedParams struct {
	// PrefillTokensPerMs is how fast an engine reads prompts, TokenMs how much one running
	// request slows its others, OverheadMs the time to a first event beside: until they are
	// learnt from requests.
	PrefillTokensPerMs, TokenMs, OverheadMs float64
	// MissWeight is what a millisecond of reading shared parts anew weighs against one of
	// waiting: the copy also pushes out of the cache what others will read anew. At 4.5 a
	// fifth fewer are read anew than at 2 and no request waits longer that was measured.
	MissWeight float64
	// Others is the load of other entries for each unit of one's own: they see the
	// same mix and pick by the same rules, but what they place is not heard of.
	Others float64
	// PeerFresh is how long another entry's word on its loads counts. While none was
	// heard, Others stands in.
	PeerFresh time.Duration
	// LagHalfLife is how fast the waits that requests met at a replica are forgotten,
	// LagLearning the weight of the latest.
	LagHalfLife time.Duration
	LagLearning float64
	// HomeDoubt is the part of a shared prefix that is expected to be missing at its
	// home when this entry has not sent it there.
	HomeDoubt float64
	// Outlasts is the cost of each millisecond that a request is expected to outlast
	// the replica's turn to load weights: the replica stands nearly idle meanwhile.
	Outlasts float64
	// OutputTokenMs is the expected time of an output token until some were seen,
	// Learning the weight of each stream's end in what is expected from then on.
	OutputTokenMs, Learning float64
	// OldWeights is what it costs to begin on weights that are to be replaced.
	OldWeights float64
	// Doubtful is what a replica with recent faults is set back by.
	Doubtful float64
	// Crossing is the cost of another failure domain.
	Crossing float64
	// PlainMs is the work of a request at a plain service.
	PlainMs float64
	// Known bounds the levels remembered. KnownFor bounds how long one is believed to
	// stay in a cache where nothing else pushes it out.
	Known    int
	KnownFor time.Duration
	// KeptFor is how long a prefix is believed to be in the store once it was sent.
	KeptFor time.Duration
}

// DefaultFeedParams come from the engines' sheets: some 56 prompt tokens a
// millisecond and a step of 4 ms that grows by a tenth with each running request.
var DefaultFeedParams = FeedParams{
	PrefillTokensPerMs: 50, MissWeight: 4.5, TokenMs: 2, OverheadMs: 40, Others: 2, HomeDoubt: 0.3,
	PeerFresh: 500 * time.Millisecond, LagHalfLife: 400 * time.Millisecond, LagLearning: 0.4,
	Outlasts: 0.2, OutputTokenMs: 8, Learning: 0.05, OldWeights: 150, Doubtful: 1000, Crossing: 3, PlainMs: 60,
	Known: 8192, KnownFor: 30 * time.Second, KeptFor: 10 * time.Second,
}

// FeedQuery is a request as far as its place matters.
type FeedQuery struct {
	// Service names the engines that may run it.
	Service string
	// Levels are the nested prefixes that other prompts may share, the shortest first.
	Levels       []FeedLevel
	SharedTokens int
	PromptTokens int
	// OutputTokens is the expected output.
	OutputTokens int
	// FailureDomain is the entry's own.
	FailureDomain string
	// Wanted is the version of the weights to use if there is a choice, 0 for any.
	Wanted uint64
	// MaxLoad is the wait, in milliseconds, beyond which a replica isn't picked while
	// the others' loads are known; 0 is no bound.
	MaxLoad float64
	// Sample is how many replicas are looked at beside the prefix's holders and its
	// home, 0 for all.
	Sample int
	// Exclude names replicas that have had the request.
	Exclude []string
}

// FeedCandidate is a replica that may be picked.
type FeedCandidate struct {
	ID            string
	FailureDomain string
	Version       uint64
	Slots         int
	// MemoryTokens is an engine's memory for running requests and cached parts, 0 if it
	// isn't known.
	MemoryTokens int
	Engine       bool
	Doubtful     bool
	// Turn is the time until the replica takes no more work to load other weights,
	// if Planned.
	Turn    time.Duration
	Planned bool
}

// FeedChoice is a pick with what decided it.
type FeedChoice struct {
	ID    string
	Score float64
	Load  float64
	// Missed is how many shared tokens the replica is expected to lack, Source another
	// replica on the same weights that may hold them, "" if none.
	Missed int
	Source string
	// SourceTokens is how many shared tokens Source is known to have read, 0 for a guess.
	SourceTokens int
	// Store is the store that the replica was told to fetch from, "" for none.
	Store string
	// Ahead is what all entries had there when it was picked.
	Ahead  Load
	Reason string
	Of     int
}

// Reasons of a feed's pick.
const (
	feedHeld  = "prefix_held"
	feedHome  = "prefix_home"
	feedSpill = "spill"
	feedLeast = "least_loaded"
)

// feedLoad is what this entry has at a replica.
type feedLoad struct {
	reading float64 // tokens of prompts not yet read
	running int
	// taken is how many tokens it has sent there to be read and kept.
	taken float64
	// lag is by how much, in ms, a request lately began later than its own reading
	// explains, as of lagAt.
	lag   float64
	lagAt time.Duration
}

// Feed picks replicas for an entry that hands requests to them itself. It knows
// its own work there and where it has sent which prefixes. It is pure.
type Feed struct {
	params FeedParams
	rng    *rand.Rand
	loads  map[string]*feedLoad
	peers  *Peers
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

// NewFeed returns a feed that knows of no load.
func NewFeed(p FeedParams, rng *rand.Rand) *Feed {
	kept, err := lru.New[uint64, time.Duration](p.Known)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Feed{
		params: p, rng: rng, peers: NewPeers(p.PeerFresh), loads: map[string]*feedLoad{}, engines: map[string]*engineSpeed{},
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
func (f *Feed) Pick(now time.Duration, q *FeedQuery, candidates []FeedCandidate) (FeedChoice, bool) {
	f.look(now, q, candidates)
	home := f.home(q, candidates)
	best, at := FeedChoice{Of: len(candidates)}, -1
	sampled := f.sample(q.Sample, len(candidates))
	bounded := q.MaxLoad > 0 && f.Informed(now)
	for i := range candidates {
		c := &candidates[i]
		if excluded(q.Exclude, c.ID) {
			continue
		}
		if sampled != nil && !sampled[i] && i != home && 2*f.views[i].held <= q.SharedTokens {
			continue
		}
		choice := f.cost(now, q, c, &f.views[i], i == home)
		if bounded && choice.Load > q.MaxLoad {
			continue
		}
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

// sample draws n of the candidates, nil for all. What peers tell is some tens of
// milliseconds old: were all entries to look at all replicas, those that choose
// meanwhile would all send to the one that was idle.
func (f *Feed) sample(n, of int) []bool {
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

func (f *Feed) cost(now time.Duration, q *FeedQuery, c *FeedCandidate, v *feedView, home bool) FeedChoice {
	out := FeedChoice{ID: c.ID, Ahead: v.load, Reason: feedLeast}
	out.Load = f.load(now, q, c, v)
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

// Informed reports whether the others' loads are known.
func (f *Feed) Informed(now time.Duration) bool { return f.peers.Heard(now) > 0 }

// total is what this entry and its peers have at a replica. Where none is heard the
// others are taken to have as much there as this one, each.
func (f *Feed) total(now time.Duration, id string, key uint64, informed bool) Load {
	var own Load
	if l := f.loads[id]; l != nil {
		own = Load{Reading: l.reading, Running: l.running}
	}
	if !informed {
		others := 1 + f.params.Others
		return Load{Reading: own.Reading * others, Running: int(float64(own.Running) * others)}
	}
	sum := f.peers.Load(key, now)
	return Load{Reading: own.Reading + sum.Reading, Running: own.Running + sum.Running}
}

// engineOf is what is known of the speed of a request's engines.
func (f *Feed) engineOf(q *FeedQuery) *engineSpeed {
	e := f.engines[q.Service]
	if e == nil {
		e = newEngineSpeed(f.params)
		f.engines[q.Service] = e
	}
	return e
}

// Loads is what this entry has at each replica, for its peers, by ReplicaKey.
func (f *Feed) Loads() map[uint64]Load {
	loads := make(map[uint64]Load, len(f.loads))
	for id, l := range f.loads {
		loads[ReplicaKey(id)] = Load{Reading: l.reading, Running: l.running, Taken: uint16(uint64(l.taken) / TakenUnit)}
	}
	return loads
}

// Heard takes another entry's word on its loads, by ReplicaKey.
func (f *Feed) Heard(peer string, epoch, seq uint64, loads map[uint64]Load, now time.Duration) {
	f.peers.Take(peer, epoch, seq, loads, now, f.resident.took)
}

// lag is the wait that the others' load explains: this entry hears nothing of it
// but how long its own requests wait.
func (f *Feed) lag(l *feedLoad, now time.Duration) float64 {
	if l.lag == 0 {
		return 0
	}
	return l.lag * math.Exp2(-float64(now-l.lagAt)/float64(f.params.LagHalfLife))
}

// Placed notes that a request goes to a replica. Its end is told by Began and
// Ended, with the same query and ID.
func (f *Feed) Placed(now time.Duration, q *FeedQuery, choice *FeedChoice) {
	l := f.loads[choice.ID]
	if l == nil {
		l = &feedLoad{}
		f.loads[choice.ID] = l
	}
	l.running++
	l.reading += f.unread(q, choice)
	f.take(l, q, choice)
	f.holdOwn(q, choice.ID, false, now)
}

// take counts the tokens that a request adds to a replica's memory.
func (f *Feed) take(l *feedLoad, q *FeedQuery, choice *FeedChoice) {
	if q.PromptTokens == 0 {
		return
	}
	fresh := float64(max(0, q.PromptTokens-q.SharedTokens+choice.Missed) + q.OutputTokens)
	l.taken += fresh
	f.resident.took(ReplicaKey(choice.ID), fresh)
	whole := float64(q.PromptTokens + q.OutputTokens)
	f.promptTokens += f.params.Learning * (whole - f.promptTokens)
}

// unread is how many tokens of a request's prompt a replica is expected to read.
func (f *Feed) unread(q *FeedQuery, choice *FeedChoice) float64 {
	return float64(max(0, q.PromptTokens-q.SharedTokens+choice.Missed))
}

// OwnTime is how long a replica with nothing else to do takes to read what it is
// expected to lack of a request's prompt.
func (f *Feed) OwnTime(q *FeedQuery, choice *FeedChoice) time.Duration {
	return milliseconds(f.engineOf(q).reading(f.unread(q, choice)))
}

// ReadTime is how long an engine takes to read tokens, in milliseconds, Overhead the
// time to a first event beside reading.
func (f *Feed) ReadTime(q *FeedQuery, tokens int) float64 {
	return f.engineOf(q).reading(float64(tokens))
}

// Overhead is told in ReadTime.
func (f *Feed) Overhead(q *FeedQuery) float64 { return f.engineOf(q).overhead() }

// learn takes how long a request took to begin, in milliseconds, as word of its engine's
// speed or, where most of its prefix came from a store, of the store's delay.
func (f *Feed) learn(now time.Duration, q *FeedQuery, choice *FeedChoice, took float64) {
	e := f.engineOf(q)
	if choice.Store == "" || 2*choice.Missed < q.SharedTokens {
		e.began(Load{Reading: choice.Ahead.Reading + f.unread(q, choice), Running: choice.Ahead.Running}, took)
		return
	}
	own := Load{Reading: choice.Ahead.Reading + float64(q.PromptTokens-q.SharedTokens), Running: choice.Ahead.Running}
	f.stores.fetched(choice.Store, took-e.overhead()-e.wait(own), now)
}

// EngineSpeed is what was learnt of the engines of a service.
type EngineSpeed struct {
	// TokensPerMs is how fast they read, RunningMs by how much a running request delays
	// the next, OverheadMs the time to a first event beside.
	TokensPerMs, RunningMs, OverheadMs float64
}

// Speeds is what was learnt of the engines of each service that was asked for.
func (f *Feed) Speeds() map[string]EngineSpeed {
	speeds := make(map[string]EngineSpeed, len(f.engines))
	for service, e := range f.engines {
		speeds[service] = EngineSpeed{
			TokensPerMs: 1 / e.reading(1), RunningMs: e.wait(Load{Running: 1}), OverheadMs: e.overhead(),
		}
	}
	return speeds
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Began notes that a request's prompt has been read, in the time that it took since
// it was placed.
func (f *Feed) Began(now time.Duration, q *FeedQuery, choice *FeedChoice, took time.Duration) {
	l := f.loads[choice.ID]
	if l == nil {
		return
	}
	f.read(q, choice)
	f.holdOwn(q, choice.ID, true, now)
	f.learn(now, q, choice, ms(took))
	waited := ms(took - f.OwnTime(q, choice))
	before := f.lag(l, now)
	l.lag = before + f.params.LagLearning*(max(0, waited)-before)
	l.lagAt = now
}

func (f *Feed) read(q *FeedQuery, choice *FeedChoice) {
	if l := f.loads[choice.ID]; l != nil {
		l.reading = max(0, l.reading-f.unread(q, choice))
	}
}

// Ended notes that a request is no longer at a replica; began tells whether Began
// was called for it.
func (f *Feed) Ended(q *FeedQuery, choice *FeedChoice, began bool) {
	l := f.loads[choice.ID]
	if l == nil {
		return
	}
	if !began {
		f.read(q, choice)
	}
	l.running--
}

// StreamTime is how long a request's output is expected to take.
func (f *Feed) StreamTime(q *FeedQuery) time.Duration {
	return time.Duration(float64(q.OutputTokens) * f.tokenMs * float64(time.Millisecond))
}

// Streamed learns from a stream that took d from its first event to its end.
func (f *Feed) Streamed(q *FeedQuery, d time.Duration) {
	if q.OutputTokens <= 0 {
		return
	}
	seen := float64(d) / float64(time.Millisecond) / float64(q.OutputTokens)
	f.tokenMs += f.params.Learning * (seen - f.tokenMs)
}

// ForgetPeers drops the words of peers that were last heard before a time.
func (f *Feed) ForgetPeers(before time.Duration) { f.peers.Forget(before) }

// Gone forgets a replica.
func (f *Feed) Gone(id string) {
	delete(f.loads, id)
	f.resident.gone(ReplicaKey(id))
}

// Running is how many requests of this entry are at a replica.
func (f *Feed) Running(id string) int {
	if l := f.loads[id]; l != nil {
		return l.running
	}
	return 0
}
