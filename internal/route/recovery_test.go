package route

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"skylarklead/internal/prefix"
	"skylarklead/internal/protocol"
)

// The figures of a simulated group, in tokens and milliseconds. The engines compute
// one prompt after another.
const (
	simEngines   = 12
	simPlaces    = 16
	simSpeed     = 20 // prompt tokens a millisecond
	simCache     = 40000
	simOutput    = 300 // ms
	simReport    = 1000
	simDown      = 500
	simRules     = 1600
	simCharter   = 3200
	simCase      = 3808
	simPrompt    = 3860
	simCrash     = 4000
	simUntil     = 7000
	simLargeRate = 0.035 // requests a millisecond
	simSmallRate = 0.004
)

// simRequest is a request of one organisation on its way.
type simRequest struct {
	organisation int
	at, first    float64
	query        *Query
	engine       int
	left         int
	computing    bool
}

// cached is how much of the prompt an engine holds.
func (q *simRequest) cached(e *simEngine) int {
	tokens := 0
	for _, l := range q.query.Levels {
		if _, ok := e.used[l.Hash]; !ok {
			break
		}
		tokens = l.Tokens
	}
	return tokens
}

// simEngine computes prompts in order of arrival and forgets the least recently
// used levels.
type simEngine struct {
	used        map[prefix.Hash]float64
	tokens      map[prefix.Hash]int // up to the end of a level
	queue       []*simRequest
	ends        []float64 // of answers
	incarnation int
	downUntil   float64
	news        map[prefix.Hash]bool
	backlog     BacklogTrigger
}

func (e *simEngine) queued() int {
	tokens := 0
	for _, q := range e.queue {
		tokens += q.left
	}
	return tokens
}

func (e *simEngine) crash(now float64) (lost []*simRequest) {
	lost = e.queue
	for h := range e.used {
		e.news[h] = true
	}
	*e = simEngine{used: map[prefix.Hash]float64{}, tokens: map[prefix.Hash]int{}, news: e.news,
		incarnation: e.incarnation + 1, downUntil: now + simDown}
	return lost
}

// step computes for a millisecond.
func (e *simEngine) step(now float64) {
	e.ends = slices.DeleteFunc(e.ends, func(end float64) bool { return end <= now })
	for budget := simSpeed; budget > 0 && len(e.queue) > 0 && len(e.ends) < simPlaces; {
		q := e.queue[0]
		if !q.computing {
			q.computing, q.left = true, q.query.PromptTokens-q.cached(e)
		}
		n := min(budget, q.left)
		budget, q.left = budget-n, q.left-n
		if q.left > 0 {
			return
		}
		e.queue, q.first = e.queue[1:], now+1
		e.ends = append(e.ends, now+simOutput)
		e.store(q.query.Levels, now)
	}
}

func (e *simEngine) store(levels []prefix.Level, now float64) {
	for i, l := range levels {
		if _, ok := e.used[l.Hash]; !ok {
			e.tokens[l.Hash], e.news[l.Hash] = l.Tokens, true
		}
		e.used[l.Hash] = now - float64(i)/10 // the deepest level goes first
	}
	for e.total() > simCache {
		var oldest prefix.Hash
		for h, at := range e.used {
			if oldest == 0 || cmp.Or(cmp.Compare(at, e.used[oldest]), cmp.Compare(h, oldest)) < 0 {
				oldest = h
			}
		}
		delete(e.used, oldest)
		delete(e.tokens, oldest)
		e.news[oldest] = true
	}
}

// total is how many tokens are held, each level without the one that it is in.
func (e *simEngine) total() int {
	total := 0
	for _, tokens := range e.tokens {
		total += map[int]int{simRules: simRules, simCharter: simCharter - simRules, simCase: simCase - simCharter}[tokens]
	}
	return total
}

func (e *simEngine) load(now float64) protocol.Load {
	running := len(e.queue) + len(e.ends)
	return protocol.Load{
		Running: running, DecodeTokens: 30 * running, QueuedTokens: e.queued(), EngineUp: now >= e.downUntil,
		Incarnation: fmt.Sprint(e.incarnation), Model: "m", Version: "v1",
		CacheUsed: e.total(), CacheTotal: simCache, OutputShare: 1,
	}
}

// simulation is a group, an owner for each organisation, and what each owner was
// last told of each endpoint.
type simulation struct {
	rng      *rand.Rand
	engines  []*simEngine
	owners   []*Router
	told     []Endpoint
	toldAt   []float64
	requests []*simRequest
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), told: group(simEngines), toldAt: make([]float64, simEngines)}
	for range simEngines {
		e := &simEngine{news: map[prefix.Hash]bool{}}
		e.crash(-simDown)
		s.engines = append(s.engines, e)
	}
	for i := range 8 {
		s.owners = append(s.owners, NewRouter(Params{
			PrefillTokensPerSecond: 1000 * simSpeed, DecodeTokenTime: 10 * time.Millisecond,
			MaxRunning: simPlaces, SmallReserve: 0.125, CacheTokens: simCache,
		}))
		s.draw(i)
	}
	slices.SortFunc(s.requests, func(a, b *simRequest) int { return cmp.Compare(a.at, b.at) })
	return s
}

