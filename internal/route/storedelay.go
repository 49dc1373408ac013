package route

import (
	"math"
	"math/rand/v2"
	"time"
)

// storeDelays tracks by how much fetches from each KV store have recently delayed requests.
//
// A store sends one prefix after another. Near its limit, a burst leaves a queue that never
// drains: each fetch waits for a second or two, requests are late, and all keep asking. Requests
// that fetch from a store then start after 900 ms, those that fetch from a replica after 140, for
// as long as the load lasts; engines prefill the same prefix in 40 to 60. So only as many requests
// fetch as keep the delay bearable; the others prefill.
type storeDelays struct {
	byStore map[string]*storeDelay
}

type storeDelay struct {
	ms float64
	at time.Duration
}

const (
	// storeLearningRate is the weight of the latest fetch. storeDelayHalfLife is how fast a delay
	// is forgotten: a store without new requests drains its queue within the two seconds that a
	// fetch may wait.
	storeLearningRate  = 0.2
	storeDelayHalfLife = time.Second
)

// observe records a request that fetched from a store and started delayMs later than its own
// prefill explains.
func (s *storeDelays) observe(store string, delayMs float64, now time.Duration) {
	d := s.byStore[store]
	if d == nil {
		d = &storeDelay{}
		s.byStore[store] = d
	}
	before := s.delay(store, now)
	d.ms, d.at = before+storeLearningRate*(max(0, delayMs)-before), now
}

// delay is the expected extra delay of a fetch, in milliseconds.
func (s *storeDelays) delay(store string, now time.Duration) float64 {
	d := s.byStore[store]
	if d == nil {
		return 0
	}
	return d.ms * math.Exp2(-float64(now-d.at)/float64(storeDelayHalfLife))
}

// allowFetch decides at random whether a request may fetch from a store if a delay of maxDelayMs
// is acceptable, 0 for any. It lets through the fraction of requests that brings the delay back
// to that bound.
func (s *storeDelays) allowFetch(store string, maxDelayMs float64, now time.Duration, rng *rand.Rand) bool {
	delay := s.delay(store, now)
	return maxDelayMs <= 0 || delay <= maxDelayMs || rng.Float64() < maxDelayMs/delay
}
