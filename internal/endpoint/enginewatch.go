package endpoint

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarklead/internal/cachemap"
	"skylarklead/internal/engine"
	"skylarklead/internal/prefix"
	"skylarklead/internal/protocol"
	"skylarklead/internal/route"
)

const (
	// loadInterval is how often the engine's load report is read; after
	// maxMissedReports failures in a row the engine counts as down.
	loadInterval     = 250 * time.Millisecond
	maxMissedReports = 2
	// loadTimeout bounds one read of the load report; together with
	// maxMissedReports it detects a frozen engine within two seconds.
	loadTimeout = 750 * time.Millisecond
	// eventsRetryInterval is the pause before the event stream is reopened.
	eventsRetryInterval = 200 * time.Millisecond
)

// engineWatch is what is known of the engine.
type engineWatch struct {
	up            bool
	downAt        time.Duration // when it went down, 0 for never
	missedReports int
	incarnation   string
	model         string
	version       string
	load          engine.Load
	loadAt        time.Duration
	// lostIncarnation is the last incarnation that was found lost.
	lostIncarnation string
	// crashCount counts the engine crashes recorded so far.
	crashCount int
	freeze     freeze
	// backoffUntil is until when the engine accepts no work, by its Retry-After on a
	// refusal.
	backoffUntil time.Duration
	// resyncFrom is where a resync wants the event stream to begin, 0 for none;
	// cancelEvents ends the current stream.
	resyncFrom   uint64
	cancelEvents context.CancelFunc
}

