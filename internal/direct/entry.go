package direct

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"skylarklead/internal/delivery"
	"skylarklead/internal/fleet"
	"skylarklead/internal/origin"
	"skylarklead/internal/route"
	"skylarklead/internal/settings"
	"skylarklead/internal/telemetry"
	"skylarklead/internal/upstream"
)

const (
	// initialConfigTimeout is how long the first connections wait in the kernel's accept queue
	// for a configuration with its limits; callers give up after one second.
	initialConfigTimeout = 700 * time.Millisecond
	// sweepInterval is the pause between checks for idle connections and replicas whose
	// record has expired.
	sweepInterval = 250 * time.Millisecond
	// bodyMemoryDivisor is the divisor of the memory setting that gives the memory for
	// request bodies.
	bodyMemoryDivisor = 4
	// retryBudgetMargin scales down the allowed retry budget: a request counts here when it
	// arrives but at replicas a little later, so their count of requests lags.
	retryBudgetMargin = 0.75
	// carryOverDivisor is the divisor of the window over which retries are counted that gives for
	// how long their unused share is kept for continuations: the share of a window and what is left of
	// the one before must not exceed the operator's, of which retryBudgetMargin is in use.
	carryOverDivisor = 3
	// maxOwnHeadBytes bounds the head of a request of a peer or of the platform.
	maxOwnHeadBytes = 16 << 10
)

// defaultLimits apply until the first configuration is known.
var defaultLimits = fleet.Limits{
	HeaderBytes:   16 << 10,
	BodyBytes:     4 << 20,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   15 * time.Second,
}

// Entry is an entry that dispatches requests to replicas itself.
type Entry struct {
	settings *settings.Settings
	// reloadable holds the settings that may change at run time; loadSettings reads them again.
	reloadable   atomic.Pointer[settings.Direct]
	loadSettings SettingsLoader
	tel          *telemetry.Telemetry
	platform     Platform
	clock        clock
	// bootClock is bootTime, which includes time during which the machine was suspended;
	// tests substitute it.
	bootClock func() time.Duration
	state     *state
	pool      *upstream.Pool
	rollouts  *rollouts
	monitor   *replicaMonitor
	peers     *peers
	quotas    *quotas
	verdicts  *verdicts
	uses      *softwareUses
	// hub is nil if every entry reads the store for itself.
	hub *hub
	// bodyMemory limits the bytes of request bodies held at once.
	bodyMemory *bodyMemory
	drain      *drain
	// callers accepts the callers' connections.
	callers *delivery.Listener
	// malformed reports records that can't be decoded.
	malformed *malformedRecords
}

// Run serves callers until ctx ends, then drains and returns.
// loadSettings reads the settings again; nil if they can't change.
func Run(ctx context.Context, s *settings.Settings, loadSettings SettingsLoader, tel *telemetry.Telemetry, p Platform) error {
	e := newEntry(s, tel, p)
	e.loadSettings = loadSettings
	callers, err := net.Listen("tcp", s.Direct.Listen)
	if err != nil {
		return fmt.Errorf("direct: callers: %w", err)
	}
	e.callers = delivery.NewListener(callers, delivery.DefaultLimit)
	ready, err := net.Listen("tcp", s.Direct.Ready)
	if err != nil {
		callers.Close()
		return fmt.Errorf("direct: readiness: %w", err)
	}
	if e.peers, err = newPeers(e); err != nil {
		callers.Close()
		ready.Close()
		return err
	}
	if s.Direct.StoreReaders == settings.StoreReadersFew {
		if err := e.startHub(); err != nil {
			callers.Close()
			ready.Close()
			e.peers.conn.Close()
			return err
		}
	}
	return e.run(ctx, ready)
}

// startHub makes this entry take part in relaying what a few entries read from the store.
func (e *Entry) startHub() error {
	l, err := net.Listen("tcp", e.settings.Direct.Peers)
	if err != nil {
		return fmt.Errorf("direct: peers: %w", err)
	}
	e.hub = newHub(e)
	e.hub.send = func(m *peerMessage, to netip.AddrPort) { e.peers.sendTo(m, to) }
	bulk, server := newBulk(), e.hub.serveBulk(l)
	e.hub.fetchTopic = bulk.fetch
	e.hub.close = func() {
		server.Close()
		bulk.client.CloseIdleConnections()
	}
	return nil
}

func newEntry(s *settings.Settings, tel *telemetry.Telemetry, p Platform) *Entry {
	d := s.Direct
	capacity := int64(d.MemoryMB) << 20 / bodyMemoryDivisor
	clock := clock{time.Now()}
	e := &Entry{
		settings:   s,
		tel:        tel,
		platform:   p,
		clock:      clock,
		bootClock:  bootTime,
		state:      newState(s.ID, retryBudgetParams(d)),
		pool:       upstream.NewPool(),
		bodyMemory: newBodyMemory(capacity, func() { tel.Metrics.Count("bodies_dropped", 1) }),
		drain:      newDrain(clock),
		malformed:  newMalformedRecords(tel),
	}
	e.state.refuseByForecast = d.RefuseByForecast
	e.reloadable.Store(d)
	e.state.onNewEngineService = e.exportEngineSpeeds
	e.setPrefixDonors(d)
	e.rollouts = newRollouts(e)
	e.monitor = newReplicaMonitor(e)
	e.quotas = newQuotas(e)
	e.verdicts = newVerdicts(e)
	e.uses = newSoftwareUses(e)
	e.state.uses = origin.NewLedger(e.streamLifetime(), clock.now())
	return e
}

