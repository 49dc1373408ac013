package route

import (
	"math/rand/v2"
	"testing"
	"time"
)

// store sends one prefix after the other, each in the time given.
type store struct{ freeAt, each time.Duration }

func (s *store) fetch(now time.Duration) time.Duration {
	const longest = 2 * time.Second // what would wait for longer isn't sent
	wait := max(0, s.freeAt-now)
	if wait > longest {
		return longest
	}
	s.freeAt = now + wait + s.each
	return wait + s.each
}

// The pattern: requests ask a store for as much as it can send, and for a few seconds half
// as much again. Grounds: 155 requests a second with one of three stores as source began after
// 900 ms at the median for as long as the load lasted after such a burst. How fast those
// stores sent isn't known; the 23 ms here stand for it.
func TestAStoreRecoversFromABurst(t *testing.T) {
	lateAfter := func(most float64) int {
		s := store{each: 23 * time.Millisecond}
		delays := storeDelays{known: map[string]*storeDelay{}}
		rng := rand.New(rand.NewPCG(1, 2))
		late := 0
		for now := time.Duration(0); now < 40*time.Second; {
			every := 23 * time.Millisecond
			if now > 5*time.Second && now < 10*time.Second {
				every = 15 * time.Millisecond
			}
			now += time.Duration(rng.ExpFloat64() * float64(every))
			if !delays.bears("s", most, now, rng) {
				continue
			}
			took := s.fetch(now)
			delays.fetched("s", ms(took), now)
			if now > 15*time.Second && took > 500*time.Millisecond {
				late++
			}
		}
		return late
	}
	if n := lateAfter(0); n < 500 {
		t.Fatalf("%d fetches are late without a bound; the pattern isn't what it should be", n)
	}
	if n := lateAfter(200); n > 20 {
		t.Errorf("%d fetches are late five seconds after the burst", n)
	}
}
