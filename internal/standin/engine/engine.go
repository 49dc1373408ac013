package engine

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	api "skylarklead/internal/engine"
	"skylarklead/internal/prefix"
)

// Engine is the stand-in. Serve runs it.
type Engine struct {
	options Options
	logger  *slog.Logger
	exit    func(code int)
	// workAvailable wakes the step loop when there may be work; crashSignal tells
	// Serve to drop its connections after a crash.
	workAvailable chan struct{}
	crashSignal   chan struct{}

	mu          sync.Mutex
	settings    Settings
	random      *rand.Rand
	incarnation string
	down        bool
	frozenUntil time.Time
	arrivals    uint64
	waiting     []*request
	running     []*request
	streams     map[string]*request
	cache       *cache
	events      *eventLog
	orders      orders
	loadSamples []loadSample
	stats       *statsRecorder
	journal     []JournalEntry
}

// New returns an engine with its initial weights loaded and an empty cache.
func New(o Options) *Engine {
	e := &Engine{
		options:       o,
		logger:        o.Logger,
		exit:          o.Exit,
		workAvailable: make(chan struct{}, 1),
		crashSignal:   make(chan struct{}, 1),
		settings:      o.Settings,
		random:        rand.New(rand.NewPCG(o.Seed, o.Seed)),
	}
	if e.logger == nil {
		e.logger = slog.New(slog.DiscardHandler)
	}
	if e.exit == nil {
		e.exit = os.Exit
	}
	e.stats = newStatsRecorder(e.logger)
	e.reset()
	return e
}

// reset aborts all requests and starts a new incarnation without any state of the
// previous one.
func (e *Engine) reset() {
	for _, r := range slices.Concat(e.running, e.waiting) {
		r.end(true)
	}
	e.incarnation = fmt.Sprintf("%016x", rand.Uint64())
	e.waiting, e.running, e.loadSamples = nil, nil, nil
	e.streams = map[string]*request{}
	e.cache = newCache(e.settings.cacheBlocks())
	e.events = newEventLog()
	e.orders = newOrders(e.options)
	e.recordCacheChange(JournalCleared, nil)
}

// crash ends the process or the incarnation, depending on CrashMode. The caller
// holds e.mu.
func (e *Engine) crash() {
	e.stats.recordCrash(e.incarnation)
	if e.settings.CrashMode == CrashExit {
		e.exit(1)
		return
	}
	e.down = true
	e.reset()
	select {
	case e.crashSignal <- struct{}{}:
	default:
	}
}

// submit validates and queues a request.
func (e *Engine) submit(id string, body *completionBody) (*request, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.validate(body); err != nil {
		return nil, err
	}
	r := newRequest(id, body, origin{Salt: body.CacheSalt, Weights: e.orders.state.Version, Incarnation: e.incarnation})
	if r.requiredBlocks() > e.cache.total {
		return nil, badRequest("prompt and answer need %d cache blocks, the engine has %d", r.requiredBlocks(), e.cache.total)
	}
	e.arrivals++
	r.arrival = e.arrivals
	e.waiting = enqueue(e.waiting, r)
	e.streams[id] = r
	e.wakeStepLoop()
	return r, nil
}

func (e *Engine) validate(body *completionBody) error {
	switch {
	case e.orders.state.Loading:
		return unavailable(api.CodeLoading, "weights are loading")
	case e.settings.RefuseNew:
		return unavailable(api.CodeRefused, "new requests are refused: refuse_new is set")
	case len(body.Messages) == 0:
		return badRequest("messages is empty")
	case !body.Stream:
		return badRequest("only streamed completions are supported")
	case body.Model != e.orders.state.Model:
		return badRequest("model %q is not loaded", body.Model)
	}
	return nil
}

// cancel aborts a stream. It is idempotent.
func (e *Engine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.streams[id]; r != nil {
		e.cancelRequest(r)
	}
}

func (e *Engine) cancelRequest(r *request) {
	if r.ended {
		return
	}
	e.stats.recordCancellation(r)
	e.finishRequest(r, true, time.Now())
}

// attach registers a connection that reads a stream.
func (e *Engine) attach(r *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.connections++
	if r.resumeTimer != nil && !r.ended {
		r.resumeTimer.Stop()
	}
}

// detach unregisters a connection. If it was the last one, the stream is
// cancelled unless another attaches within ResumeMs.
func (e *Engine) detach(r *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.connections--
	if r.connections > 0 || r.ended {
		return
	}
	r.resumeTimer = time.AfterFunc(milliseconds(e.settings.ResumeMs), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if r.connections == 0 {
			e.cancelRequest(r)
		}
	})
}

// scheduleStreamRemoval removes an ended stream after ResumeMs, when it can no
// longer be resumed.
func (e *Engine) scheduleStreamRemoval(r *request) {
	time.AfterFunc(milliseconds(e.settings.ResumeMs), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.streams[r.id] == r {
			delete(e.streams, r.id)
		}
	})
}

func (e *Engine) wakeStepLoop() {
	select {
	case e.workAvailable <- struct{}{}:
	default:
	}
}

func (e *Engine) publishStored(hashes []prefix.Hash, computed bool) {
	if len(hashes) == 0 {
		return
	}
	kind := JournalImported
	if computed {
		kind = JournalComputed
	}
	e.recordCacheChange(kind, hashes)
	e.publishEvent(api.BlocksStored, hashes)
}

func (e *Engine) publishRemoved(hashes []prefix.Hash) {
	if len(hashes) == 0 {
		return
	}
	e.recordCacheChange(JournalRemoved, hashes)
	e.publishEvent(api.BlocksRemoved, hashes)
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
