package attempt

import (
	"fmt"
	"testing"
	"time"
)

// lossesInWaves returns the reports of replicas that are lost in waves, three in each, under requests that share
// a part.
func lossesInWaves(waves int) [][]CrashReport {
	var list [][]CrashReport
	for w := range waves {
		reporter := NewCrashTracker(DefaultCrashTrackerParams, uint64(w+1))
		at := time.Duration(w+1) * 4 * time.Second
		var reports []CrashReport
		for i := range 3 {
			keys := RequestKeys{Parts: []uint64{sharedKey}, Fingerprint: uint64(100 + 10*w + i)}
			replica := fmt.Sprintf("r%d.%d", i, w)
			reporter.RecordBrokenRun(keys, replica, at-200*time.Millisecond, at)
			reports = append(reports, reporter.RecordLostReplica(replica, at)...)
		}
		list = append(list, reports)
	}
	return list
}

// Guards against a part of sound requests that an entry gives up when it starts: it reads of losses in several
// outages, but not of the good answers after each.
func TestLossesReadAtAStartGiveNothingUp(t *testing.T) {
	alive, started := NewCrashTracker(DefaultCrashTrackerParams, 8), NewCrashTracker(DefaultCrashTrackerParams, 9)
	now := time.Duration(0)
	for w, reports := range lossesInWaves(3) {
		now = time.Duration(w+1) * 4 * time.Second
		for _, r := range reports {
			alive.Merge(r, now)
			alive.Judge(r.Replica, now)
			started.MergePast(r, time.Second)
			started.Judge(r.Replica, time.Second)
		}
		alive.RecordSuccess(RequestKeys{Parts: []uint64{sharedKey}, Fingerprint: 1}, now+time.Millisecond)
	}
	for name, s := range map[string]*CrashTracker{"alive": alive, "started": started} {
		if _, _, givenUp := s.GivenUp(RequestKeys{Parts: []uint64{sharedKey}}, now); givenUp {
			t.Errorf("%s: the part is given up", name)
		}
	}
	if got := started.Restricted(RequestKeys{Parts: []uint64{sharedKey}}, now); len(got) != 1 {
		t.Errorf("restricted after three losses without a known good answer: %v", got)
	}
}

// Guards against a part that crashes replicas and begins again at zero when all entries start: one more loss
// gives it up, and so does the next one of an entry that tells it.
func TestLossesReadAtAStartCountWithTheNext(t *testing.T) {
	for _, own := range []bool{true, false} {
		s := NewCrashTracker(DefaultCrashTrackerParams, 9)
		for _, reports := range lossesInWaves(2) {
			for _, r := range reports {
				s.MergePast(r, time.Second)
			}
		}
		now := 3 * time.Second
		keys := RequestKeys{Parts: []uint64{sharedKey}, Fingerprint: 300}
		if own {
			s.RecordBrokenRun(keys, "next", now-100*time.Millisecond, now)
			s.RecordLostReplica("next", now)
		} else {
			s.Merge(CrashReport{Fingerprint: 300, Parts: keys.Parts, Replica: "next", RanMs: 100, Reporter: 3}, now)
			s.Judge("next", now)
		}
		if _, _, givenUp := s.GivenUp(keys, now); !givenUp {
			t.Errorf("own loss %t: not given up", own)
		}
	}
}

// Guards against runs of sound requests that wait at a start for losses which good answers had cleared, and against a
// verdict that a good answer before its last crash ends.
func TestGoodAnswersReadAtAStartClearLossesBefore(t *testing.T) {
	s := NewCrashTracker(DefaultCrashTrackerParams, 9)
	for _, reports := range lossesInWaves(2) {
		for _, r := range reports {
			s.MergePast(r.Aged(10*time.Second), 20*time.Second)
		}
	}
	keys := RequestKeys{Parts: []uint64{sharedKey}}
	s.MergeStoredSound(sharedKey, 11*time.Second)
	if got := s.Restricted(keys, 20*time.Second); len(got) != 0 {
		t.Errorf("restricted: %v", got)
	}
	s.Merge(CrashReport{Fingerprint: sharedKey, Replica: "r", GivenUp: true, AgeMs: 5000}, 20*time.Second)
	s.MergeStoredSound(sharedKey, 14*time.Second)
	if _, _, givenUp := s.GivenUp(keys, 20*time.Second); !givenUp {
		t.Error("a good answer before the last crash ended the verdict")
	}
	s.MergeStoredSound(sharedKey, 16*time.Second)
	if _, _, givenUp := s.GivenUp(keys, 20*time.Second); givenUp {
		t.Error("given up after a good answer")
	}
}

// Guards against good answers that clear stored losses and aren't stored, or are stored again and again.
func TestGoodAnswersAreStoredOnceForStoredLosses(t *testing.T) {
	tracker, stored := NewCrashTracker(DefaultCrashTrackerParams, 9), NewStoredLosses(10)
	stored.Add(&CrashReport{Fingerprint: 8, Parts: []uint64{sharedKey}, Replica: "r", AgeMs: 500}, 2*time.Second)
	tracker.RecordSound([]uint64{sharedKey, 5}, time.Second)
	if got := stored.TakeCleared(tracker, 10, 3*time.Second); len(got) != 0 {
		t.Errorf("%v from before the loss", got)
	}
	tracker.RecordSound([]uint64{sharedKey, 5}, 2500*time.Millisecond)
	got := stored.TakeCleared(tracker, 10, 3*time.Second)
	if len(got) != 1 || got[0].Key != sharedKey || got[0].Age() != 500*time.Millisecond {
		t.Errorf("%v; want the part, 500 ms ago", got)
	}
	if again := stored.TakeCleared(tracker, 10, 3*time.Second); len(again) != 0 {
		t.Errorf("again: %v", again)
	}
	stored.Return(got, 3*time.Second)
	if again := stored.TakeCleared(tracker, 10, 4*time.Second); len(again) != 1 {
		t.Errorf("after the store refused them: %v", again)
	}
}
