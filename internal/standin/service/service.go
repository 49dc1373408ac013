// Package service is a stand-in for a plain service. It counts how often each
// request ran, and injects faults on request.
//
// GET /control/runs returns the counts, POST /control merges Faults, and a request
// to any other path is counted as a run.
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

const maxBodyBytes = 16 << 20

// Faults are the faults to inject. POST /control merges them: a field that is left
// out keeps its value.
type Faults struct {
	// DelayMs is how long each run takes.
	DelayMs int64 `json:"delay_ms"`
	// Crash ends the process at once, without a response.
	Crash bool `json:"crash"`
	// CrashAfterRun ends the process after the next run is counted and logged.
	CrashAfterRun bool `json:"crash_after_run"`
	// LoseAnswer closes the connection of each request after it ran.
	LoseAnswer bool `json:"lose_answer"`
	// ErrorStatus, if not 0, is the status of each response, after the run.
	ErrorStatus int `json:"error_status"`
}

// Runs has the number of runs by X-Request-Id and by Idempotency-Key.
type Runs struct {
	ByRequest        map[string]int `json:"by_request"`
	ByIdempotencyKey map[string]int `json:"by_key"`
	Total            int            `json:"total"`
}

// Response is the body of a run's answer.
type Response struct {
	// Echo is the field "echo" of the request body, or the path if there is none.
	Echo string `json:"echo"`
	Path string `json:"path"`
	// Run is the number of runs so far of this idempotency key, or of this request
	// ID if there is no key.
	Run int `json:"run"`
}

// Service is the stand-in.
type Service struct {
	exit func(code int)

	mu     sync.Mutex
	faults Faults
	runs   Runs
}

// New returns a service without faults.
func New() *Service {
	return &Service{
		exit: os.Exit,
		runs: Runs{ByRequest: map[string]int{}, ByIdempotencyKey: map[string]int{}},
	}
}

// Handler serves the service and its control paths.
func (s *Service) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/control", s.handleControl).Methods(http.MethodPost)
	router.HandleFunc("/control/runs", s.handleRuns).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(s.handleRequest)
	return router
}

func (s *Service) handleControl(w http.ResponseWriter, r *http.Request) {
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

func (s *Service) handleRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	runs := Runs{ByRequest: maps.Clone(s.runs.ByRequest), ByIdempotencyKey: maps.Clone(s.runs.ByIdempotencyKey), Total: s.runs.Total}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, runs)
}

// handleRequest reads the whole body before it counts the run: a request whose
// body is truncated doesn't run.
func (s *Service) handleRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		http.Error(w, "body too large", http.StatusRequestEntityTooLarge)
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	count, faults := s.countRun(r.Header)
	// Unlike the counts, the log survives a crash of the process.
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
	writeJSON(w, status, Response{Echo: echoField(body, r.URL.Path), Path: r.URL.Path, Run: count})
}

func (s *Service) countRun(header http.Header) (int, Faults) {
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

func echoField(body []byte, path string) string {
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
