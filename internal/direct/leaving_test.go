package direct

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/settings"
	"skylarklead/internal/telemetry"
)

const (
	listTopic = "replicas"
	// leavingWithin is the time after the removal of its record within which a replica must get
	// no more requests; storeBindsWithin is how long the store must have answered an entry
	// before that applies to it. Both are the platform's.
	leavingWithin    = 2 * time.Second
	storeBindsWithin = 3 * time.Second
	// storeLatency is how long the store takes to answer.
	storeLatency = 4 * time.Millisecond
)

// listStore is a store whose replica list is written at given times, and that is unavailable to one
// entry from from to to. Calls in that time are refused or, with hangs, block until their context
// ends, even past to.
type listStore struct {
	fleet.Store
	// topic is the topic that is written; listTopic if empty.
	topic    string
	writes   []listWrite
	from, to time.Time
	hangs    bool
}

type listWrite struct {
	at     time.Time
	record fleet.Record
}

func (s *listStore) has(topic string) bool { return topic == cmp.Or(s.topic, listTopic) }

func (s *listStore) unavailable(at time.Time) bool { return !at.Before(s.from) && at.Before(s.to) }

// failCall is how a call ends that meets the unavailable time.
func (s *listStore) failCall(ctx context.Context) error {
	if s.hangs {
		<-ctx.Done()
		return ctx.Err()
	}
	return fleet.ErrStoreUnavailable
}

func (s *listStore) written(from uint64) []fleet.Record {
	var records []fleet.Record
	for _, w := range s.writes {
		if w.record.Offset >= from && !w.at.After(time.Now()) {
			records = append(records, w.record)
		}
	}
	return records
}

func (s *listStore) Newest(ctx context.Context, topic string) (fleet.Page, error) {
	time.Sleep(storeLatency)
	if s.unavailable(time.Now()) {
		return fleet.Page{}, s.failCall(ctx)
	}
	var page fleet.Page
	if s.has(topic) {
		page.Records = s.written(0)
	}
	page.Next = uint64(len(page.Records))
	page.End = page.Next
	return page, nil
}

func (s *listStore) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (fleet.Page, error) {
	time.Sleep(storeLatency)
	for began := time.Now(); ; time.Sleep(time.Millisecond) {
		if s.unavailable(time.Now()) || s.hangs && s.unavailable(began) {
			return fleet.Page{}, s.failCall(ctx)
		}
		if ctx.Err() != nil {
			return fleet.Page{}, ctx.Err()
		}
		var records []fleet.Record
		if s.has(topic) {
			records = s.written(from)
		}
		if len(records) > 0 || time.Since(began) >= wait {
			next := from + uint64(len(records))
			return fleet.Page{Records: records, Next: next, End: next}, nil
		}
	}
}

func (s *listStore) Append(ctx context.Context, _ string, _ *uint64, _ [][]byte) (uint64, error) {
	if s.unavailable(time.Now()) {
		return 0, s.failCall(ctx)
	}
	return 0, nil
}

// listRecords decodes each record as a replica of one service.
type listRecords struct{ Records }

func (listRecords) Topics() (operator, replicas string) { return "operator", listTopic }

func (listRecords) Replica(key string, _ []byte) (*fleet.Replica, error) {
	return &fleet.Replica{ID: key, Name: key, Service: "portal", Address: "10.0.0.1:80", Slots: 8}, nil
}

// listEntry is an entry of which only the reader of the replica list and the sweep run.
type listEntry struct {
	*Entry
	store  *listStore
	cancel context.CancelFunc
	loops  sync.WaitGroup
}

func startListEntry(t *testing.T, tel *telemetry.Telemetry, store *listStore) *listEntry {
	t.Helper()
	s := &settings.Settings{ID: "entry-1", Direct: &settings.Direct{MemoryMB: 16}}
	e := newEntry(s, tel, Platform{Store: store, Records: listRecords{}})
	e.bootClock = e.clock.now
	ctx, cancel := context.WithCancel(t.Context())
	l := &listEntry{Entry: e, store: store, cancel: cancel}
	l.loops.Go(func() { e.followReplicas(ctx) })
	l.loops.Go(func() { e.sweep(ctx) })
	return l
}

func (l *listEntry) stop() {
	l.cancel()
	l.loops.Wait()
}

// usableReplicas counts the replicas that may get a request now.
func (l *listEntry) usableReplicas() int {
	l.state.mu.Lock()
	defer l.state.mu.Unlock()
	candidates, _ := l.state.candidates(&fleet.Service{Name: "portal"}, "", requiredSoftware{}, l.clock.now())
	return len(candidates)
}

