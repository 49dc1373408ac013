package engine

import (
	"net/http"
	"net/url"
	"slices"
	"time"

	api "skylarklead/internal/engine"
)

const weightStoreRetry = 200 * time.Millisecond

// orders is what the engine serves and what it was last told to.
type orders struct {
	state api.State
	// highest is the highest fencing number seen.
	highest uint64
	// target is what loads; fetched is set when only running requests keep it
	// from being switched to.
	target  weightsID
	fetched bool
	// loads numbers the loads: a newer one overrides those before it.
	loads uint64
}

type weightsID struct{ model, version string }

func newOrders(o Options) orders {
	return orders{state: api.State{Model: o.Model, Version: o.Version, Role: o.Role, Adapters: []string{}}}
}

// order takes an order. Loads go on after it returns.
func (e *Engine) order(o api.Order) (api.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.orders.highest && e.settings.CheckFencing {
		e.account.totals.RefusedOrders++
		return api.State{}, &api.StaleFenceError{Fence: e.orders.highest}
	}
	if err := e.obey(o); err != nil {
		return api.State{}, err
	}
	e.account.totals.Orders++
	if o.Fence < e.orders.highest {
		e.account.totals.StaleOrders++
	}
	e.orders.highest = max(e.orders.highest, o.Fence)
	e.orders.state.Fence = o.Fence
	e.logger.Info("order", "fence", o.Fence, "op", o.Op, "model", o.Model, "version", o.Version,
		"adapter", o.Adapter, "role", o.Role)
	return e.stateNow(), nil
}

func (e *Engine) obey(o api.Order) error {
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
			return badRequest("load_version without a version")
		}
		e.load(weightsID{model: state.Model, version: o.Version})
	case api.OpLoadModel:
		if o.Model == "" || o.Version == "" {
			return badRequest("load_model without a model and version")
		}
		e.load(weightsID{model: o.Model, version: o.Version})
	default:
		return badRequest("unknown op %q", o.Op)
	}
	return nil
}

// load begins to load weights, unless they are there or on their way. Requests
// already taken end under the old weights.
func (e *Engine) load(id weightsID) {
	o := &e.orders
	if o.state.Loading && o.target == id {
		return
	}
	o.loads++
	o.fetched = false
	o.target = id
	o.state.Loading = id != (weightsID{o.state.Model, o.state.Version})
	if o.state.Loading {
		go e.fetch(id, o.loads, e.incarnation)
	}
}

// fetch gets weights from the weight store and loads them.
func (e *Engine) fetch(id weightsID, load uint64, incarnation string) {
	current := func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.orders.loads == load && e.incarnation == incarnation
	}
	for !e.fetchFromStore(id) {
		time.Sleep(weightStoreRetry)
		if !current() {
			return
		}
	}
	e.mu.Lock()
	pause := milliseconds(e.settings.LoadMs)
	e.mu.Unlock()
	time.Sleep(pause)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.orders.loads == load && e.incarnation == incarnation {
		e.orders.fetched = true
		e.switchWeights()
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

// switchWeights puts fetched weights in force once no request uses the old
// ones, and empties the cache: its blocks are of the old weights.
func (e *Engine) switchWeights() {
	o := &e.orders
	if !o.fetched || len(e.running) > 0 || len(e.waiting) > 0 {
		return
	}
	o.fetched = false
	o.state.Loading = false
	o.state.Model, o.state.Version = o.target.model, o.target.version
	e.cache = newCache(e.settings.cacheBlocks())
	e.record(JournalCleared, nil)
	e.publish(api.CacheCleared, nil)
}

func (e *Engine) stateNow() api.State {
	state := e.orders.state
	state.Adapters = slices.Clone(state.Adapters)
	state.Incarnation = e.incarnation
	return state
}
