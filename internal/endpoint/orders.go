package endpoint

import (
	"context"
	"errors"
	"fmt"
	"time"

	"skylarklead/internal/config"
	"skylarklead/internal/engine"
	"skylarklead/internal/lease"
	"skylarklead/internal/protocol"
	"skylarklead/internal/telemetry"
)

const (
	// orderPollInterval is how often the engine's state is read while it changes.
	orderPollInterval = 250 * time.Millisecond
	// orderTimeout bounds the request that carries an order to the engine. It stays
	// below lease.Params.OrderMargin, so that an order arrives under its lease or not
	// at all.
	orderTimeout = 1500 * time.Millisecond
	// maxLeaseCheckAge is how long after the check of the lease an order may be
	// sent. A process that was paused in between must not send it: another holder
	// may have sent newer orders since.
	maxLeaseCheckAge = 200 * time.Millisecond
)

var errStaleLeaseCheck = errors.New("endpoint: paused too long between the lease check and the order")

// weightReconciler keeps the engine's weights equal to those of the configuration.
type weightReconciler struct {
	leases *lease.Leases
	permit *lease.Permit
	orders *lease.OrderReconciler
	name   lease.Name
	reader *logReader
	// desired is what the engine is to load; active is set until it has loaded it.
	desired lease.Order
	active  bool
	// loading is set from the order until the engine's state shows the weights.
	loading bool
	// loadPostponed is set while the permit is held and too few other replicas
	// serve for this one to load.
	loadPostponed bool
	// loadedAt is when the engine's state last showed the desired weights.
	loadedAt time.Duration
}

func (e *Endpoint) newWeightReconciler() weightReconciler {
	name := lease.OrderName(e.settings.ID)
	leases := lease.NewLeases(e.settings.ID, e.tel.Epoch, lease.DefaultParams, e.rng)
	return weightReconciler{
		leases: leases,
		permit: lease.NewPermit(leases, config.DefaultLoadPermits, e.rng),
		orders: lease.NewOrderReconciler(leases, name, orderPollInterval),
		name:   name,
		reader: &logReader{
			logger:    e.log,
			log:       e.platformLog,
			stream:    "leases." + e.settings.Endpoint.Group,
			loop:      e.loop,
			now:       e.now,
			interrupt: make(chan struct{}, 1),
			onRecord: func(offset uint64, data []byte) {
				e.performLease(leases.ApplyRecord(offset, data, e.now()))
			},
			onCaughtUp: func(time.Duration) { e.performLease(leases.CaughtUp(e.now())) },
			onGap:      func(oldest uint64) { e.performLease(leases.Truncated(oldest, e.now())) },
			onOldest:   leases.SetOldest,
		},
	}
}

// reconcileWeights compares the engine's weights with the configuration and continues
// a change that is under way.
func (e *Endpoint) reconcileWeights() {
	if e.engine == nil {
		return
	}
	p := &e.weights
	now := e.now()
	if want, ok := e.desiredWeights(); ok && (!p.active || p.desired != want) {
		p.desired, p.active = want, true
		e.log.Info("configured weights differ from the engine's", "model", want.Model, "version", want.Version,
			"has_model", e.watch.model, "has_version", e.watch.version)
	}
	if !p.active {
		e.performLease(p.leases.Tick(now))
		return
	}
	if g := e.state().Groups[e.settings.Endpoint.Group]; g != nil {
		p.permit.SetCount(g.LoadPermits)
	}
	e.performLease(p.leases.Acquire(p.name, now))
	e.performLease(p.permit.Acquire(now))
	e.performLease(p.permit.Tick(now))
	if e.mayLoad() || p.loading {
		e.performOrders(p.orders.SetDesired(p.desired, now))
	}
}

// mayLoad reports whether the engine may load weights right now: under a permit,
// and with enough other replicas of the group serving.
func (e *Endpoint) mayLoad() bool {
	p := &e.weights
	now := e.now()
	if !p.permit.Check(now) {
		p.loadPostponed = false
		return false
	}
	others := e.group.view.Members(now)
	var serving []string
	for _, m := range others {
		if peer := e.group.peers[m.ID]; m.Usable() && peer != nil && peer.hasLoad && peer.load.EngineUp {
			serving = append(serving, m.ID)
		}
	}
	// A process that was restarted without the list knows no member until it
	// receives a heartbeat; every replica of a group would take itself for the only
	// one.
	known := e.group.listed || len(others) > 0
	enough := known && p.permit.EnoughServing(len(others), serving, e.settings.Endpoint.KeepServing)
	if !enough && !p.loadPostponed {
		e.log.Warn("weight load postponed: too few other replicas are serving", "list_read", e.group.listed, "others", len(others), "serving", serving)
	}
	p.loadPostponed = !enough
	return enough
}

// desiredWeights returns the order for the weights in the configuration, and whether
// the engine is up and has other ones.
func (e *Endpoint) desiredWeights() (lease.Order, bool) {
	model := e.desiredModel()
	if model == nil || !e.watch.up || e.drain.leaving {
		return lease.Order{}, false
	}
	order := lease.Order{Op: string(engine.OpLoadVersion), Model: model.ID, Version: model.Version}
	if model.ID != e.watch.model {
		order.Op = string(engine.OpLoadModel)
	}
	return order, model.ID != e.watch.model || model.Version != e.watch.version
}

