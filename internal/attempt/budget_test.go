package attempt

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against retry storms: one failure cuts many streams, and every one of them is
// retried, hedged and sent again without a bound relative to the number of requests.
func TestBudgetBoundsExtraWork(t *testing.T) {
	p := DefaultBudgetParams
	organisations := rapid.SampledFrom([]string{"a", "b"})
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(p)
		now := time.Duration(0)
		requests, extra := 0, 0
		for range 500 {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				b.RecordRequest(now)
				requests++
			case 1:
				now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond
			case 2:
				kind := ExtraKind(rapid.IntRange(0, int(extraKinds)-1).Draw(t, "kind"))
				if b.Allow(kind, organisations.Draw(t, "organisation"), now) {
					extra++
				}
			case 3:
				if rapid.IntRange(0, 9).Draw(t, "saturated") == 0 {
					refused := organisations.Draw(t, "refused")
					b.RecordSaturation(refused, now)
					if b.Allow(ExtraRetry, refused, now+p.SaturationHold-1) {
						t.Fatalf("extra work while saturated")
					}
				}
			}
			bound := p.Burst + p.Share*float64(requests) + p.MinPerSecond*(now+p.SaturationHold).Seconds()
			if float64(extra) > bound+1e-6 {
				t.Fatalf("%d extra for %d requests in %v", extra, requests, now)
			}
		}
	})
}

// Guards against an organisation losing its retries because of another one: a large
// organisation is refused for its backlog, then the engine that runs a small one's
// request crashes. The small one's request must still be retried.
func TestRefusalsOfOneOrganisationLeaveOthersTheirRetries(t *testing.T) {
	b := NewBudget(DefaultBudgetParams)
	b.RecordSaturation("large", 0)
	if b.Allow(ExtraRetry, "large", time.Second) {
		t.Error("the large one's refused work is sent again")
	}
	if !b.Allow(ExtraRetry, "small", time.Second) {
		t.Error("the small one is refused a retry")
	}
	if !b.Allow(ExtraRetry, "large", DefaultBudgetParams.SaturationHold) {
		t.Error("the large one is refused retries for ever")
	}
}

// Guards against runs that are lost together with their replicas under a steady load and find no
// budget, although retries have left their share unused; against a share that is kept for longer
// than the operator's window; and against retries that use it up.
func TestUnusedShareIsKeptForContinuations(t *testing.T) {
	p := BudgetParams{Share: 0.2, Burst: 2, CarryOver: 3 * time.Second}
	const perSecond = 50
	steady := func() (*Budget, time.Duration) {
		b := NewBudget(p)
		var now time.Duration
		for range 20 * perSecond {
			now += time.Second / perSecond
			b.RecordRequest(now)
		}
		return b, now
	}
	allowed := func(b *Budget, kind ExtraKind, now time.Duration) (n int) {
		for b.Allow(kind, "", now) {
			n++
		}
		return n
	}
	b, now := steady()
	if n := allowed(b, ExtraRetry, now); n > int(p.Burst) {
		t.Errorf("%d retries at once; want %v", n, p.Burst)
	}
	kept := p.Share * perSecond * p.CarryOver.Seconds()
	if n := allowed(b, ExtraContinuation, now); float64(n) > kept+1 || float64(n) < 0.9*kept {
		t.Errorf("%d continuations at once; want about %v", n, kept)
	}
	b, now = steady()
	if n := allowed(b, ExtraContinuation, now+5*p.CarryOver); float64(n) > p.Burst {
		t.Errorf("%d continuations long after the last request; want %v", n, p.Burst)
	}
}
