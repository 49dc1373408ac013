package direct

import (
	"context"
	"sync"
	"testing"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/fleet"
	"skylarklead/test/kit"
)

// verdictStore is a store of one keyed topic.
type verdictStore struct {
	fleet.Store
	mu     sync.Mutex
	values map[string][]byte
}

func (s *verdictStore) Newest(context.Context, string) (fleet.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var page fleet.Page
	for key, value := range s.values {
		page.Records = append(page.Records, fleet.Record{Offset: uint64(len(page.Records)), Key: key, Value: value})
	}
	return page, nil
}

func (s *verdictStore) Put(_ context.Context, _, key string, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if value == nil {
		delete(s.values, key)
	} else {
		s.values[key] = value
	}
	return nil
}

func (s *verdictStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.values)
}

func newVerdictEntry(t *testing.T, s *verdictStore) *Entry {
	t.Helper()
	e := newQueueEntry(t)
	e.platform.Headers, e.platform.Store = plainHeaders{}, s
	return e
}

// Guards against a verdict that an entry which starts doesn't know, and against one that outlives its end:
// it is deleted once a request with the key is answered well.
func TestVerdictIsKeptUntilItEnds(t *testing.T) {
	store := &verdictStore{values: map[string][]byte{}}
	first := newVerdictEntry(t, store)
	req, _, _ := newPoisonRequest(first)
	first.verdicts.write([]attempt.CrashReport{
		{Fingerprint: req.keys.Fingerprint, Replica: "r", GivenUp: true},
		{Fingerprint: 9, Replica: "r"},
	})
	kit.Until(t, "the verdict is stored", func() bool { return store.count() == 1 })

	next := newVerdictEntry(t, store)
	req, p, _ := newPoisonRequest(next)
	kit.OK(t, next.verdicts.read(t.Context()))
	if !req.rejectPlaced(p) {
		t.Fatal("the entry that started doesn't know the verdict")
	}
	req, p, _ = newPoisonRequest(next)
	req.recordSuccess(p)
	if req.rejectPlaced(p) {
		t.Error("given up after a good answer")
	}
	kit.Until(t, "the verdict is deleted", func() bool { return store.count() == 0 })
}

// Guards against a verdict that comes back to an entry which knows better: a good answer ended it while the store
// couldn't delete it, and the entry reads it again.
func TestVerdictThatAGoodAnswerEndedStaysEnded(t *testing.T) {
	store := &verdictStore{values: map[string][]byte{}}
	e := newVerdictEntry(t, store)
	req, p, _ := newPoisonRequest(e)
	e.state.crashes.Merge(attempt.CrashReport{Fingerprint: req.keys.Fingerprint, Replica: "r", GivenUp: true}, e.clock.now())
	req.recordSuccess(p)
	old := storedVerdict{Report: attempt.CrashReport{Fingerprint: req.keys.Fingerprint, Replica: "r", GivenUp: true}, AtMs: time.Now().Add(-time.Minute).UnixMilli()}
	kit.OK(t, store.Put(t.Context(), topicVerdicts, verdictKey(req.keys.Fingerprint), old.encode()))
	kit.OK(t, e.verdicts.read(t.Context()))
	if req.rejectPlaced(p) {
		t.Error("given up again by the record of a verdict that had ended")
	}
	if store.count() != 0 {
		t.Error("the record is kept")
	}
}

// Guards against records that are malformed or out of date and count, or hide the others.
func TestVerdictsThatDontHoldAreSkipped(t *testing.T) {
	record := func(key uint64, age time.Duration, givenUp bool) []byte {
		v := storedVerdict{Report: attempt.CrashReport{Fingerprint: key, Replica: "r", GivenUp: givenUp}, AtMs: time.Now().Add(-age).UnixMilli()}
		return v.encode()
	}
	store := &verdictStore{values: map[string][]byte{
		"a": record(10, time.Minute, true), "b": record(11, 2*attempt.DefaultCrashTrackerParams.TTL, true),
		"c": record(12, 0, false), "d": []byte("text"), "e": nil,
	}}
	e := newVerdictEntry(t, store)
	kit.OK(t, e.verdicts.read(t.Context()))
	for key, want := range map[uint64]bool{10: true, 11: false, 12: false} {
		if got := e.state.isGivenUp(key, e.clock.now()); got != want {
			t.Errorf("key %d: given up %t", key, got)
		}
	}
	if _, kept := store.values["b"]; kept {
		t.Error("the expired verdict is still stored")
	}
}

func FuzzVerdict(f *testing.F) {
	good := storedVerdict{Report: attempt.CrashReport{Fingerprint: 1, Replica: "r", GivenUp: true}, AtMs: 1}
	f.Add(good.encode())
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, value []byte) {
		if v, err := decodeVerdict(value); err == nil && (!v.Report.GivenUp || !v.Report.Valid()) {
			t.Errorf("accepts %+v", v)
		}
	})
}
