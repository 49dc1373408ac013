package direct

import (
	"context"
	"testing"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/lease"
	"skylarklead/internal/rollout"
	"skylarklead/internal/settings"
)

// appendStore takes appends and hands out their records.
type appendStore struct {
	fleet.Store
	appended chan []byte
}

func (s *appendStore) Append(_ context.Context, _ string, _ *uint64, records [][]byte) (uint64, error) {
	for _, record := range records {
		s.appended <- record
	}
	return 0, nil
}

// Guards against a lease that is returned while the record of an order is on its way: the next holder
// reads the return first and doesn't wait for the order.
func TestLeaseIsReturnedAfterTheRecordsOfOrders(t *testing.T) {
	store := &appendStore{appended: make(chan []byte, 8)}
	s := &settings.Settings{ID: "entry-1", Direct: &settings.Direct{MemoryMB: 16, FencesChecked: true}}
	e := newEntry(s, quietTelemetry(t), Platform{Store: store})
	r := e.rollouts
	r.leases.CaughtUp(bootTime())
	for _, a := range r.leases.Acquire(orderLease, bootTime()) {
		if claim, ok := a.(lease.Append); ok {
			r.leases.ApplyRecord(1, claim.Data, bootTime())
		}
	}
	if !r.leases.HeldOrReleasing(orderLease) {
		t.Fatal("the lease isn't held")
	}
	r.mu.Lock()
	r.publishing = 1
	r.release(t.Context())
	if _, held := r.leases.Check(orderLease, bootTime()); !held {
		t.Error("the lease is returned with an append under way")
	}
	r.publishing = 0
	r.release(t.Context())
	r.mu.Unlock()
	select {
	case <-store.appended:
	case <-time.After(10 * time.Second):
		t.Error("the lease isn't returned")
	}
}

// Guards against a next holder that doesn't wait for an order that another holder sent again.
func TestNextHolderCountsOrdersSentAgain(t *testing.T) {
	for _, phase := range []rollout.Phase{rollout.PhaseOrdered, rollout.PhaseResent} {
		s := &settings.Settings{ID: "entry-1", Direct: &settings.Direct{MemoryMB: 16, FencesChecked: true}}
		e := newEntry(s, quietTelemetry(t), Platform{Store: &appendStore{appended: make(chan []byte, 8)}})
		e.rollouts.receiveRecords([]rollout.Record{{Holder: "entry-2", Replica: "llm-1", Model: "m", Version: 2, Phase: phase}})
		if e.rollouts.foreignOrderAt == 0 {
			t.Errorf("a record of phase %s of another holder isn't counted as an order", phase)
		}
	}
}

// Guards against orders of two holders that come too close to each other where replicas check no fencing numbers,
// because the lease of a holder that is killed can be claimed too early.
func TestAnExpiredLeaseKeepsHoldersApart(t *testing.T) {
	d := &settings.Direct{Lease: settings.DefaultLease}
	p := leaseParamsFor(d)
	// The holder's last order is sent OrderMargin before its lease expires and arrives within MaxUse, the
	// next holder's Margin after.
	if apart := p.OrderMargin + p.Margin - p.MaxUse; apart < d.Lease.D() {
		t.Errorf("orders of two holders may come %v apart; want %v", apart, d.Lease.D())
	}
	if p.Apart < d.Lease.D() || p.MaxUse < callTimeout {
		t.Errorf("a lease that is returned, or reclaimed after a restart, doesn't keep orders apart: %+v", p)
	}
	checked := leaseParamsFor(&settings.Direct{Lease: settings.DefaultLease, FencesChecked: true})
	if checked.Apart < d.Lease.D() {
		t.Errorf("a returned lease keeps holders %v apart where fencing numbers are checked; want %v", checked.Apart, d.Lease.D())
	}
	if p.RenewBefore <= p.OrderMargin {
		t.Error("the lease is renewed only once it can't be used any more")
	}
}
