package attempt

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Guards against replicas of one outage that count as several crashes, since entries find their losses, and tell
// of them, one after the other.
func TestLossesOfOneOutageFoundInTurnCountOnce(t *testing.T) {
	other := NewCrashTracker(DefaultCrashTrackerParams, 9)
	const end = time.Second
	for i := range 3 {
		reporter := NewCrashTracker(DefaultCrashTrackerParams, uint64(i+1))
		found := end + time.Duration(i+1)*600*time.Millisecond
		replica := fmt.Sprint("r", i)
		reporter.RecordBrokenRun(RequestKeys{Parts: []uint64{sharedKey}, Fingerprint: uint64(100 + i)}, replica, end-300*time.Millisecond, end)
		for _, r := range reporter.RecordLostReplica(replica, found) {
			other.Merge(r, found)
		}
	}
	if n, lost := other.CrashCount(sharedKey, 4*time.Second), other.LostReplicas(sharedKey, 4*time.Second); n != 1 || lost != 3 {
		t.Errorf("%d crashes, %d lost replicas; want 1 and 3", n, lost)
	}
}

// Guards against a loss that counts against what sound requests share, though a good answer came between the end
// of its run and the finding, the hearing or the reading again of it.
func TestGoodAnswerAfterTheRunClearsALossFoundLater(t *testing.T) {
	const broke, answered, found, heard = time.Second, 1200 * time.Millisecond, 1500 * time.Millisecond, 1501 * time.Millisecond
	keys := RequestKeys{Parts: []uint64{sharedKey}, Fingerprint: 100}
	knows, unaware, told := NewCrashTracker(DefaultCrashTrackerParams, 1), NewCrashTracker(DefaultCrashTrackerParams, 2), NewCrashTracker(DefaultCrashTrackerParams, 3)
	for _, s := range []*CrashTracker{knows, unaware} {
		s.RecordBrokenRun(keys, "r", broke-100*time.Millisecond, broke)
	}
	for _, s := range []*CrashTracker{knows, told} {
		s.RecordSuccess(RequestKeys{Parts: keys.Parts, Fingerprint: 1}, answered)
	}
	if reports := knows.RecordLostReplica("r", found); len(reports) != 1 || slices.Contains(reports[0].Parts, sharedKey) {
		t.Errorf("reports %+v; want one without the part", reports)
	}
	reports := unaware.RecordLostReplica("r", found)
	for range 2 {
		for _, r := range reports {
			told.Merge(r, heard)
		}
	}
	for name, s := range map[string]*CrashTracker{"found": knows, "heard": told} {
		if n, lost := s.CrashCount(sharedKey, heard), s.LostReplicas(sharedKey, heard); n != 0 || lost != 0 {
			t.Errorf("%s: %d crashes, %d lost replicas count against the part", name, n, lost)
		}
		if n := s.CrashCount(keys.Fingerprint, heard); n != 1 {
			t.Errorf("%s: %d crashes count against the request", name, n)
		}
	}
	unaware.MergeSound(sharedKey, answered)
	if n := unaware.CrashCount(sharedKey, heard); n != 0 {
		t.Errorf("%d crashes after the good answer is told", n)
	}
}

// Guards against a verdict that comes back by an entry that hasn't heard of the good answer that ended it, and
// against one that is told to and fro for ever.
func TestVerdictToldAgainIsAsOldAsItsLastCrash(t *testing.T) {
	late, knows := NewCrashTracker(DefaultCrashTrackerParams, 1), NewCrashTracker(DefaultCrashTrackerParams, 2)
	for i := range 3 {
		crashAt(late, fmt.Sprint("r", i), time.Duration(i)*time.Second, time.Duration(i)*time.Second+500*time.Millisecond)
	}
	verdict, givenUp := late.Verdict(culprit, time.Minute)
	if !givenUp {
		t.Fatal("not given up")
	}
	knows.RecordSuccess(request(culprit), 30*time.Second)
	knows.Merge(verdict, time.Minute)
	if _, _, givenUp := knows.GivenUp(request(culprit), time.Minute); givenUp {
		t.Error("given up again after a good answer")
	}
	next := NewCrashTracker(DefaultCrashTrackerParams, 3)
	next.Merge(verdict, time.Minute)
	if _, wait, givenUp := next.GivenUp(request(culprit), time.Minute); !givenUp || wait > DefaultCrashTrackerParams.TTL-50*time.Second {
		t.Errorf("given up: %t, for %v; want what is left of the hour", givenUp, wait)
	}
}
