package direct

import (
	"context"
	"testing"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/lease"
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
