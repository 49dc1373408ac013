package admit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a few requests, or those of long ago, that tell how long one takes.
func TestDurationsNeedRecentRequests(t *testing.T) {
	var d Durations
	for i := range minDurations {
		if got := d.Longest(time.Second); got != 0 {
			t.Fatalf("%v after %d requests", got, i)
		}
		d.Record(time.Duration(i)*time.Millisecond, true, time.Second)
	}
	if got := d.Longest(time.Second); got != (minDurations-1)*time.Millisecond {
		t.Errorf("got %v", got)
	}
	d.Record(2*time.Second, false, 2*time.Second)
	if got := d.Longest(9 * time.Second); got != 2*time.Second {
		t.Errorf("%v after a request that was ended after 2s", got)
	}
	if got := d.Longest(time.Minute); got != 0 {
		t.Errorf("%v after a minute without requests", got)
	}
}

// Guards against a long request that is forgotten while it is recent, in any order of requests and pauses.
func TestDurationsKeepTheLongestRecent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type record struct{ d, at time.Duration }
		var d Durations
		var all []record
		var now time.Duration
		for range rapid.IntRange(minDurations, 200).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond
			r := record{time.Duration(rapid.IntRange(1, 3000).Draw(t, "took")) * time.Millisecond, now}
			all = append(all, r)
			d.Record(r.d, true, now)
			var recent time.Duration
			for _, r := range all {
				if now-r.at < durationsPeriod {
					recent = max(recent, r.d)
				}
			}
			if got := d.Longest(now); got != 0 && got < recent {
				t.Fatalf("%v at %v; one of the last %v took %v", got, now, durationsPeriod, recent)
			}
		}
	})
}
