package member

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarklead/internal/wire"
)

func groupView() *View {
	p := DefaultParams
	p.Heartbeats = true
	return NewView("self", p, rand.New(rand.NewPCG(1, 1)))
}

func entryView() *View {
	return NewView("self", DefaultParams, rand.New(rand.NewPCG(1, 1)))
}

func beat(epoch wire.Epoch, seq uint64, leaving bool) *wire.Heartbeat {
	return &wire.Heartbeat{ID: "a", Epoch: epoch, Seq: seq, Leaving: leaving}
}

func TestStates(t *testing.T) {
	live := []Instance{{ID: "a", Address: "127.0.0.1:1", Group: "g"}, {ID: "self"}}
	gone := []Instance{{ID: "a", Address: "127.0.0.1:1", Group: "g", Leaving: true}}
	const s = time.Second
	for _, test := range []struct {
		name string
		view *View
		do   func(v *View)
		at   time.Duration
		want State
		why  Reason
	}{
		{"listed at a peer", groupView(), func(v *View) { v.Listed(live, 0) }, s, Unknown, ReasonListed},
		{"listed and never heard", groupView(), func(v *View) { v.Listed(live, 0) }, 3 * s, Suspect, ReasonNeverHeard},
		{"listed at an entry, for long", entryView(), func(v *View) { v.Listed(live, 0) }, 300 * s, Unknown, ReasonListed},
		{"heard", groupView(), func(v *View) { v.Heard(beat(1, 1, false), 0) }, s, Alive, ReasonHeard},
		{"silent", groupView(), func(v *View) { v.Heard(beat(1, 1, false), 0) }, 4 * s, Suspect, ReasonSilent},
		{"silent for long", groupView(), func(v *View) { v.Heard(beat(1, 1, false), 0) }, 10 * s, Dead, ReasonSilent},
		{"a doubled heartbeat, late", groupView(), func(v *View) { v.Heard(beat(1, 1, false), 0); v.Heard(beat(1, 1, false), 9*s) }, 10 * s, Dead, ReasonSilent},
		{"frozen link, listed live", groupView(), func(v *View) { v.Heard(beat(1, 1, false), 0); v.Listed(live, 10*s) }, 10 * s, Dead, ReasonSilent},
		{"connection failed", entryView(), func(v *View) { v.Listed(live, 0); v.Failed("a", s) }, s, Dead, ReasonFailed},
		{"tried again", entryView(), func(v *View) { v.Listed(live, 0); v.Failed("a", s) }, 2 * s, Unknown, ReasonListed},
		{"heard after a failure", groupView(), func(v *View) { v.Failed("a", s); v.Heard(beat(1, 1, false), s) }, s, Alive, ReasonHeard},
		{"reported by an owner", entryView(), func(v *View) { v.Listed(live, 0); v.Reported([]string{"a", "self"}, s) }, 2 * s, Suspect, ReasonReported},
		{"a report lapses", entryView(), func(v *View) { v.Listed(live, 0); v.Reported([]string{"a"}, s) }, 5 * s, Unknown, ReasonListed},
		{"leaving by own word, stale list", groupView(), func(v *View) { v.Heard(beat(1, 1, true), 0); v.Listed(live, s) }, s, Leaving, ReasonOwnWord},
		{"leaving is not taken back", groupView(), func(v *View) { v.Heard(beat(1, 1, true), 0); v.Heard(beat(1, 2, false), s) }, s, Leaving, ReasonOwnWord},
		{"a new epoch isn't leaving", groupView(), func(v *View) { v.Heard(beat(1, 1, true), 0); v.Heard(beat(2, 1, false), s) }, s, Alive, ReasonHeard},
		{"listed leaving of the epoch before", groupView(), func(v *View) { v.Listed(gone, 0); v.Heard(beat(2, 1, false), s) }, s, Alive, ReasonHeard},
		{"listed leaving", entryView(), func(v *View) { v.Listed(gone, 0) }, s, Leaving, ReasonListLeaves},
		{"left, at an entry with a stale list", entryView(), func(v *View) { v.Listed(live, 0); v.Left("a", 1, 0); v.Listed(live, 60*s) }, 60 * s, Leaving, ReasonOwnWord},
		{"left, told of a new epoch", entryView(), func(v *View) { v.Listed(live, 0); v.Left("a", 1, 0); v.EpochTold("a", 2, s) }, s, Alive, ReasonHeard},
		{"a late word of the epoch before", entryView(), func(v *View) { v.EpochSeen("a", 1, 0); v.EpochSeen("a", 2, s); v.Left("a", 1, s) }, s, Alive, ReasonHeard},
	} {
		test.do(test.view)
		m, _ := test.view.Get("a", test.at)
		if m.State != test.want || m.Why != test.why {
			t.Errorf("%s: %s (%s), want %s (%s)", test.name, m.State, m.Why, test.want, test.why)
		}
	}
}

