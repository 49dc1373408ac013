package direct

import (
	"context"
	"testing"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/settings"
)

// emptyStore is a store whose topics have no records, in a given era.
type emptyStore struct {
	appendStore
	era uint64
	// readAgain is closed at the second read, after the first answer was applied.
	readAgain chan struct{}
	reads     int
}

func (s *emptyStore) Read(ctx context.Context, _ string, _ uint64, _ time.Duration) (fleet.Page, error) {
	if s.reads++; s.reads == 2 {
		close(s.readAgain)
	}
	if s.reads > 1 {
		<-ctx.Done()
		return fleet.Page{}, ctx.Err()
	}
	begin := fleet.Position(s.era, 0)
	return fleet.Page{First: begin, Next: begin, End: begin}, nil
}

// Guards against an entry that starts right after the store was restored from a copy without any record of the
// lease, and takes the lease for free while another entry uses it.
func TestNoClaimAtOnceInARestoredStore(t *testing.T) {
	for _, tt := range []struct {
		era    uint64
		claims bool
	}{{0, true}, {1, false}} {
		store := &emptyStore{appendStore: appendStore{appended: make(chan []byte, 8)}, era: tt.era, readAgain: make(chan struct{})}
		s := &settings.Settings{ID: "entry-1", Direct: &settings.Direct{MemoryMB: 16, Lease: settings.DefaultLease}}
		e := newEntry(s, quietTelemetry(t), Platform{Store: store})
		r := e.rollouts
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { r.follow(ctx); close(done) }()
		<-store.readAgain
		r.mu.Lock()
		claims := len(r.leases.Acquire(orderLease, bootTime())) > 0
		r.mu.Unlock()
		cancel()
		<-done
		if claims != tt.claims {
			t.Errorf("era %d: claims at once %t; want %t", tt.era, claims, tt.claims)
		}
	}
}
