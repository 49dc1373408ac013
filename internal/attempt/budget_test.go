package attempt

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Symptom: one failure becomes a storm: every cut stream is retried, hedged and
// sent again, and the retries fail too.
// Cause looked for: extra work that no share of the requests bounds.
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

// Symptom: a small organisation's request fails with the one engine that crashed.
// Sequence: a large one is refused for its backlog; the engine of the small one's
// request crashes.
// Cause: the budget is off for everybody, so the request isn't run again.
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
