// Package platform is a stand-in for the platform in tests and demonstrations. It
// implements the append-only log, the lagging instance list and the weight store
// of docs/INTERFACE.md, section 4, in memory, and injects faults on request.
//
// POST /control merges fields of Control and responds with all of them. PUT
// /control/instances and PUT and DELETE /control/instances/{id} change the
// instance list; the change is visible at once with ?now=1, otherwise after the
// lag. GET /control/log returns the records that each stream keeps.
package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	client "skylarklead/internal/platform"
)

// Options configure a Server.
type Options struct {
	Control   Control
	Instances []client.Instance
	// Seed is the seed of random faults.
	Seed uint64
	// Now is the clock, time.Now if nil.
	Now func() time.Time
}

// Server is the stand-in as an http.Handler.
type Server struct {
	http.Handler
	log       *recordLog
	instances *instanceList
	weights   weightStore

	mu            sync.Mutex
	control       Control
	appendLimiter *rate.Limiter
	changed       chan struct{} // closed when control changes
	random        *rand.Rand
}

// New returns a stand-in.
func New(o Options) *Server {
	if o.Now == nil {
		o.Now = time.Now
	}
	s := &Server{
		log:       newRecordLog(o.Now),
		instances: newInstanceList(o.Now, o.Instances),
		changed:   make(chan struct{}),
		random:    rand.New(rand.NewPCG(o.Seed, 0)),
	}
	s.setControl(o.Control)
	r := mux.NewRouter()
	r.HandleFunc("/v1/streams/{stream}/records", s.handleAppend).Methods(http.MethodPost)
	r.HandleFunc("/v1/streams/{stream}/records", s.handleRead).Methods(http.MethodGet)
	r.HandleFunc("/v1/instances", s.handleInstances).Methods(http.MethodGet)
	r.HandleFunc("/v1/weights/{model}/{version}", s.handleWeights).Methods(http.MethodGet)
	r.HandleFunc("/control", s.handleControl).Methods(http.MethodGet, http.MethodPost)
	r.HandleFunc("/control/log", s.handleDump).Methods(http.MethodGet)
	r.HandleFunc("/control/instances", s.handleSetInstances).Methods(http.MethodPut)
	r.HandleFunc("/control/instances/{id}", s.handlePutInstance).Methods(http.MethodPut)
	r.HandleFunc("/control/instances/{id}", s.handleRemoveInstance).Methods(http.MethodDelete)
	s.Handler = r
	return s
}

// currentControl returns the current Control and a channel that is closed when it
// changes.
func (s *Server) currentControl() (Control, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.control, s.changed
}

func (s *Server) setControl(c Control) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.appendLimiter == nil || c.AppendsPerSecond != s.control.AppendsPerSecond || c.AppendBurst != s.control.AppendBurst {
		s.appendLimiter = newAppendLimiter(c)
	}
	s.instances.freeze(c.ListFrozen, milliseconds(s.control.LagMS))
	s.control = c
	close(s.changed)
	s.changed = make(chan struct{})
}

func newAppendLimiter(c Control) *rate.Limiter {
	if c.AppendsPerSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(c.AppendsPerSecond), c.AppendBurst)
}

func (s *Server) allowsAppend() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appendLimiter.Allow()
}

// losesResponse reports whether the response to an append is to be lost.
func (s *Server) losesResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.control.LoseNextAnswers > 0 {
		s.control.LoseNextAnswers--
		return true
	}
	return s.random.Float64() < s.control.LoseAnswerProbability
}

func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Records [][]byte `json:"records"`
	}
	if !decodeBody(w, r, &body) {
		return
	}
	if len(body.Records) == 0 {
		writeError(w, http.StatusBadRequest, "no records")
		return
	}
	control, _ := s.currentControl()
	if !pause(r, control.SlowMS) {
		return
	}
	control, _ = s.currentControl()
	if control.LogDown || control.AppendDown {
		writeError(w, http.StatusServiceUnavailable, "log is down")
		return
	}
	if !s.allowsAppend() {
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusTooManyRequests, "over the append limit")
		return
	}
	first, last := s.log.append(mux.Vars(r)["stream"], body.Records)
	pause(r, control.SlowAnswerMS)
	if s.losesResponse() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, map[string]uint64{"first": first, "last": last})
}

