package admit_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"skylarklead/internal/admit"
)

// Guards against callers that wait for capacity which comes too late for them, or that
// are told to come back before there is any.
func TestSupplyTellsWhenThereArePlaces(t *testing.T) {
	limited := admit.UpcomingCapacity{{At: time.Second, Rate: 0.5}, {At: 2 * time.Second, Rate: 1}}
	for until, want := range map[time.Duration]int{0: 0, time.Second: 1, 2 * time.Second: 2, 3 * time.Second: 4, 5 * time.Second: 7} {
		if got := limited.AcceptedBy(until); got != want {
			t.Errorf("%d requests accepted by %v, want %d", got, until, want)
		}
	}
	if wait := limited.TimeUntil(4, time.Second); wait != 2*time.Second {
		t.Errorf("four requests accepted in %v", wait)
	}
	withUnlimited := append(limited, admit.Reopening{At: 3 * time.Second, Rate: admit.Unlimited})
	if got := withUnlimited.AcceptedBy(3 * time.Second); got != math.MaxInt {
		t.Errorf("%d requests accepted once a replica without a limit is back", got)
	}
	if got := (admit.UpcomingCapacity{{At: time.Second}}).AcceptedBy(time.Hour); got != 1 {
		t.Errorf("%d requests accepted by a replica that takes one", got)
	}
	if wait := (admit.UpcomingCapacity{}).TimeUntil(1, 0); wait != time.Minute {
		t.Errorf("no replica reopens, and the advised wait is %v", wait)
	}
}

// More requests wait than will be accepted in time. Those that would be dispatched
// last are refused at once instead of at the end of their callers' time-outs.
func TestThoseWhoseTurnComesLastAreTrimmed(t *testing.T) {
	q := admit.NewWaitQueue()
	var all []*admit.QueuedRequest
	for _, priority := range []int{1, 0, 2, 1, 0} {
		waiting := queued("a", priority, time.Hour)
		all = append(all, waiting)
		q.Add(waiting)
	}
	removed := q.Trim(2, 0)
	if want := []*admit.QueuedRequest{all[2], all[3], all[0]}; !slices.Equal(removed, want) {
		t.Errorf("trimmed %v", removed)
	}
	if q.Len() != 2 || q.Next(0) != all[1] {
		t.Errorf("%d requests are left", q.Len())
	}
	if removed := q.Trim(2, 0); len(removed) != 0 {
		t.Errorf("trimmed %d more requests", len(removed))
	}
}
