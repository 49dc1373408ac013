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
	// idleTimeout lets go of a caller of /healthz that is gone without a word:
	// wire.Listen has the kernel not probe for it.
	idleTimeout = 2 * time.Minute
)

var errFlooded = errors.New("endpoint: too many messages wait")

// listen serves peers and /healthz on the settings' address.
func listen(e *Endpoint, options wire.Options) (*http.Server, error) {
	listener, err := wire.Listen(e.settings.Listen)
	if err != nil {
		return nil, fmt.Errorf("endpoint: listen: %w", err)
	}
	r := mux.NewRouter()
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/readyz", e.readyz)
	r.HandleFunc(wire.Path, func(w http.ResponseWriter, r *http.Request) { e.accept(w, r, options) })
	server := &http.Server{Handler: r, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			e.log.Error("listener ended", "error", err)
		}
	}()
	return server, nil
}

// readyz tells whoever restarts the fleet whether to go on with the next process.
func (e *Endpoint) readyz(w http.ResponseWriter, r *http.Request) {
	answer := make(chan string, 1)
	e.loop.must(func() { answer <- e.notReady() })
	select {
	case reason := <-answer:
		if reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
		}
	case <-r.Context().Done():
	}
}

// notReady is why the group can't count on this endpoint, "" if it can: its back
// end is up and every peer has had a heartbeat of this epoch. A peer that hasn't
// still takes it for leaving. If the next process stopped now, there might be
// nobody left that an owner would choose, and callers would be refused in a rolling
// restart. The first process of all has nobody to ask: it is ready by its back end
// alone.
func (e *Endpoint) notReady() string {
	switch {
	case e.drain.leaving:
		return "leaving"
	case len(e.openings.Refusers()) > 0:
		return wire.KeyRefused
	case !e.group.listRead:
		return "instance list not asked yet"
	case !e.load().EngineUp:
		return "back end is down or loads weights"
	}
	for _, m := range e.group.view.Members(e.now()) {
		if m.Usable() && !e.group.peer(m.ID).told {
			return m.ID + " had no heartbeat yet"
		}
	}
	return ""
}

func (e *Endpoint) accept(w http.ResponseWriter, r *http.Request, options wire.Options) {
	err := wire.Accept(w, r, options)
	switch {
	case errors.Is(err, wire.ErrUnauthenticated), errors.Is(err, wire.ErrMalformed):
		e.tel.Metrics.Count("peers_cut_off", 1)
		e.log.Warn("peer cut off", "remote", r.RemoteAddr, "error", err)
	default:
		e.log.Debug("session ended", "remote", r.RemoteAddr, "error", err)
	}
}

// peerHandler hands what arrives on sessions to the loop.
type peerHandler struct{ e *Endpoint }

// Handle implements wire.Handler.
func (h peerHandler) Handle(s *wire.Session, ref uint32, m protocol.Message) {
	if !h.e.loop.post(func() { h.e.handle(s, ref, m) }) {
		// A dropped Run or Resolve would leave its sender waiting; the end of
		// the session tells it at once.
		s.Close(errFlooded)
	}
}

// Closed implements wire.Handler.
func (h peerHandler) Closed(s *wire.Session, err error) {
	h.e.loop.must(func() { h.e.sessionLost(s, err) })
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
		e.dropped("unexpected", s, "type", fmt.Sprintf("%T", m))
	}
}

// dropped counts and logs a message that matches nothing.
func (e *Endpoint) dropped(reason string, s *wire.Session, attrs ...any) {
	e.tel.Metrics.Dropped.Inc(1)
	attrs = append([]any{"reason", reason, "peer", s.Peer().ID}, attrs...)
	e.log.Info("message dropped", attrs...)
}

// reply answers off the loop, since a stopped peer holds a write up for seconds.
func (e *Endpoint) reply(s *wire.Session, ref uint32, m protocol.Message) {
	go func() {
		if err := s.Reply(ref, m); err != nil {
			e.log.Debug("reply not sent", "peer", s.Peer().ID, "error", err)
		}
	}()
}
