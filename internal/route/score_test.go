package route

import (
	"testing"
	"time"
)

// scored returns the first endpoint's candidate for a query with a new prefix.
func scored(r *Router, now time.Duration, endpoints []Endpoint) candidate {
	q := query(50)
	r.filter(q, endpoints)
	r.findCached(now, q)
	r.score(now, q, endpoints)
	return r.candidates[0]
}

func TestScoreRisesWith(t *testing.T) {
	now := 10 * time.Second
	huon := OrganisationHash("huon")
	tests := []struct {
		name   string
		change func(r *Router, e *Endpoint)
		part   func(candidate) float64
	}{
		{"running slots taken", func(_ *Router, e *Endpoint) { e.Load.Running = 12 },
			func(c candidate) float64 { return c.waitMs }},
		{"a backlog, if the organisation is heavy there", func(_ *Router, e *Endpoint) {
			e.Load.Queued = 100
			e.Load.Heavy = []uint64{huon}
		}, func(c candidate) float64 { return c.waitMs - 500 }},
		{"prompts to be computed", func(_ *Router, e *Endpoint) { e.Load.QueuedTokens = 2000 },
			func(c candidate) float64 { return c.waitMs }},
		{"tokens served from that cache", func(r *Router, _ *Endpoint) {
			r.table.slots[0].served.add(now, r.params.HeatHalfLife, 1e6)
		}, func(c candidate) float64 { return c.copyCostMs }},
		{"the organisation's share of that cache", func(r *Router, _ *Endpoint) {
			r.table.shares[shareKey{huon, 0}] = int(0.9 * r.params.MaxShare * float64(r.params.CacheTokens))
		}, func(c candidate) float64 { return c.copyCostMs }},
		{"crossing failure domains", func(_ *Router, e *Endpoint) { e.FailureDomain = "kingston-b" },
			func(c candidate) float64 { return c.score }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			calm := scored(NewRouter(Params{}), now, group(1))
			r, endpoints := NewRouter(Params{}), group(1)
			r.filter(query(50), endpoints)
			tt.change(r, &endpoints[0])
			q := query(50)
			q.FailureDomain = "hobart-a"
			r.filter(q, endpoints)
			r.findCached(now, q)
			r.score(now, q, endpoints)
			if got, was := tt.part(r.candidates[0]), tt.part(calm); got <= was || got <= 0 {
				t.Errorf("%.1f, want more than the %.1f without", got, was)
			}
		})
	}
}

func TestOverItsShareIsFull(t *testing.T) {
	r, endpoints := NewRouter(Params{}), group(1)
	if scored(r, 0, endpoints).overShare {
		t.Fatal("over its share with nothing cached")
	}
	r.table.shares[shareKey{OrganisationHash("huon"), 0}] = int(DefaultMaxShare * DefaultCacheTokens)
	if !scored(r, 0, endpoints).overShare {
		t.Error("not over its share with the share used up")
	}
}

// Guards against copies of a prefix that all stay in use after it has cooled: more endpoints hold
// it than it needs, and every holder is still chosen.
func TestSpareHoldersAreLeftOut(t *testing.T) {
	r, rng, endpoints := NewRouter(Params{}), newRand(), group(8)
	q := query(1)
	r.Decide(0, rng, q, endpoints)
	for _, e := range endpoints[:4] {
		r.RequestFinished(time.Second, Outcome{Endpoint: e.ID, Epoch: e.Epoch, Organisation: q.Organisation, Levels: q.Levels, Ran: true})
	}
	used := map[string]bool{}
	for i := range 20 {
		used[r.Decide(time.Duration(2+i)*time.Second, rng, q, endpoints).Executor] = true
	}
	if len(used) != 1 {
		t.Errorf("%d holders in use, want 1", len(used))
	}
}

func TestOldReportIsTakenOnce(t *testing.T) {
	var o occupancy
	o.report(time.Second, time.Second, amount{requests: 4}, 16, 1e6)
	o.add(time.Second, amount{requests: 1})
	o.report(time.Second+time.Millisecond, time.Second, amount{requests: 4}, 16, 1e6)
	if o.estimate.requests < 4.9 {
		t.Errorf("%.1f requests: the decision since the report was lost", o.estimate.requests)
	}
}

// Guards against one endpoint that computes prompts for half a second after a crash while others
// are idle, with the slowest first tokens at the end of its queue: the lost prefix is placed at
// one endpoint, and all requests bound to it follow before it is computed. An organisation within
// its share must not count only a share of the prompts ahead as its wait, since it overtakes only
// those of heavy organisations.
func TestLightOrganisationWaitsForTheOthersLikeIt(t *testing.T) {
	const other = 7
	tests := []struct {
		name  string
		heavy []uint64
		want  string
	}{
		{"nobody heavy", nil, "ledger-llm-1"},
		{"another heavy", []uint64{other}, "ledger-llm-0"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, rng, endpoints := NewRouter(Params{}), newRand(), group(2)
			q := query(1)
			r.Decide(0, rng, q, endpoints[:1])
			l := &endpoints[0].Load
			l.Running, l.DecodeTokens, l.QueuedTokens, l.Heavy = 8, 800, 10000, tt.heavy
			got := r.Decide(2*time.Second, rng, q, endpoints)
			if got.Executor != tt.want {
				t.Errorf("executor %s for reason %q, want %s", got.Executor, got.Reason, tt.want)
			}
		})
	}
}
