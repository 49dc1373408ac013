package direct

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/origin"
)

// usesStore is a store of the records of software versions, whose reads take a time.
type usesStore struct {
	fleet.Store
	takes time.Duration

	mu      sync.Mutex
	err     error
	records []fleet.Record
	reads   int
}

func (s *usesStore) Newest(ctx context.Context, _ string) (fleet.Page, error) {
	s.mu.Lock()
	page, err := fleet.Page{Records: s.records, Next: uint64(len(s.records))}, s.err
	s.reads++
	s.mu.Unlock()
	select {
	case <-time.After(s.takes):
	case <-ctx.Done():
		return fleet.Page{}, ctx.Err()
	}
	return page, err
}

func (s *usesStore) set(err error, names ...origin.UseName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err, s.records = err, []fleet.Record{encodeCompleteRecord(0)}
	for _, name := range names {
		s.records = append(s.records, encodeUseRecord(name, false))
	}
}

var (
	useV1 = origin.UseName{Service: "s", Version: "v1", Model: "m"}
	useV2 = origin.UseName{Service: "s", Version: "v2", Model: "m"}
)

// Guards against a stream that is taken up by what was read before it began, or after its caller's time, and against a
// read for each stream.
func TestEvidenceIsReadAfterTheStreamWasTakenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &usesStore{takes: 10 * time.Millisecond}
		e := newQueueEntry(t)
		e.clock.start = time.Now().Add(-time.Minute)
		e.platform.Store = store
		e.state.entries = 3
		store.set(nil, useV1)
		v1 := useV1.Use().Software
		first := make(chan origin.Software)
		go func() { first <- e.uses.only(t.Context(), "m") }()
		time.Sleep(store.takes / 2)
		store.set(nil, useV1, useV2)
		if got := e.uses.only(t.Context(), "m"); got != origin.Unknown {
			t.Errorf("%v of a stream that was taken up after the second version came", got)
		}
		if got := <-first; got != v1 {
			t.Errorf("%v of one that was taken up before; want %v", got, v1)
		}
		store.set(nil, useV1)
		reads := store.reads
		for range 10 {
			if got := e.uses.only(t.Context(), "m"); got != origin.Unknown {
				t.Errorf("%v just after two versions were read", got)
			}
		}
		if store.reads != reads {
			t.Errorf("%d reads for streams that are refused", store.reads-reads)
		}
		time.Sleep(refusalReuse)
		var all sync.WaitGroup
		for range 10 {
			all.Go(func() {
				if got := e.uses.only(t.Context(), "m"); got != v1 {
					t.Errorf("%v, want the only version", got)
				}
			})
		}
		all.Wait()
		if store.reads-reads > 2 {
			t.Errorf("%d reads for ten streams at a time", store.reads-reads)
		}
		store.set(errors.New("unavailable"))
		if got := e.uses.only(t.Context(), "m"); got != origin.Unknown {
			t.Errorf("%v without an answer of the store", got)
		}
		store.takes = time.Minute
		began := time.Now()
		if got := e.uses.only(t.Context(), "m"); got != origin.Unknown || time.Since(began) > time.Second {
			t.Errorf("%v after %v of a store that doesn't answer", got, time.Since(began))
		}
		time.Sleep(time.Minute)
	})
}

// Guards against new streams that begin at a version which an entry that starts later can't know of.
func TestStreamsBeginAtRecordedVersionsOnly(t *testing.T) {
	e := newQueueEntry(t)
	r := &fleet.Replica{ID: "a", Name: "a", Service: "s", Software: "v1", Slots: 1, Weights: map[string]uint64{"m": 1}}
	e.state.replicas.Put(r, 1, 0)
	place := func(kind fleet.Kind) int {
		req := newStreamRequest(e, &fleet.Service{Name: "s"}, nil)
		req.route.Kind = kind
		got, _ := e.state.candidates(req.service, "m", req.requiredSoftware(), e.clock.now())
		return len(got)
	}
	if place(fleet.Streaming) != 0 || place(fleet.Idempotent) != 1 {
		t.Error("before the version is recorded: a stream may begin, or another request may not")
	}
	e.uses.applyWritten([]origin.Use{useV1.Use()}, 0)
	if place(fleet.Streaming) != 1 {
		t.Error("no stream begins at a recorded version")
	}
}

// Guards against a stream that begins, while the store answers, at a replica known by its report alone.
func TestNoStreamBeginsAtAnAdoptedReplica(t *testing.T) {
	e := newQueueEntry(t)
	e.platform.Store = nil
	old := &fleet.Replica{ID: "a@1", Name: "a", StartedAtMs: 1, Service: "s", Software: "v1", Slots: 1, Weights: map[string]uint64{"m": 1}}
	e.state.replicas.Put(old, 1, 0)
	e.uses.applyWritten([]origin.Use{useV1.Use()}, 0)
	now := e.clock.now()
	e.state.replicas.Replaced(old.ID, now)
	fresh := old.Restarted("b", 2)
	fresh.Weights = old.Weights
	update := e.state.replicas.Adopt(fresh, now)
	e.applyReplicaUpdate(fresh, &update, false)
	req := newStreamRequest(e, &fleet.Service{Name: "s"}, nil)
	got, excluded := e.state.candidates(req.service, "m", req.requiredSoftware(), now)
	for _, c := range got {
		t.Errorf("a stream may begin at %s, whose software %q isn't recorded", c.ID, e.state.replicas.Get(c.ID).Software)
	}
	if excluded.unrecorded != 1 {
		t.Errorf("excluded %+v, want one whose software isn't recorded", excluded)
	}
	e.monitor.markStoreDown(now)
	if got, excluded = e.state.candidates(req.service, "m", req.requiredSoftware(), now); len(got) != 1 {
		t.Errorf("no stream is served while the store is down, excluded %+v", excluded)
	}
}