func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(queryOr(r, "from", "1"), 10, 64)
	limit, err2 := strconv.Atoi(queryOr(r, "max", strconv.Itoa(client.MaxPageRecords)))
	wait, err3 := strconv.Atoi(queryOr(r, "wait_ms", "0"))
	if err != nil || err2 != nil || err3 != nil || limit < 1 {
		writeError(w, http.StatusBadRequest, "from, max and wait_ms must be numbers, and max at least 1")
		return
	}
	limit = min(limit, client.MaxPageRecords)
	control, _ := s.currentControl()
	if !pause(r, control.SlowMS) {
		return
	}
	deadline := time.NewTimer(milliseconds(wait))
	defer deadline.Stop()
	for timedOut := wait == 0; ; {
		control, changed := s.currentControl()
		if control.LogDown || control.ReadDown {
			writeError(w, http.StatusServiceUnavailable, "log is down")
			return
		}
		page, appended, err := s.log.read(mux.Vars(r)["stream"], from, limit, control.retention())
		if err != nil {
			writeJSON(w, http.StatusGone, map[string]uint64{"oldest": page.Oldest})
			return
		}
		if len(page.Records) > 0 || timedOut {
			writeJSON(w, http.StatusOK, page)
			return
		}
		select {
		case <-appended:
		case <-changed:
		case <-deadline.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) handleDump(w http.ResponseWriter, _ *http.Request) {
	control, _ := s.currentControl()
	writeJSON(w, http.StatusOK, s.log.dump(control.retention()))
}

func (s *Server) handleInstances(w http.ResponseWriter, r *http.Request) {
	control, _ := s.currentControl()
	if control.ListDown {
		writeError(w, http.StatusServiceUnavailable, "list is down")
		return
	}
	list := client.InstanceList{Instances: s.instances.visible(milliseconds(control.LagMS))}
	etag := listETag(list)
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, list)
}

// listETag returns the ETag of a visible list.
func listETag(list client.InstanceList) string {
	data, err := json.Marshal(list)
	if err != nil {
		panic(err) // a struct of strings can always be encoded
	}
	return fmt.Sprintf("\"%016x\"", xxhash.Sum64(data))
}

func (s *Server) handleWeights(w http.ResponseWriter, r *http.Request) {
	control, _ := s.currentControl()
	if s.weights.fetch(r.Context(), milliseconds(control.WeightsMS), control.WeightsBound) != nil {
		return
	}
	vars := mux.Vars(r)
	writeJSON(w, http.StatusOK, map[string]string{"model": vars["model"], "version": vars["version"]})
}

func (s *Server) handleControl(w http.ResponseWriter, r *http.Request) {
	control, _ := s.currentControl()
	if r.Method == http.MethodPost {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err == nil {
			control, err = control.merge(data)
		}
		if err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
		s.setControl(control)
	}
	writeJSON(w, http.StatusOK, control)
}

func (s *Server) handleSetInstances(w http.ResponseWriter, r *http.Request) {
	var body client.InstanceList
	if !decodeBody(w, r, &body) {
		return
	}
	s.instances.set(body.Instances, r.URL.Query().Has("now"))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handlePutInstance(w http.ResponseWriter, r *http.Request) {
	var body client.Instance
	if !decodeBody(w, r, &body) {
		return
	}
	body.ID = mux.Vars(r)["id"]
	s.instances.put(body, r.URL.Query().Has("now"))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleRemoveInstance(w http.ResponseWriter, r *http.Request) {
	s.instances.remove(mux.Vars(r)["id"], r.URL.Query().Has("now"))
	w.WriteHeader(http.StatusNoContent)
}
