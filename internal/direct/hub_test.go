package direct

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/settings"
	"skylarklead/internal/spread"
)

var somePeer = netip.MustParseAddrPort("10.0.0.2:7340")

// testFollower is a follower of a topic without keys that takes records into a list.
func testFollower(now *time.Duration) (*follower, *[]uint64) {
	f := newFollower(nil, "topic", slog.New(slog.DiscardHandler))
	f.boot = func() time.Duration { return *now }
	f.belief, f.tail = spread.NewBelief(0), spread.NewTail(false)
	taken := &[]uint64{}
	f.record = func(r fleet.Record) { *taken = append(*taken, r.Offset) }
	return f, taken
}

func recordsFrom(offset uint64, n int, size int) []fleet.Record {
	records := make([]fleet.Record, n)
	for i := range records {
		records[i] = fleet.Record{Offset: offset + uint64(i), Value: make([]byte, size)}
	}
	return records
}

// Guards against a lease that still holds and is missing from what a peer gives as all.
func TestAPeerGivesTheLeasesTopicOnlyIfNoLeaseCanBeMissing(t *testing.T) {
	const size = 4 << 10 // so that the oldest are dropped
	now := time.Second
	giver, _ := testFollower(&now)
	giver.take(0, recordsFrom(0, 100, size), spread.Reading{Next: 100, Made: now}, ownCall)
	if given, ok := giver.given(0); !ok || given.From != 0 || len(given.Records) != 100 {
		t.Fatalf("nothing was dropped, and not all is given: %v", ok)
	}
	giver.take(100, recordsFrom(100, 400, size), spread.Reading{Next: 500, Made: now + 1}, ownCall)
	if _, ok := giver.given(0); ok {
		t.Error("records that were taken just now were dropped, and the rest is given as if it were all")
	}
	now += entriesHistory
	given, ok := giver.given(0)
	if !ok {
		t.Fatal("not given though what was dropped is older than any lease")
	}
	taker, taken := testFollower(&now)
	skipped := uint64(0)
	taker.skipped = func(first uint64) { skipped = first }
	taker.begin(given.From)
	taker.take(given.From, given.records(), given.reading(now), somePeer)
	if skipped != given.From || len(*taken) != len(given.Records) || taker.belief.Next != 500 {
		t.Errorf("begins at %d with %d records, known to %d", skipped, len(*taken), taker.belief.Next)
	}
}

// Guards against records that take effect twice, out of order or not at all, as news come late and with gaps.
func TestRecordsAreTakenOnceAndInOrder(t *testing.T) {
	now := time.Second
	f, taken := testFollower(&now)
	f.take(0, recordsFrom(0, 3, 1), spread.Reading{Next: 3, Made: now}, ownCall)
	for _, c := range []struct {
		from   uint64
		n      int
		covers bool
	}{{1, 2, true}, {5, 2, false}, {2, 3, true}, {5, 2, true}, {0, 7, true}} {
		if got := f.take(c.from, recordsFrom(c.from, c.n, 1), spread.Reading{Next: c.from + uint64(c.n)}, somePeer); got != c.covers {
			t.Errorf("records %d to %d: all known %v", c.from, c.from+uint64(c.n), got)
		}
	}
	if got := fmt.Sprint(*taken); got != "[0 1 2 3 4 5 6]" {
		t.Errorf("taken: %s", got)
	}
}

// Guards against news that make what is known look younger than it is.
func TestNewsProveNothing(t *testing.T) {
	now := time.Second
	f, _ := testFollower(&now)
	f.take(0, recordsFrom(0, 3, 1), spread.Reading{Next: 3, Made: now}, ownCall)
	now += 2 * time.Second
	f.take(3, recordsFrom(3, 1, 1), spread.Reading{Next: 4}, somePeer)
	if age := f.age(); age != 2*time.Second {
		t.Errorf("age %v; the last reading was made 2 s ago", age)
	}
}

// Guards against lapsed replicas that are dropped after an outage by an entry that made no call in it.
func TestAnOutageIsNoticedByAnEntryThatMadeNoCall(t *testing.T) {
	tel := quietTelemetry(t)
	synctest.Test(t, func(t *testing.T) {
		s := &settings.Settings{ID: "entry-1", Direct: &settings.Direct{
			Memory: 16, LeavingWithin: settings.Duration(4 * time.Second), ConfigurationWithin: settings.Duration(4 * time.Second),
		}}
		e := newEntry(s, tel, Platform{Records: listRecords{}})
		e.bootClock = e.clock.now
		e.hub = newHub(e)
		l := &listEntry{Entry: e}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { e.sweep(ctx); close(done) }()
		time.Sleep(time.Second)
		passedOn := func() {
			e.listAnswered(spread.Reading{Made: e.clock.now(), Answered: e.clock.now(), Reader: "entry-2"}, e.clock.now())
		}
		passedOn()
		e.applyReplicaRecord(fleet.Record{Offset: 0, Key: "portal-1", Value: []byte("ready")})
		for range 12 {
			time.Sleep(500 * time.Millisecond)
			e.state.mu.Lock()
			e.state.outage.Heard("entry-2", 0, e.clock.now())
			e.state.mu.Unlock()
		}
		passedOn()
		e.applyReplicaRecord(fleet.Record{Offset: 1, Key: "portal-1"})
		if l.usableReplicas() == 0 {
			t.Error("a replica whose record lapsed in an outage that all met is out of use at once")
		}
		cancel()
		<-done
	})
}