// Guards against plain requests, and streams that can't be taken up, that wait until a version is recorded.
func TestOnlyResumableStreamsWaitForTheRecord(t *testing.T) {
	e := newQueueEntry(t)
	for id, software := range map[string]string{"adopted": "", "listed": "v1"} {
		e.state.replicas.Put(&fleet.Replica{ID: id, Name: id, Service: "s", Software: software, Slots: 1, Weights: map[string]uint64{"m": 1}}, 1, 0)
	}
	for _, kind := range []fleet.Kind{fleet.Idempotent, fleet.Streaming} {
		req := newStreamRequest(e, &fleet.Service{Name: "s"}, nil)
		req.route = &fleet.Route{Kind: kind}
		if got, excluded := e.state.candidates(req.service, "m", req.requiredSoftware(), e.clock.now()); len(got) != 2 {
			t.Errorf("kind %v: %d of 2 replicas may take it, excluded %+v", kind, len(got), excluded)
		}
	}
}

// Guards against a take-up on a route whose streams may have begun at versions that aren't recorded.
func TestStreamThatMayRunOnceIsNotTakenUp(t *testing.T) {
	store := &usesStore{}
	store.set(nil, useV1)
	e := newQueueEntry(t)
	e.platform.Store = store
	req := newStreamRequest(e, &fleet.Service{Name: "s"}, nil)
	req.ctx, req.params.Model, req.params.LastEvent = t.Context(), "m", "3"
	req.resolveOrigin()
	if req.takenUp != useV1.Use().Software {
		t.Errorf("%v of a resumable stream, want the only version", req.takenUp)
	}
	req.route = &fleet.Route{Kind: fleet.Streaming}
	req.resolveOrigin()
	if req.takenUp != origin.Unknown {
		t.Errorf("%v of a stream that may run once", req.takenUp)
	}
}

// Guards against a take-up by the records of a stream whose entry couldn't tell its software.
func TestStreamOfUnknownSoftwareIsAnnounced(t *testing.T) {
	e := newQueueEntry(t)
	e.settings.Direct.Peers = "127.0.0.1:0"
	peers, err := newPeers(e)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peers.conn.Close() })
	e.peers = peers
	req := newStreamRequest(e, &fleet.Service{Name: "s"}, &fleet.Replica{ID: "a@1", Name: "a", Service: "s"})
	req.params.ID = "attempt"
	req.announceOrigin()
	if software, known := e.peers.origins.lookup(origin.StreamOf("attempt")); !known || software != origin.Unknown {
		t.Errorf("%v, known: %v", software, known)
	}
}

// Guards against records of another era, of other writers and of names that don't fit their keys.
func TestEvidenceOfOtherRecords(t *testing.T) {
	good := encodeUseRecord(useV1, false)
	for name, c := range map[string]struct {
		page fleet.Page
		want origin.Software
	}{
		"complete":            {fleet.Page{Records: []fleet.Record{encodeCompleteRecord(0), good}}, useV1.Use().Software},
		"not complete":        {fleet.Page{Records: []fleet.Record{good}}, origin.Unknown},
		"of an earlier era":   {fleet.Page{Next: fleet.Position(1, 0), Records: []fleet.Record{encodeCompleteRecord(0), good}}, origin.Unknown},
		"malformed beside":    {fleet.Page{Records: []fleet.Record{encodeCompleteRecord(0), good, {Key: "x", Value: []byte("text")}}}, origin.Unknown},
		"under another's key": {fleet.Page{Records: []fleet.Record{encodeCompleteRecord(0), good, {Key: "x", Value: good.Value}}}, origin.Unknown},
		"closing":             {fleet.Page{Records: []fleet.Record{encodeCompleteRecord(0), good, encodeUseRecord(useV2, true)}}, origin.Unknown},
	} {
		e, _ := decodeEvidence(c.page)
		if got := e.Only("m"); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Guards against an entry that the store rejects and that begins no streams, though others have recorded the version.
func TestPeersTellWhatIsRecorded(t *testing.T) {
	e := newQueueEntry(t)
	e.state.uses.Listed(useV1, e.clock.now())
	for _, m := range usesMessages([]origin.Use{useV1.Use(), useV2.Use()}, 0) {
		e.uses.receive(m, fromStore)
	}
	now := e.clock.now()
	if !e.state.uses.May(useV1.Use().Software, "m") || !e.state.uses.Knows(useV1.Use(), now) || e.state.uses.Knows(useV2.Use(), now) {
		t.Error("an entry doesn't know what it was told, or answers for what it hasn't seen listed")
	}
}

func FuzzEvidence(f *testing.F) {
	f.Add(completeKey, encodeCompleteRecord(0).Value)
	f.Add(useV1.Use().Key(), encodeUseRecord(useV1, false).Value)
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		e, err := decodeEvidence(fleet.Page{Records: []fleet.Record{{Key: key, Value: value}}})
		for use, record := range e.Uses {
			if use.Key() != key || record.Name.Use() != use {
				t.Errorf("%q is taken for %+v", key, record)
			}
		}
		if err != nil && e.Complete {
			t.Error("complete beside a record that can't be decoded")
		}
	})
}
