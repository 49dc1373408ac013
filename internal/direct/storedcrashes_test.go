package direct

import (
	"context"
	"sync"
	"testing"

	"skylarklead/internal/attempt"
	"skylarklead/internal/fleet"
	"skylarklead/test/kit"
)

// topicStore keeps what is appended.
type topicStore struct {
	fleet.Store
	mu      sync.Mutex
	records [][]byte
}

func (s *topicStore) Append(_ context.Context, _ string, _ *uint64, records [][]byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, records...)
	return uint64(len(s.records)), nil
}

func (s *topicStore) all() [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records
}

// Guards against an entry that starts and knows the losses under a key, but not the good answer since.
func TestEntryThatStartsKnowsGoodAnswersSinceStoredLosses(t *testing.T) {
	store := &topicStore{}
	before := newPeerNodes(t, 1, 1)[0].Entry
	before.platform.Store = store
	keys := attempt.RequestKeys{Parts: []uint64{7}, Fingerprint: 8}
	for _, replica := range []string{"r1", "r2", "r3", "r4"} {
		before.state.crashes.RecordBrokenRun(keys, replica, 0, before.clock.now())
		before.recordReplicaLoss(replica)
	}
	// The first loss under a key isn't stored.
	kit.Until(t, "the losses are stored", func() bool { return len(store.all()) == 3 })
	read := func() *Entry {
		e := newQueueEntry(t)
		r := newRollouts(e)
		for i, value := range store.all() {
			r.applyStoreRecord(fleet.Record{Offset: uint64(i), Value: value})
		}
		return e
	}
	if e := read(); len(e.state.crashes.Restricted(keys, e.clock.now())) == 0 {
		t.Error("not restricted after three losses")
	}
	before.state.mu.Lock()
	before.state.recordGoodAnswer(keys, before.clock.now())
	before.state.mu.Unlock()
	kit.Until(t, "the good answer is stored", func() bool {
		before.storeSound()
		return len(store.all()) == 4
	})
	if e := read(); len(e.state.crashes.Restricted(keys, e.clock.now())) != 0 {
		t.Error("restricted after a good answer that is stored")
	}
}
