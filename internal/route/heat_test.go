package route

import (
	"math"
	"testing"
	"time"

	"skylarklead/internal/prefix"
	"skylarklead/internal/protocol"
)

// load sets the reported queue of the named endpoints. The others have no report,
// so that the router's own account of what it sent there stands.
func load(endpoints []Endpoint, queuedTokens int, busy map[string]bool) {
	for i := range endpoints {
		endpoints[i].HasLoad = busy[endpoints[i].ID]
		endpoints[i].Load.QueuedTokens = queuedTokens
	}
}

// drive decides for one prefix at a steady rate while the busy endpoints report
// the given queue, and returns how many times each endpoint computed it.
func drive(r *Router, endpoints []Endpoint, from, until, every time.Duration, queuedTokens int, busy map[string]bool) map[string]int {
	rng := newRand()
	computed := map[string]int{}
	for now := from; now < until; now += every {
		load(endpoints, queuedTokens, busy)
		got := r.Decide(now, rng, query(1), endpoints)
		if got.PredictedCached < 4000 {
			computed[got.Executor]++
		}
	}
	return computed
}

func activeHolders(r *Router) int { return r.heat(0, r.key).holders }

// Symptom: an appeal's callers wait at one endpoint while others idle.
// Sequence: a prefix gets hot; its only holder's queue grows.
// Cause: the holder set doesn't follow the heat.
func TestHotPrefixWidensAndCoolOneNarrows(t *testing.T) {
	r, endpoints := NewRouter(Params{}), group(8)
	first := r.Decide(0, newRand(), query(1), endpoints)
	busy := map[string]bool{first.Executor: true}
	// 50 requests a second of 1.25 s each fill about 63 places, 16 an endpoint.
	drive(r, endpoints, 20*time.Millisecond, 2*time.Second, 20*time.Millisecond, 6000, busy)
	if got := activeHolders(r); got < 4 || got > 6 {
		t.Fatalf("%d holders after two hot seconds, want 4 to 6", got)
	}
	rng := newRand()
	for now := 2 * time.Second; now < 70*time.Second; now += time.Second {
		load(endpoints, 0, nil)
		r.Decide(now, rng, query(1), endpoints)
	}
	if got := activeHolders(r); got != 1 {
		t.Errorf("%d holders after a long cool time, want 1", got)
	}
}

// Symptom: a warm prefix is computed again and again at ever other endpoints.
// Sequence: the wait at its holder swings about the threshold.
// Cause: one threshold both widens and narrows.
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
		for _, n := range drive(r, endpoints, from, from+900*time.Millisecond, 200*time.Millisecond, queued, busy) {
			total += n
		}
	}
	if total > 2 {
		t.Errorf("the prefix was computed %d times in 40 swings", total)
	}
}

// Symptom: copies of a prefix come and go, each computed anew.
// Sequence: a widened prefix's wait falls, but not for long or not by much.
// Cause: one threshold both widens and narrows, at once.
func TestNarrowingNeedsALongLowWait(t *testing.T) {
	params := Params{}.withDefaults()
	tests := []struct {
		name  string
		wait  float64 // ms
		work  float64 // ms of engine time a request
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
				h.observe(now, &params, view{held: 2, wait: tt.wait, work: tt.work, copying: 100})
			}
			if h.holders != tt.want {
				t.Errorf("%d holders, want %d", h.holders, tt.want)
			}
		})
	}
}

// Symptom: prefixes that are asked for now and then are held everywhere and evict
// what is hot.
// Sequence: a cool prefix's holder is busy with others.
// Cause: a wait alone adds a holder.
func TestCoolPrefixDoesNotWiden(t *testing.T) {
	params := Params{}.withDefaults()
	for _, tt := range []struct {
		every time.Duration
		work  float64 // ms of engine time a request
		wider bool
	}{
		{5 * time.Second, 60000, false},    // seldom
		{50 * time.Millisecond, 10, false}, // often, but little work
		{50 * time.Millisecond, 400, true},
	} {
		h := heat{holders: 1}
		for now := time.Duration(0); now < time.Minute; now += tt.every {
			h.observe(now, &params, view{held: h.holders, wait: 100, work: tt.work, copying: 400})
		}
		if wider := h.holders > 1; wider != tt.wider {
			t.Errorf("asked for every %v: %d holders", tt.every, h.holders)
		}
	}
}

func TestOneObservationMovesTheWaitLittle(t *testing.T) {
	var s smooth
	s.add(time.Hour, 100)
	if s.value > 100*maxWaitShare {
		t.Errorf("%.0f after one observation of 100", s.value)
	}
	for i := range 40 {
		s.add(time.Hour+time.Duration(i)*time.Second, 100)
	}
	if s.value < 99 {
		t.Errorf("%.0f after many", s.value)
	}
}

