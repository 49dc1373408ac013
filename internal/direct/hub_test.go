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

// testFollower returns a follower of a topic without keys that collects the offsets of applied
// records.
func testFollower(now *time.Duration) (*follower, *[]uint64) {
	f := newFollower(nil, "topic", slog.New(slog.DiscardHandler))
	f.boot = func() time.Duration { return *now }
	f.watermark, f.tail = spread.NewWatermark(0), spread.NewTail(false)
	applied := &[]uint64{}
	f.onRecord = func(r fleet.Record) { *applied = append(*applied, r.Offset) }
	return f, applied
}

func recordsFrom(offset uint64, n int, size int) []fleet.Record {
	records := make([]fleet.Record, n)
	for i := range records {
		records[i] = fleet.Record{Offset: offset + uint64(i), Value: make([]byte, size)}
	}
	return records
}

// A peer may only serve its history of the leases' topic as complete if no lease that may still hold
// is missing from it.
func TestAPeerGivesTheLeasesTopicOnlyIfNoLeaseCanBeMissing(t *testing.T) {
	const size = 4 << 10 // large enough that the oldest records are dropped
	now := time.Second
	sender, _ := testFollower(&now)
	sender.applyRecords(0, recordsFrom(0, 100, size), spread.Read{Next: 100, CalledAt: now}, fromStore)
	if served, ok := sender.bulkState(0); !ok || served.From != 0 || len(served.Records) != 100 {
		t.Fatalf("no record was dropped, but the bulk state is incomplete (ok: %v)", ok)
	}
	sender.applyRecords(100, recordsFrom(100, 400, size), spread.Read{Next: 500, CalledAt: now + 1}, fromStore)
	if _, ok := sender.bulkState(0); ok {
		t.Error("recently applied records were dropped, but the rest is served as if it were complete")
	}
	now += unkeyedHistory
	served, ok := sender.bulkState(0)
	if !ok {
		t.Fatal("not served although all dropped records are older than any lease")
	}
	receiver, applied := testFollower(&now)
	skipped := uint64(0)
	receiver.onGap = func(first uint64) { skipped = first }
	receiver.startAt(served.From)
	receiver.applyRecords(served.From, served.StoreRecords(), readOf(served, now), somePeer)
	if skipped != served.From || len(*applied) != len(served.Records) || receiver.watermark.Next != 500 {
		t.Errorf("begins at %d with %d records, known up to %d", skipped, len(*applied), receiver.watermark.Next)
	}
}

// Updates arrive late and with gaps; records must not be applied twice, out of order or not at all.
func TestRecordsAreTakenOnceAndInOrder(t *testing.T) {
	now := time.Second
	f, applied := testFollower(&now)
	f.applyRecords(0, recordsFrom(0, 3, 1), spread.Read{Next: 3, CalledAt: now}, fromStore)
	for _, c := range []struct {
		from   uint64
		n      int
		covers bool
	}{{1, 2, true}, {5, 2, false}, {2, 3, true}, {5, 2, true}, {0, 7, true}} {
		if got := f.applyRecords(c.from, recordsFrom(c.from, c.n, 1), spread.Read{Next: c.from + uint64(c.n)}, somePeer); got != c.covers {
			t.Errorf("records %d to %d: covers reported as %v", c.from, c.from+uint64(c.n), got)
		}
	}
	if got := fmt.Sprint(*applied); got != "[0 1 2 3 4 5 6]" {
		t.Errorf("applied: %s", got)
	}
}

// An update proves nothing about earlier records, so it must not make the known state look fresher.
func TestNewsProveNothing(t *testing.T) {
	now := time.Second
	f, _ := testFollower(&now)
	f.applyRecords(0, recordsFrom(0, 3, 1), spread.Read{Next: 3, CalledAt: now}, fromStore)
	now += 2 * time.Second
	f.applyRecords(3, recordsFrom(3, 1, 1), spread.Read{Next: 4}, somePeer)
	if age := f.age(); age != 2*time.Second {
		t.Errorf("age %v; the last read was made 2 s ago", age)
	}
}

// An entry that made no call during an outage must notice the outage from its peers. Otherwise it
// removes replicas whose records expired meanwhile.
func TestAnOutageIsNoticedByAnEntryThatMadeNoCall(t *testing.T) {
	tel := quietTelemetry(t)
	synctest.Test(t, func(t *testing.T) {
		s := &settings.Settings{ID: "entry-1", Direct: &settings.Direct{
			MemoryMB: 16, LeavingWithin: settings.Duration(4 * time.Second), ConfigurationWithin: settings.Duration(4 * time.Second),
		}}
		e := newEntry(s, tel, Platform{Records: listRecords{}})
		e.bootClock = e.clock.now
		e.hub = newHub(e)
		l := &listEntry{Entry: e}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { e.sweep(ctx); close(done) }()
		time.Sleep(time.Second)
		relayRead := func() {
			e.listAnswered(spread.Read{CalledAt: e.clock.now(), AnsweredAt: e.clock.now(), Reader: "entry-2"}, e.clock.now())
		}
		relayRead()
		e.applyReplicaRecord(fleet.Record{Offset: 0, Key: "portal-1", Value: []byte("ready")})
		for range 12 {
			time.Sleep(500 * time.Millisecond)
			e.state.mu.Lock()
			e.state.outage.PeerReported("entry-2", 0, e.clock.now())
			e.state.mu.Unlock()
		}
		relayRead()
		e.applyReplicaRecord(fleet.Record{Offset: 1, Key: "portal-1"})
		if l.usableReplicas() == 0 {
			t.Error("a replica whose record expired during an outage for all entries is out of use at once")
		}
		cancel()
		<-done
	})
}
