package wait

import (
	"context"
	"time"
)

// runningTicks is how many looks at the clock a wait of running time takes.
const runningTicks = 6

// Answer waits for a value for a time in which this process runs: while it is held up, values wait in its
// sockets. received is false if none came, or ctx ended.
func Answer[T any](ctx context.Context, values <-chan T, limit time.Duration) (value T, received bool) {
	interval := limit / runningTicks
	tick := time.NewTicker(interval)
	defer tick.Stop()
	running := runningTime{last: time.Now(), longest: interval}
	for running.total < limit {
		select {
		case value = <-values:
			return value, true
		case <-ctx.Done():
			return value, false
		case <-tick.C:
			running.look(time.Now())
		}
	}
	return value, false
}

// runningTime adds up the time between looks at the clock. Of what is longer than the longest pause between
// two, the process was held up.
type runningTime struct {
	last           time.Time
	longest, total time.Duration
}

func (r *runningTime) look(now time.Time) {
	r.total += min(now.Sub(r.last), r.longest)
	r.last = now
}
