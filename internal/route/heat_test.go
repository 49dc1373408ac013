package route

import (
	"math"
	"testing"
	"time"

	"skylarklead/internal/prefix"
	"skylarklead/internal/protocol"
)

// setReports sets the reported queue of the busy endpoints. The others have no report, so that
// the router's own estimate of what it sent there applies.
func setReports(endpoints []Endpoint, queuedTokens int, busy map[string]bool) {
	for i := range endpoints {
		endpoints[i].HasLoad = busy[endpoints[i].ID]
		endpoints[i].Load.QueuedTokens = queuedTokens
	}
}

// decideAtRate decides for one prefix at a steady rate while the busy endpoints report the given
// queue, and returns how many times each endpoint computed it.
func decideAtRate(r *Router, endpoints []Endpoint, from, until, every time.Duration, queuedTokens int, busy map[string]bool) map[string]int {
	rng := newRand()
	computed := map[string]int{}
	for now := from; now < until; now += every {
		setReports(endpoints, queuedTokens, busy)
		got := r.Decide(now, rng, query(1), endpoints)
		if got.PredictedCached < 4000 {
			computed[got.Executor]++
		}
	}
	return computed
}

func activeHolders(r *Router) int { return r.heat(0, r.boundNode).holders }

// Guards against callers that wait at one endpoint while others are idle: a prefix gets hot, its
// only holder's queue grows, and the holder set doesn't follow.
func TestHotPrefixWidensAndCoolOneNarrows(t *testing.T) {
	r, endpoints := NewRouter(Params{}), group(8)
	first := r.Decide(0, newRand(), query(1), endpoints)
	busy := map[string]bool{first.Executor: true}
	// 50 requests a second of 1.25 s each fill about 63 running slots, 16 per endpoint.
	decideAtRate(r, endpoints, 20*time.Millisecond, 2*time.Second, 20*time.Millisecond, 6000, busy)
	if got := activeHolders(r); got < 4 || got > 6 {
		t.Fatalf("%d holders after two hot seconds, want 4 to 6", got)
	}
	rng := newRand()
	for now := 2 * time.Second; now < 70*time.Second; now += time.Second {
		setReports(endpoints, 0, nil)
		r.Decide(now, rng, query(1), endpoints)
	}
	if got := activeHolders(r); got != 1 {
		t.Errorf("%d holders after a long time with few requests, want 1", got)
	}
}

// Guards against a prefix that is computed again and again at different endpoints: the wait at
// its holder varies around the threshold, and a single threshold both adds and removes holders.
func TestHolderSetDoesNotFlap(t *testing.T) {
	r, endpoints := NewRouter(Params{}), group(8)
	first := r.Decide(0, newRand(), query(1), endpoints)
	busy := map[string]bool{first.Executor: true}
	total := 0
	for i := range 40 {
		queued := 600
		if i%2 == 1 {
			queued = 1800
		}
		from := time.Duration(i)*time.Second + 20*time.Millisecond
		for _, n := range decideAtRate(r, endpoints, from, from+900*time.Millisecond, 200*time.Millisecond, queued, busy) {
			total += n
		}
	}
	if total > 2 {
		t.Errorf("the prefix was computed %d times in 40 changes of the wait", total)
	}
}

// Guards against copies of a prefix that come and go, each computed anew: the wait of a prefix
// with several holders falls, but not for long or not by much, and a holder is removed at once.
func TestNarrowingNeedsALongLowWait(t *testing.T) {
	params := Params{}.withDefaults()
	tests := []struct {
		name  string
		wait  float64 // ms
		work  float64 // ms of engine time per request
		until time.Duration
		want  int
	}{
		{"between the thresholds", 40, 100, time.Minute, 2},
		{"low for a short time", 0, 100, 9 * time.Second, 2},
		{"low for long", 0, 100, 12 * time.Second, 1},
		{"low, but too much work for one", 0, 60000, time.Minute, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := heat{holders: 2}
			for now := time.Duration(0); now < tt.until; now += 100 * time.Millisecond {
				h.observe(now, &params, holderView{activeHolders: 2, waitMs: tt.wait, workMs: tt.work, copyCostMs: 100})
			}
			if h.holders != tt.want {
				t.Errorf("%d holders, want %d", h.holders, tt.want)
			}
		})
	}
}

