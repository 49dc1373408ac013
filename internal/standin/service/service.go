// Package service is a stand-in for a plain service: it counts how often each
// request ran, and fails on demand.
//
// GET /control/runs tells the counts, POST /control merges Faults, and any other
// path runs the request.
package service

import (
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"skylarklead/internal/engine"
)

const maxBody = 16 << 20

// Faults are what POST /control merges: a field that is left out stays.
type Faults struct {
	// DelayMs is how long each run takes.
	DelayMs int64 `json:"delay_ms"`
	// Crash ends the process at once, without an answer.
	Crash bool `json:"crash"`
	// CrashAfterRun ends the process right after the next run is counted.
	CrashAfterRun bool `json:"crash_after_run"`
	// LoseAnswer runs requests and then drops their connections.
	LoseAnswer bool `json:"lose_answer"`
	// ErrorStatus, if set, is the status of each answer, after the run.
	ErrorStatus int `json:"error_status"`
}

// Runs are how often requests ran, by X-Request-Id and by Idempotency-Key.
type Runs struct {
	ByRequest        map[string]int `json:"by_request"`
	ByIdempotencyKey map[string]int `json:"by_key"`
	Total            int            `json:"total"`
}

// Response is the body of a run's answer.
type Response struct {
	// Echo is the request body's field "echo", or the path if it has none.
	Echo string `json:"echo"`
	Path string `json:"path"`
	// Run counts the runs of this request ID, or of this key if there is one.
	Run int `json:"run"`
}

// Service is the stand-in.
type Service struct {
	exit func(code int)

	mu     sync.Mutex
	faults Faults
	runs   Runs
}

// New returns a service without faults. A crash ends the process.
func New() *Service {
	return &Service{
		exit: os.Exit,
		runs: Runs{ByRequest: map[string]int{}, ByIdempotencyKey: map[string]int{}},
	}
}

// Handler serves the service and its control paths.
func (s *Service) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/control", s.control).Methods(http.MethodPost)
	router.HandleFunc("/control/runs", s.report).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(s.run)
	return router
}

func (s *Service) control(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.faults
	if err := json.NewDecoder(r.Body).Decode(&next); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if next.Crash {
		s.exit(1)
	}
	s.faults = next
	writeJSON(w, http.StatusOK, next)
}

func (s *Service) report(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	runs := Runs{ByRequest: maps.Clone(s.runs.ByRequest), ByIdempotencyKey: maps.Clone(s.runs.ByIdempotencyKey), Total: s.runs.Total}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, runs)
}

// run reads the whole body first: a request that is cut off doesn't run.
func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		http.Error(w, "body too large", http.StatusRequestEntityTooLarge)
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	count, faults := s.count(r.Header)
	// The log is the account that outlives a crash of the process.
	slog.Info("run", "request", r.Header.Get(engine.HeaderRequestID))
	if faults.CrashAfterRun {
		s.exit(1)
	}
	time.Sleep(time.Duration(faults.DelayMs) * time.Millisecond)
	if faults.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if faults.ErrorStatus != 0 {
		status = faults.ErrorStatus
	}
	writeJSON(w, status, Response{Echo: echo(body, r.URL.Path), Path: r.URL.Path, Run: count})
}

func (s *Service) count(header http.Header) (int, Faults) {
	id := header.Get(engine.HeaderRequestID)
	key := header.Get(engine.HeaderIdempotencyKey)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs.Total++
	s.runs.ByRequest[id]++
	if key == "" {
		return s.runs.ByRequest[id], s.faults
	}
	s.runs.ByIdempotencyKey[key]++
	return s.runs.ByIdempotencyKey[key], s.faults
}

func echo(body []byte, path string) string {
	var fields struct {
		Echo string `json:"echo"`
	}
	if json.Unmarshal(body, &fields) != nil || fields.Echo == "" {
		return path
	}
	return fields.Echo
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
