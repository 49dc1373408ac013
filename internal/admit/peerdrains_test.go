package admit

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	testAlive = 1500 * time.Millisecond
	testEnd   = 10 * time.Second
)

func notice(open, left time.Duration) *DrainNotice {
	return &DrainNotice{Open: open, Left: left}
}

// Guards against refused callers that are sent to processes that refuse them as well.
func TestRetryAfterOfAProcessThatShutsDown(t *testing.T) {
	const now, patient, hurried = 5 * time.Second, 15 * time.Second, 3 * time.Second
	for _, c := range []struct {
		name  string
		hears func(d *PeerDrains)
		left  time.Duration
		want  time.Duration
	}{
		{"no other process is known", func(*PeerDrains) {}, patient, retryAtOnce},
		{"one isn't draining", func(d *PeerDrains) {
			d.Heard("a", 1, 1, notice(0, time.Second), now)
			d.Heard("b", 1, 1, nil, 0)
			d.Heard("b", 1, 2, nil, now)
		}, patient, retryAtOnce},
		{"one drains and accepts anything", func(d *PeerDrains) { d.Heard("a", 1, 1, notice(time.Second, 4*time.Second), now) }, patient, retryAtOnce},
		{"the first of two is back in time", func(d *PeerDrains) {
			d.Heard("a", 1, 1, notice(0, 2*time.Second), now)
			d.Heard("b", 1, 1, notice(0, time.Second), now)
		}, patient, time.Second + restartTime + rotationTime},
		{"this one is back first", func(d *PeerDrains) { d.Heard("a", 1, 1, notice(0, 6*time.Second), now) }, 3 * patient, testEnd - now + restartTime + rotationTime},
		{"the caller doesn't wait that long", func(d *PeerDrains) { d.Heard("a", 1, 1, notice(0, time.Second), now) }, hurried, retryAtOnce},
		{"one has just ended", func(d *PeerDrains) { d.Heard("a", 1, 0, notice(0, 0), now-time.Second) }, patient, restartTime + rotationTime - time.Second},
		{"one has just started", func(d *PeerDrains) {
			d.Heard("a", 1, 9, notice(0, time.Second), now-time.Second)
			d.Heard("a", 2, 1, nil, now-100*time.Millisecond)
		}, patient, rotationTime - 100*time.Millisecond},
		{"one is heard again after a silence", func(d *PeerDrains) {
			d.Heard("a", 1, 1, nil, 0)
			d.Outlook(now-100*time.Millisecond, testAlive)
			d.Heard("a", 1, 2, nil, now-100*time.Millisecond)
		}, patient, rotationTime - 100*time.Millisecond},
		{"a message of before the end comes late", func(d *PeerDrains) {
			d.Heard("a", 1, 0, notice(0, 0), now)
			d.Heard("a", 1, 7, nil, now)
		}, patient, restartTime + rotationTime},
		{"messages overtake each other", func(d *PeerDrains) {
			d.Heard("a", 1, 1, nil, 0)
			d.Heard("a", 1, 5, notice(0, time.Second), now)
			d.Heard("a", 1, 4, nil, now)
		}, patient, time.Second + restartTime + rotationTime},
		{"one was killed long ago", func(d *PeerDrains) {
			d.Heard("a", 1, 1, nil, 0)
			d.Heard("b", 1, 1, notice(0, time.Second), now)
		}, patient, time.Second + restartTime + rotationTime},
	} {
		d := NewPeerDrains()
		c.hears(d)
		if got := d.Outlook(now, testAlive).RetryAfter(now, testEnd, c.left); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a peer that serves and counts as ended because of late messages of its earlier epochs.
func TestLateMessagesOfEarlierEpochs(t *testing.T) {
	const interval, messages = 50 * time.Millisecond, 40
	type message struct {
		epoch, seq uint64
		notice     *DrainNotice
	}
	rapid.Check(t, func(t *rapid.T) {
		epochs := rapid.SliceOfNDistinct(rapid.Uint64Range(0, math.MaxUint64/2), 2, 2*maxEpochs, rapid.ID).Draw(t, "epochs")
		d, now := NewPeerDrains(), time.Minute
		var earlier []message
		// steady checks the peer, whose current epoch began at a time.
		steady := func(began time.Duration) {
			if o := d.Outlook(now, testAlive); o.Draining || o.Steady != (now-began >= rotationTime) {
				t.Fatalf("%v after the peer's start: %+v", now-began, o)
			}
		}
		for i, epoch := range epochs {
			began := now
			for seq := uint64(1); seq <= messages; seq++ {
				d.Heard("a", epoch, seq, nil, now)
				steady(began)
				for _, late := range rapid.SliceOfN(rapid.IntRange(0, 10), 0, 2).Draw(t, "late") {
					if late < len(earlier) {
						m := earlier[late]
						d.Heard("a", m.epoch, m.seq, m.notice, now)
						steady(began)
					}
				}
				now += interval
			}
			d.Heard("a", epoch, messages+1, notice(time.Second, interval), now)
			if rapid.Bool().Draw(t, "its end is heard") {
				d.Heard("a", epoch, 0, notice(0, 0), now)
			}
			// The last message is of an epoch of which nothing else was heard.
			earlier = []message{{epoch, messages - 1, nil}, {epoch, messages + 1, notice(time.Second, interval)}, {epoch, 0, notice(0, 0)}, {^epoch, 0, notice(0, 0)}}
			now += rapid.SampledFrom([]time.Duration{restartTime, 2 * time.Second, 2*rememberedFor - time.Duration(i)*time.Second}).Draw(t, "stopped for")
			if now-began > rememberedFor {
				earlier = nil // nothing is under way that long
			}
			if rapid.Bool().Draw(t, "asked while it is down") {
				d.Outlook(now, testAlive)
			}
		}
	})
}

// Guards against a peer that is taken for gone for good by a late message of an epoch that was never heard.
func TestLateMessageOfAnUnknownEpochCountsUntilTheNext(t *testing.T) {
	d, now := NewPeerDrains(), time.Minute
	for seq := uint64(1); seq < 40; seq++ {
		d.Heard("a", 2, seq, nil, now)
		now += 50 * time.Millisecond
	}
	d.Heard("a", 1, 90, notice(0, time.Second), now)
	d.Heard("a", 1, 0, notice(0, 0), now)
	d.Heard("a", 2, 40, nil, now)
	if o := d.Outlook(now, testAlive); !o.Steady || o.Draining {
		t.Errorf("after its next message: %+v", o)
	}
}

// Guards against callers that come back when no process accepts them, though they would have waited for one,
// in restarts of any number of processes at any times.
func TestCallersComeBackWhenOneAccepts(t *testing.T) {
	const step, life, unrestricted, patience = 50 * time.Millisecond, 7500 * time.Millisecond, 2800 * time.Millisecond, 15 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		stops := rapid.SliceOfN(rapid.IntRange(0, 100), 2, 6).Draw(t, "stopped at, in steps")
		stopped := func(i int) time.Duration { return testAlive + time.Duration(stops[i])*step }
		// in reports whether a process accepts any request and, unless it drains, is in rotation.
		in := func(i int, at time.Duration) bool {
			return at < stopped(i)+unrestricted || at >= stopped(i)+life+restartTime+rotationTime
		}
		d, seq := NewPeerDrains(), uint64(0)
		for now := time.Duration(0); now < stopped(0)+life; now += step {
			seq++
			for i := 1; i < len(stops); i++ {
				since := now - stopped(i)
				switch {
				case since < 0:
					d.Heard(string(rune('a'+i)), 1, seq, nil, now)
				case since < life:
					d.Heard(string(rune('a'+i)), 1, seq, notice(max(0, unrestricted-since), life-since), now)
				case since >= life+restartTime:
					d.Heard(string(rune('a'+i)), 2, seq, nil, now)
				}
			}
			if now < stopped(0)+unrestricted {
				continue
			}
			wait := d.Outlook(now, testAlive).RetryAfter(now, stopped(0)+life, patience)
			if wait > patience/honoredPart {
				t.Fatalf("at %v: %v is longer than callers wait", now, wait)
			}
			open, first := false, stopped(0)+life+restartTime+rotationTime
			for i := range stops {
				open = open || in(i, now+wait)
				if i > 0 && !in(i, now) {
					first = min(first, stopped(i)+life+restartTime+rotationTime)
				}
			}
			if !open && first-now <= patience/honoredPart {
				t.Fatalf("at %v: after %v nobody accepts, from %v on one does", now, wait, first)
			}
		}
	})
}
