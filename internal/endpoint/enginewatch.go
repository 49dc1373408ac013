package endpoint

import (
	"context"
	"fmt"
	"time"

	"skylarklead/internal/cachemap"
	"skylarklead/internal/engine"
	"skylarklead/internal/prefix"
	"skylarklead/internal/protocol"
	"skylarklead/internal/route"
)

const (
	// loadInterval is how often the engine's load report is read; after
	// missedLoads failures in a row the engine counts as down.
	loadInterval = 250 * time.Millisecond
	missedLoads  = 2
	// loadTimeout bounds a look at the load; with missedLoads it tells a frozen
	// engine within two seconds.
	loadTimeout = 750 * time.Millisecond
	// eventsPause is the pause before the event stream is opened again.
	eventsPause = 200 * time.Millisecond
)

// engineWatch is what is known of the engine.
type engineWatch struct {
	up          bool
	downAt      time.Duration // when it went down, 0 for never
	missed      int
	incarnation string
	model       string
	version     string
	load        engine.Load
	loadAt      time.Duration
	// crashed is the last incarnation that was found lost.
	crashed string
	// crashes counts the crashes that strikes were given for.
	crashes int
	freeze  freeze
	// restUntil is until when the engine wants nothing, as it has said when it refused a request.
	restUntil time.Duration
	// from is where a resync wants the event stream, 0 for none; cancel ends the
	// present stream.
	from   uint64
	cancel context.CancelFunc
}