// streamLifetime is how long after its beginning a stream may be taken up.
func (e *Entry) streamLifetime() time.Duration {
	return cmp.Or(e.settings.Direct.StreamLifetime.D(), origin.DefaultLifetime)
}

func (e *Entry) run(ctx context.Context, ready net.Listener) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var loops sync.WaitGroup
	loopFuncs := []func(context.Context){e.followOperator, e.followReplicas, e.rollouts.follow, e.rollouts.run, e.sweep, e.monitor.run, e.peers.run, e.reload, e.verdicts.run, e.uses.run}
	if e.hub != nil {
		loopFuncs = append(loopFuncs, e.hub.run)
	}
	for _, loop := range loopFuncs {
		loops.Go(func() { loop(background) })
	}
	readiness := e.serveReady(ready)
	e.awaitConfiguration(ctx)
	server := e.newServer()
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(e.callers) }()
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
		e.shutDown(server)
	}
	stop()
	loops.Wait()
	readiness.Close()
	e.pool.Close()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// awaitConfiguration waits up to initialConfigTimeout for the first configuration, because the
// HTTP server takes its limits from it.
func (e *Entry) awaitConfiguration(ctx context.Context) {
	deadline := time.NewTimer(initialConfigTimeout)
	defer deadline.Stop()
	for e.state.config.Load() == nil {
		e.state.mu.Lock()
		changed := e.state.changed
		e.state.mu.Unlock()
		if e.state.config.Load() != nil {
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (e *Entry) limits() fleet.Limits {
	if c := e.state.config.Load(); c != nil {
		return c.Limits
	}
	return defaultLimits
}

func (e *Entry) newServer() *http.Server {
	limits := e.limits()
	unused := new(unusedConns)
	server := &http.Server{
		ConnState:         unused.track,
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		Handler:           http.HandlerFunc(e.serveHTTP),
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.HeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return e.drain.requests },
		ErrorLog:          slog.NewLogLogger(e.tel.Log.Handler(), slog.LevelWarn),
	}
	server.RegisterOnShutdown(unused.closeAll)
	return server
}

// serveReady serves the readiness endpoint: 503 if no new connections should come.
func (e *Entry) serveReady(l net.Listener) *http.Server {
	r := mux.NewRouter()
	r.HandleFunc(e.platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !e.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}).Methods(http.MethodGet)
	server := &http.Server{Handler: r, ReadHeaderTimeout: defaultLimits.HeaderTimeout, MaxHeaderBytes: maxOwnHeadBytes}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			e.tel.Log.Error("readiness server failed", "error", err)
		}
	}()
	return server
}

func (e *Entry) ready() bool {
	return e.state.ready() && e.uses.settled.Load() && (!e.draining() || e.staysInRotation())
}

// exportEngineSpeeds registers gauges for the measured speed of a service's engines, in
// thousandths of the units of route.EngineSpeed.
func (e *Entry) exportEngineSpeeds(service string) {
	gauge := func(of func(route.EngineSpeed) float64) func() int64 {
		return func() int64 {
			e.state.mu.Lock()
			defer e.state.mu.Unlock()
			return int64(1000 * of(e.state.picker.EngineSpeeds()[service]))
		}
	}
	m := e.tel.Metrics
	m.Gauge("engine_tokens_a_second_"+service, gauge(func(s route.EngineSpeed) float64 { return s.TokensPerMs }))
	m.Gauge("engine_overhead_us_"+service, gauge(func(s route.EngineSpeed) float64 { return s.OverheadMs }))
	m.Gauge("engine_running_us_"+service, gauge(func(s route.EngineSpeed) float64 { return s.RunningMs }))
}

// sweep periodically closes idle connections and removes replicas whose record has expired and
// was not written again in time.
func (e *Entry) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := e.clock.now()
		e.checkListSilence(now)
		e.state.mu.Lock()
		removed := e.state.replicas.Tick(now)
		for _, id := range removed {
			e.state.forgetReplica(id)
		}
		e.state.picker.ForgetPeers(now - peerExpiry)
		e.state.outage.ForgetPeers(now - peerExpiry)
		known := make(map[string]bool)
		for _, id := range e.state.replicas.IDs() {
			known[id] = true
			r := e.state.replicas.Get(id)
			e.state.listUses(r, now)
		}
		e.state.mu.Unlock()
		for _, id := range removed {
			e.tel.Log.Info("replica gone", "replica", id, "reason", "record not renewed after an outage of the store")
		}
		e.pool.Sweep(func(r upstream.Replica) bool { return known[r.ID] })
	}
}
