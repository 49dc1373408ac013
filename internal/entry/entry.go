// Package entry is the role of the thin processes behind the platform's
// balancer: callers' HTTP on one side, the endpoint processes on the other. An
// entry keeps nothing that it cannot lose. It wires the decision packages to
// sockets; what to do is decided by them.
package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/follow"
	"skylarklead/internal/platform"
	"skylarklead/internal/settings"
	"skylarklead/internal/telemetry"
	"skylarklead/internal/wire"
)

// awaitEndpoints is how long the callers' listener waits for the first endpoint.
const awaitEndpoints = 5 * time.Second

// Entry is one entry process.
type Entry struct {
	settings  *settings.Settings
	tel       *telemetry.Telemetry
	began     time.Time
	config    configuration
	directory *directory
	hub       *hub
	inFlight  *inFlight
	drain     *drain
	chooser   *chooser
	options   wire.Options
	pool      *wire.Pool
	timeouts  timeouts
	// stopping is closed when new requests begin to be refused.
	stopping   chan struct{}
	background sync.WaitGroup

	// budgetMu guards budget, which the plans of all requests share.
	budgetMu sync.Mutex
	budget   *attempt.Budget
}

// Run serves callers and peers until ctx ends and the last answer is out.
func Run(ctx context.Context, s *settings.Settings, tel *telemetry.Telemetry) error {
	e, err := newEntry(s, tel)
	if err != nil {
		return err
	}
	return e.run(ctx)
}

func newEntry(s *settings.Settings, tel *telemetry.Telemetry) (*Entry, error) {
	if s.Entry == nil {
		return nil, errors.New("entry: settings have no entry part")
	}
	e := &Entry{
		settings: s,
		tel:      tel,
		began:    time.Now(),
		hub:      newHub(tel),
		inFlight: newInFlight(),
		drain:    newDrain(),
		timeouts: defaultTimeouts,
		stopping: make(chan struct{}),
	}
	var err error
	if e.chooser, err = newChooser(s.Entry.Policy, e.now); err != nil {
		return nil, err
	}
	params := attempt.DefaultBudgetParams
	params.Share = s.Entry.RetryShare
	e.budget = attempt.NewBudget(params)
	e.directory = newDirectory(s.ID, e.now)
	e.options = wire.Options{Key: s.Key(), AdditionalKeys: s.AdditionalKeys(), Self: e.self, Handler: e, Traffic: tel.Metrics.Traffic, Handshakes: wire.NewHandshakes()}
	e.pool = wire.NewPool(e.options)
	instances := platform.NewInstances(s.Platform.Instances)
	e.config = follow.FromSettings(s, platform.NewLog(s.Platform.Log), instances, e.pool, tel.Log)
	return e, nil
}

// now is the monotonic time since this process began.
func (e *Entry) now() time.Duration { return time.Since(e.began) }

func (e *Entry) run(ctx context.Context) error {
	// What serves the requests in flight goes on until they have ended.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	peers, err := wire.Listen(e.settings.Listen)
	if err != nil {
		return fmt.Errorf("entry: peers: %w", err)
	}
	peerServer := e.peerServer()
	defer peerServer.Close()
	go e.serve(peerServer, peers)
	e.background.Go(func() { e.follow(serving) })
	e.background.Go(func() { e.sweep(serving) })
	e.background.Go(func() { e.pollInstances(serving) })
	defer e.background.Wait()
	defer e.pool.Close()
	defer stop()
	if !e.awaitReady(ctx) {
		return nil
	}
	server, err := e.callerServer()
	if err != nil {
		return err
	}
	callers, err := e.listenCallers()
	if err != nil {
		return err
	}
	go e.serve(server, callers)
	e.tel.Log.Info("serving", "listen", callers.Addr().String(), "config_offset", e.config.State().Offset)
	<-ctx.Done()
	e.shutDown(server)
	return nil
}

func (e *Entry) listenCallers() (net.Listener, error) {
	listener, err := net.Listen("tcp", e.settings.Entry.Listen)
	if err != nil {
		return nil, fmt.Errorf("entry: callers: %w", err)
	}
	return listener, nil
}

func (e *Entry) serve(server *http.Server, listener net.Listener) {
	var err error
	if server.TLSConfig != nil {
		err = server.ServeTLS(listener, "", "")
	} else {
		err = server.Serve(listener)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		e.tel.Log.Error("listener ended", "listen", listener.Addr().String(), "error", err)
	}
}

// follow keeps the configuration up to date.
func (e *Entry) follow(ctx context.Context) {
	if err := e.config.Run(ctx); err != nil && ctx.Err() == nil {
		e.tel.Log.Error("configuration isn't followed any more", "error", err)
	}
}

// awaitReady waits until there is a configuration and an endpoint is known, so
// that the first caller after listening is served. A fleet without endpoints is
// waited for only so long: its callers get errors that say so.
func (e *Entry) awaitReady(ctx context.Context) bool {
	select {
	case <-e.config.Ready():
	case <-ctx.Done():
		return false
	}
	patience := time.NewTimer(awaitEndpoints)
	defer patience.Stop()
	select {
	case <-e.directory.known:
	case <-patience.C:
		e.tel.Log.Warn("no endpoint is known yet")
	case <-ctx.Done():
		return false
	}
	return true
}
