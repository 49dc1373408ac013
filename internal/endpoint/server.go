package endpoint

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"skylarklead/internal/protocol"
	"skylarklead/internal/wire"
)

const (
	readHeaderTimeout = 5 * time.Second
	// maxHeaderBytes bounds the head of a peer's request.
	maxHeaderBytes = 16 << 10
	// idleTimeout closes connections to /healthz whose caller is gone without closing
	// them: wire.Listen disables the kernel's keep-alive probes.
	idleTimeout = 2 * time.Minute
)

var errQueueFull = errors.New("endpoint: too many queued messages")

// listen serves peers, /healthz and /readyz on the address in the settings.
func listen(e *Endpoint, options wire.Options) (*http.Server, error) {
	listener, err := wire.Listen(e.settings.Listen)
	if err != nil {
		return nil, fmt.Errorf("endpoint: listen: %w", err)
	}
	r := mux.NewRouter()
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/readyz", e.readyz)
	r.HandleFunc(wire.SessionPath, func(w http.ResponseWriter, r *http.Request) { e.accept(w, r, options) })
	server := &http.Server{Handler: r, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			e.log.Error("listener ended", "error", err)
		}
	}()
	return server, nil
}

// readyz tells the tool that restarts the fleet whether the next process may be
// restarted.
func (e *Endpoint) readyz(w http.ResponseWriter, r *http.Request) {
	answer := make(chan string, 1)
	e.loop.postUnbounded(func() { answer <- e.notReadyReason() })
	select {
	case reason := <-answer:
		if reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
		}
	case <-r.Context().Done():
	}
}

// notReadyReason returns why the group can't count on this endpoint, "" if it can: its
// back end is up and every peer was sent a heartbeat of this epoch. A peer that was
// not still takes it for leaving. If the next process stopped then, owners might have
// no endpoint left to choose, and callers would be refused during a rolling restart.
// The first process of a group has no peers: it is ready by its back end alone.
func (e *Endpoint) notReadyReason() string {
	switch {
	case e.drain.leaving:
		return "leaving"
	case len(e.handshakes.RefusingPeers()) > 0:
		return wire.KeyRefused
	case !e.group.listAttempted:
		return "instance list not requested yet"
	case !e.load().EngineUp:
		return "back end is down or loading weights"
	}
	for _, m := range e.group.view.Members(e.now()) {
		if m.Usable() && !e.group.peer(m.ID).heartbeatSent {
			return m.ID + " was sent no heartbeat yet"
		}
	}
	return ""
}

func (e *Endpoint) accept(w http.ResponseWriter, r *http.Request, options wire.Options) {
	err := wire.Accept(w, r, options)
	switch {
	case errors.Is(err, wire.ErrUnauthenticated), errors.Is(err, wire.ErrMalformed):
		e.tel.Metrics.Count("peers_cut_off", 1)
		e.log.Warn("peer rejected", "remote", r.RemoteAddr, "error", err)
	default:
		e.log.Debug("session ended", "remote", r.RemoteAddr, "error", err)
	}
}

// peerHandler passes messages from sessions to the loop.
type peerHandler struct{ e *Endpoint }

// Handle implements wire.Handler.
func (h peerHandler) Handle(s *wire.Session, ref uint32, m protocol.Message) {
	if !h.e.loop.post(func() { h.e.handle(s, ref, m) }) {
		// A dropped Run or Resolve would leave its sender waiting; the end of the
		// session informs it at once.
		s.Close(errQueueFull)
	}
}

// Closed implements wire.Handler.
func (h peerHandler) Closed(s *wire.Session, err error) {
	h.e.loop.postUnbounded(func() { h.e.sessionLost(s, err) })
}

func (e *Endpoint) handle(s *wire.Session, ref uint32, m protocol.Message) {
	switch m := m.(type) {
	case *protocol.Ask:
		e.onAsk(s, ref, m)
	case *protocol.Run:
		e.onRun(s, m)
	case *protocol.Credit:
		e.onCredit(s, m)
	case *protocol.Cancel:
		e.onCancel(s, m)
	case *protocol.Resume:
		e.onResume(s, m)
	case *protocol.Resolve:
		e.onResolve(s, ref, m)
	case *protocol.Heartbeat:
		e.onHeartbeat(s, m)
	case *protocol.ConfigFetch:
		e.onConfigFetch(s, ref, m)
	case *protocol.StatusRequest:
		e.reply(s, ref, e.status())
	case *protocol.ExplainRequest:
		e.reply(s, ref, &protocol.Explanation{Records: e.tel.Decisions.Explain(m.Request)})
	case *protocol.Export:
		e.onExport(s, ref, m)
	case *protocol.Drain:
		e.onDrain(s, ref, m)
	default:
		e.recordDropped("unexpected", s, "type", fmt.Sprintf("%T", m))
	}
}

// recordDropped counts and logs a message that can't be handled.
func (e *Endpoint) recordDropped(reason string, s *wire.Session, attrs ...any) {
	e.tel.Metrics.Dropped.Inc(1)
	attrs = append([]any{"reason", reason, "peer", s.Peer().ID}, attrs...)
	e.log.Info("message dropped", attrs...)
}

// reply answers off the loop, since a write to a stopped peer blocks for seconds.
func (e *Endpoint) reply(s *wire.Session, ref uint32, m protocol.Message) {
	go func() {
		if err := s.Reply(ref, m); err != nil {
			e.log.Debug("reply not sent", "peer", s.Peer().ID, "error", err)
		}
	}()
}