// lastUse is the last time before until at which the replica could get a request.
func (l *listEntry) lastUse(until time.Time) time.Time {
	const interval = 5 * time.Millisecond
	var last time.Time
	for ; time.Now().Before(until); time.Sleep(interval) {
		if l.usableReplicas() > 0 {
			last = time.Now()
		}
	}
	return last
}

func quietTelemetry(t *testing.T) *telemetry.Telemetry {
	t.Helper()
	tel, err := telemetry.New(&settings.Settings{ID: "entry-1", Role: "direct"}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	return tel
}

// Guards against an entry that, after an outage of the store which it alone met, sends requests to a
// replica for more than two seconds after the replica has left.
//
// During or soon after the outage the replica leaves by having its record removed. The entry can't
// tell this from a record that expired in the outage, and keeps the replica in use for the grace
// period. That must run from the store's return and end on time: counted from when the entry
// reads the removal, or ended by the next sweep, it lasts too long. Only the reader of the list and
// the sweep run here.
func TestReplicaThatLeftAfterAnOutageIsLeftAlone(t *testing.T) {
	tel := quietTelemetry(t)
	for _, hangs := range []bool{false, true} {
		// The phase in which calls fail and are retried repeats within some seconds.
		for phase := time.Duration(0); phase < 4500*time.Millisecond; phase += 150 * time.Millisecond {
			for _, leaves := range []time.Duration{-3 * time.Second, -100 * time.Millisecond, 100 * time.Millisecond,
				500 * time.Millisecond, time.Second, 1400 * time.Millisecond, 2 * time.Second, 3500 * time.Millisecond} {
				name := fmt.Sprintf("hangs=%v/phase=%v/leaves=%v", hangs, phase, leaves)
				t.Run(name, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { testLeavingAfterOutage(t, tel, hangs, phase, leaves) })
				})
			}
		}
	}
}

func testLeavingAfterOutage(t *testing.T, tel *telemetry.Telemetry, hangs bool, phase, leaves time.Duration) {
	began := time.Now()
	back := began.Add(7*time.Second + phase)
	left := back.Add(leaves)
	l := startListEntry(t, tel, &listStore{
		writes: []listWrite{
			{at: began, record: fleet.Record{Offset: 0, Key: "portal-1", Value: []byte("ready")}},
			{at: left, record: fleet.Record{Offset: 1, Key: "portal-1"}},
		},
		from: began.Add(time.Second), to: back, hangs: hangs,
	})
	last := l.lastUse(back.Add(8 * time.Second))
	l.stop()
	if last.IsZero() {
		t.Fatal("the replica was never usable")
	}
	deadline := left.Add(leavingWithin)
	if bindsAt := back.Add(storeBindsWithin); bindsAt.After(deadline) {
		deadline = bindsAt
	}
	if last.After(deadline) {
		t.Errorf("usable until %v after it left, %v after the store's return", last.Sub(left), last.Sub(back))
	}
}

// Guards against treating the expiry of a record as leaving: no replica would be usable after an outage
// of the store, though all run. The store is unavailable for longer than a record lives; the replica
// writes its record again 1.4 s after the store's return.
func TestReplicaThatLapsedInAnOutageStaysInUse(t *testing.T) {
	tel := quietTelemetry(t)
	for phase := time.Duration(0); phase < 2*time.Second; phase += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			back := began.Add(7*time.Second + phase)
			l := startListEntry(t, tel, &listStore{
				writes: []listWrite{
					{at: began, record: fleet.Record{Offset: 0, Key: "portal-1", Value: []byte("ready")}},
					{at: back.Add(-time.Second), record: fleet.Record{Offset: 1, Key: "portal-1"}},
					{at: back.Add(1400 * time.Millisecond), record: fleet.Record{Offset: 2, Key: "portal-1", Value: []byte("ready")}},
				},
				from: began.Add(time.Second), to: back,
			})
			time.Sleep(time.Second) // the list is read by then
			for ; time.Now().Before(back.Add(6 * time.Second)); time.Sleep(5 * time.Millisecond) {
				if l.usableReplicas() == 0 {
					t.Errorf("not usable %v after the store's return", time.Since(back))
					break
				}
			}
			l.stop()
		})
	}
}