// watchEngine polls the load report until ctx ends.
func (e *Endpoint) watchEngine(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		callCtx, stop := context.WithTimeout(ctx, loadTimeout)
		requestedAt := e.now()
		load, err := e.engine.Load(callCtx)
		stop()
		e.loop.postUnbounded(func() { e.onLoad(requestedAt, load, err) })
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// markEngineDown takes the engine as down after a failed connection, as after missed
// load reports: until the next report, it would refuse every request.
func (e *Endpoint) markEngineDown(err error) {
	if e.watch.up {
		e.watch.up, e.watch.downAt = false, e.now()
		e.log.Warn("engine down", "error", err)
		e.advertiseEngineState()
	}
}

// maxBackoff is the longest backoff that an engine can request.
const maxBackoff = 10 * time.Minute

// startBackoff stops sending work to an engine that has asked for a backoff. An
// engine that still got work would refuse all of it, and callers would get nothing
// but refusals.
func (e *Endpoint) startBackoff(backoff time.Duration) {
	now := e.now()
	if e.watch.backoffUntil <= now {
		e.log.Info("engine asked for a backoff", "rest_ms", backoff.Milliseconds())
	}
	e.watch.backoffUntil = max(e.watch.backoffUntil, now+min(backoff, maxBackoff))
}

// backoffLeft is for how long the engine accepts no work, 0 if it accepts it now.
func (e *Endpoint) backoffLeft() time.Duration { return max(0, e.watch.backoffUntil-e.now()) }

// onLoad handles a load report that was requested at requestedAt. Its age counts from
// there: on a busy machine an answer can take longer than the report is old, and a
// report from before a change of weights would count as one from after it.
func (e *Endpoint) onLoad(requestedAt time.Duration, load engine.Load, err error) {
	w := &e.watch
	if err != nil {
		w.missedReports++
		if w.missedReports >= maxMissedReports {
			e.markEngineDown(err)
			e.detectFreeze(err)
		}
		return
	}
	if w.incarnation != "" && load.Incarnation != w.incarnation {
		w.backoffUntil = 0
		e.onIncarnationLost(w.incarnation)
	}
	if !w.up {
		e.logEngineUp(load)
	}
	e.endFreeze()
	now := e.now()
	reportedAt := requestedAt - time.Duration(load.AgeMs)*time.Millisecond
	e.performResync(e.cacheView.Observe(now, now-reportedAt, load.Incarnation, load.Weights))
	w.up, w.missedReports = true, 0
	w.incarnation = load.Incarnation
	if !e.weights.loading && (e.weights.loadedAt == 0 || reportedAt > e.weights.loadedAt) {
		// The report lags: it names the old weights for a while after the engine's
		// state was read back with the new ones. Accepting it would start the orders
		// again.
		w.model, w.version = load.Model, load.Version
	}
	w.load, w.loadAt = load, reportedAt
	e.advertiseEngineState()
}

// logEngineUp logs an engine's first answer, or the first one after it was down.
func (e *Endpoint) logEngineUp(load engine.Load) {
	attrs := []any{"incarnation", load.Incarnation, "model", load.Model, "version", load.Version}
	if e.watch.downAt == 0 {
		e.log.Info("engine up", attrs...)
		return
	}
	down := e.now() - e.watch.downAt
	e.log.Warn("engine up", append(attrs, "down_ms", down.Milliseconds())...)
}

// onAttemptCrash counts the crash that ended an attempt. An engine that crashes again
// before its load report is read has lost an incarnation that this process has no
// name for: attempts on it carry the name of one that was lost before. Identified by
// that name alone, such a crash would not be counted, and a request that crashes the
// engine as soon as it is back would be sent to it again and again.
func (e *Endpoint) onAttemptCrash(a *execution) {
	switch {
	case a.incarnation != e.watch.lostIncarnation:
		e.onIncarnationLost(a.incarnation)
	case a.crashCount == e.watch.crashCount:
		e.recordCrash(a.incarnation)
	}
}

// onIncarnationLost counts a crash against all requests that ran on a lost
// incarnation, once per incarnation.
func (e *Endpoint) onIncarnationLost(incarnation string) {
	if incarnation == "" || incarnation == e.watch.lostIncarnation {
		return
	}
	e.recordCrash(incarnation)
}

// lostEngine identifies the engine that was lost last over the group.
func (e *Endpoint) lostEngine() uint64 {
	return xxhash.Sum64String(fmt.Sprint(e.settings.ID, " ", e.tel.Epoch, " ", e.watch.crashCount))
}

func (e *Endpoint) recordCrash(incarnation string) {
	e.watch.lostIncarnation = incarnation
	e.watch.crashCount++
	crashCounts := e.poison.RecordCrash(e.lostEngine(), e.now())
	e.tel.Metrics.Count("engine_crashes", 1)
	e.log.Warn("engine crashed", "incarnation", incarnation, "struck", len(crashCounts))
	for _, s := range crashCounts {
		if s.GivenUp {
			e.log.Warn("request given up", "fingerprint", fmt.Sprintf("%016x", s.Fingerprint))
		}
	}
	if len(crashCounts) > 0 {
		// An owner without this report would run a suspect beside other requests, or
		// on one engine more than the limit.
		e.sendHeartbeatToAll()
	}
}

// watchEvents follows the engine's cache events until ctx ends.
func (e *Endpoint) watchEvents(ctx context.Context) {
	for ctx.Err() == nil {
		streamCtx, cancel := context.WithCancel(ctx)
		from := make(chan uint64, 1)
		e.loop.postUnbounded(func() { from <- e.openEvents(cancel) })
		select {
		case <-ctx.Done():
		case start := <-from:
			err := e.engine.Events(streamCtx, start, func(event engine.CacheEvent) error {
				e.loop.postUnbounded(func() { e.onCacheEvent(event) })
				return nil
			})
			e.log.Debug("cache event stream ended", "error", err)
		}
		cancel()
		select {
		case <-ctx.Done():
		case <-time.After(eventsRetryInterval):
		}
	}
}

// openEvents returns the sequence number from which the next event stream is read.
func (e *Endpoint) openEvents(cancel context.CancelFunc) uint64 {
	from := e.watch.resyncFrom
	if from == 0 {
		from = e.cacheView.NextSeq()
	}
	e.watch.resyncFrom = 0
	e.watch.cancelEvents = cancel
	e.cacheView.Connected(from)
	return from
}

func (e *Endpoint) onCacheEvent(event engine.CacheEvent) {
	e.performResync(e.cacheView.Apply(e.now(), cachemap.Event{
		Seq:         event.Seq,
		Incarnation: event.Incarnation,
		Weights:     event.Weights,
		Kind:        cachemap.Kind(event.Type),
		Hashes:      []prefix.Hash(event.Hashes),
	}))
}

// performResync reopens the event stream where the cache view asks for it.
func (e *Endpoint) performResync(actions []cachemap.Action) {
	for _, action := range actions {
		if resync, ok := action.(cachemap.Resync); ok && e.watch.resyncFrom == 0 {
			e.tel.Metrics.Count("cache_resyncs", 1)
			e.watch.resyncFrom = resync.From
			if e.watch.cancelEvents != nil {
				e.watch.cancelEvents()
			}
		}
	}
}

// engineState is what owners base placement on; changes are sent at once.
type engineState struct {
	up                          bool
	incarnation, model, version string
}

func (e *Endpoint) engineState() engineState {
	w := &e.watch
	return engineState{up: w.up && !e.weights.loading, incarnation: w.incarnation, model: w.model, version: w.version}
}

// load returns this endpoint's load summary.
func (e *Endpoint) load() protocol.Load {
	summary := e.admission.Summary()
	load := protocol.Load{
		Running:      summary.Running,
		Queued:       summary.Queued,
		QueuedTokens: summary.QueuedTokens,
		DecodeTokens: summary.DecodeTokens,
		Saturated:    summary.Saturated,
		// Owners estimate from it how long an organisation's request will wait.
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
	load.CacheViewStale = e.cacheView.Stale()
	load.CacheViewAgeMs = (e.now() - w.loadAt).Milliseconds()
	return load
}
