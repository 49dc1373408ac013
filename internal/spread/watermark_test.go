package spread

import (
	"testing"
	"time"
)

// Guards against an age that is counted from when an answer was received.
func TestAgeRunsFromWhenTheCallWasMade(t *testing.T) {
	w := NewWatermark(0)
	w.Advance(5)
	if !w.Confirm(Read{Next: 5, CalledAt: 10 * time.Second, AnsweredAt: 12 * time.Second}) {
		t.Fatal("a read of what is known doesn't confirm the watermark")
	}
	if age := w.Age(13 * time.Second); age != 3*time.Second {
		t.Errorf("age is %v three seconds after the call was made", age)
	}
	if w.Confirm(Read{Next: 6, CalledAt: 14 * time.Second}) {
		t.Error("a read that goes further confirms the watermark")
	}
	if w.Confirm(Read{Next: 5, CalledAt: 9 * time.Second}) || w.Age(13*time.Second) != 3*time.Second {
		t.Error("an older read that arrived later changed the watermark's time")
	}
}

// Guards against a watermark without a read that never becomes stale.
func TestAgeOfWhatWasNeverReadRunsFromTheStart(t *testing.T) {
	w := NewWatermark(2 * time.Second)
	if age := w.Age(7 * time.Second); age != 5*time.Second || w.Confirmed() {
		t.Errorf("age %v, confirmed %v, five seconds after the start", age, w.Confirmed())
	}
}

// Guards against long polls too long for the age limit, which has to cover two of them and the queries between entries.
func TestHealthyFleetKeepsBelowTheLimit(t *testing.T) {
	p := DefaultParams
	for _, within := range []time.Duration{2 * time.Second, 4 * time.Second, 12 * time.Second} {
		for hops := 1; hops <= 3; hops++ {
			maxAge := MaxAge(within)
			const pause = 150 * time.Millisecond
			wait := p.readWait(maxAge, pause, hops)
			oldest := 2*wait + pause + time.Duration(hops)*p.QueryInterval
			if oldest >= time.Duration(StaleFraction*float64(maxAge)) {
				t.Errorf("within %v, %d hops: reads of %v give an age of %v, which is stale from %v on", within, hops, wait, oldest, time.Duration(StaleFraction*float64(maxAge)))
			}
		}
	}
}

// Guards against an age limit that leaves no time for the entry's own read and for placing a request.
func TestALimitLeavesRoomForAReadAndARequest(t *testing.T) {
	const (
		// read is many times what the store's answer takes, placing the time from the
		// decision on a request to its arrival at the replica.
		read    = 300 * time.Millisecond
		placing = 200 * time.Millisecond
	)
	for _, within := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 12 * time.Second} {
		if maxAge := MaxAge(within); maxAge+read+placing > within {
			t.Errorf("a bound of %v gives an age limit of %v", within, maxAge)
		}
	}
}
