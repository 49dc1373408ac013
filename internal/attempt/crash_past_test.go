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

// Guards against a part that crashes replicas and begins again at zero when all entries start: two more losses
// give it up, found here or told by another entry.
func TestLossesReadAtAStartCountWithTheNext(t *testing.T) {
	for _, own := range []bool{true, false} {
		s := NewCrashTracker(DefaultCrashTrackerParams, 9)
		for _, reports := range lossesInWaves(2) {
			for _, r := range reports {
				s.MergePast(r, time.Second)
			}
		}
		keys := RequestKeys{Parts: []uint64{sharedKey}, Fingerprint: 300}
		for i, want := range []bool{false, true} {
			now := time.Duration(i+3) * time.Second
			replica := fmt.Sprint("next", i)
			if own {
				s.RecordBrokenRun(keys, replica, now-100*time.Millisecond, now)
				s.RecordLostReplica(replica, now)
			} else {
				s.Merge(CrashReport{Fingerprint: 300, Parts: keys.Parts, Replica: replica, RanMs: 100, Reporter: 3}, now)
				s.Judge(replica, now)
			}
			if _, _, givenUp := s.GivenUp(keys, now); givenUp != want {
				t.Errorf("own losses %t: given up %t after %d more", own, givenUp, i+1)
			}
		}
	}
}