// Symptom: everyone else's blocks are evicted at one endpoint.
// Sequence: one organisation brings one new charter after another.
// Cause: its first level draws them all to where that is held.
func TestShareOfOneCacheIsBounded(t *testing.T) {
	const cacheTokens, charters = 100000, 60
	r, endpoints := NewRouter(Params{CacheTokens: cacheTokens, MaxShare: 0.3}), group(8)
	rng := newRand()
	for i := range charters {
		r.Decide(time.Duration(i)*time.Second/4, rng, query(i), endpoints)
	}
	for k, tokens := range r.table.shares {
		if tokens > cacheTokens*3/10+4100 {
			t.Errorf("share of %d tokens at slot %d", tokens, k.slot)
		}
	}
}

// Symptom: a hospice's prefix is computed anew at another endpoint although its
// holder would have served it at once.
// Sequence: a large organisation's backlog fills the holder's queue.
// Cause: the whole queue is taken for the small one's wait.
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

// Symptom: each new prefix is computed at two engines.
// Sequence: a request is sent to an engine; a report that the engine lacks its
// prefix, made before the request came there, arrives; the next request follows.
// Cause: the report is taken for newer than the decision.
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
		if held := r.Table().Holds(20*time.Second, first.Executor, q.Levels[1].Hash); held != 0 {
			t.Errorf("full %v: still holds %d tokens after a later report", full, held)
		}
	}
}

// Symptom: a new prefix is computed at two engines as soon as it gets busy.
// Sequence: some requests for it come while the first of them is computing it.
// Cause: the wait for that is taken for a queue that stays.
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

// trueQueue is an endpoint with places that serves exponentially in the mean, in
// fluid steps of a millisecond.
type trueQueue struct{ requests, places, service float64 }

func (q *trueQueue) step(arrived float64) {
	q.requests += arrived - min(q.requests, q.places)/q.service
}

// Symptom: all requests of a second go to one endpoint, those of the next to
// another.
// Sequence: load reports come once a second; an endpoint is reported idle, another
// with a queue that is gone soon after.
// Cause: reports are taken for the present.
func TestOccupancyFollowsTheQueueBetweenReports(t *testing.T) {
	tests := []struct {
		name                 string
		own, others, service float64 // requests a second, ms
	}{
		{"short requests, steady", 20, 0, 200},
		{"long requests, steady", 4, 0, 3000},
		{"others too", 10, 20, 300},
		{"past what its places can do", 60, 0, 400},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const places = 16
			q := trueQueue{places: places, service: tt.service}
			var o occupancy
			due := 0.0
			for i := range 8000 {
				now := time.Duration(i) * time.Millisecond
				q.step(tt.others / 1000)
				if i%1000 == 999 {
					o.report(now, now, amount{requests: q.requests}, places, tt.service)
				}
				if due += tt.own / 1000; due >= 1 {
					due--
					q.step(1)
					o.advance(now, places, tt.service)
					o.add(now, amount{requests: 1})
				}
				o.advance(now, places, tt.service)
				if i > 4000 && math.Abs(o.value.requests-q.requests) > 2+q.requests/10 {
					t.Fatalf("after %v: %.1f estimated, %.1f there", now, o.value.requests, q.requests)
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
	if held := r.Table().Holds(time.Minute, endpoints[2].ID, prefix.Hash(101)); held != 0 {
		t.Errorf("still holds %d tokens after a full report without it", held)
	}
}

func TestConfirmedOutlivesPredicted(t *testing.T) {
	r, rng, endpoints := NewRouter(Params{}), newRand(), group(4)
	q := query(1)
	got := r.Decide(0, rng, q, endpoints)
	r.RequestFinished(time.Second, Outcome{Endpoint: got.Executor, Epoch: got.Epoch, Organisation: q.Organisation,
		Levels: q.Levels[:1], Ran: true})
	later := time.Second + DefaultPredictionLife + time.Millisecond
	if held := r.Table().Holds(later, got.Executor, q.Levels[1].Hash); held != 0 {
		t.Errorf("a prediction stands after its life: %d tokens", held)
	}
	if held := r.Table().Holds(later, got.Executor, q.Levels[0].Hash); held != 2000 {
		t.Errorf("a confirmed level holds %d tokens", held)
	}
	r.Decide(2*time.Second, rng, q, endpoints)
	if held := r.Table().Holds(later+2*time.Second, got.Executor, q.Levels[0].Hash); held != 2000 {
		t.Errorf("a decision made a confirmed level a prediction")
	}
}