// lapseWrites is the list around an outage that ends at back: the replica's record is removed one
// second before back and, if again is set, written again 1.9 s after it.
func lapseWrites(began, back time.Time, again bool) []listWrite {
	writes := []listWrite{
		{at: began, record: fleet.Record{Offset: 0, Key: "portal-1", Value: []byte("ready")}},
		{at: back.Add(-time.Second), record: fleet.Record{Offset: 1, Key: "portal-1"}},
	}
	if again {
		writes = append(writes, listWrite{at: back.Add(1900 * time.Millisecond), record: fleet.Record{Offset: 2, Key: "portal-1", Value: []byte("ready")}})
	}
	return writes
}

// eachOutage runs a test with simulated clocks for outages in which calls are refused or hang, with
// lengths that end at different phases of the calls.
func eachOutage(t *testing.T, test func(t *testing.T, hangs bool, lasts time.Duration)) {
	t.Helper()
	for _, hangs := range []bool{false, true} {
		for phase := time.Duration(0); phase < 4500*time.Millisecond; phase += 150 * time.Millisecond {
			t.Run(fmt.Sprintf("hangs=%v/phase=%v", hangs, phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { test(t, hangs, 6*time.Second+phase) })
			})
		}
	}
}

// Guards against an entry that takes its own outage for the store's although a peer was served, and
// so sends requests to a replica that has left for two seconds longer than its peer. The store is
// unavailable to one of two entries for some seconds, in which a replica's record is removed.
func TestPeerThatWasServedTellsWhoseOutageItWas(t *testing.T) {
	const soon = 50 * time.Millisecond
	tel := quietTelemetry(t)
	eachOutage(t, func(t *testing.T, hangs bool, lasts time.Duration) {
		began := time.Now()
		from := began.Add(time.Second)
		back := from.Add(lasts)
		alone := startListEntry(t, tel, &listStore{writes: lapseWrites(began, back, false), from: from, to: back, hangs: hangs})
		served := startListEntry(t, tel, &listStore{writes: lapseWrites(began, back, false)})
		stop := startExchange(t, alone, served)
		last := alone.lastUse(back.Add(6 * time.Second))
		alone.state.mu.Lock()
		read := alone.state.outage.GracePeriod(0).Ended
		alone.state.mu.Unlock()
		if late := last.Sub(alone.clock.start) - read; late > soon {
			t.Errorf("usable until %v after the removal was read, though a peer was served", late)
		}
		stop()
	})
}

// Guards against an outage of the store, met by all entries, after which no replica is usable until
// the records are back, though all run. The store answers neither of two entries for some seconds; a
// replica's record expires meanwhile and is back 1.9 s after the store's return. An entry must not
// use the shorter grace period, which is safe if nothing tells whose outage it was, when a peer says
// that it met the outage too.
func TestPeerThatWasAwayTooTellsOfTheStoresOutage(t *testing.T) {
	tel := quietTelemetry(t)
	eachOutage(t, func(t *testing.T, hangs bool, lasts time.Duration) {
		began := time.Now()
		from := began.Add(time.Second)
		back := from.Add(lasts)
		both := make([]*listEntry, 2)
		for i := range both {
			both[i] = startListEntry(t, tel, &listStore{writes: lapseWrites(began, back, true), from: from, to: back, hangs: hangs})
		}
		stop := startExchange(t, both...)
		time.Sleep(time.Second) // the list is read by then
		for ; time.Now().Before(back.Add(4 * time.Second)); time.Sleep(5 * time.Millisecond) {
			if both[0].usableReplicas() == 0 {
				t.Errorf("not usable %v after the store's return", time.Since(back))
				break
			}
		}
		stop()
	})
}

// startExchange makes entries send each other how long the store has answered them, until the returned
// function is called, which also stops the entries.
func startExchange(t *testing.T, entries ...*listEntry) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var sender sync.WaitGroup
	sender.Go(func() {
		for ; ctx.Err() == nil; time.Sleep(minMessageInterval) {
			for i, from := range entries {
				from.sendServed(fmt.Sprint("entry-", i), entries)
			}
		}
	})
	return func() {
		cancel()
		sender.Wait()
		for _, e := range entries {
			e.stop()
		}
	}
}

// sendServed sends the others how long the store has answered this entry.
func (l *listEntry) sendServed(id string, others []*listEntry) {
	l.state.mu.Lock()
	served := l.state.outage.ServedFor(l.clock.now())
	l.state.mu.Unlock()
	for _, to := range others {
		if to != l {
			to.state.mu.Lock()
			to.state.outage.PeerReported(id, served, to.clock.now())
			to.state.mu.Unlock()
		}
	}
}
