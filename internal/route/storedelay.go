package route

import (
	"math"
	"math/rand/v2"
	"time"
)

// storeDelays is by how much requests lately began later for fetching from each store of
// kept cache.
//
// A store sends one prefix after the other. Near its limit, a burst leaves a queue that
// never drains: each fetch waits for a second or two, the callers come late, and all keep
// asking. It is seen as requests with a store as source that begin after 900 ms where those
// with a replica do after 140, for as long as the load lasts; engines read the same in 40
// to 60. So as many requests as keep the delay bearable fetch, the others read.
type storeDelays struct {
	known map[string]*storeDelay
}

type storeDelay struct {
	ms float64
	at time.Duration
}

const (
	// storeLearning is the weight of the latest fetch, storeHalfLife how fast a delay is
	// forgotten: a store that nobody asks drains its queue within the two seconds that a
	// fetch may wait.
	storeLearning = 0.2
	storeHalfLife = time.Second
)

// fetched takes by how much a request began later than its reading explains, in
// milliseconds.
func (s *storeDelays) fetched(store string, ms float64, now time.Duration) {
	d := s.known[store]
	if d == nil {
		d = &storeDelay{}
		s.known[store] = d
	}
	before := s.delay(store, now)
	d.ms, d.at = before+storeLearning*(max(0, ms)-before), now
}

// delay is what a fetch is expected to take, in milliseconds.
func (s *storeDelays) delay(store string, now time.Duration) float64 {
	d := s.known[store]
	if d == nil {
		return 0
	}
	return d.ms * math.Exp2(-float64(now-d.at)/float64(storeHalfLife))
}

// bears draws whether a request may fetch from a store where a delay of most milliseconds
// is bearable, 0 for any. Of those that ask, the part is let through that brings the
// delay back to it.
func (s *storeDelays) bears(store string, most float64, now time.Duration, rng *rand.Rand) bool {
	delay := s.delay(store, now)
	return most <= 0 || delay <= most || rng.Float64() < most/delay
}
