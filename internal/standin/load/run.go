package load

import (
	"context"
	"sync"
	"time"

	"skylarklead/internal/wait"
)

// Run sends a workload's requests and returns the report once the last one has
// ended. If ctx is cancelled, it stops early and reports the results so far.
func Run(ctx context.Context, w Workload, o Options) (*Report, error) {
	if err := o.applyDefaults(); err != nil {
		return nil, err
	}
	arrivals := plan(&w, &o)
	b := newBalancer(o.Entries)
	c := newCaller(&o, b)
	defer c.client.CloseIdleConnections()
	t := newResultCollector(&o)
	backgroundCtx, stop := context.WithCancel(ctx)
	var background sync.WaitGroup
	if o.HealthCheckInterval > 0 {
		background.Go(func() { b.pollReadiness(backgroundCtx, o.HealthCheckInterval) })
	}
	if o.Progress != nil {
		background.Go(func() { t.progress(backgroundCtx) })
	}
	sendAll(ctx, c, t, arrivals)
	stop()
	background.Wait()
	return t.report(w.Name), nil
}

// sendAll sends each request at its scheduled time and waits for all results.
func sendAll(ctx context.Context, c *caller, t *resultCollector, arrivals []arrival) {
	var wg sync.WaitGroup
	defer wg.Wait()
	start := time.Now()
	for i := range arrivals {
		a := &arrivals[i]
		due := start.Add(a.at)
		if wait.For(ctx, time.Until(due)) != nil {
			return
		}
		if !t.start(time.Since(due)) {
			continue
		}
		wg.Go(func() { t.end(c.send(ctx, a, due)) })
	}
}
