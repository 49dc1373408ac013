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

// sweepInterval is how often idle sessions are closed.
const sweepInterval = 5 * time.Second

// self returns this process's identity, as shown to peers.
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

// session returns an open session to address. A dial may be shared with other
// requests, so it continues if the caller that started it gives up.
func (e *Entry) session(ctx context.Context, address string) (*wire.Session, error) {
	type result struct {
		session *wire.Session
		err     error
	}
	got := make(chan result, 1)
	go func() {
		session, err := e.pool.Get(context.WithoutCancel(ctx), address)
		if err == nil {
			e.recordPeer(session)
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

// recordPeer records the peer's epoch and configuration offset from the session's
// opening.
func (e *Entry) recordPeer(s *wire.Session) {
	e.directory.epochObserved(s.Peer())
	e.config.PeerHasOffset(s.Peer().ConfigOffset, follow.SessionFetch(s))
}

// Handle implements wire.Handler; it never blocks.
func (e *Entry) Handle(s *wire.Session, ref uint32, m protocol.Message) {
	switch m := m.(type) {
	case *protocol.Start:
		e.demux.deliver(m.Attempt, receivedMessage{m, s.Peer().Epoch})
	case *protocol.Chunk:
		e.demux.deliver(m.Attempt, receivedMessage{m, s.Peer().Epoch})
	case *protocol.End:
		e.demux.deliver(m.Attempt, receivedMessage{m, s.Peer().Epoch})
	default:
		// A reply may block until the peer reads; the session's other messages must
		// not.
		go e.answerPeer(s, ref, m)
	}
}

// Closed implements wire.Handler. Attempts detect the end of their session
// themselves.
func (e *Entry) Closed(s *wire.Session, err error) {
	e.tel.Log.Debug("session ended", "peer", s.Peer().ID, "error", err)
}

// answerPeer replies to requests of peers and of the tool.
func (e *Entry) answerPeer(s *wire.Session, ref uint32, m protocol.Message) {
	e.recordPeer(s)
	if ref == 0 {
		e.tel.Log.Warn("unexpected message", "peer", s.Peer().ID, "type", fmt.Sprintf("%T", m))
		return
	}
	// A failed reply closes the session, which the peer sees.
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
			return newFailure(protocol.CodeInternal, err.Error())
		}
		return state
	}
	return newFailure(protocol.CodeBadRequest, "an entry does not serve "+fmt.Sprintf("%T", m))
}

func newFailure(code protocol.Code, message string) *protocol.Failure {
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
		NotReady:      e.notReadyReason(),
	}
}

// newPeerServer returns the server for the protocol between processes.
func (e *Entry) newPeerServer() *http.Server {
	r := mux.NewRouter()
	r.HandleFunc(wire.SessionPath, func(w http.ResponseWriter, r *http.Request) {
		err := wire.Accept(w, r, e.options)
		if errors.Is(err, wire.ErrUnauthenticated) || errors.Is(err, wire.ErrMalformed) {
			e.tel.Log.Warn("peer rejected", "remote", r.RemoteAddr, "error", err)
		}
	})
	r.HandleFunc("/healthz", e.healthz).Methods(http.MethodGet, http.MethodHead)
	return &http.Server{
		Handler:           r,
		ReadHeaderTimeout: readHeaderTimeout,
		// wire.Listen disables the kernel's keep-alive probes, so idle connections
		// are closed here.
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
}

// sweep closes idle sessions until ctx ends.
func (e *Entry) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
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
