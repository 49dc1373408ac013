package lease

import (
	"math/rand/v2"
	"testing"
	"time"
)

const orderName = Name("order/endpoint-0")

// granted returns leases whose order lease is held from second 0 to 10.
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
		t.Fatal("no lease")
	}
	return l
}

func sends(actions []OrderAction) bool {
	for _, a := range actions {
		if _, ok := a.(SendOrder); ok {
			return true
		}
	}
	return false
}

func done(actions []OrderAction) bool {
	for _, a := range actions {
		if _, ok := a.(OrderDone); ok {
			return true
		}
	}
	return false
}

// Symptom: an order counts as done and the engine runs other weights.
// Sequence: the engine, which ignores fencing numbers, answers; an older order of
// a holder that was stopped arrives right after.
// Cause: trusting the answer in place of the state.
func TestOrderIsDoneOnlyWhenReadBack(t *testing.T) {
	o := NewOrderReconciler(granted(t), orderName, time.Second)
	o.SetDesired(Order{Op: "load_version", Version: "v2"}, 0)
	if !sends(o.Observe(Observed{}, 0)) {
		t.Fatal("nothing is ordered")
	}
	o.OrderAnswered(0)
	if len(o.Tick(0)) != 1 {
		t.Fatal("the state isn't read back")
	}
	if !sends(o.Observe(Observed{}, 0)) {
		t.Fatal("a lost effect isn't ordered again")
	}
	o.OrderAnswered(0)
	o.Tick(0)
	if !done(o.Observe(Observed{Matches: true}, 0)) {
		t.Fatal("not done although read back")
	}
}

// Symptom: a holder that was stopped overwrites its successor's order.
// Sequence: stopped between reading the state and ordering, past its lease.
// Cause: a lease checked before the pause only.
func TestNoOrderAfterThePauseOutlastsTheLease(t *testing.T) {
	o := NewOrderReconciler(granted(t), orderName, time.Second)
	o.SetDesired(Order{Op: "load_version"}, 0)
	if sends(o.Observe(Observed{}, DefaultParams.Duration)) {
		t.Error("ordered without a lease")
	}
	if o.Tick(DefaultParams.Duration) != nil {
		t.Error("goes on without a lease")
	}
}

func TestOrdersInDoubt(t *testing.T) {
	irreversible := Order{Op: "set_role", Irreversible: true}
	o := NewOrderReconciler(granted(t), orderName, time.Second)
	o.SetDesired(irreversible, 0)
	if !sends(o.Observe(Observed{}, 0)) {
		t.Fatal("nothing is ordered")
	}
	o.OrderUnanswered(0)
	o.Tick(0)
	if sends(o.Observe(Observed{}, 0)) {
		t.Error("what can't be undone is ordered twice")
	}
	newer := NewOrderReconciler(granted(t), orderName, time.Second)
	newer.SetDesired(Order{Op: "load_version"}, 0)
	if sends(newer.Observe(Observed{Fence: 1 << 40}, 0)) {
		t.Error("ordered although the engine has seen a newer number")
	}
}
