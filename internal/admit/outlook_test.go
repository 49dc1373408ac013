package admit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// outlookWithBacklog returns an outlook of rank 1 with a backlog of ten seconds, of which rate requests are
// placed in a second, and the time.
func outlookWithBacklog(rate int) (*Outlook, time.Duration) {
	o := NewOutlook()
	now := time.Duration(0)
	for ; now < 10*time.Second; now += time.Second / time.Duration(rate) {
		o.ObserveBacklogs(map[int]Backlog{1: {Count: 50}}, now)
		o.Placed(1, now)
	}
	return o, now
}

// Guards against a forecast from a short queue, or of another rank: nothing is known of these.
func TestOutlookNeedsABacklog(t *testing.T) {
	o, now := outlookWithBacklog(20)
	if rate, known := o.Rate(1, now); !known || rate < 15 || rate > 25 {
		t.Errorf("rate %v, known %v", rate, known)
	}
	if _, known := o.PlacedWithin(2, time.Second, now); known {
		t.Error("a forecast for a rank that nobody waits for")
	}
	o.ObserveBacklogs(nil, now)
	o.ObserveBacklogs(map[int]Backlog{1: {Count: 1}}, now)
	if _, known := o.Rate(1, now+outlookWindow/2); known {
		t.Error("a forecast for a backlog that has just begun")
	}
	if got := o.Promise(1, 50, time.Millisecond, time.Minute, now); got != time.Millisecond {
		t.Errorf("%v promised without a forecast", got)
	}
}

// Guards against refusals that outlast the overload: after a time in which nothing was placed, one
// request still waits to see whether something is again.
func TestOneRequestWaitsWhenNothingIsPlaced(t *testing.T) {
	o, now := outlookWithBacklog(20)
	if n, known := o.PlacedWithin(1, time.Second, now+time.Minute); !known || n != 1 {
		t.Errorf("%d requests may wait, known %v", n, known)
	}
}

// Guards against callers that come back all at once: of a hundred that are refused in one moment, at
// most twice as many as are placed in a second come in any second, up to the longest promise.
func TestRefusedCallersComeBackAsFastAsTheyAreServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.IntRange(1, 100).Draw(t, "rate")
		waiting := rapid.IntRange(0, 100).Draw(t, "waiting")
		o, now := outlookWithBacklog(rate)
		const least, most = 300 * time.Millisecond, 20 * time.Second
		var promised []time.Duration
		for range 100 {
			promised = append(promised, o.Promise(1, waiting, least, most, now))
		}
		for i, from := range promised {
			if from < least || from > most {
				t.Fatalf("%v promised", from)
			}
			n := 0
			for _, at := range promised[i:] {
				if at < from+time.Second && at < most {
					n++
				}
			}
			if n > 2*rate+1 {
				t.Fatalf("%d callers told to come within a second of %v, %d are served", n, from, rate)
			}
		}
	})
}
