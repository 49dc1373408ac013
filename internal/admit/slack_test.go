package admit

import (
	"testing"
	"time"
)

// Guards against an overload in which each request waits until it is nearly late and is then late
// at its replica: those with ample time left go first, and a replica's load may take no more than
// the time that is left.
func TestRequestsWithLittleTimeLeftComeAfterThoseWithAmple(t *testing.T) {
	q := NewWaitQueue()
	old := &QueuedRequest{Arrived: 0, LatestStart: 400 * time.Millisecond}
	fresh := &QueuedRequest{Arrived: 250 * time.Millisecond, LatestStart: 650 * time.Millisecond}
	late := &QueuedRequest{Arrived: 0, LatestStart: 100 * time.Millisecond}
	for _, r := range []*QueuedRequest{late, old, fresh} {
		q.Add(r)
	}
	now := 300 * time.Millisecond
	for i, want := range []*QueuedRequest{fresh, old, late} {
		got := q.Next(now)
		if got != want {
			t.Fatalf("request %d is %+v", i, got)
		}
		q.Remove(got)
	}
	if bound := old.LoadBound(now, 240); bound != 100 {
		t.Errorf("a load bound of %v ms with 100 ms left", bound)
	}
	if bound := fresh.LoadBound(now, 240); bound != 240 {
		t.Errorf("a load bound of %v ms with ample time left", bound)
	}
}

// Guards against urgent requests that are held back because they are late, behind others that wait
// for capacity that urgent ones don't need.
func TestLateUrgentRequestsDoNotWaitForOthers(t *testing.T) {
	q := NewWaitQueue()
	other := &QueuedRequest{Priority: 2, LatestStart: time.Second}
	urgent := &QueuedRequest{Urgent: true, LatestStart: 10 * time.Millisecond}
	q.Add(other)
	q.Add(urgent)
	now := 100 * time.Millisecond
	if q.Next(now) != urgent || q.NextOf(true, now) != urgent || q.NextOf(false, now) != other {
		t.Error("a late urgent request is not first, or hides the first of the others")
	}
	q.Remove(urgent)
	if q.NextOf(true, now) != nil || q.Next(now) != other {
		t.Error("the other request is not next")
	}
}
