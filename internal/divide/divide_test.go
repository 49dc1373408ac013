package divide

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against units that come in twice or beyond the capacity, in any order of calls.
func TestABucketGivesNoMoreThanComesIn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, most := rapid.Float64Range(0, 50).Draw(t, "rate"), rapid.Float64Range(0, 20).Draw(t, "most")
		b := Bucket{Rate: rate, Capacity: most, StaleAt: time.Hour}
		now, taken := time.Duration(0), 0.0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(-50, 800).Draw(t, "ms")) * time.Millisecond
			units := rapid.Float64Range(0, 5).Draw(t, "units")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				if b.Take(units, now) {
					taken += units
				}
			case 1:
				if taken >= units {
					b.Refund(units, now)
					taken -= units
				}
			case 2:
				b.Resize(rate, most, now)
			}
			if b.Level < -1e-9 || b.Level > most+1e-9 {
				t.Fatalf("level is %v, capacity %v", b.Level, most)
			}
			if came := rate * b.RefilledAt.Seconds(); taken > came+1e-6 {
				t.Fatalf("%v taken, %v came in", taken, came)
			}
		}
	})
}

// Guards against the whole rate for an entry whose list of entries is too old.
func TestABucketFillsSlowerByAnOldList(t *testing.T) {
	b := Bucket{Rate: 10, Capacity: 1000, StaleAt: 2 * time.Second}
	b.Refill(4 * time.Second)
	if want := 20 + staleRateFraction*20; b.Level != want {
		t.Errorf("%v came in, want %v", b.Level, want)
	}
}

// Guards against a share that is used before the others account for the entry, and against a
// list whose age drops because of an outdated confirmation.
func TestEntriesJoinOnceAndAreConfirmedForward(t *testing.T) {
	const within = 6 * time.Second
	e := NewEntries("b")
	e.SetNames([]string{"c", "b", "a"})
	if e.Names[0] != "a" || e.ActiveAt <= time.Hour {
		t.Errorf("%+v before the entry has joined", e)
	}
	if !e.Joined(false, within, time.Second) || e.ActiveAt != time.Second+within {
		t.Errorf("active from %v", e.ActiveAt)
	}
	if e.Joined(true, within, 2*time.Second) || e.ActiveAt != time.Second+within {
		t.Error("a second call of Joined changes ActiveAt")
	}
	if !e.ListConfirmed(3*time.Second, within) || e.ListConfirmed(2*time.Second, within) || e.StaleAt != 3*time.Second+within {
		t.Errorf("the list is too old from %v", e.StaleAt)
	}
}
