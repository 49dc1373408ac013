package admit

import (
	"math"
	"sort"
	"time"
)

// Reopening describes when a replica that takes no requests now will do so again.
type Reopening struct {
	// At is when the replica takes its first request. From then on it takes Rate more
	// a second; with Unlimited it takes any number.
	At   time.Duration
	Rate float64
}

// Unlimited is the Rate of a replica without a rate limit.
var Unlimited = math.Inf(1)

// UpcomingCapacity holds the reopenings of all replicas that could take a request.
type UpcomingCapacity []Reopening

// maxAdvisedWait bounds the Retry-After that a caller gets.
const maxAdvisedWait = time.Minute

// AcceptedBy is how many requests will have been accepted by the given time.
func (c UpcomingCapacity) AcceptedBy(until time.Duration) int {
	n := 0.0
	for _, o := range c {
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

// TimeUntil is the time from now until n requests will have been accepted, at most
// maxAdvisedWait.
func (c UpcomingCapacity) TimeUntil(n int, now time.Duration) time.Duration {
	const steps = int(maxAdvisedWait / (10 * time.Millisecond))
	at := sort.Search(steps, func(i int) bool { return c.AcceptedBy(now+maxAdvisedWait/time.Duration(steps)*time.Duration(i)) >= n })
	return maxAdvisedWait / time.Duration(steps) * time.Duration(at)
}