// Guards against rarely requested prefixes that are held everywhere and evict hot ones: the
// holder of such a prefix is busy with others, and the wait alone adds a holder.
func TestCoolPrefixDoesNotWiden(t *testing.T) {
	params := Params{}.withDefaults()
	for _, tt := range []struct {
		every time.Duration
		work  float64 // ms of engine time per request
		wider bool
	}{
		{5 * time.Second, 60000, false},    // rare
		{50 * time.Millisecond, 10, false}, // frequent, but little work
		{50 * time.Millisecond, 400, true},
	} {
		h := heat{holders: 1}
		for now := time.Duration(0); now < time.Minute; now += tt.every {
			h.observe(now, &params, holderView{activeHolders: h.holders, waitMs: 100, workMs: tt.work, copyCostMs: 400})
		}
		if wider := h.holders > 1; wider != tt.wider {
			t.Errorf("requested every %v: %d holders", tt.every, h.holders)
		}
	}
}

func TestOneObservationMovesTheWaitLittle(t *testing.T) {
	var s smoothedWait
	s.add(time.Hour, 100)
	if s.value > 100*maxWaitWeight {
		t.Errorf("smoothed wait of %.0f after one observation of 100", s.value)
	}
	for i := range 40 {
		s.add(time.Hour+time.Duration(i)*time.Second, 100)
	}
	if s.value < 99 {
		t.Errorf("smoothed wait of %.0f after many observations of 100", s.value)
	}
}

// Guards against one organisation that evicts everyone else's blocks at one endpoint: it brings
// one new prefix after another, and their common first level attracts them all to where that is
// held.
func TestShareOfOneCacheIsBounded(t *testing.T) {
	const cacheTokens, documents = 100000, 60
	r, endpoints := NewRouter(Params{CacheTokens: cacheTokens, MaxShare: 0.3}), group(8)
	rng := newRand()
	for i := range documents {
		r.Decide(time.Duration(i)*time.Second/4, rng, query(i), endpoints)
	}
	for k, tokens := range r.table.shares {
		if tokens > cacheTokens*3/10+4100 {
			t.Errorf("share of %d tokens at slot %d", tokens, k.slot)
		}
	}
}

// Guards against moving a small organisation's prefix, to be computed anew, although its holder
// would serve it at once: a large organisation's backlog fills the holder's queue, and all of it
// is counted as the small one's wait.
func TestBacklogOfAnotherDoesNotMoveSmallOrganisation(t *testing.T) {
	r, rng, endpoints := NewRouter(Params{}), newRand(), group(8)
	first := r.Decide(0, rng, query(1), endpoints)
	for i := range endpoints {
		if endpoints[i].ID == first.Executor {
			endpoints[i].Load.Running = DefaultMaxRunning
			endpoints[i].Load.Queued = 200
			endpoints[i].Load.DecodeTokens = 200 * 20
			endpoints[i].Load.Organisations = 1
		}
	}
	got := r.Decide(5*time.Second, rng, query(1), endpoints)
	if got.Executor != first.Executor {
		t.Errorf("moved to %s: %+v", got.Executor, got.Candidates)
	}
}

// Guards against computing each new prefix at two engines: a request is sent to an engine; a
// report that the engine lacks the prefix, made before the request arrived there, comes in; and
// it is taken to be newer than the decision when the next request follows.
func TestReportOlderThanDecisionDoesNotWithdraw(t *testing.T) {
	for _, full := range []bool{false, true} {
		r, rng, endpoints := NewRouter(Params{}), newRand(), group(8)
		q := query(1)
		first := r.Decide(10*time.Second, rng, q, endpoints)
		report := Advertisement{Endpoint: first.Executor, Epoch: first.Epoch, Incarnation: "i1", Full: full}
		if !full {
			report.Residents = []protocol.Resident{{Hash: q.Levels[0].Hash}, {Hash: q.Levels[1].Hash}}
		}
		r.ApplyAdvertisement(10*time.Second+200*time.Millisecond, report)
		got := r.Decide(10*time.Second+300*time.Millisecond, rng, q, endpoints)
		if got.Executor != first.Executor {
			t.Errorf("full %v: the second went to %s, the first to %s", full, got.Executor, first.Executor)
		}
		r.ApplyAdvertisement(20*time.Second, report)
		if held := r.Table().CachedTokens(20*time.Second, first.Executor, q.Levels[1].Hash); held != 0 {
			t.Errorf("full %v: still holds %d tokens after a later report", full, held)
		}
	}
}

