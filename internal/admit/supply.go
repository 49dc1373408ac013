package admit

import (
	"math"
	"sort"
	"time"
)

// Opening is a replica that takes nothing now and is known to do so again.
type Opening struct {
	// At is from when on it takes requests: one, and Rate a second beside. Unlimited is the Rate of
	// one that then takes as many as come.
	At   time.Duration
	Rate float64
}

// Unlimited is told in Opening.
var Unlimited = math.Inf(1)

// Supply are the openings of all replicas that could take a request.
type Supply []Opening

// longestWait bounds what a caller is told to wait.
const longestWait = time.Minute

// Places is how many requests will have been taken until a time.
func (s Supply) Places(until time.Duration) int {
	n := 0.0
	for _, o := range s {
		switch {
		case o.At > until:
		case o.Rate == Unlimited:
			return math.MaxInt
		default:
			n += 1 + math.Floor(o.Rate*(until-o.At).Seconds())
		}
	}
	return int(min(n, math.MaxInt32))
}

// Wait is the time from now until so many requests will have been taken.
func (s Supply) Wait(n int, now time.Duration) time.Duration {
	const steps = int(longestWait / (10 * time.Millisecond))
	at := sort.Search(steps, func(i int) bool { return s.Places(now+longestWait/time.Duration(steps)*time.Duration(i)) >= n })
	return longestWait / time.Duration(steps) * time.Duration(at)
}
