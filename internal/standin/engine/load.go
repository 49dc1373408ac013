package engine

import (
	"context"
	"time"

	api "skylarklead/internal/engine"
)

// loadSampleEvery is how often the load is noted for lagged reports.
const loadSampleEvery = 20 * time.Millisecond

type loadSample struct {
	at   time.Time
	load api.Load
}

// sampleLoads notes the load now and then until ctx ends.
func (e *Engine) sampleLoads(ctx context.Context) {
	for ctx.Err() == nil {
		e.thaw(ctx)
		e.sample(time.Now())
		sleep(ctx, loadSampleEvery)
	}
}

// sample notes the load and drops what is too old to be reported.
func (e *Engine) sample(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loads = append(e.loads, loadSample{at: now, load: e.loadNow()})
	oldest := now.Add(-milliseconds(e.settings.LoadLagMs))
	for len(e.loads) > 1 && !e.loads[1].at.After(oldest) {
		e.loads = e.loads[1:]
	}
}

// lagged returns the newest load that is at least the lag old, or the oldest
// there is just after the start.
func (e *Engine) lagged(now time.Time) api.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.LoadLagMs == 0 || len(e.loads) == 0 {
		return e.loadNow()
	}
	chosen := e.loads[0]
	oldest := now.Add(-milliseconds(e.settings.LoadLagMs))
	for _, s := range e.loads {
		if s.at.After(oldest) {
			break
		}
		chosen = s
	}
	chosen.load.AgeMs = now.Sub(chosen.at).Milliseconds()
	return chosen.load
}

func (e *Engine) loadNow() api.Load {
	state := e.orders.state
	return api.Load{
		Incarnation:   e.incarnation,
		Weights:       state.Version,
		Model:         state.Model,
		Version:       state.Version,
		Role:          state.Role,
		Running:       len(e.running),
		Waiting:       len(e.waiting),
		KVUsedBlocks:  len(e.cache.blocks) + e.cache.reserved,
		KVTotalBlocks: e.cache.total,
	}
}
