package spread

import (
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