// draw makes one organisation's requests; the first three are large.
func (s *simulation) draw(organisation int) {
	rate, charters, cases := simSmallRate, 2, 12
	if organisation < 3 {
		rate, charters, cases = simLargeRate/float64(organisation+1), 6, 40
	}
	for at := s.rng.ExpFloat64() / rate; at < simUntil; at += s.rng.ExpFloat64() / rate {
		charter, cas := s.zipf(charters), s.zipf(cases)
		hash := prefix.Hash(1 + organisation*10000)
		s.requests = append(s.requests, &simRequest{organisation: organisation, at: at, query: &Query{Ask: protocol.Ask{
			Organisation: fmt.Sprint(organisation), Model: "m", Version: "v1", PromptTokens: simPrompt, MaxTokens: 30,
			Levels: []prefix.Level{{Hash: hash, Tokens: simRules}, {Hash: hash + prefix.Hash(100*(charter+1)), Tokens: simCharter},
				{Hash: hash + prefix.Hash(100*(charter+1)+cas+1), Tokens: simCase}},
		}}})
	}
}

func (s *simulation) zipf(n int) int {
	for {
		if i := s.rng.IntN(n); s.rng.Float64() < 1/float64(i+1) {
			return i
		}
	}
}

// tell sends an endpoint's heartbeat to all owners.
func (s *simulation) tell(i int, now float64) {
	e := s.engines[i]
	s.told[i].Load, s.toldAt[i] = e.load(now), now
	var residents []protocol.Resident
	for _, h := range slices.Sorted(maps.Keys(e.news)) {
		residents = append(residents, protocol.Resident{Hash: h, Tokens: e.tokens[h]})
	}
	clear(e.news)
	for _, o := range s.owners {
		o.ApplyAdvertisement(simTime(now), Advertisement{Endpoint: s.told[i].ID, Epoch: s.told[i].Epoch,
			Incarnation: s.told[i].Load.Incarnation, Version: "v1", Residents: residents})
	}
}

func simTime(now float64) time.Duration { return time.Duration(now * float64(time.Millisecond)) }

// place sends a request where its owner decides, as often as it meets an engine
// that is down.
func (s *simulation) place(q *simRequest, now float64) {
	for {
		for i := range s.told {
			s.told[i].LoadAge = simTime(now - s.toldAt[i])
		}
		result := s.owners[q.organisation].Decide(simTime(now), s.rng, q.query, s.told)
		i := slices.IndexFunc(s.told, func(e Endpoint) bool { return e.ID == result.Executor })
		e := s.engines[i]
		if now < e.downUntil {
			q.query.Exclude = append(q.query.Exclude, result.Executor)
			continue
		}
		q.engine, q.left = i, q.query.PromptTokens-q.cached(e)
		e.queue = append(e.queue, q)
		if e.backlog.ShouldReport(simTime(now), e.queued()) {
			s.tell(i, now)
		}
		return
	}
}

// run crashes half of the engines and returns the 99th percentile of the first
// token of the requests after it.
func (s *simulation) run() float64 {
	var lost []*simRequest
	next := 0
	for now := 0.0; now < simUntil+2000; now++ {
		for i, e := range s.engines {
			if now == simCrash && i < simEngines/2 {
				lost = append(lost, e.crash(now)...)
			}
			if int(now)%simReport == i*simReport/simEngines || i < simEngines/2 && (now == simCrash+20 || now == simCrash+simDown) {
				s.tell(i, now)
			}
			if now >= e.downUntil {
				e.step(now)
			}
		}
		if now == simCrash+20 {
			for _, q := range lost {
				q.computing = false
				s.place(q, now)
			}
		}
		for ; next < len(s.requests) && s.requests[next].at <= now; next++ {
			s.place(s.requests[next], now)
		}
	}
	var waits []float64
	for _, q := range s.requests {
		if q.at >= simCrash {
			waits = append(waits, q.first-q.at)
		}
	}
	slices.Sort(waits)
	return waits[len(waits)*99/100]
}

// Symptom: when half of the engines restart, the slowest of the callers wait for two
// or three times what a lost prefix takes to be computed.
// Sequence: what the engines held is placed anew by several owners within half a
// second, and all that is bound to it follows.
// Cause: an endpoint that has prompts to compute looks idle to organisations within
// their share, and to every owner that didn't send them itself.
func TestLostPrefixesAreSpread(t *testing.T) {
	const cold = float64(simPrompt) / simSpeed
	var tails []float64
	for seed := range uint64(15) {
		tails = append(tails, math.Round(newSimulation(seed).run()))
	}
	slices.Sort(tails)
	if median := tails[len(tails)/2]; median > 1.15*cold {
		t.Errorf("99th percentile of the first token in ms %v, median over %.0f", tails, 1.15*cold)
	}
}
