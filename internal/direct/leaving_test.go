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
	// leftAlone is when a replica that leaves must be left alone, after its record was
	// removed; bindsAfter is for how long the store must have answered an entry before that
	// binds it. Both are the platform's.
	leftAlone  = 2 * time.Second
	bindsAfter = 3 * time.Second
	// answerTakes is how long the store takes to answer.
	answerTakes = 4 * time.Millisecond
)

// listStore is a store with a list of replicas that is written at given times and that
// doesn't answer one entry for a while. Calls that meet that time are refused, or hang
// until their caller gives up, also where the time is over.
type listStore struct {
	fleet.Store
	// topic is the one that is written, listTopic where it isn't set.
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

func (s *listStore) away(at time.Time) bool { return !at.Before(s.from) && at.Before(s.to) }

// missed is how a call ends that meets the time without answers.
func (s *listStore) missed(ctx context.Context) error {
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
	time.Sleep(answerTakes)
	if s.away(time.Now()) {
		return fleet.Page{}, s.missed(ctx)
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
	time.Sleep(answerTakes)
	for began := time.Now(); ; time.Sleep(time.Millisecond) {
		if s.away(time.Now()) || s.hangs && s.away(began) {
			return fleet.Page{}, s.missed(ctx)
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
	if s.away(time.Now()) {
		return 0, s.missed(ctx)
	}
	return 0, nil
}

// listRecords decodes each record as a replica of one service.
type listRecords struct{ Records }

func (listRecords) Topics() (operator, replicas string) { return "operator", listTopic }

func (listRecords) Replica(key string, _ []byte) (*fleet.Replica, error) {
	return &fleet.Replica{ID: key, Name: key, Service: "portal", Address: "10.0.0.1:80", Slots: 8}, nil
}

// listEntry is an entry of which only the reader of the list runs.
type listEntry struct {
	*Entry
	store  *listStore
	cancel context.CancelFunc
	loops  sync.WaitGroup
}

func startLister(t *testing.T, tel *telemetry.Telemetry, store *listStore) *listEntry {
	t.Helper()
	s := &settings.Settings{ID: "entry-1", Direct: &settings.Direct{Memory: 16}}
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

func (l *listEntry) usable() int {
	l.state.mu.Lock()
	defer l.state.mu.Unlock()
	candidates, _ := l.state.candidates(&fleet.Service{Name: "portal"}, "", l.clock.now())
	return len(candidates)
}

// lastUse is the last time at which the replica could get a request.
func (l *listEntry) lastUse(until time.Time) time.Time {
	const look = 5 * time.Millisecond
	var last time.Time
	for ; time.Now().Before(until); time.Sleep(look) {
		if l.usable() > 0 {
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

// Symptom: requests reach a replica more than two seconds after it has left; all of them
// are of one entry, and the others left the replica alone at once.
//
// Sequence: the store doesn't answer that entry for some seconds; soon after, or still in
// that time, a replica leaves by having its record removed. The entry reads that, takes it
// for a record that lapsed while the store was away, and keeps the replica in use.
//
// Cause: the two seconds in which a lapsed record may come back run from the store's
// return. They were counted from when the entry read the removal, which may be long
// after both, and ended only when the sweep came by. That it is this: the lines of the lapse and
// of the requests, and this test, where nothing but the reader and the sweep runs.
func TestReplicaThatLeftAfterAnOutageIsLeftAlone(t *testing.T) {
	tel := quietTelemetry(t)
	for _, hangs := range []bool{false, true} {
		// How calls end and begin anew repeats within some seconds.
		for phase := time.Duration(0); phase < 4500*time.Millisecond; phase += 150 * time.Millisecond {
			for _, leaves := range []time.Duration{-3 * time.Second, -100 * time.Millisecond, 100 * time.Millisecond,
				500 * time.Millisecond, time.Second, 1400 * time.Millisecond, 2 * time.Second, 3500 * time.Millisecond} {
				name := fmt.Sprintf("hangs=%v/phase=%v/leaves=%v", hangs, phase, leaves)
				t.Run(name, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { leavesAfterAnOutage(t, tel, hangs, phase, leaves) })
				})
			}
		}
	}
}

func leavesAfterAnOutage(t *testing.T, tel *telemetry.Telemetry, hangs bool, phase, leaves time.Duration) {
	began := time.Now()
	back := began.Add(7*time.Second + phase)
	left := back.Add(leaves)
	l := startLister(t, tel, &listStore{
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
	binds := left.Add(leftAlone)
	if touch := back.Add(bindsAfter); touch.After(binds) {
		binds = touch
	}
	if last.After(binds) {
		t.Errorf("usable until %v after it left, %v after the store's return", last.Sub(left), last.Sub(back))
	}
}

// Symptom: after an outage of the store no replica is left, though all run.
//
// Sequence: the store is away for longer than a record lives, which lapses; the replica
// writes it again 1.4 s after the store's return.
//
// Cause: a lapse taken for leaving.
func TestReplicaThatLapsedInAnOutageStaysInUse(t *testing.T) {
	tel := quietTelemetry(t)
	for phase := time.Duration(0); phase < 2*time.Second; phase += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			back := began.Add(7*time.Second + phase)
			l := startLister(t, tel, &listStore{
				writes: []listWrite{
					{at: began, record: fleet.Record{Offset: 0, Key: "portal-1", Value: []byte("ready")}},
					{at: back.Add(-time.Second), record: fleet.Record{Offset: 1, Key: "portal-1"}},
					{at: back.Add(1400 * time.Millisecond), record: fleet.Record{Offset: 2, Key: "portal-1", Value: []byte("ready")}},
				},
				from: began.Add(time.Second), to: back,
			})
			time.Sleep(time.Second) // the list is read by then
			for ; time.Now().Before(back.Add(6 * time.Second)); time.Sleep(5 * time.Millisecond) {
				if l.usable() == 0 {
					t.Errorf("not usable %v after the store's return", time.Since(back))
					break
				}
			}
			l.stop()
		})
	}
}

// lapse is the list in a time without answers that ends at back: the replica's record is
// removed a second before, and in again 1.9 s after, if it is.
func lapse(began, back time.Time, again bool) []listWrite {
	writes := []listWrite{
		{at: began, record: fleet.Record{Offset: 0, Key: "portal-1", Value: []byte("ready")}},
		{at: back.Add(-time.Second), record: fleet.Record{Offset: 1, Key: "portal-1"}},
	}
	if again {
		writes = append(writes, listWrite{at: back.Add(1900 * time.Millisecond), record: fleet.Record{Offset: 2, Key: "portal-1", Value: []byte("ready")}})
	}
	return writes
}

// eachOutage runs a test on simulated clocks for outages in which calls are refused or hang,
// of lengths at which the calls end differently.
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

// Symptom: an entry that alone was turned away by the store sends requests to a replica that
// has left for two more seconds than its peers.
//
// Sequence: the store doesn't answer one entry of two for some seconds; meanwhile a replica's
// record is removed.
//
// Cause: an entry takes its own outage for the store's, as it has no other evidence.
func TestPeerThatWasServedTellsWhoseOutageItWas(t *testing.T) {
	const soon = 50 * time.Millisecond
	tel := quietTelemetry(t)
	eachOutage(t, func(t *testing.T, hangs bool, lasts time.Duration) {
		began := time.Now()
		from := began.Add(time.Second)
		back := from.Add(lasts)
		alone := startLister(t, tel, &listStore{writes: lapse(began, back, false), from: from, to: back, hangs: hangs})
		served := startLister(t, tel, &listStore{writes: lapse(began, back, false)})
		stop := startTalk(t, alone, served)
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

// Symptom: an outage of the store that all entries met leaves no replica in use until their
// records are back, though all run.
//
// Sequence: the store answers neither of two entries for some seconds, in which a replica's
// record lapses; it is back 1.9 s after the store's return.
//
// Cause: the shorter time that is safe where nothing tells whose outage it was, used although
// a peer tells that it was away too.
func TestPeerThatWasAwayTooTellsOfTheStoresOutage(t *testing.T) {
	tel := quietTelemetry(t)
	eachOutage(t, func(t *testing.T, hangs bool, lasts time.Duration) {
		began := time.Now()
		from := began.Add(time.Second)
		back := from.Add(lasts)
		both := make([]*listEntry, 2)
		for i := range both {
			both[i] = startLister(t, tel, &listStore{writes: lapse(began, back, true), from: from, to: back, hangs: hangs})
		}
		stop := startTalk(t, both...)
		time.Sleep(time.Second) // the list is read by then
		for ; time.Now().Before(back.Add(4 * time.Second)); time.Sleep(5 * time.Millisecond) {
			if both[0].usable() == 0 {
				t.Errorf("not usable %v after the store's return", time.Since(back))
				break
			}
		}
		stop()
	})
}

// startTalk has entries tell each other what their words say of the store, until the function
// that it returns is called, which ends the entries too.
func startTalk(t *testing.T, entries ...*listEntry) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var words sync.WaitGroup
	words.Go(func() {
		for ; ctx.Err() == nil; time.Sleep(minMessageInterval) {
			for i, from := range entries {
				from.tellService(fmt.Sprint("entry-", i), entries)
			}
		}
	})
	return func() {
		cancel()
		words.Wait()
		for _, e := range entries {
			e.stop()
		}
	}
}

// tellService tells the others for how long the store has answered this entry.
func (l *listEntry) tellService(id string, others []*listEntry) {
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
