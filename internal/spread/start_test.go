package spread

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// startAll kills all entries of a fleet and starts them within a time, in a drawn order.
func (s *sim) startAll(within time.Duration) {
	for _, e := range s.entries {
		e.dead = true
		e.killedUntil = s.now + time.Duration(s.rng.Int64N(int64(within)))
	}
}

// untilKnown returns how long it takes until each entry has had the store's records once, at most
// limit, and the calls that were made.
func (s *sim) untilKnown(limit time.Duration) (took time.Duration, calls int) {
	began, before := s.now, s.totalCalls()
	unknown := func(e *simEntry) bool { return e.dead || !e.watermark.Confirmed() }
	for s.now-began < limit && slices.ContainsFunc(s.entries, unknown) {
		s.step()
	}
	return s.now - began, s.totalCalls() - before
}

// Guards against a start of all entries whose calls or time grow in line with the fleet.
func TestAStartOfAllEntriesCostsNoMoreInALargeFleet(t *testing.T) {
	const startsWithin = 300 * time.Millisecond
	fewest := 0
	for _, entries := range []int{103, 300, 400, 1000} {
		s := newSim(entries, 5, 0.01, 19)
		s.partialLists, s.slowStart = true, 200*time.Millisecond
		s.startAll(startsWithin)
		took, calls := s.untilKnown(20 * time.Second)
		if fewest == 0 {
			fewest = calls
		}
		// The fleet grows tenfold.
		if calls > 2*fewest {
			t.Errorf("%d entries: %d calls until all have the records, %d with 103 entries", entries, calls, fewest)
		}
		if took > simListPause+time.Second {
			t.Errorf("%d entries: %v until all have the records", entries, took)
		}
	}
}

// startedLast returns the selector of the last entry in the order of a fleet, which has just
// started, and its queries.
func startedLast(t *testing.T) *UpstreamSelector {
	t.Helper()
	peers := fleetOf(40, 1)
	ordered := sharedOrder(slices.Clone(peers))
	self := ordered[len(ordered)-1]
	s := NewUpstreamSelector(self, DefaultParams, rand.New(rand.NewPCG(1, 1)))
	s.SetPeers(slices.DeleteFunc(peers, func(p Peer) bool { return p == self }))
	return s
}

// Guards against an entry that reads everything from the store right after a start of all, as the
// entries before it don't answer yet.
func TestFirstReadsAreSpreadOverTheEntries(t *testing.T) {
	s := startedLast(t)
	now := time.Duration(0)
	for ; s.Mode(now) != ReadingStore; now += 50 * time.Millisecond {
		if now > time.Minute {
			t.Fatal("the entry never finds that no peer answers")
		}
		s.DueQueries(now)
	}
	if s.ReadDue(firstReadFraction/2, false, now) {
		t.Error("the last of 40 entries reads a topic for the first time as early as the others")
	}
	if !s.ReadDue(firstReadFraction, false, now) || !s.ReadDue(0, true, now) {
		t.Error("an entry that nobody answers doesn't read the store")
	}
}

// Guards against entries that started together and leave each other alone for seconds, because the
// first queries came before the others were up.
func TestPeersThatAreNotUpYetAreQueriedAgainSoon(t *testing.T) {
	s := startedLast(t)
	p := DefaultParams
	first := s.DueQueries(0)[0].Peer
	queried := 0
	const end = 1500 * time.Millisecond
	for now := 10 * time.Millisecond; now < end; now += 10 * time.Millisecond {
		for _, q := range s.DueQueries(now) {
			if q.Peer == first {
				queried++
			}
		}
	}
	if queried <= p.MaxUnanswered {
		t.Errorf("%d further queries in %v to the first entry, which doesn't answer yet", queried, end)
	}
}
