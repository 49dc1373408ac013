package platform

import (
	"context"
	"sync/atomic"
	"time"
)

// weightSteps is in how many steps a fetch of weights goes on.
const weightSteps = 20

// weights is the rate-limited weight store: bound fetches go on at full speed,
// and more share that speed.
type weights struct {
	fetching atomic.Int64
}

// fetch returns when a fetch that takes d alone is through.
func (w *weights) fetch(ctx context.Context, d time.Duration, bound int) error {
	w.fetching.Add(1)
	defer w.fetching.Add(-1)
	tick := time.NewTicker(max(d/weightSteps, time.Millisecond))
	defer tick.Stop()
	for left := float64(weightSteps); left > 0; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		left -= min(1, float64(bound)/float64(w.fetching.Load()))
	}
	return nil
}
