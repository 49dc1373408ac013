package load

import (
	"context"
	"sync"
	"time"

	"skylarklead/internal/wait"
)

// Run sends a workload's requests and returns what came of them, once the last
// one has ended. A cancelled ctx ends it early with what there is.
func Run(ctx context.Context, w Workload, o Options) (*Report, error) {
	if err := o.complete(); err != nil {
		return nil, err
	}
	arrivals := plan(&w, &o)
	b := newBalancer(o.Entries)
	c := newCaller(&o, b)
	defer c.client.CloseIdleConnections()
	t := newTally(&o)
	watching, stop := context.WithCancel(ctx)
	var background sync.WaitGroup
	if o.HealthCheckInterval > 0 {
		background.Go(func() { b.watch(watching, o.HealthCheckInterval) })
	}
	if o.Progress != nil {
		background.Go(func() { t.progress(watching) })
	}
	send(ctx, c, t, arrivals)
	stop()
	background.Wait()
	return t.report(w.Name), nil
}

// send starts each request at its time and waits for all of them.
func send(ctx context.Context, c *caller, t *tally, arrivals []arrival) {
	var wg sync.WaitGroup
	defer wg.Wait()
	start := time.Now()
	for i := range arrivals {
		a := &arrivals[i]
		due := start.Add(a.at)
		if wait.For(ctx, time.Until(due)) != nil {
			return
		}
		if !t.begin(time.Since(due)) {
			continue
		}
		wg.Go(func() { t.end(c.call(ctx, a, due)) })
	}
}
