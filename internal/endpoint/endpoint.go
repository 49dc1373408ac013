// Package endpoint implements the process that runs beside each engine or plain
// service. It connects the packages that decide (route, admit, attempt, cachemap,
// member, lease) with sessions, back end and platform, and makes no decisions of its
// own.
//
// All decisions are taken on one goroutine, the loop, which owns every field that
// isn't marked as shared. Whatever may block (a peer's socket, the back end, the
// platform) runs on goroutines of its own and posts its result to the loop.
package endpoint

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"skylarklead/internal/admit"
	"skylarklead/internal/attempt"
	"skylarklead/internal/cachemap"
	"skylarklead/internal/engine"
	"skylarklead/internal/follow"
	"skylarklead/internal/platform"
	"skylarklead/internal/protocol"
	"skylarklead/internal/route"
	"skylarklead/internal/settings"
	"skylarklead/internal/telemetry"
	"skylarklead/internal/wire"
)

// tickInterval is how often the loop checks its timeouts and periodic work.
const tickInterval = 100 * time.Millisecond

// kindService is the value of settings.Endpoint.Kind for a plain service.
const kindService = "service"

// Endpoint is one running endpoint process.
type Endpoint struct {
	// These are shared; the fields are set once at the start.
	settings    *settings.Settings
	tel         *telemetry.Telemetry
	log         *slog.Logger
	started     time.Time
	loop        *mailbox
	pool        *wire.Pool
	handshakes  *wire.Handshakes
	config      *follow.Follower
	platformLog *platform.Log
	engine      *engine.Client  // nil beside a plain service
	service     *engine.Service // nil beside an engine

	// These take the decisions.
	rng       *rand.Rand
	router    *route.Router
	admission *admit.Core
	poison    *attempt.PoisonTracker
	registry  *attempt.Registry
	cacheView *cachemap.View
	group     group

	// executions are running or can still be resumed. The admitted ones wait for
	// other attempts to leave the engine.
	executions      executionTable
	admitted        []*execution
	claims          claims
	weights         weightReconciler
	transfers       transfers
	watch           engineWatch
	drain           drainState
	heartbeatSeq    uint64
	sentEngineState engineState
	// sentLevelVersion is the cache view's level version up to which owners are
	// informed.
	sentLevelVersion uint64
	backlogTrigger   route.BacklogTrigger
}

// Run serves peers until ctx ends and the last stream has ended.
func Run(ctx context.Context, s *settings.Settings, tel *telemetry.Telemetry) error {
	e := newEndpoint(s, tel)
	options := wire.Options{Key: s.Key(), AdditionalKeys: s.AdditionalKeys(), Self: e.identity, Handler: peerHandler{e}, Traffic: tel.Metrics.Traffic, Handshakes: e.handshakes}
	e.pool = wire.NewPool(options)
	defer e.pool.Close()
	instances := platform.NewInstances(s.Platform.Instances)
	instances.OnSkipped = func(err error) { e.log.Warn("instances of the list skipped", "error", err) }
	e.config = follow.FromSettings(s, e.platformLog, instances, e.pool, e.log)
	server, err := listen(e, options)
	if err != nil {
		return err
	}
	defer server.Close()
	// Streams outlive ctx, whose end only begins the drain.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	context.AfterFunc(ctx, func() { e.loop.postUnbounded(e.stopWhenDrained) })
	e.startBackground(work, instances)
	e.loop.run(work, e.drain.finished)
	return nil
}

func newEndpoint(s *settings.Settings, tel *telemetry.Telemetry) *Endpoint {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	e := &Endpoint{
		settings:   s,
		tel:        tel,
		log:        tel.Log,
		started:    time.Now(),
		loop:       newMailbox(),
		handshakes: wire.NewHandshakes(),
		rng:        rng,
		router:     route.NewRouter(route.ParamsOf(s.Endpoint)),
		admission:  admit.NewCore(admit.ParamsFromSettings(s.Endpoint)),
		poison:     attempt.NewPoisonTracker(attempt.DefaultPoisonParams),
		registry:   attempt.NewRegistry(outcomeRetention),
		cacheView:  cachemap.New(cachemap.Params{}),
		group:      newGroup(s.ID, s.Endpoint.Heartbeat.D(), s.Endpoint.SuspectAfter.D(), rng),
		executions: make(executionTable),
		drain:      newDrainState(),
	}
	e.platformLog = platform.NewLog(s.Platform.Log)
	e.claims = e.newClaims()
	e.weights = e.newWeightReconciler()
	if s.Endpoint.Kind == kindService {
		e.service = engine.NewService(s.Endpoint.Backend)
	} else {
		e.engine = engine.NewClient(s.Endpoint.Backend)
	}
	return e
}

// now is the time used in all decisions: monotonic since the process started.
func (e *Endpoint) now() time.Duration { return time.Since(e.started) }

// identity is shared: sessions are opened on goroutines of their own.
func (e *Endpoint) identity() protocol.Identity {
	return protocol.Identity{
		ID:            e.settings.ID,
		Role:          protocol.RoleEndpoint,
		Epoch:         e.tel.Epoch,
		FailureDomain: e.settings.FailureDomain,
		Group:         e.settings.Endpoint.Group,
		Address:       e.settings.Advertise,
		ConfigOffset:  e.state().Offset,
	}
}

func (e *Endpoint) startBackground(ctx context.Context, instances *platform.Instances) {
	go e.tickUntil(ctx)
	go e.claims.reader.run(ctx)
	go func() {
		if err := e.config.Run(ctx); ctx.Err() == nil {
			e.log.Error("configuration follower stopped", "error", err)
		}
	}()
	go instances.Poll(ctx, listInterval, func(list []platform.Instance, err error) {
		e.loop.postUnbounded(func() { e.onList(list, err) })
		e.pool.VerifyKey(ctx, platform.OtherAddresses(list, e.settings.ID))
		e.tel.LogKeyStatus(e.handshakes)
	})
	if e.engine != nil {
		go e.watchEngine(ctx)
		go e.watchEvents(ctx)
		go e.weights.reader.run(ctx)
	}
}

func (e *Endpoint) tickUntil(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.loop.post(e.tick)
		}
	}
}

func (e *Endpoint) tick() {
	now := e.now()
	e.expireExecutions()
	e.stopFrozenRuns()
	e.performAdmission(e.admission.Tick(now))
	e.cacheView.Tick(now)
	e.logPeerChanges()
	e.updateClaims()
	e.reconcileWeights()
	e.sendDueHeartbeats()
	e.pool.Sweep(time.Now())
	e.checkDrained()
}
