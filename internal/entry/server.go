package entry

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"skylarklead/internal/protocol"
	"skylarklead/internal/wire"
)

const (
	// readHeaderTimeout bounds a caller that sends a byte of its header now and
	// then to keep connections occupied.
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	// deadlineGrace is how long past its deadline a request waits for the
	// executor's own word, which may be a true "not_run".
	deadlineGrace = 250 * time.Millisecond
)

// timeouts bound callers that are slow on purpose or by accident.
type timeouts struct {
	// body is how long an upload may take; connections would otherwise be kept
	// occupied by a byte now and then.
	body time.Duration
	// stall is how long a caller may leave its socket full. One who stops reading
	// would otherwise hold its stream, and the engine's place, for ever.
	stall time.Duration
}

var defaultTimeouts = timeouts{body: 15 * time.Second, stall: 10 * time.Second}

// callers returns the handler of the callers' interface.
func (e *Entry) callers() http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.HandleFunc("/healthz", e.healthz).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/readyz", e.readyz).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/v1/chat/completions", e.authenticated(e.chat)).Methods(http.MethodPost)
	r.HandleFunc("/v1/streams", e.authenticated(e.resume)).Methods(http.MethodGet)
	r.HandleFunc("/v1/services/{service}/{path:.*}", e.authenticated(e.service))
	r.NotFoundHandler = http.HandlerFunc(notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(wrongMethod)
	return r
}

// callerServer returns the callers' server, with TLS if the settings say so.
func (e *Entry) callerServer() (*http.Server, error) {
	server := &http.Server{
		Handler:           e.callers(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(e.tel.Log.Handler(), slog.LevelWarn),
	}
	files := e.settings.Entry.TLS
	if files == nil {
		return server, nil
	}
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, fmt.Errorf("entry: TLS for callers: %w", err)
	}
	server.TLSConfig = &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}
	return server, nil
}

func notFound(w http.ResponseWriter, r *http.Request) {
	e := refuse(protocol.CodeBadRequest, "no such path")
	writeStatus(w, r, http.StatusNotFound, e)
}

func wrongMethod(w http.ResponseWriter, r *http.Request) {
	e := refuse(protocol.CodeBadRequest, "method %s is not allowed here", r.Method)
	writeStatus(w, r, http.StatusMethodNotAllowed, e)
}

func writeStatus(w http.ResponseWriter, r *http.Request, status int, e *Error) {
	id := requestID(r)
	w.Header().Set("X-Request-Id", id)
	e.writeAs(w, status, id)
}

// handler serves an authenticated request. An error that it returns is written
// as the answer.
type handler func(w http.ResponseWriter, r *http.Request, req *request) *Error

// authenticated wraps a handler: it names the request, finds its organisation
// and counts it as in flight. Whatever is refused here costs no engine time.
func (e *Entry) authenticated(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := requestID(r)
		w.Header().Set("X-Request-Id", id)
		if refusal := e.drain.enter(); refusal != nil {
			e.refused(w, r, id, refusal)
			return
		}
		defer e.drain.leave()
		req, refusal := e.newRequest(r, id)
		if refusal == nil {
			refusal = h(w, r, req)
		}
		if refusal != nil {
			e.refused(w, r, id, refusal)
		}
	}
}

func (e *Entry) newRequest(r *http.Request, id string) (*request, *Error) {
	state := e.config.State()
	if state == nil {
		return nil, refuse(protocol.CodeNotRun, "no configuration yet").after(drainRetry)
	}
	organisation, refusal := authenticate(state, r)
	if refusal != nil {
		return nil, refusal
	}
	wait, refusal := deadlineOf(r, e.settings.Entry.RequestTimeout.D())
	if refusal != nil {
		return nil, refusal
	}
	key, age, refusal := idempotencyKey(r, organisation.ID)
	if refusal != nil {
		return nil, refusal
	}
	now := time.Now()
	return &request{
		id: id, state: state, organisation: organisation,
		received: now, deadline: now.Add(wait), key: key, keyAge: age,
	}, nil
}

// refused answers a request that was refused before anything of it was sent on.
func (e *Entry) refused(w http.ResponseWriter, r *http.Request, id string, err *Error) {
	e.tel.Metrics.Refused(err.Code)
	e.tel.Log.Info("request refused", "request", id, "remote", r.RemoteAddr,
		"path", r.URL.Path, "code", err.Code, "ran", err.Ran, "cause", err.Message)
	err.write(w, id)
}

// readBody reads a caller's body within its bounds of size and time.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Error) {
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(time.Now().Add(e.timeouts.body)); err != nil {
		return nil, refuse(protocol.CodeInternal, "read deadline: %v", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.settings.Entry.MaxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, refuse(protocol.CodeTooLarge, "body is over %d bytes", tooLarge.Limit)
	case err != nil:
		return nil, refuse(protocol.CodeBadRequest, "body was cut off after %d bytes: %v", len(body), err)
	}
	// The deadline would otherwise end the connection under a long answer.
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		return nil, refuse(protocol.CodeInternal, "read deadline: %v", err)
	}
	return body, nil
}

func (e *Entry) healthz(w http.ResponseWriter, _ *http.Request) { writePlain(w, http.StatusOK, "ok\n") }

// readyz tells the balancer whether to send callers here.
func (e *Entry) readyz(w http.ResponseWriter, _ *http.Request) {
	if reason := e.notReady(); reason != "" {
		writePlain(w, http.StatusServiceUnavailable, reason+"\n")
		return
	}
	writePlain(w, http.StatusOK, "ready\n")
}

// notReady is why callers are to be sent elsewhere, "" if they aren't. Peers that
// merely can't be reached are no reason: callers get a better answer here than
// from a balancer that has nowhere left to send them.
func (e *Entry) notReady() string {
	switch {
	case e.drain.draining():
		return "draining"
	case len(e.options.Handshakes.RefusingPeers()) > 0:
		return wire.KeyRefused
	case e.config.State() == nil:
		return "no configuration yet"
	case e.directory.empty():
		return "no endpoint known"
	}
	return ""
}

func writePlain(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text) // the balancer has gone
}
