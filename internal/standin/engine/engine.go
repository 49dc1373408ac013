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

// Engine is the stand-in. Serve and Run bring it to life.
type Engine struct {
	options Options
	logger  *slog.Logger
	exit    func(code int)
	// wake tells the step loop that there may be work; crashed tells Serve to
	// drop its connections.
	wake    chan struct{}
	crashed chan struct{}

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
	loads       []loadSample
	account     *account
	journal     []JournalEntry
}

// New returns an engine that has its first weights and an empty cache.
func New(o Options) *Engine {
	e := &Engine{
		options:  o,
		logger:   o.Logger,
		exit:     o.Exit,
		wake:     make(chan struct{}, 1),
		crashed:  make(chan struct{}, 1),
		settings: o.Settings,
		random:   rand.New(rand.NewPCG(o.Seed, o.Seed)),
	}
	if e.logger == nil {
		e.logger = slog.New(slog.DiscardHandler)
	}
	if e.exit == nil {
		e.exit = os.Exit
	}
	e.account = newAccount(e.logger)
	e.reset()
	return e
}

// reset begins a new incarnation that knows nothing of the one before.
func (e *Engine) reset() {
	for _, r := range slices.Concat(e.running, e.waiting) {
		r.end(true)
	}
	e.incarnation = fmt.Sprintf("%016x", rand.Uint64())
	e.waiting, e.running, e.loads = nil, nil, nil
	e.streams = map[string]*request{}
	e.cache = newCache(e.settings.cacheBlocks())
	e.events = newEventLog()
	e.orders = newOrders(e.options)
	e.record(JournalCleared, nil)
}

// crash ends the process, or the incarnation. The caller holds the lock.
func (e *Engine) crash() {
	e.account.crash(e.incarnation)
	if e.settings.CrashMode == CrashExit {
		e.exit(1)
		return
	}
	e.down = true
	e.reset()
	select {
	case e.crashed <- struct{}{}:
	default:
	}
}

// submit queues a request.
func (e *Engine) submit(id string, body *completionBody) (*request, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.accepts(body); err != nil {
		return nil, err
	}
	r := newRequest(id, body, origin{Salt: body.CacheSalt, Weights: e.orders.state.Version, Incarnation: e.incarnation})
	if r.blocks() > e.cache.total {
		return nil, badRequest("prompt and answer need %d cache blocks, the engine has %d", r.blocks(), e.cache.total)
	}
	e.arrivals++
	r.arrival = e.arrivals
	e.waiting = enqueue(e.waiting, r)
	e.streams[id] = r
	e.signal()
	return r, nil
}

func (e *Engine) accepts(body *completionBody) error {
	switch {
	case e.orders.state.Loading:
		return unavailable(api.CodeLoading, "weights are loading")
	case e.settings.RefuseNew:
		return unavailable(api.CodeRefused, "told to refuse")
	case len(body.Messages) == 0:
		return badRequest("no messages")
	case !body.Stream:
		return badRequest("only streams are served")
	case body.Model != e.orders.state.Model:
		return badRequest("model %q is not loaded", body.Model)
	}
	return nil
}

// cancel ends a stream; it is idempotent.
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
	e.account.cancelled(r)
	e.finish(r, true, time.Now())
}

// attach counts a connection of a stream.
func (e *Engine) attach(r *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.attached++
	if r.expiry != nil && !r.ended {
		r.expiry.Stop()
	}
}

// detach ends a connection. The stream is cancelled if none comes back in time.
func (e *Engine) detach(r *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.attached--
	if r.attached > 0 || r.ended {
		return
	}
	r.expiry = time.AfterFunc(milliseconds(e.settings.ResumeMs), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if r.attached == 0 {
			e.cancelRequest(r)
		}
	})
}

// forgetLater drops an ended stream once nobody can want to resume it.
func (e *Engine) forgetLater(r *request) {
	time.AfterFunc(milliseconds(e.settings.ResumeMs), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.streams[r.id] == r {
			delete(e.streams, r.id)
		}
	})
}

func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) stored(hashes []prefix.Hash, computed bool) {
	if len(hashes) == 0 {
		return
	}
	kind := JournalImported
	if computed {
		kind = JournalComputed
	}
	e.record(kind, hashes)
	e.publish(api.BlocksStored, hashes)
}

func (e *Engine) removed(hashes []prefix.Hash) {
	if len(hashes) == 0 {
		return
	}
	e.record(JournalRemoved, hashes)
	e.publish(api.BlocksRemoved, hashes)
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
