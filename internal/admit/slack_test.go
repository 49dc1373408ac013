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

// Guards against requests of the best rank that are passed by larger ones of other ranks because they
// are late: those would keep the replicas busy until their callers leave.
func TestLateRequestsOfABetterRankDoNotWaitForOthers(t *testing.T) {
	q := NewWaitQueue()
	other := &QueuedRequest{Priority: 2, LatestStart: time.Second}
	late := &QueuedRequest{LatestStart: 10 * time.Millisecond}
	inTime := &QueuedRequest{LatestStart: time.Second}
	for _, r := range []*QueuedRequest{other, late, inTime} {
		q.Add(r)
	}
	const now = 100 * time.Millisecond
	for _, want := range []*QueuedRequest{inTime, late, other} {
		if got := q.Next(now); got != want {
			t.Fatalf("%+v is next, want %+v", got, want)
		}
		q.Remove(want)
	}
}
