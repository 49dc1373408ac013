package lease

import "time"

// Order is the desired state of an engine: what it is to have loaded, or its role.
type Order struct {
	Op      string
	Model   string
	Version string
	Adapter string
	Role    string
	// Irreversible orders are not sent while the outcome of an earlier one is unknown.
	Irreversible bool
}

// Observed is the result of reading an engine's state.
type Observed struct {
	// Fence is the fencing number of the last order that the engine accepted, 0 if it
	// doesn't report one.
	Fence uint64
	// Matches is set when the engine is in the desired state, Loading while it is
	// still loading.
	Matches bool
	Loading bool
}

// OrderAction is what an OrderReconciler asks its process to do: SendOrder, ReadState or
// OrderDone.
type OrderAction interface{ orderAction() }

// SendOrder asks the process to send the engine an order under Fence. The process calls
// Leases.Check once more right before it writes, and calls OrderUnanswered without
// writing if that fails.
type SendOrder struct {
	Order Order
	Fence uint64
}

// ReadState asks the process to read the engine's state and to call Observe.
type ReadState struct{}

// OrderDone says that the engine is in the desired state.
type OrderDone struct{ Order Order }

func (SendOrder) orderAction() {}
func (ReadState) orderAction() {}
func (OrderDone) orderAction() {}

type orderPhase uint8

const (
	orderIdle orderPhase = iota
	orderReadingState
	orderSent
	orderWaiting
)

// OrderReconciler brings one engine into the desired state while its process holds the
// order lease. Engines that check fencing numbers refuse orders with an old one. For
// engines that ignore them, an answer to an order never counts as done: the state is read
// back, and the order is sent again if an old order of a paused holder was executed after
// it.
//
// Invariants: an order is sent only after the state was read under the same grant, and
// never while another order awaits its answer. uncertain is set while an order of unknown
// outcome may still arrive.
type OrderReconciler struct {
	leases       *Leases
	name         Name
	pollInterval time.Duration
	desired      *Order
	phase        orderPhase
	fence        uint64
	uncertain    bool
	nextRead     time.Duration
}

// NewOrderReconciler returns the reconciler of the engine whose order lease is name. The
// engine's state is read once per pollInterval while it changes and after it has settled.
func NewOrderReconciler(leases *Leases, name Name, pollInterval time.Duration) *OrderReconciler {
	return &OrderReconciler{leases: leases, name: name, pollInterval: pollInterval}
}

// SetDesired sets the desired state.
func (o *OrderReconciler) SetDesired(order Order, now time.Duration) []OrderAction {
	if o.desired == nil || *o.desired != order {
		o.desired = &order
		o.nextRead = now
	}
	return o.Tick(now)
}

// HasDesired reports whether a desired state is still to be reached, so that the lease
// is needed.
func (o *OrderReconciler) HasDesired() bool { return o.desired != nil }

// Tick starts the next read of the state when it is due and the lease is held.
func (o *OrderReconciler) Tick(now time.Duration) []OrderAction {
	fence, ok := o.leases.Check(o.name, now)
	if ok && fence != o.fence && o.phase != orderIdle {
		// What is in flight belongs to a grant that has ended: its outcome is unknown.
		o.phase, o.uncertain = orderIdle, true
	}
	if o.desired == nil || !ok || now < o.nextRead || o.phase == orderReadingState || o.phase == orderSent {
		return nil
	}
	o.fence = fence
	o.phase = orderReadingState
	return []OrderAction{ReadState{}}
}

// Observe handles the engine's state and returns what to do about it.
func (o *OrderReconciler) Observe(observed Observed, now time.Duration) []OrderAction {
	if o.phase != orderReadingState || o.desired == nil {
		return nil
	}
	o.phase = orderWaiting
	o.nextRead = now + o.pollInterval
	if observed.Matches {
		o.phase, o.uncertain = orderIdle, false
		done := *o.desired
		o.desired = nil
		return []OrderAction{OrderDone{Order: done}}
	}
	if observed.Loading {
		return nil
	}
	fence, ok := o.leases.Check(o.name, now)
	if !ok || fence != o.fence {
		o.phase = orderIdle
		return nil
	}
	if observed.Fence > fence || o.desired.Irreversible && o.uncertain {
		// A newer holder has sent orders, or an earlier order of this process may still
		// arrive: only reading again is safe.
		return nil
	}
	o.phase = orderSent
	return []OrderAction{SendOrder{Order: *o.desired, Fence: fence}}
}

// OrderAnswered reports that the engine accepted the order. The state is read back to
// see whether it took effect.
func (o *OrderReconciler) OrderAnswered(now time.Duration) { o.afterSend(now, false) }

// OrderRefused reports that the engine refused the order for its fencing number.
func (o *OrderReconciler) OrderRefused(now time.Duration) { o.afterSend(now, false) }

// OrderUnanswered reports that the order may or may not have reached the engine, or may
// still reach it.
func (o *OrderReconciler) OrderUnanswered(now time.Duration) { o.afterSend(now, true) }

// ReadFailed reports that the state couldn't be read.
func (o *OrderReconciler) ReadFailed(now time.Duration) {
	if o.phase == orderReadingState {
		o.phase, o.nextRead = orderIdle, now+o.pollInterval
	}
}

func (o *OrderReconciler) afterSend(now time.Duration, uncertain bool) {
	if o.phase != orderSent {
		return
	}
	o.phase = orderWaiting
	o.uncertain = o.uncertain || uncertain
	o.nextRead = now
}
