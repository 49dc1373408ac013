package spread

import (
	"testing"
	"time"
)

// Guards against an age that runs from when an answer was read.
func TestAgeRunsFromWhenTheCallWasMade(t *testing.T) {
	b := NewWatermark(0)
	b.Advance(5)
	if !b.Confirm(Read{Next: 5, CalledAt: 10 * time.Second, AnsweredAt: 12 * time.Second}) {
		t.Fatal("a reading of what is known confirms it")
	}
	if age := b.Age(13 * time.Second); age != 3*time.Second {
		t.Errorf("age %v three seconds after the call was made", age)
	}
	if b.Confirm(Read{Next: 6, CalledAt: 14 * time.Second}) {
		t.Error("a reading that goes further confirms what is known")
	}
	if b.Confirm(Read{Next: 5, CalledAt: 9 * time.Second}) || b.Age(13*time.Second) != 3*time.Second {
		t.Error("an older reading that came later made the belief older")
	}
}

// Guards against a belief without a reading that never grows old.
func TestAgeOfWhatWasNeverReadRunsFromTheStart(t *testing.T) {
	b := NewWatermark(2 * time.Second)
	if age := b.Age(7 * time.Second); age != 5*time.Second || b.Confirmed() {
		t.Errorf("age %v, confirmed %v, five seconds after the start", age, b.Confirmed())
	}
}

// Guards against reads that wait longer than the limit leaves to two of them and the questions.
func TestHealthyFleetKeepsBelowTheLimit(t *testing.T) {
	p := DefaultParams
	for _, within := range []time.Duration{2 * time.Second, 4 * time.Second, 12 * time.Second} {
		for times := 1; times <= 3; times++ {
			limit := MaxAge(within)
			const pause = 150 * time.Millisecond
			wait := p.readWait(limit, pause, times)
			oldest := 2*wait + pause + time.Duration(times)*p.QueryInterval
			if oldest >= time.Duration(StaleFraction*float64(limit)) {
				t.Errorf("within %v, %d tiers: reads of %v leave a belief of %v, which isn't used from %v on", within, times, wait, oldest, time.Duration(StaleFraction*float64(limit)))
			}
		}
	}
}

// Guards against a limit that leaves no time for an own read and for placing a request.
func TestALimitLeavesRoomForAReadAndARequest(t *testing.T) {
	const (
		// read is many times what the store's answer takes, placed what a request needs from
		// its decision to its replica.
		read   = 300 * time.Millisecond
		placed = 200 * time.Millisecond
	)
	for _, within := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 12 * time.Second} {
		if limit := MaxAge(within); limit+read+placed > within {
			t.Errorf("a promise of %v has a limit of %v", within, limit)
		}
	}
}
