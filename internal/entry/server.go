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

	"skylarklead/internal/delivery"
	"skylarklead/internal/protocol"
	"skylarklead/internal/wire"
)

const (
	// readHeaderTimeout bounds callers that send their header a byte at a time to
	// keep connections open.
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	// deadlineGrace is how long after its deadline a request waits for the
	// executor's own outcome, which may be a definite "not_run".
	deadlineGrace = 250 * time.Millisecond
)

// timeouts bound callers that are slow, by accident or on purpose.
type timeouts struct {
	// body bounds the time of an upload. A caller that sends a byte now and then
	// would otherwise keep its connection open.
	body time.Duration
	// stall bounds how long a write to the caller may block. A caller that stops
	// reading would otherwise hold its stream, and its slot in the engine,
	// indefinitely.
	stall time.Duration
}

var defaultTimeouts = timeouts{body: 15 * time.Second, stall: 10 * time.Second}

// callerHandler returns the handler of the callers' API.
func (e *Entry) callerHandler() http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.HandleFunc("/healthz", e.healthz).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/readyz", e.readyz).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/v1/chat/completions", e.authenticated(e.chat)).Methods(http.MethodPost)
	r.HandleFunc("/v1/streams", e.authenticated(e.resume)).Methods(http.MethodGet)
	r.HandleFunc("/v1/services/{service}/{path:.*}", e.authenticated(e.service))
	r.NotFoundHandler = http.HandlerFunc(notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(methodNotAllowed)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		delivery.LimitUnreadBody(w, req)
		r.ServeHTTP(w, req)
	})
}

// newCallerServer returns the callers' server, with TLS if the settings configure
// it.
func (e *Entry) newCallerServer() (*http.Server, error) {
	server := &http.Server{
		Handler:           e.callerHandler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(e.tel.Log.Handler(), slog.LevelWarn),
	}
	delivery.ResetIncomplete(server)
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
	e := refusef(protocol.CodeBadRequest, "no such path")
	writeStatus(w, r, http.StatusNotFound, e)
}

func methodNotAllowed(w http.ResponseWriter, r *http.Request) {
	e := refusef(protocol.CodeBadRequest, "method %s is not allowed for this path", r.Method)
	writeStatus(w, r, http.StatusMethodNotAllowed, e)
}

func writeStatus(w http.ResponseWriter, r *http.Request, status int, e *Error) {
	id := requestID(r)
	w.Header().Set("X-Request-Id", id)
	e.writeAs(w, status, id)
}

// handler serves an authenticated request. If it returns an error, the error is
// written as the answer.
type handler func(w http.ResponseWriter, r *http.Request, req *request) *Error

// authenticated wraps a handler: it assigns the request ID, finds the organisation
// and counts the request as in flight. Requests refused here use no engine time.
func (e *Entry) authenticated(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := requestID(r)
		w.Header().Set("X-Request-Id", id)
		if e.drain.draining() {
			// Idle connections stay open until requests are refused: one that crosses a close could run and get no answer.
			w.Header().Set("Connection", "close")
		}
		if refusal := e.drain.requestStarted(); refusal != nil {
			e.writeRefusal(w, r, id, refusal)
			return
		}
		defer e.drain.requestEnded()
		req, refusal := e.newRequest(r, id)
		if refusal == nil {
			refusal = h(w, r, req)
		}
		if refusal != nil {
			e.writeRefusal(w, r, id, refusal)
		}
	}
}

func (e *Entry) newRequest(r *http.Request, id string) (*request, *Error) {
	state := e.config.State()
	if state == nil {
		return nil, refusef(protocol.CodeNotRun, "no configuration yet").withRetryAfter(drainRetryAfter)
	}
	organisation, refusal := authenticate(state, r)
	if refusal != nil {
		return nil, refusal
	}
	timeout, refusal := callerTimeout(r, e.settings.Entry.RequestTimeout.D())
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
		received: now, deadline: now.Add(timeout), key: key, keyAge: age,
	}, nil
}

// writeRefusal answers a request that was refused before it was sent to any
// executor.
func (e *Entry) writeRefusal(w http.ResponseWriter, r *http.Request, id string, err *Error) {
	e.tel.Metrics.Refused(err.Code)
	e.tel.Log.Info("request refused", "request", id, "remote", r.RemoteAddr,
		"path", r.URL.Path, "code", err.Code, "ran", err.Ran, "cause", err.Message)
	err.write(w, id)
}

// readBody reads a caller's body within the limits of size and time.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Error) {
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(time.Now().Add(e.timeouts.body)); err != nil {
		return nil, refusef(protocol.CodeInternal, "setting the read deadline: %v", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.settings.Entry.MaxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, refusef(protocol.CodeTooLarge, "body is over %d bytes", tooLarge.Limit)
	case err != nil:
		return nil, refusef(protocol.CodeBadRequest, "body was cut off after %d bytes: %v", len(body), err)
	}
	// The read deadline would otherwise close the connection during a long answer.
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		return nil, refusef(protocol.CodeInternal, "setting the read deadline: %v", err)
	}
	return body, nil
}

func (e *Entry) healthz(w http.ResponseWriter, _ *http.Request) { writePlain(w, http.StatusOK, "ok\n") }

// readyz tells the load balancer whether to send requests here.
func (e *Entry) readyz(w http.ResponseWriter, _ *http.Request) {
	if reason := e.notReadyReason(); reason != "" {
		writePlain(w, http.StatusServiceUnavailable, reason+"\n")
		return
	}
	writePlain(w, http.StatusOK, "ready\n")
}

// notReadyReason is why callers should be sent elsewhere, "" if this entry is
// ready. Endpoints that can't be reached are not a reason: callers get a more
// useful error here than from a load balancer without any ready entry.
func (e *Entry) notReadyReason() string {
	switch {
	case e.drain.draining():
		return "draining"
	case len(e.options.Handshakes.RefusingPeers()) > 0:
		return wire.KeyRefused
	case e.config.State() == nil:
		return "no configuration yet"
	case e.directory.isEmpty():
		return "no endpoint known"
	}
	return ""
}

func writePlain(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text) // fails only if the load balancer has disconnected
}
