package lease

import "time"

// Order is what an engine is to be or to have loaded.
type Order struct {
	Op      string
	Model   string
	Version string
	Adapter string
	Role    string
	// Irreversible orders are given only when nothing is in doubt.
	Irreversible bool
}

// Observed is what reading an engine's state back showed.
type Observed struct {
	// Fence is the number of the last order that the engine took, 0 where it
	// doesn't tell.
	Fence uint64
	// Matches is set when the wanted order's effect is there, Loading while it is
	// still coming.
	Matches bool
	Loading bool
}

// OrderAction is what an Orders asks its process to do.
type OrderAction interface{ orderAction() }

// SendOrder gives the engine an order under Fence. The process calls
// Leases.Check once more right before it writes, and reports Unanswered without
// writing if that fails.
type SendOrder struct {
	Order Order
	Fence uint64
}

// ReadState reads the engine's state and reports Observe.
type ReadState struct{}

// OrderDone says that the wanted order is in force.
type OrderDone struct{ Order Order }

func (SendOrder) orderAction() {}
func (ReadState) orderAction() {}
func (OrderDone) orderAction() {}

type orderPhase uint8

const (
	orderIdle orderPhase = iota
	orderReading
	orderSent
	orderWaiting
)

// OrderReconciler brings one engine into the wanted state under the order lease. Engines
// that check fencing numbers refuse an old one by themselves. For those that
// ignore them it never counts an order as done from its answer, but reads the
// state back, and orders again if an old order of a paused holder came after.
//
// Invariants: an order is sent only after the state was read under the same
// grant; none is sent while another's answer is out.
type OrderReconciler struct {
	leases  *Leases
	name    Name
	poll    time.Duration
	want    *Order
	phase   orderPhase
	fence   uint64
	doubt   bool
	nextTry time.Duration
}

// NewOrderReconciler returns the orders for the engine whose lease is name; poll is how
// often the state is read while it changes, and after it has settled.
func NewOrderReconciler(leases *Leases, name Name, poll time.Duration) *OrderReconciler {
	return &OrderReconciler{leases: leases, name: name, poll: poll}
}

// SetDesired sets the wanted state.
func (o *OrderReconciler) SetDesired(order Order, now time.Duration) []OrderAction {
	if o.want == nil || *o.want != order {
		o.want = &order
		o.nextTry = now
	}
	return o.Tick(now)
}

// HasDesired reports whether an order is wanted, so that the lease is needed.
func (o *OrderReconciler) HasDesired() bool { return o.want != nil }

// Tick starts the next reading when it is due and the lease is held.
func (o *OrderReconciler) Tick(now time.Duration) []OrderAction {
	fence, ok := o.leases.Check(o.name, now)
	if ok && fence != o.fence && o.phase != orderIdle {
		// What is in flight belongs to a grant that is over: it counts as lost.
		o.phase, o.doubt = orderIdle, true
	}
	if o.want == nil || !ok || now < o.nextTry || o.phase == orderReading || o.phase == orderSent {
		return nil
	}
	o.fence = fence
	o.phase = orderReading
	return []OrderAction{ReadState{}}
}

// Observe takes the engine's state as read.
func (o *OrderReconciler) Observe(seen Observed, now time.Duration) []OrderAction {
	if o.phase != orderReading || o.want == nil {
		return nil
	}
	o.phase = orderWaiting
	o.nextTry = now + o.poll
	if seen.Matches {
		o.phase, o.doubt = orderIdle, false
		done := *o.want
		o.want = nil
		return []OrderAction{OrderDone{Order: done}}
	}
	if seen.Loading {
		return nil
	}
	fence, ok := o.leases.Check(o.name, now)
	if !ok || fence != o.fence {
		o.phase = orderIdle
		return nil
	}
	if seen.Fence > fence || o.want.Irreversible && o.doubt {
		// A newer holder has given orders, or an order of ours may still arrive:
		// reading again is all that is safe.
		return nil
	}
	o.phase = orderSent
	return []OrderAction{SendOrder{Order: *o.want, Fence: fence}}
}

// OrderAnswered: the engine took the order; reading back shows whether it holds.
func (o *OrderReconciler) OrderAnswered(now time.Duration) { o.afterSend(now, false) }

// OrderRefused: the engine knows a newer fencing number.
func (o *OrderReconciler) OrderRefused(now time.Duration) { o.afterSend(now, false) }

// OrderUnanswered: the order may or may not have reached the engine, or may still.
func (o *OrderReconciler) OrderUnanswered(now time.Duration) { o.afterSend(now, true) }

// ReadFailed: the state couldn't be read.
func (o *OrderReconciler) ReadFailed(now time.Duration) {
	if o.phase == orderReading {
		o.phase, o.nextTry = orderIdle, now+o.poll
	}
}

func (o *OrderReconciler) afterSend(now time.Duration, doubt bool) {
	if o.phase != orderSent {
		return
	}
	o.phase = orderWaiting
	o.doubt = o.doubt || doubt
	o.nextTry = now
}