// watchEngine polls the load report until ctx ends.
func (e *Endpoint) watchEngine(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		callCtx, stop := context.WithTimeout(ctx, loadTimeout)
		asked := e.now()
		load, err := e.engine.Load(callCtx)
		stop()
		e.loop.must(func() { e.onLoad(asked, load, err) })
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// engineUnreachable takes a connection's failure for a sign as good as missed
// load reports: until the next one, requests would only come to be refused.
func (e *Endpoint) engineUnreachable(err error) {
	if e.watch.up {
		e.watch.up, e.watch.downAt = false, e.now()
		e.log.Warn("engine down", "error", err)
		e.tellEngine()
	}
}

// maxRest is the longest rest that an engine is given at its word.
const maxRest = 10 * time.Minute

// engineRests takes an engine's word that it wants nothing for a time. An engine that goes on being
// handed work refuses all of it, and its callers get nothing but refusals.
func (e *Endpoint) engineRests(rest time.Duration) {
	now := e.now()
	if e.watch.restUntil <= now {
		e.log.Info("engine rests", "rest_ms", rest.Milliseconds())
	}
	e.watch.restUntil = max(e.watch.restUntil, now+min(rest, maxRest))
}

// restLeft is for how long the engine wants nothing, 0 if it takes work.
func (e *Endpoint) restLeft() time.Duration { return max(0, e.watch.restUntil-e.now()) }

// onLoad takes a load report that was asked for at asked. Its age counts from
// there: on a busy machine an answer takes longer than the report is old, and one
// from before a change would count as from after it.
func (e *Endpoint) onLoad(asked time.Duration, load engine.Load, err error) {
	w := &e.watch
	if err != nil {
		w.missed++
		if w.missed >= missedLoads {
			e.engineUnreachable(err)
			e.lookForFreeze(err)
		}
		return
	}
	if w.incarnation != "" && load.Incarnation != w.incarnation {
		w.restUntil = 0
		e.engineCrashed(w.incarnation)
	}
	if !w.up {
		e.logEngineUp(load)
	}
	e.thawed()
	now := e.now()
	at := asked - time.Duration(load.AgeMs)*time.Millisecond
	e.resync(e.picture.Observe(now, now-at, load.Incarnation, load.Weights))
	w.up, w.missed = true, 0
	w.incarnation = load.Incarnation
	if !e.placement.loading && (e.placement.doneAt == 0 || at > e.placement.doneAt) {
		// The lagging report names the old weights for a while after the engine
		// was read back with the new ones. Believed, it would start the orders
		// over again.
		w.model, w.version = load.Model, load.Version
	}
	w.load, w.loadAt = load, at
	e.tellEngine()
}

// logEngineUp tells of an engine's first answer, or of the first after it was down.
func (e *Endpoint) logEngineUp(load engine.Load) {
	attrs := []any{"incarnation", load.Incarnation, "model", load.Model, "version", load.Version}
	if e.watch.downAt == 0 {
		e.log.Info("engine up", attrs...)
		return
	}
	down := e.now() - e.watch.downAt
	e.log.Warn("engine up", append(attrs, "down_ms", down.Milliseconds())...)
}

// attemptCrashed counts the crash that an attempt met. An engine that crashes
// again before its load is read has lost an incarnation that this process has no
// name for: what ran on it carries the name of one that was lost before. Told by
// the name alone, such a crash would go uncounted, and a request that crashes the
// engine as soon as it is back would be handed over again and again.
func (e *Endpoint) attemptCrashed(a *execution) {
	switch {
	case a.incarnation != e.watch.crashed:
		e.engineCrashed(a.incarnation)
	case a.crashes == e.watch.crashes:
		e.strike(a.incarnation)
	}
}

// engineCrashed puts a strike on all that ran on a lost incarnation, once.
func (e *Endpoint) engineCrashed(incarnation string) {
	if incarnation == "" || incarnation == e.watch.crashed {
		return
	}
	e.strike(incarnation)
}

func (e *Endpoint) strike(incarnation string) {
	e.watch.crashed = incarnation
	e.watch.crashes++
	strikes := e.poison.RecordCrash(e.now())
	e.tel.Metrics.Count("engine_crashes", 1)
	e.log.Warn("engine crashed", "incarnation", incarnation, "struck", len(strikes))
	for _, s := range strikes {
		if s.GivenUp {
			e.log.Warn("request given up", "fingerprint", fmt.Sprintf("%016x", s.Fingerprint))
		}
	}
	if len(strikes) > 0 {
		// An owner that hasn't heard would send a suspect beside others, or to
		// one engine more than the bound.
		e.beatAll()
	}
}

// watchEvents follows the engine's cache events until ctx ends.
func (e *Endpoint) watchEvents(ctx context.Context) {
	for ctx.Err() == nil {
		streamCtx, cancel := context.WithCancel(ctx)
		from := make(chan uint64, 1)
		e.loop.must(func() { from <- e.openEvents(cancel) })
		select {
		case <-ctx.Done():
		case start := <-from:
			err := e.engine.Events(streamCtx, start, func(event engine.CacheEvent) error {
				e.loop.must(func() { e.onCacheEvent(event) })
				return nil
			})
			e.log.Debug("cache events ended", "error", err)
		}
		cancel()
		select {
		case <-ctx.Done():
		case <-time.After(eventsPause):
		}
	}
}

// openEvents returns where the event stream that is about to be opened starts.
func (e *Endpoint) openEvents(cancel context.CancelFunc) uint64 {
	from := e.watch.from
	if from == 0 {
		from = e.picture.NextSeq()
	}
	e.watch.from = 0
	e.watch.cancel = cancel
	e.picture.Connected(from)
	return from
}

func (e *Endpoint) onCacheEvent(event engine.CacheEvent) {
	e.resync(e.picture.Apply(e.now(), cachemap.Event{
		Seq:         event.Seq,
		Incarnation: event.Incarnation,
		Weights:     event.Weights,
		Kind:        cachemap.Kind(event.Type),
		Hashes:      []prefix.Hash(event.Hashes),
	}))
}

// resync opens the event stream anew where the picture wants it.
func (e *Endpoint) resync(actions []cachemap.Action) {
	for _, action := range actions {
		if resync, ok := action.(cachemap.Resync); ok && e.watch.from == 0 {
			e.tel.Metrics.Count("cache_resyncs", 1)
			e.watch.from = resync.From
			if e.watch.cancel != nil {
				e.watch.cancel()
			}
		}
	}
}

// engineState is what owners place by and must hear of at once.
type engineState struct {
	up                          bool
	incarnation, model, version string
}

func (e *Endpoint) engineState() engineState {
	w := &e.watch
	return engineState{up: w.up && !e.placement.loading, incarnation: w.incarnation, model: w.model, version: w.version}
}

// load is this endpoint's load summary.
func (e *Endpoint) load() protocol.Load {
	summary := e.admission.Summary()
	load := protocol.Load{
		Running:      summary.Running,
		Queued:       summary.Queued,
		QueuedTokens: summary.QueuedTokens,
		DecodeTokens: summary.DecodeTokens,
		Saturated:    summary.Saturated,
		// Owners tell by it how long an organisation's turn will take.
		Organisations: summary.Organisations,
		OutputShare:   summary.OutputShare,
		EngineUp:      true,
	}
	for _, name := range summary.Heavy {
		load.Heavy = append(load.Heavy, route.OrganisationHash(name))
	}
	if e.engine == nil {
		return load
	}
	w := &e.watch
	state := e.engineState()
	load.EngineUp, load.Incarnation = state.up, state.incarnation
	load.Model, load.Version = state.model, state.version
	load.CacheUsed = w.load.KVUsedBlocks * prefix.BlockTokens
	load.CacheTotal = w.load.KVTotalBlocks * prefix.BlockTokens
	load.CacheViewStale = e.picture.Stale()
	load.CacheViewAgeMs = (e.now() - w.loadAt).Milliseconds()
	return load
}