// Guards against computing a new prefix at two engines as soon as it gets busy: some requests for
// it arrive while the first of them is still computing it, and their short wait is taken for a
// lasting queue.
func TestPrefixBeingComputedDoesNotWiden(t *testing.T) {
	r, rng, endpoints := NewRouter(Params{}), newRand(), group(8)
	used := map[string]bool{}
	for i := range 20 {
		used[r.Decide(time.Second+time.Duration(i)*10*time.Millisecond, rng, query(1), endpoints).Executor] = true
	}
	if len(used) != 1 {
		t.Errorf("computed at %d engines", len(used))
	}
}

// fluidQueue models an endpoint's running slots with exponential service times by their mean, in
// steps of a millisecond.
type fluidQueue struct{ requests, capacity, serviceMs float64 }

func (q *fluidQueue) step(arrived float64) {
	q.requests += arrived - min(q.requests, q.capacity)/q.serviceMs
}

// Guards against sending all requests of a second to one endpoint and those of the next to
// another: load reports come once a second, one endpoint is reported idle, another with a queue
// that is gone soon after, and the reports are taken for the current state.
func TestOccupancyFollowsTheQueueBetweenReports(t *testing.T) {
	tests := []struct {
		name                 string
		own, others, service float64 // requests per second; service in ms
	}{
		{"short requests, steady", 20, 0, 200},
		{"long requests, steady", 4, 0, 3000},
		{"requests of others too", 10, 20, 300},
		{"beyond its capacity", 60, 0, 400},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const capacity = 16
			q := fluidQueue{capacity: capacity, serviceMs: tt.service}
			var o occupancy
			ownDue := 0.0
			for i := range 8000 {
				now := time.Duration(i) * time.Millisecond
				q.step(tt.others / 1000)
				if i%1000 == 999 {
					o.report(now, now, amount{requests: q.requests}, capacity, tt.service)
				}
				if ownDue += tt.own / 1000; ownDue >= 1 {
					ownDue--
					q.step(1)
					o.advance(now, capacity, tt.service)
					o.add(now, amount{requests: 1})
				}
				o.advance(now, capacity, tt.service)
				if i > 4000 && math.Abs(o.estimate.requests-q.requests) > 2+q.requests/10 {
					t.Fatalf("after %v: %.1f requests estimated, %.1f present", now, o.estimate.requests, q.requests)
				}
			}
		})
	}
}

func TestAdvertisementsTeachARestartedOwner(t *testing.T) {
	r, rng, endpoints := NewRouter(Params{}), newRand(), group(4)
	q := query(1)
	r.ApplyAdvertisement(0, Advertisement{
		Endpoint: endpoints[2].ID, Epoch: endpoints[2].Epoch, Incarnation: "i1", Version: "v1", Full: true,
		Residents: []protocol.Resident{{Hash: q.Levels[0].Hash, Tokens: 2000}, {Hash: q.Levels[1].Hash, Tokens: 4000}},
	})
	if got := r.Decide(time.Second, rng, q, endpoints); got.Executor != endpoints[2].ID || got.PredictedCached != 4000 {
		t.Fatalf("%s with %d cached", got.Executor, got.PredictedCached)
	}
	r.ApplyAdvertisement(time.Minute, Advertisement{Endpoint: endpoints[2].ID, Epoch: endpoints[2].Epoch, Full: true})
	if held := r.Table().CachedTokens(time.Minute, endpoints[2].ID, prefix.Hash(101)); held != 0 {
		t.Errorf("still holds %d tokens after a full report without it", held)
	}
}

func TestConfirmedOutlivesPredicted(t *testing.T) {
	r, rng, endpoints := NewRouter(Params{}), newRand(), group(4)
	q := query(1)
	got := r.Decide(0, rng, q, endpoints)
	r.RequestFinished(time.Second, Outcome{Endpoint: got.Executor, Epoch: got.Epoch, Organisation: q.Organisation,
		Levels: q.Levels[:1], Ran: true})
	later := time.Second + DefaultPredictionTTL + time.Millisecond
	if held := r.Table().CachedTokens(later, got.Executor, q.Levels[1].Hash); held != 0 {
		t.Errorf("a prediction of %d tokens outlives its TTL", held)
	}
	if held := r.Table().CachedTokens(later, got.Executor, q.Levels[0].Hash); held != 2000 {
		t.Errorf("a confirmed level has %d tokens, want 2000", held)
	}
	r.Decide(2*time.Second, rng, q, endpoints)
	if held := r.Table().CachedTokens(later+2*time.Second, got.Executor, q.Levels[0].Hash); held != 2000 {
		t.Errorf("a decision turned a confirmed level into a prediction")
	}
}
