package route

import (
	"math/rand/v2"
	"testing"
	"time"
)

// store sends one prefix after another, each taking the given time.
type slowStore struct{ freeAt, perFetch time.Duration }

func (s *slowStore) fetch(now time.Duration) time.Duration {
	const longest = 2 * time.Second // a fetch that would wait longer isn't sent
	wait := max(0, s.freeAt-now)
	if wait > longest {
		return longest
	}
	s.freeAt = now + wait + s.perFetch
	return wait + s.perFetch
}

// Requests ask a store for as much as it can send, and for a few seconds for half as much again.
// After such a burst at 155 requests a second over three stores, requests that fetched from a
// store started after 900 ms at the median for as long as the load lasted. The sending speed of
// those stores isn't known; 23 ms stands in for it.
func TestAStoreRecoversFromABurst(t *testing.T) {
	lateAfter := func(most float64) int {
		s := slowStore{perFetch: 23 * time.Millisecond}
		delays := storeDelays{byStore: map[string]*storeDelay{}}
		rng := rand.New(rand.NewPCG(1, 2))
		lateFetches := 0
		for now := time.Duration(0); now < 40*time.Second; {
			interval := 23 * time.Millisecond
			if now > 5*time.Second && now < 10*time.Second {
				interval = 15 * time.Millisecond
			}
			now += time.Duration(rng.ExpFloat64() * float64(interval))
			if !delays.allowFetch("s", most, now, rng) {
				continue
			}
			elapsed := s.fetch(now)
			delays.observe("s", ms(elapsed), now)
			if now > 15*time.Second && elapsed > 500*time.Millisecond {
				lateFetches++
			}
		}
		return lateFetches
	}
	if n := lateAfter(0); n < 500 {
		t.Fatalf("%d fetches are late without a bound, want at least 500: the burst doesn't overload the store", n)
	}
	if n := lateAfter(200); n > 20 {
		t.Errorf("%d fetches are late five seconds after the burst", n)
	}
}
