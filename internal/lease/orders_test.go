package lease

import (
	"math/rand/v2"
	"testing"
	"time"
)

const orderName = Name("order/endpoint-0")

// granted returns Leases that hold the order lease from second 0 to 10.
func granted(t *testing.T) *Leases {
	t.Helper()
	l := NewLeases("endpoint-0", 1, DefaultParams, rand.New(rand.NewPCG(1, 1)))
	l.CaughtUp(0)
	for _, a := range l.Acquire(orderName, 0) {
		if a, ok := a.(Append); ok {
			l.ApplyRecord(1, a.Data, 0)
		}
	}
	if _, ok := l.Check(orderName, 0); !ok {
		t.Fatal("the lease was not granted")
	}
	return l
}

func hasSendOrder(actions []OrderAction) bool {
	for _, a := range actions {
		if _, ok := a.(SendOrder); ok {
			return true
		}
	}
	return false
}

func hasOrderDone(actions []OrderAction) bool {
	for _, a := range actions {
		if _, ok := a.(OrderDone); ok {
			return true
		}
	}
	return false
}

// Guards against an order that counts as done although the engine runs other weights: the
// engine ignores fencing numbers and answers, and then an older order of a paused holder
// arrives. The answer must not be trusted in place of the state.
func TestOrderIsDoneOnlyWhenReadBack(t *testing.T) {
	o := NewOrderReconciler(granted(t), orderName, time.Second)
	o.SetDesired(Order{Op: "load_version", Version: "v2"}, 0)
	if !hasSendOrder(o.Observe(Observed{}, 0)) {
		t.Fatal("no order is sent")
	}
	o.OrderAnswered(0)
	if len(o.Tick(0)) != 1 {
		t.Fatal("the state isn't read back")
	}
	if !hasSendOrder(o.Observe(Observed{}, 0)) {
		t.Fatal("the order isn't sent again after its effect was lost")
	}
	o.OrderAnswered(0)
	o.Tick(0)
	if !hasOrderDone(o.Observe(Observed{Matches: true}, 0)) {
		t.Fatal("the order isn't done although the state matches")
	}
}

// Guards against a holder that overwrites its successor's order because it was paused past the
// expiry of its lease between reading the state and sending the order, and checked the lease
// only before the pause.
func TestNoOrderAfterThePauseOutlastsTheLease(t *testing.T) {
	o := NewOrderReconciler(granted(t), orderName, time.Second)
	o.SetDesired(Order{Op: "load_version"}, 0)
	if hasSendOrder(o.Observe(Observed{}, DefaultParams.Duration)) {
		t.Error("an order is sent without a lease")
	}
	if o.Tick(DefaultParams.Duration) != nil {
		t.Error("reads the state without a lease")
	}
}

func TestOrdersInDoubt(t *testing.T) {
	irreversible := Order{Op: "set_role", Irreversible: true}
	o := NewOrderReconciler(granted(t), orderName, time.Second)
	o.SetDesired(irreversible, 0)
	if !hasSendOrder(o.Observe(Observed{}, 0)) {
		t.Fatal("no order is sent")
	}
	o.OrderUnanswered(0)
	o.Tick(0)
	if hasSendOrder(o.Observe(Observed{}, 0)) {
		t.Error("an irreversible order is sent twice")
	}
	newer := NewOrderReconciler(granted(t), orderName, time.Second)
	newer.SetDesired(Order{Op: "load_version"}, 0)
	if hasSendOrder(newer.Observe(Observed{Fence: 1 << 40}, 0)) {
		t.Error("an order is sent although the engine has seen a higher fencing number")
	}
}
