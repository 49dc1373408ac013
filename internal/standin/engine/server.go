package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	api "skylarklead/internal/engine"
)

const (
	maxBodyBytes = 64 << 20
	// After a reset, an outgoing connection may temporarily occupy the engine's
	// port, so listening is retried.
	relistenTimeout  = 10 * time.Second
	relistenInterval = 20 * time.Millisecond
)

// Serve runs the engine at an address until ctx ends. It calls ready with the
// actual address each time it starts to listen, also after a crash with
// CrashReset.
func (e *Engine) Serve(ctx context.Context, address string, ready func(address string)) error {
	go e.runSteps(ctx)
	go e.runLoadSampler(ctx)
	for ctx.Err() == nil {
		listener, err := listen(ctx, address)
		if err != nil {
			return fmt.Errorf("engine stand-in: %w", err)
		}
		address = listener.Addr().String()
		ready(address)
		if err := e.serveUntilCrash(ctx, listener); err != nil {
			return fmt.Errorf("engine stand-in: %w", err)
		}
	}
	return nil
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	for deadline := time.Now().Add(relistenTimeout); ; sleep(ctx, relistenInterval) {
		listener, err := net.Listen("tcp", address)
		if err == nil || ctx.Err() != nil || time.Now().After(deadline) {
			return listener, err
		}
	}
}

// serveUntilCrash serves until ctx ends, or until a crash and RestartMs after it.
func (e *Engine) serveUntilCrash(ctx context.Context, listener net.Listener) error {
	e.mu.Lock()
	e.down = false
	e.mu.Unlock()
	server := &http.Server{Handler: e.handler(), ReadHeaderTimeout: time.Minute}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	defer server.Close()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return nil
	case <-e.crashSignal:
	}
	server.Close()
	e.mu.Lock()
	restartDelay := milliseconds(e.settings.RestartMs)
	e.mu.Unlock()
	sleep(ctx, restartDelay)
	return nil
}

func (e *Engine) handler() http.Handler {
	router := mux.NewRouter().UseEncodedPath()
	router.HandleFunc("/control", e.handleControl).Methods(http.MethodPost)
	router.HandleFunc("/control", e.handleSettings).Methods(http.MethodGet)
	router.HandleFunc("/control/account", e.handleStats).Methods(http.MethodGet)
	router.HandleFunc("/control/journal", e.handleJournal).Methods(http.MethodGet)
	v1 := router.PathPrefix("/v1").Subrouter()
	v1.Use(e.requireUp)
	v1.HandleFunc("/chat/completions", e.handleCompletion).Methods(http.MethodPost)
	v1.HandleFunc("/streams/{id}", e.handleResume).Methods(http.MethodGet)
	v1.HandleFunc("/streams/{id}", e.handleCancel).Methods(http.MethodDelete)
	v1.HandleFunc("/cache/events", e.handleEvents).Methods(http.MethodGet)
	v1.HandleFunc("/load", e.handleLoad).Methods(http.MethodGet)
	v1.HandleFunc("/orders", e.handleOrder).Methods(http.MethodPost)
	v1.HandleFunc("/orders", e.handleState).Methods(http.MethodGet)
	v1.HandleFunc("/kv/export", e.handleExport).Methods(http.MethodPost)
	v1.HandleFunc("/kv/import", e.handleImport).Methods(http.MethodPost)
	return router
}

// requireUp delays requests while the engine is frozen, and closes their
// connections while it is down after a crash.
func (e *Engine) requireUp(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.waitWhileFrozen(r.Context())
		e.mu.Lock()
		down := e.down
		e.mu.Unlock()
		if down || r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// decodeBody decodes a request's JSON body into v. On failure it responds with
// 400 and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v)
	if err != nil {
		writeError(w, badRequest("body: %v", err))
	}
	return err == nil
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.laggedLoad(time.Now()))
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order api.Order
	if !decodeBody(w, r, &order) {
		return
	}
	state, err := e.acceptOrder(order)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, state)
}

func (e *Engine) handleState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	state := e.currentState()
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, state)
}

func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	var query api.KVQuery
	if decodeBody(w, r, &query) {
		writeJSON(w, http.StatusOK, e.export(query.Hashes))
	}
}

func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var kv api.KV
	if !decodeBody(w, r, &kv) {
		return
	}
	var blocks []exportedBlock
	if err := json.Unmarshal(kv.Blob, &blocks); err != nil {
		writeError(w, badRequest("blob: %v", err))
		return
	}
	sleep(r.Context(), e.transferTime(len(blocks)))
	n, err := e.importKV(kv, blocks, time.Now())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, api.Imported{Blocks: n})
}
