package engine

import (
	"net/http"
	"net/url"
	"slices"
	"time"

	api "skylarklead/internal/engine"
)

const weightStoreRetryInterval = 200 * time.Millisecond

// orders is the state that orders change: what the engine serves, and weights
// that are being loaded.
type orders struct {
	state api.State
	// highestFence is the highest fencing number of an accepted order.
	highestFence uint64
	// loadTarget identifies the weights that are being loaded. fetched is set when
	// they can be activated as soon as no request uses the old ones.
	loadTarget weightsID
	fetched    bool
	// loadGeneration is the number of the last load; it supersedes earlier ones.
	loadGeneration uint64
}

type weightsID struct{ model, version string }

func newOrders(o Options) orders {
	return orders{state: api.State{Model: o.Model, Version: o.Version, Role: o.Role, Adapters: []string{}}}
}

// acceptOrder checks an order's fencing number and applies it. Loading weights
// continues after it returns.
func (e *Engine) acceptOrder(o api.Order) (api.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.orders.highestFence && e.settings.CheckFencing {
		e.stats.totals.RefusedOrders++
		return api.State{}, &api.StaleFenceError{Fence: e.orders.highestFence}
	}
	if err := e.applyOrder(o); err != nil {
		return api.State{}, err
	}
	e.stats.totals.Orders++
	if o.Fence < e.orders.highestFence {
		e.stats.totals.StaleOrders++
	}
	e.orders.highestFence = max(e.orders.highestFence, o.Fence)
	e.orders.state.Fence = o.Fence
	e.logger.Info("order", "fence", o.Fence, "op", o.Op, "model", o.Model, "version", o.Version,
		"adapter", o.Adapter, "role", o.Role)
	return e.currentState(), nil
}

func (e *Engine) applyOrder(o api.Order) error {
	state := &e.orders.state
	switch o.Op {
	case api.OpSetRole:
		state.Role = o.Role
	case api.OpLoadAdapter:
		if !slices.Contains(state.Adapters, o.Adapter) {
			state.Adapters = append(state.Adapters, o.Adapter)
		}
	case api.OpLoadVersion:
		if o.Version == "" {
			return badRequest("load_version: version is missing")
		}
		e.startLoad(weightsID{model: state.Model, version: o.Version})
	case api.OpLoadModel:
		if o.Model == "" || o.Version == "" {
			return badRequest("load_model: model or version is missing")
		}
		e.startLoad(weightsID{model: o.Model, version: o.Version})
	default:
		return badRequest("unknown op %q", o.Op)
	}
	return nil
}

// startLoad begins to load weights, unless they are loaded or being loaded.
// Requests already accepted finish with the old weights.
func (e *Engine) startLoad(id weightsID) {
	o := &e.orders
	if o.state.Loading && o.loadTarget == id {
		return
	}
	o.loadGeneration++
	o.fetched = false
	o.loadTarget = id
	o.state.Loading = id != (weightsID{o.state.Model, o.state.Version})
	if o.state.Loading {
		go e.fetchAndLoad(id, o.loadGeneration, e.incarnation)
	}
}

// fetchAndLoad fetches weights from the weight store, with retries until a newer
// load or incarnation supersedes this one, and loads them.
func (e *Engine) fetchAndLoad(id weightsID, generation uint64, incarnation string) {
	current := func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.orders.loadGeneration == generation && e.incarnation == incarnation
	}
	for !e.fetchFromStore(id) {
		time.Sleep(weightStoreRetryInterval)
		if !current() {
			return
		}
	}
	e.mu.Lock()
	loadTime := milliseconds(e.settings.LoadMs)
	e.mu.Unlock()
	time.Sleep(loadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.orders.loadGeneration == generation && e.incarnation == incarnation {
		e.orders.fetched = true
		e.activateFetchedWeights()
	}
}

func (e *Engine) fetchFromStore(id weightsID) bool {
	if e.options.Platform == "" {
		return true
	}
	path := "/v1/weights/" + url.PathEscape(id.model) + "/" + url.PathEscape(id.version)
	resp, err := http.Get(e.options.Platform + path)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// activateFetchedWeights switches to fetched weights if no request uses the old
// ones, and clears the cache, whose blocks were computed with the old weights.
func (e *Engine) activateFetchedWeights() {
	o := &e.orders
	if !o.fetched || len(e.running) > 0 || len(e.waiting) > 0 {
		return
	}
	o.fetched = false
	o.state.Loading = false
	o.state.Model, o.state.Version = o.loadTarget.model, o.loadTarget.version
	e.cache = newCache(e.settings.cacheBlocks())
	e.recordCacheChange(JournalCleared, nil)
	e.publishEvent(api.CacheCleared, nil)
}

func (e *Engine) currentState() api.State {
	state := e.orders.state
	state.Adapters = slices.Clone(state.Adapters)
	state.Incarnation = e.incarnation
	return state
}
