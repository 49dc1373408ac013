// Package entry implements the role entry: the processes behind the platform's load
// balancer that accept callers' HTTP requests and send them to endpoint processes.
// An entry holds no state that it could not lose. The decisions are made by other
// packages (attempt, member, route); this one connects them to sockets.
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
	"skylarklead/internal/delivery"
	"skylarklead/internal/follow"
	"skylarklead/internal/platform"
	"skylarklead/internal/settings"
	"skylarklead/internal/telemetry"
	"skylarklead/internal/wire"
)

// initialEndpointTimeout bounds how long callers' listening is delayed until the
// first endpoint is known.
const initialEndpointTimeout = 5 * time.Second

// Entry is one entry process.
type Entry struct {
	settings  *settings.Settings
	tel       *telemetry.Telemetry
	startedAt time.Time
	config    configuration
	directory *directory
	demux     *messageDemux
	inFlight  *inFlightCounter
	drain     *drain
	chooser   *chooser
	options   wire.Options
	pool      *wire.Pool
	timeouts  timeouts
	// stopping is closed when this entry begins to refuse new requests.
	stopping chan struct{}
	// answers is the memory for answers that are buffered.
	answers *answerMemory
	// ending is closed when what is left has to be answered, before this entry is killed.
	ending     chan struct{}
	background sync.WaitGroup

	// budgetMu guards budget, which the plans of all requests share.
	budgetMu sync.Mutex
	budget   *attempt.Budget
}

// Run serves callers and peers until ctx ends and the last answer is complete.
func Run(ctx context.Context, s *settings.Settings, tel *telemetry.Telemetry) error {
	e, err := newEntry(s, tel)
	if err != nil {
		return err
	}
	return e.run(ctx)
}

func newEntry(s *settings.Settings, tel *telemetry.Telemetry) (*Entry, error) {
	if s.Entry == nil {
		return nil, errors.New("entry: settings have no section entry")
	}
	e := &Entry{
		settings:  s,
		tel:       tel,
		startedAt: time.Now(),
		demux:     newDemux(tel),
		inFlight:  newInFlight(),
		drain:     newDrain(),
		timeouts:  defaultTimeouts,
		stopping:  make(chan struct{}),
		ending:    make(chan struct{}),
		answers:   newAnswerMemory(maxBufferedAnswers),
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

// now is the monotonic time since this process started.
func (e *Entry) now() time.Duration { return time.Since(e.startedAt) }

func (e *Entry) run(ctx context.Context) error {
	// Requests in flight need these services until the requests have ended.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	peers, err := wire.Listen(e.settings.Listen)
	if err != nil {
		return fmt.Errorf("entry: listen for peers: %w", err)
	}
	peerServer := e.newPeerServer()
	defer peerServer.Close()
	go e.serve(peerServer, peers)
	e.background.Go(func() { e.followConfig(serving) })
	e.background.Go(func() { e.sweep(serving) })
	e.background.Go(func() { e.pollInstances(serving) })
	defer e.background.Wait()
	defer e.pool.Close()
	defer stop()
	if !e.awaitReady(ctx) {
		return nil
	}
	server, err := e.newCallerServer()
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
	e.shutDown(server, callers)
	return nil
}

func (e *Entry) listenCallers() (*delivery.Listener, error) {
	listener, err := net.Listen("tcp", e.settings.Entry.Listen)
	if err != nil {
		return nil, fmt.Errorf("entry: listen for callers: %w", err)
	}
	return delivery.NewListener(listener, delivery.DefaultLimit), nil
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

// followConfig keeps the configuration up to date.
func (e *Entry) followConfig(ctx context.Context) {
	if err := e.config.Run(ctx); err != nil && ctx.Err() == nil {
		e.tel.Log.Error("configuration follower stopped", "error", err)
	}
}

// awaitReady waits until there is a configuration and a known endpoint, so that the
// first caller after listening starts can be served. It stops waiting for an
// endpoint after initialEndpointTimeout: callers of a fleet without endpoints then
// get errors that say so. It returns false if ctx ended.
func (e *Entry) awaitReady(ctx context.Context) bool {
	select {
	case <-e.config.Ready():
	case <-ctx.Done():
		return false
	}
	timeout := time.NewTimer(initialEndpointTimeout)
	defer timeout.Stop()
	select {
	case <-e.directory.hasEndpoint:
	case <-timeout.C:
		e.tel.Log.Warn("no endpoint known yet; serving callers without one")
	case <-ctx.Done():
		return false
	}
	return true
}
