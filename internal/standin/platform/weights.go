package platform

import (
	"context"
	"sync/atomic"
	"time"
)

// weightSteps is the number of steps of a fetch of weights.
const weightSteps = 20

// weightStore is a weight store with limited throughput: up to bound concurrent
// fetches run at full speed, more share the throughput of bound.
type weightStore struct {
	active atomic.Int64
}

// fetch takes as long as a fetch of weights that needs d at full speed.
func (w *weightStore) fetch(ctx context.Context, d time.Duration, bound int) error {
	w.active.Add(1)
	defer w.active.Add(-1)
	tick := time.NewTicker(max(d/weightSteps, time.Millisecond))
	defer tick.Stop()
	for remaining := float64(weightSteps); remaining > 0; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		remaining -= min(1, float64(bound)/float64(w.active.Load()))
	}
	return nil
}
