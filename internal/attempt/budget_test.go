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
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(p)
		now := time.Duration(0)
		requests, extra := 0, 0
		for range 500 {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				b.Request(now)
				requests++
			case 1:
				now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond
			case 2:
				if b.Allow(Extra(rapid.IntRange(0, int(extraKinds)-1).Draw(t, "kind")), now) {
					extra++
				}
			case 3:
				if rapid.IntRange(0, 9).Draw(t, "saturated") == 0 {
					b.Saturated(now)
					if b.Allow(ExtraRetry, now+p.SaturationHold-1) {
						t.Fatalf("extra work while saturated")
					}
				}
			}
			bound := p.Burst + p.Share*float64(requests) + p.Floor*(now+p.SaturationHold).Seconds()
			if float64(extra) > bound+1e-6 {
				t.Fatalf("%d extra for %d requests in %v", extra, requests, now)
			}
		}
	})
}
