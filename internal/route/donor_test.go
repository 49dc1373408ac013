package route

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// checkDonor checks that a decision's donor is another endpoint, named by its current epoch,
// incarnation and weights, whose engine may hold a level of q that the executor isn't predicted
// to have.
func (f *fleet) checkDonor(t *rapid.T, q *Query, got Result) {
	d := got.Donor
	if d == nil {
		return
	}
	i := slices.IndexFunc(f.endpoints, func(e Endpoint) bool { return e.ID == d.Target.Endpoint })
	if i < 0 || d.Target.Endpoint == got.Executor {
		t.Fatalf("donor %+v of executor %s", d, got.Executor)
	}
	e := &f.endpoints[i]
	if d.Target.Epoch != e.Epoch || d.Incarnation != e.Load.Incarnation || d.Version != q.Version || !e.Load.EngineUp {
		t.Fatalf("donor %+v, but the endpoint is %+v", d, e)
	}
	if !slices.Contains(q.Levels, d.Level) || d.Level.Tokens <= got.PredictedCached || !f.held[e.ID][d.Level.Hash] {
		t.Fatalf("donor's level %+v; %d tokens are predicted at the executor", d.Level, got.PredictedCached)
	}
}

func TestDonor(t *testing.T) {
	fast := Params{TransferTokensPerSecond: 200000}
	tests := []struct {
		name   string
		params Params
		// change is applied after the first endpoint has run the prompt and, if confirmed is set,
		// has reported its outcome.
		confirmed bool
		change    func(holder *Endpoint, q *Query)
		want      bool
	}{
		{"leaving holder", fast, true, func(e *Endpoint, _ *Query) {}, true},
		{"predicted only", fast, false, func(e *Endpoint, _ *Query) {}, false},
		{"off", Params{}, true, func(e *Endpoint, _ *Query) {}, false},
		{"slower than computing", Params{TransferTokensPerSecond: 15000}, true, func(*Endpoint, *Query) {}, false},
		{"setup dearer than computing", Params{TransferTokensPerSecond: 200000, TransferSetup: time.Second}, true,
			func(e *Endpoint, _ *Query) {}, false},
		{"engine down", fast, true, func(e *Endpoint, _ *Query) { e.Load.EngineUp = false }, false},
		{"other incarnation", fast, true, func(e *Endpoint, _ *Query) { e.Load.Incarnation = "i2" }, false},
		{"other weights", fast, true, func(e *Endpoint, _ *Query) { e.Load.Version = "v2" }, false},
		{"other epoch", fast, true, func(e *Endpoint, _ *Query) { e.Epoch++ }, false},
		{"gone", fast, true, func(e *Endpoint, _ *Query) { e.Leaving, e.Alive = false, false }, false},
		{"failed at", fast, true, func(e *Endpoint, q *Query) { q.Exclude = []string{e.ID} }, false},
		{"suspect", fast, true, func(_ *Endpoint, q *Query) { q.Suspect = true }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, rng, endpoints, q := NewRouter(test.params), newRand(), group(2), query(1)
			first := r.Decide(0, rng, q, endpoints)
			holder := &endpoints[slices.IndexFunc(endpoints, func(e Endpoint) bool { return e.ID == first.Executor })]
			if test.confirmed {
				r.RequestFinished(time.Second, Outcome{Endpoint: holder.ID, Epoch: holder.Epoch, Organisation: q.Organisation,
					Levels: q.Levels, PromptTokens: q.PromptTokens, Ran: true})
			}
			holder.Alive, holder.Leaving = false, true
			test.change(holder, q)
			got := r.Decide(2*time.Second, rng, q, endpoints)
			if (got.Donor != nil) != test.want {
				t.Fatalf("donor %+v", got.Donor)
			}
			if test.want && (got.Donor.Target.Endpoint != holder.ID || got.Donor.Level != q.Levels[1]) {
				t.Errorf("donor %+v, want %s with %+v", got.Donor, holder.ID, q.Levels[1])
			}
		})
	}
}
