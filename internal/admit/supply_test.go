package admit_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"skylarklead/internal/admit"
)

// Guards against callers that wait for places which come too late for them, or are told to come
// back before there is one.
func TestSupplyTellsWhenThereArePlaces(t *testing.T) {
	slow := admit.UpcomingCapacity{{At: time.Second, Rate: 0.5}, {At: 2 * time.Second, Rate: 1}}
	for until, want := range map[time.Duration]int{0: 0, time.Second: 1, 2 * time.Second: 2, 3 * time.Second: 4, 5 * time.Second: 7} {
		if got := slow.AcceptedBy(until); got != want {
			t.Errorf("%d places until %v, want %d", got, until, want)
		}
	}
	if wait := slow.TimeUntil(4, time.Second); wait != 2*time.Second {
		t.Errorf("four places in %v", wait)
	}
	resting := append(slow, admit.Reopening{At: 3 * time.Second, Rate: admit.Unlimited})
	if got := resting.AcceptedBy(3 * time.Second); got != math.MaxInt {
		t.Errorf("%d places once a replica without a limit is back", got)
	}
	if got := (admit.UpcomingCapacity{{At: time.Second}}).AcceptedBy(time.Hour); got != 1 {
		t.Errorf("%d places at a replica that takes one request", got)
	}
	if wait := (admit.UpcomingCapacity{}).TimeUntil(1, 0); wait != time.Minute {
		t.Errorf("no replica opens, and a caller is told to wait %v", wait)
	}
}

// Pattern: more wait than there will be places for. Grounds: those whose turn comes last are
// refused at once, not at the end of their patience.
func TestThoseWhoseTurnComesLastAreTrimmed(t *testing.T) {
	l := admit.NewWaitQueue()
	var all []*admit.QueuedRequest
	for _, priority := range []int{1, 0, 2, 1, 0} {
		waiting := ticket("a", priority, time.Hour)
		all = append(all, waiting)
		l.Add(waiting)
	}
	gone := l.Trim(2, 0)
	if want := []*admit.QueuedRequest{all[2], all[3], all[0]}; !slices.Equal(gone, want) {
		t.Errorf("trimmed %v", gone)
	}
	if l.Len() != 2 || l.Next(0) != all[1] {
		t.Errorf("%d are left", l.Len())
	}
	if gone := l.Trim(2, 0); len(gone) != 0 {
		t.Errorf("trimmed %d more", len(gone))
	}
}
