package harness

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Order is an order to load weights, as it reached a replica.
type Order struct {
	Model    string `json:"model"`
	Version  uint64 `json:"version"`
	Holder   string `json:"holder"`
	Fence    uint64 `json:"fence"`
	Expected uint64 `json:"expected"`
	// Replica and At are where and when it arrived.
	Replica string    `json:"-"`
	At      time.Time `json:"-"`
}

// Engine is a model replica that takes orders and doesn't check fencing numbers. It is safe for
// concurrent use.
type Engine struct {
	ID, Address, Model, Service, Zone string

	site     *Site
	loadTime time.Duration
	// unanswered decides, once for each order, whether the order gets no answer and is carried out
	// after a time. It is called with the site's engines unlocked.
	unanswered func(*Engine, Order) (late time.Duration, yes bool)

	mu      sync.Mutex
	version uint64
	orders  uint64
	busy    bool
	beats   uint64
	arrived []Order
}

// NewEngine returns a replica on version 1. Register registers it in the store.
func (s *Site) NewEngine(id, service, model, zone string, loadTime time.Duration, unanswered func(*Engine, Order) (time.Duration, bool)) *Engine {
	return &Engine{ID: id, Service: service, Model: model, Zone: zone, site: s, loadTime: loadTime, unanswered: unanswered, version: 1}
}

// Register writes the replica's record, as its heartbeat does.
func (e *Engine) Register() {
	e.mu.Lock()
	e.beats++
	record := map[string]any{
		"service": e.Service, "addr": e.Address, "zone": e.Zone, "version": "v1", "slots": 128, "state": "ready",
		"cold_left_ms": 0, "seq": e.beats, "models": e.models(),
	}
	e.mu.Unlock()
	e.site.Store.Put("keyed.servers", e.ID, record)
}

func (e *Engine) models() []map[string]any {
	return []map[string]any{{"name": e.Model, "version": e.version, "adapters": []string{}}}
}

// Version is the version of the loaded weights.
func (e *Engine) Version() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// Loading reports whether the replica is loading weights.
func (e *Engine) Loading() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.busy
}

// Arrived returns the orders that reached the replica, in order.
func (e *Engine) Arrived() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.arrived...)
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Skylarklead-Expect-Instance"); want != "" && want != e.ID {
		w.Header().Set("Skylarklead-Instance-Id", e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "mixed", "models": e.models(), "busy": e.busy, "seq": e.orders, "queued": 0, "active": 0, "state": "ready",
		})
	case "/-/order":
		e.order(w, r)
	case "/healthz":
		w.Header().Set("Skylarklead-Instance-Id", e.ID)
	default:
		http.NotFound(w, r)
	}
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o.Replica, o.At = e.ID, time.Now()
	e.mu.Lock()
	e.arrived = append(e.arrived, o)
	e.mu.Unlock()
	if late, yes := e.unanswered(e, o); yes {
		e.site.Record.Line("replica %s: order from %s, fence %d, version %d: no answer", e.ID, o.Holder, o.Fence, o.Version)
		time.AfterFunc(late, func() {
			e.site.Record.Line("replica %s: late order from %s, fence %d, version %d: %d", e.ID, o.Holder, o.Fence, o.Version, e.carryOut(o))
		})
		<-r.Context().Done()
		return
	}
	status := e.carryOut(o)
	e.site.Record.Line("replica %s: order from %s, fence %d, version %d: %d", e.ID, o.Holder, o.Fence, o.Version, status)
	w.WriteHeader(status)
}

// carryOut carries out an order and returns the status that answers it.
func (e *Engine) carryOut(o Order) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.busy || o.Expected != e.orders:
		return http.StatusConflict
	case e.version == o.Version:
		return http.StatusOK
	}
	e.busy = true
	e.orders++
	time.AfterFunc(e.loadTime, func() {
		e.mu.Lock()
		e.version, e.busy = max(e.version, o.Version), false
		e.mu.Unlock()
		e.Register()
	})
	return http.StatusAccepted
}
