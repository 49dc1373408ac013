package engine

import (
	"context"
	"time"

	api "skylarklead/internal/engine"
)

// loadSampleInterval is how often the load is sampled for lagged reports.
const loadSampleInterval = 20 * time.Millisecond

type loadSample struct {
	at   time.Time
	load api.Load
}

// runLoadSampler samples the load periodically until ctx ends.
func (e *Engine) runLoadSampler(ctx context.Context) {
	for ctx.Err() == nil {
		e.waitWhileFrozen(ctx)
		e.sampleLoad(time.Now())
		sleep(ctx, loadSampleInterval)
	}
}

// sampleLoad samples the load and drops samples that are too old to be reported.
func (e *Engine) sampleLoad(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loadSamples = append(e.loadSamples, loadSample{at: now, load: e.currentLoad()})
	oldest := now.Add(-milliseconds(e.settings.LoadLagMs))
	for len(e.loadSamples) > 1 && !e.loadSamples[1].at.After(oldest) {
		e.loadSamples = e.loadSamples[1:]
	}
}

// laggedLoad returns the newest sample that is at least LoadLagMs old, or the
// oldest one if there is none that old yet.
func (e *Engine) laggedLoad(now time.Time) api.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.LoadLagMs == 0 || len(e.loadSamples) == 0 {
		return e.currentLoad()
	}
	reported := e.loadSamples[0]
	oldest := now.Add(-milliseconds(e.settings.LoadLagMs))
	for _, s := range e.loadSamples {
		if s.at.After(oldest) {
			break
		}
		reported = s
	}
	reported.load.AgeMs = now.Sub(reported.at).Milliseconds()
	return reported.load
}

func (e *Engine) currentLoad() api.Load {
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