// desiredModel returns the group's model: the one that the engine has if the group has
// several, else the first by name.
func (e *Endpoint) desiredModel() *config.Model {
	var first *config.Model
	for _, m := range e.state().Models {
		switch {
		case m.Group != e.settings.Endpoint.Group || m.Version == "":
		case m.ID == e.watch.model:
			return m
		case first == nil || m.ID < first.ID:
			first = m
		}
	}
	return first
}

func (e *Endpoint) performLease(actions []lease.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case lease.Append:
			go e.appendLease(action)
		case lease.Granted:
			e.log.Info("lease granted", "lease", string(action.Name), "fence", action.Fence)
		case lease.Lost:
			e.log.Warn("lease lost", "lease", string(action.Name))
		}
	}
}

func (e *Endpoint) appendLease(action lease.Append) {
	ctx, stop := context.WithTimeout(context.Background(), appendTimeout)
	defer stop()
	_, err := e.platformLog.Append(ctx, e.weights.reader.stream, [][]byte{action.Data})
	if err == nil {
		return // the record is read back from the stream
	}
	e.loop.postUnbounded(func() {
		e.log.Warn("lease record not appended", "error", err)
		e.performLease(e.weights.leases.AppendFailed(action.Seq, e.now()))
	})
}

func (e *Endpoint) performOrders(actions []lease.OrderAction) {
	for _, action := range actions {
		switch action := action.(type) {
		case lease.ReadState:
			go e.readBack()
		case lease.SendOrder:
			e.sendOrder(action)
		case lease.OrderDone:
			e.orderDone(action.Order)
		}
	}
}

func (e *Endpoint) readBack() {
	ctx, stop := context.WithTimeout(context.Background(), orderTimeout)
	defer stop()
	state, err := e.engine.State(ctx)
	e.loop.postUnbounded(func() {
		now := e.now()
		if err != nil {
			e.weights.orders.ReadFailed(now)
			return
		}
		want := e.weights.desired
		if state.Loading {
			// An order of an earlier process: the group must not count on this engine,
			// or another one would load at the same time.
			e.weights.loading = true
			e.advertiseEngineState()
		}
		e.performOrders(e.weights.orders.Observe(lease.Observed{
			Fence:   state.Fence,
			Matches: !state.Loading && state.Model == want.Model && state.Version == want.Version,
			Loading: state.Loading,
		}, now))
	})
}

// sendOrder sends an order to the engine, if the leases are held right now.
func (e *Endpoint) sendOrder(action lease.SendOrder) {
	p := &e.weights
	now := e.now()
	if fence, ok := p.leases.Check(p.name, now); !ok || fence != action.Fence || !e.mayLoad() {
		p.orders.OrderUnanswered(now)
		return
	}
	p.loading = true
	e.advertiseEngineState()
	e.recordOrder(action, "ordered")
	go func() {
		err := e.writeOrder(action, now)
		e.loop.postUnbounded(func() { e.orderAnswered(action, err) })
	}()
}

func (e *Endpoint) writeOrder(action lease.SendOrder, checkedAt time.Duration) error {
	if e.now()-checkedAt > maxLeaseCheckAge {
		return errStaleLeaseCheck
	}
	ctx, stop := context.WithTimeout(context.Background(), orderTimeout)
	defer stop()
	_, err := e.engine.SendOrder(ctx, engine.Order{
		Fence:   action.Fence,
		Op:      engine.Op(action.Order.Op),
		Model:   action.Order.Model,
		Version: action.Order.Version,
	})
	return err
}

func (e *Endpoint) orderAnswered(action lease.SendOrder, err error) {
	now := e.now()
	switch {
	case err == nil:
		e.weights.orders.OrderAnswered(now)
	case errors.Is(err, engine.ErrStaleFence):
		e.recordOrder(action, "stale_fence")
		e.weights.orders.OrderRefused(now)
	case errors.Is(err, engine.ErrNotRun), errors.Is(err, errStaleLeaseCheck):
		e.recordOrder(action, "not_sent")
		e.weights.orders.OrderAnswered(now) // reading the state shows what to do next
	default:
		e.recordOrder(action, "answer_lost")
		e.weights.orders.OrderUnanswered(now)
	}
}

func (e *Endpoint) orderDone(order lease.Order) {
	p := &e.weights
	now := e.now()
	p.active, p.loading = false, false
	p.loadedAt = now
	e.watch.model, e.watch.version = order.Model, order.Version
	e.advertiseEngineState()
	e.recordOrder(lease.SendOrder{Order: order}, "in_force")
	e.performLease(p.permit.Release(now))
	e.performLease(p.leases.Release(p.name, now))
	e.startAdmitted()
}

func (e *Endpoint) recordOrder(action lease.SendOrder, reason string) {
	o := action.Order
	e.tel.Decisions.Record(protocol.DecisionRecord{
		Request:  fmt.Sprintf("%s:%s@%s", o.Op, o.Model, o.Version),
		Kind:     telemetry.KindPlacement,
		Executor: e.settings.ID,
		Reason:   reason,
	})
}