// Symptom: an endpoint that drains, or whose process was replaced, gets new work.
// Sequence: heartbeats are doubled, late and from epochs that are over; the list
// lags; owners report; connections fail.
// Cause looked for: news of one epoch taken for another's, or the list believed
// against a member's own word.
func TestOwnWordOutlastsEverythingInItsEpoch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := groupView()
		now := time.Second
		epoch, seq, leaving := wire.Epoch(1), uint64(0), false
		var late []*wire.Heartbeat
		for range 100 {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			switch rapid.SampledFrom([]string{"beat", "beat", "leave", "restart", "late", "late", "list", "list", "fail", "report"}).Draw(t, "step") {
			case "beat":
				seq++
				late = append(late, beat(epoch, seq, leaving))
				v.Heard(beat(epoch, seq, leaving), now)
			case "leave":
				leaving = true
			case "restart":
				if epoch < 3 { // as many past epochs as a view remembers
					epoch, seq, leaving = epoch+1, 0, false
				}
			case "late":
				if len(late) > 0 {
					hb := late[rapid.IntRange(0, len(late)-1).Draw(t, "which")]
					if v.Heard(hb, now) && (hb.Epoch < v.records["a"].epoch) {
						t.Fatalf("a heartbeat of a past epoch was taken")
					}
				}
			case "list":
				v.Listed([]Instance{{ID: "a", Address: "x", Leaving: rapid.Bool().Draw(t, "leaving")}}, now)
			case "fail":
				v.Failed("a", now)
			case "report":
				v.Reported([]string{"a"}, now)
			}
			told := len(late) > 0 && late[len(late)-1].Epoch == epoch && late[len(late)-1].Leaving
			if m, ok := v.Get("a", now); ok && told && m.Usable() {
				t.Fatalf("usable (%s) after it said that it leaves", m.Why)
			}
		}
	})
}

// Symptom: a member whose connection failed once is never tried again, or all
// entries try it at the same moment.
func TestFailuresBackOffAndEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := entryView()
		v.Listed([]Instance{{ID: "a"}}, 0)
		n := rapid.IntRange(1, 40).Draw(t, "failures")
		for range n {
			v.Failed("a", 0)
		}
		down := v.records["a"].downUntil
		if down <= 0 || down > DefaultParams.BackoffMax {
			t.Fatalf("down for %v after %d failures", down, n)
		}
		if m, _ := v.Get("a", down); !m.Usable() {
			t.Fatalf("not tried again after its backoff")
		}
	})
}

func TestHeartbeatsAreSpreadOverTheInterval(t *testing.T) {
	v := groupView()
	var instances []Instance
	for i := range 32 {
		instances = append(instances, Instance{ID: string(rune('A' + i)), Address: "x"})
	}
	v.Listed(instances, 0)
	if got := len(v.Tick(0)); got != 32 {
		t.Fatalf("%d told at first", got)
	}
	sent, most := 0, 0
	for now := time.Duration(0); now < 10*time.Second; now += 50 * time.Millisecond {
		n := len(v.Tick(now))
		sent += n
		most = max(most, n)
	}
	if sent < 9*32 || sent > 11*32 {
		t.Errorf("%d heartbeats to 32 peers in 10 s", sent)
	}
	if most > 10 {
		t.Errorf("%d heartbeats at once", most)
	}
}

func TestUnlistedMembersAreForgotten(t *testing.T) {
	v := groupView()
	v.Heard(beat(1, 1, true), 0)
	v.Listed(nil, DefaultParams.ForgetAfter-1)
	if _, ok := v.Get("a", 0); !ok {
		t.Error("forgotten while the list may lag")
	}
	v.Listed(nil, DefaultParams.ForgetAfter)
	if _, ok := v.Get("a", 0); ok {
		t.Error("remembered for ever")
	}
}
