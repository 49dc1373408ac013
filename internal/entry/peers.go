package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"skylarklead/internal/follow"
	"skylarklead/internal/protocol"
	"skylarklead/internal/wire"
)

// sweepEvery is how often idle sessions are looked for.
const sweepEvery = 5 * time.Second

// self is what this process says of itself to peers.
func (e *Entry) self() protocol.Identity {
	id := protocol.Identity{
		ID:            e.settings.ID,
		Role:          protocol.RoleEntry,
		Epoch:         e.tel.Epoch,
		FailureDomain: e.settings.FailureDomain,
		Address:       e.settings.Advertise,
	}
	if id.Address == "" {
		id.Address = e.settings.Listen
	}
	if state := e.config.State(); state != nil {
		id.ConfigOffset = state.Offset
	}
	return id
}

// session returns an open session to address. A dial that others share isn't
// given up with the caller who happened to begin it.
func (e *Entry) session(ctx context.Context, address string) (*wire.Session, error) {
	type result struct {
		session *wire.Session
		err     error
	}
	got := make(chan result, 1)
	go func() {
		session, err := e.pool.Get(context.WithoutCancel(ctx), address)
		if err == nil {
			e.noteSession(session)
		}
		got <- result{session, err}
	}()
	select {
	case r := <-got:
		return r.session, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// noteSession takes what a session's opening showed of the peer.
func (e *Entry) noteSession(s *wire.Session) {
	e.directory.seen(s.Peer())
	e.config.PeerHasOffset(s.Peer().ConfigOffset, follow.SessionFetch(s))
}

// Handle implements wire.Handler; it never blocks.
func (e *Entry) Handle(s *wire.Session, ref uint32, m protocol.Message) {
	switch m := m.(type) {
	case *protocol.Start:
		e.hub.deliver(m.Attempt, arrival{m, s.Peer().Epoch})
	case *protocol.Chunk:
		e.hub.deliver(m.Attempt, arrival{m, s.Peer().Epoch})
	case *protocol.End:
		e.hub.deliver(m.Attempt, arrival{m, s.Peer().Epoch})
	default:
		// A reply may wait for the peer to read; the session's other messages don't.
		go e.answer(s, ref, m)
	}
}

// Closed implements wire.Handler. Attempts watch their session's end themselves.
func (e *Entry) Closed(s *wire.Session, err error) {
	e.tel.Log.Debug("session ended", "peer", s.Peer().ID, "error", err)
}

// answer replies to what peers and the tool ask of an entry.
func (e *Entry) answer(s *wire.Session, ref uint32, m protocol.Message) {
	e.noteSession(s)
	if ref == 0 {
		e.tel.Log.Warn("unexpected message", "peer", s.Peer().ID, "type", fmt.Sprintf("%T", m))
		return
	}
	// A failed reply closes the session; the peer sees that.
	_ = s.Reply(ref, e.replyTo(m))
}

func (e *Entry) replyTo(m protocol.Message) protocol.Message {
	switch m := m.(type) {
	case *protocol.StatusRequest:
		return e.status()
	case *protocol.ExplainRequest:
		return &protocol.Explanation{Records: e.tel.Decisions.Explain(m.Request)}
	case *protocol.ConfigFetch:
		state, err := e.config.Fetch(m)
		if err != nil {
			return failure(protocol.CodeInternal, err.Error())
		}
		return state
	}
	return failure(protocol.CodeBadRequest, "an entry doesn't serve "+fmt.Sprintf("%T", m))
}

func failure(code protocol.Code, message string) *protocol.Failure {
	return &protocol.Failure{Refusal: protocol.Refusal{Code: code, Message: message, Ran: protocol.NotRun}}
}

func (e *Entry) status() *protocol.Status {
	unknownSchema := 0
	if state := e.config.State(); state != nil {
		unknownSchema = len(state.Opaque)
	}
	return &protocol.Status{
		Identity:      e.self(),
		Leaving:       e.drain.draining(),
		ConfigOffset:  e.self().ConfigOffset,
		ConfigSource:  e.config.Source(),
		Members:       e.directory.status(),
		InFlight:      e.drain.count(),
		UptimeMs:      e.now().Milliseconds(),
		LogReachable:  e.config.LogReachable(),
		UnknownSchema: unknownSchema,
		NotReady:      e.notReady(),
	}
}

// peerServer serves the inner protocol.
func (e *Entry) peerServer() *http.Server {
	r := mux.NewRouter()
	r.HandleFunc(wire.SessionPath, func(w http.ResponseWriter, r *http.Request) {
		err := wire.Accept(w, r, e.options)
		if errors.Is(err, wire.ErrUnauthenticated) || errors.Is(err, wire.ErrMalformed) {
			e.tel.Log.Warn("peer cut off", "remote", r.RemoteAddr, "error", err)
		}
	})
	r.HandleFunc("/healthz", e.healthz).Methods(http.MethodGet, http.MethodHead)
	return &http.Server{
		Handler:           r,
		ReadHeaderTimeout: readHeaderTimeout,
		// wire.Listen has the kernel not probe for a caller that is gone.
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
}

// sweep closes idle sessions until ctx ends.
func (e *Entry) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.pool.Sweep(now)
		}
	}
}
