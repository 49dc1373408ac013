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
	// orderPoll is how often the engine's state is read while it changes.
	orderPoll = 250 * time.Millisecond
	// orderTimeout bounds an order's way to the engine. It stays below
	// lease.Params.OrderMargin, so that an order arrives under its lease or not
	// at all.
	orderTimeout = 1500 * time.Millisecond
	// orderFresh is how long after the check of the lease an order may be
	// written. A process that was stopped in between must not send it: another
	// holder may have given newer orders since.
	orderFresh = 200 * time.Millisecond
)

var errStaleCheck = errors.New("endpoint: paused between the lease's check and the order")

// placement keeps the engine's weights equal to the configuration's.
type placement struct {
	leases *lease.Leases
	permit *lease.Permit
	orders *lease.OrderReconciler
	name   lease.Name
	reader *logReader
	// want is what the engine is to have loaded; active is set until it has.
	want   lease.Order
	active bool
	// loading is set from the order until the engine is read back with it.
	loading bool
	// waits is set while the permit is held and the group can't spare this replica.
	waits bool
	// doneAt is when the engine was last read back with the wanted weights.
	doneAt time.Duration
}

func (e *Endpoint) newPlacement() placement {
	name := lease.OrderName(e.settings.ID)
	leases := lease.NewLeases(e.settings.ID, e.tel.Epoch, lease.DefaultParams, e.rng)
	return placement{
		leases: leases,
		permit: lease.NewPermit(leases, config.DefaultLoadPermits, e.rng),
		orders: lease.NewOrderReconciler(leases, name, orderPoll),
		name:   name,
		reader: &logReader{
			logger: e.log,
			log:    e.platformLog,
			stream: "leases." + e.settings.Endpoint.Group,
			loop:   e.loop,
			now:    e.now,
			poke:   make(chan struct{}, 1),
			record: func(offset uint64, data []byte) {
				e.performLease(leases.ApplyRecord(offset, data, e.now()))
			},
			caughtUp: func(time.Duration) { e.performLease(leases.CaughtUp(e.now())) },
			gap:      func(oldest uint64) { e.performLease(leases.Truncated(oldest, e.now())) },
			oldest:   leases.SetOldest,
		},
	}
}

// place compares the engine with the configuration and goes on with what is
// under way.
func (e *Endpoint) place() {
	if e.engine == nil {
		return
	}
	p := &e.placement
	now := e.now()
	if want, ok := e.wantedWeights(); ok && (!p.active || p.want != want) {
		p.want, p.active = want, true
		e.log.Info("weights wanted", "model", want.Model, "version", want.Version,
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
		e.performOrders(p.orders.SetDesired(p.want, now))
	}
}

// mayLoad reports whether the engine may load weights right now: under a permit,
// and with enough of the group left to serve.
func (e *Endpoint) mayLoad() bool {
	p := &e.placement
	now := e.now()
	if !p.permit.Check(now) {
		p.waits = false
		return false
	}
	others := e.group.view.Members(now)
	var serving []string
	for _, m := range others {
		if peer := e.group.peers[m.ID]; m.Usable() && peer != nil && peer.hasLoad && peer.load.EngineUp {
			serving = append(serving, m.ID)
		}
	}
	// A process that was restarted without the list knows of nobody until it is
	// heard; all of a group would take themselves for alone.
	known := e.group.listed || len(others) > 0
	spared := known && p.permit.EnoughServing(len(others), serving, e.settings.Endpoint.KeepServing)
	if !spared && !p.waits {
		e.log.Warn("weights wait: too few other replicas would serve meanwhile", "list_read", e.group.listed, "others", len(others), "serving", serving)
	}
	p.waits = !spared
	return spared
}

// wantedWeights returns the order that the configuration asks for, if the engine
// that is up has something else.
func (e *Endpoint) wantedWeights() (lease.Order, bool) {
	model := e.wantedModel()
	if model == nil || !e.watch.up || e.drain.leaving {
		return lease.Order{}, false
	}
	order := lease.Order{Op: string(engine.OpLoadVersion), Model: model.ID, Version: model.Version}
	if model.ID != e.watch.model {
		order.Op = string(engine.OpLoadModel)
	}
	return order, model.ID != e.watch.model || model.Version != e.watch.version
}

// wantedModel is the group's model: the one that the engine has if the group has
// several, else the first by name.
func (e *Endpoint) wantedModel() *config.Model {
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
	_, err := e.platformLog.Append(ctx, e.placement.reader.stream, [][]byte{action.Data})
	if err == nil {
		return // it shows in the stream
	}
	e.loop.must(func() {
		e.log.Warn("lease record not appended", "error", err)
		e.performLease(e.placement.leases.AppendFailed(action.Seq, e.now()))
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
	e.loop.must(func() {
		now := e.now()
		if err != nil {
			e.placement.orders.ReadFailed(now)
			return
		}
		want := e.placement.want
		if state.Loading {
			// The order of a process before this one: the group must not count on
			// this engine, or the next one would load as well.
			e.placement.loading = true
			e.tellEngine()
		}
		e.performOrders(e.placement.orders.Observe(lease.Observed{
			Fence:   state.Fence,
			Matches: !state.Loading && state.Model == want.Model && state.Version == want.Version,
			Loading: state.Loading,
		}, now))
	})
}

// sendOrder gives the engine an order, if the leases hold right now.
func (e *Endpoint) sendOrder(action lease.SendOrder) {
	p := &e.placement
	now := e.now()
	if fence, ok := p.leases.Check(p.name, now); !ok || fence != action.Fence || !e.mayLoad() {
		p.orders.OrderUnanswered(now)
		return
	}
	p.loading = true
	e.tellEngine()
	e.recordPlacement(action, "ordered")
	go func() {
		err := e.writeOrder(action, now)
		e.loop.must(func() { e.orderAnswered(action, err) })
	}()
}

func (e *Endpoint) writeOrder(action lease.SendOrder, checked time.Duration) error {
	if e.now()-checked > orderFresh {
		return errStaleCheck
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
		e.placement.orders.OrderAnswered(now)
	case errors.Is(err, engine.ErrStaleFence):
		e.recordPlacement(action, "stale_fence")
		e.placement.orders.OrderRefused(now)
	case errors.Is(err, engine.ErrNotRun), errors.Is(err, errStaleCheck):
		e.recordPlacement(action, "not_sent")
		e.placement.orders.OrderAnswered(now) // reading back goes on from there
	default:
		e.recordPlacement(action, "answer_lost")
		e.placement.orders.OrderUnanswered(now)
	}
}

func (e *Endpoint) orderDone(order lease.Order) {
	p := &e.placement
	now := e.now()
	p.active, p.loading = false, false
	p.doneAt = now
	e.watch.model, e.watch.version = order.Model, order.Version
	e.tellEngine()
	e.recordPlacement(lease.SendOrder{Order: order}, "in_force")
	e.performLease(p.permit.Release(now))
	e.performLease(p.leases.Release(p.name, now))
	e.startHeld()
}

func (e *Endpoint) recordPlacement(action lease.SendOrder, reason string) {
	o := action.Order
	e.tel.Decisions.Record(protocol.DecisionRecord{
		Request:  fmt.Sprintf("%s:%s@%s", o.Op, o.Model, o.Version),
		Kind:     telemetry.KindPlacement,
		Executor: e.settings.ID,
		Reason:   reason,
	})
}
