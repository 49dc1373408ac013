// Package endpoint is the role of the one process beside each engine or plain
// service. It wires the decision packages to sessions, back end and platform
// and decides nothing itself.
//
// All decisions are taken on one goroutine, the loop, which owns every field
// that isn't said to be shared. Whatever may block (a peer's socket, the back
// end, the platform) runs on goroutines of its own and posts its result to the
// loop.
package endpoint

import (
	"context"
	"log/slog"
	"time"

	"skylarklead/internal/engine"
	"skylarklead/internal/settings"
	"skylarklead/internal/telemetry"
	"skylarklead/internal/wire"
)

// tickInterval is how often the loop looks at what is due.
const tickInterval = 100 * time.Millisecond

// Endpoint is the running role.
type Endpoint struct {
	settings *settings.Settings
	tel      *telemetry.Telemetry
	log      *slog.Logger
	started  time.Time
	loop     *mailbox
	pool     *wire.Pool
	engine   *engine.Client
	service  *engine.Service

	attempts attemptTable
	gate     gate
	drain    drainState
}

// Run serves peers until ctx ends and the last stream has.
func Run(ctx context.Context, s *settings.Settings, tel *telemetry.Telemetry) error {
	e := newEndpoint(s, tel)
	options := wire.Options{Key: s.Key(), Self: e.identity, Handler: peerHandler{e}, Traffic: tel.Metrics.Traffic}
	e.pool = wire.NewPool(options)
	defer e.pool.Close()
	server, err := listen(e, options)
	if err != nil {
		return err
	}
	defer server.Close()
	// Streams outlive ctx, which only begins the drain.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	context.AfterFunc(ctx, func() { e.loop.post(e.stopWhenDrained) })
	e.startBackground(work)
	e.loop.run(work, e.drain.finished)
	return nil
}

func newEndpoint(s *settings.Settings, tel *telemetry.Telemetry) *Endpoint {
	e := &Endpoint{
		settings: s,
		tel:      tel,
		log:      tel.Log,
		started:  time.Now(),
		loop:     newMailbox(),
		attempts: newAttemptTable(),
		drain:    newDrainState(),
	}
	if s.Endpoint.Kind == kindService {
		e.service = engine.NewService(s.Endpoint.Backend)
	} else {
		e.engine = engine.NewClient(s.Endpoint.Backend)
	}
	return e
}

// kindService is settings.Endpoint.Kind of a plain service.
const kindService = "service"

// now is the time that decisions go by: monotonic since the process started.
func (e *Endpoint) now() time.Duration { return time.Since(e.started) }

// identity is shared: sessions are opened on goroutines of their own.
func (e *Endpoint) identity() wire.Identity {
	return wire.Identity{
		ID:            e.settings.ID,
		Role:          wire.RoleEndpoint,
		Epoch:         e.tel.Epoch,
		FailureDomain: e.settings.FailureDomain,
		Group:         e.settings.Endpoint.Group,
		Address:       e.settings.Advertise,
	}
}

func (e *Endpoint) startBackground(ctx context.Context) {
	go e.tickUntil(ctx)
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
	e.expireAttempts()
	e.pool.Sweep(time.Now())
	e.checkDrained()
}
