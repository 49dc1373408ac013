package admit

import (
	"math"
	"sort"
	"time"
)

// Reopening is a replica that takes nothing now and is known to do so again.
type Reopening struct {
	// At is from when on it takes requests: one, and Rate a second beside. Unlimited is the Rate of
	// one that then takes as many as come.
	At   time.Duration
	Rate float64
}

// Unlimited is told in Opening.
var Unlimited = math.Inf(1)

// UpcomingCapacity are the openings of all replicas that could take a request.
type UpcomingCapacity []Reopening

// longestWait bounds what a caller is told to wait.
const longestWait = time.Minute

// AcceptedBy is how many requests will have been taken until a time.
func (s UpcomingCapacity) AcceptedBy(until time.Duration) int {
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

// TimeUntil is the time from now until so many requests will have been taken.
func (s UpcomingCapacity) TimeUntil(n int, now time.Duration) time.Duration {
	const steps = int(longestWait / (10 * time.Millisecond))
	at := sort.Search(steps, func(i int) bool { return s.AcceptedBy(now+longestWait/time.Duration(steps)*time.Duration(i)) >= n })
	return longestWait / time.Duration(steps) * time.Duration(at)
}
