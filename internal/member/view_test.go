package member

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarklead/internal/protocol"
)

func groupView() *View {
	p := DefaultParams
	p.Heartbeats = true
	return NewView("self", p, rand.New(rand.NewPCG(1, 1)))
}

func entryView() *View {
	return NewView("self", DefaultParams, rand.New(rand.NewPCG(1, 1)))
}

func beat(epoch protocol.Epoch, seq uint64, leaving bool) *protocol.Heartbeat {
	return &protocol.Heartbeat{ID: "a", Epoch: epoch, Seq: seq, Leaving: leaving}
}

func TestStates(t *testing.T) {
	up := []Instance{{ID: "a", Address: "127.0.0.1:1", Group: "g"}, {ID: "self"}}
	leaving := []Instance{{ID: "a", Address: "127.0.0.1:1", Group: "g", Leaving: true}}
	const s = time.Second
	for _, test := range []struct {
		name string
		view *View
		do   func(v *View)
		at   time.Duration
		want State
		why  Reason
	}{
		{"listed at a peer", groupView(), func(v *View) { v.InstancesListed(up, 0) }, s, Unknown, ReasonListed},
		{"listed, no heartbeat ever", groupView(), func(v *View) { v.InstancesListed(up, 0) }, 3 * s, Suspect, ReasonNoHeartbeat},
		{"listed at an entry for long", entryView(), func(v *View) { v.InstancesListed(up, 0) }, 300 * s, Unknown, ReasonListed},
		{"heard", groupView(), func(v *View) { v.HeartbeatReceived(beat(1, 1, false), 0) }, s, Alive, ReasonReachable},
		{"silent", groupView(), func(v *View) { v.HeartbeatReceived(beat(1, 1, false), 0) }, 4 * s, Suspect, ReasonSilent},
		{"silent for long", groupView(), func(v *View) { v.HeartbeatReceived(beat(1, 1, false), 0) }, 10 * s, Dead, ReasonSilent},
		{"late duplicate heartbeat", groupView(), func(v *View) { v.HeartbeatReceived(beat(1, 1, false), 0); v.HeartbeatReceived(beat(1, 1, false), 9*s) }, 10 * s, Dead, ReasonSilent},
		{"no heartbeats, listed live", groupView(), func(v *View) { v.HeartbeatReceived(beat(1, 1, false), 0); v.InstancesListed(up, 10*s) }, 10 * s, Dead, ReasonSilent},
		{"connection failed", entryView(), func(v *View) { v.InstancesListed(up, 0); v.ConnectionFailed("a", s) }, s, Dead, ReasonConnectionFailed},
		{"connection failed, after the backoff", entryView(), func(v *View) { v.InstancesListed(up, 0); v.ConnectionFailed("a", s) }, 2 * s, Unknown, ReasonListed},
		{"heartbeat after a failed connection", groupView(), func(v *View) { v.ConnectionFailed("a", s); v.HeartbeatReceived(beat(1, 1, false), s) }, s, Alive, ReasonReachable},
		{"heard while a heartbeat to it failed", groupView(), func(v *View) { v.HeartbeatReceived(beat(1, 1, false), s); v.HeartbeatFailed("a", s, s) }, s, Alive, ReasonReachable},
		{"heard before a heartbeat to it failed", groupView(), func(v *View) { v.HeartbeatReceived(beat(1, 1, false), s-1); v.HeartbeatFailed("a", s, s) }, s, Dead, ReasonConnectionFailed},
		{"reported by an owner", entryView(), func(v *View) { v.InstancesListed(up, 0); v.UnavailableReported([]string{"a", "self"}, s) }, 2 * s, Suspect, ReasonReportedUnavailable},
		{"a report expires", entryView(), func(v *View) { v.InstancesListed(up, 0); v.UnavailableReported([]string{"a"}, s) }, 5 * s, Unknown, ReasonListed},
		{"leaving by its announcement, stale list", groupView(), func(v *View) { v.HeartbeatReceived(beat(1, 1, true), 0); v.InstancesListed(up, s) }, s, Leaving, ReasonAnnouncedLeaving},
		{"the announcement to leave is not revoked", groupView(), func(v *View) { v.HeartbeatReceived(beat(1, 1, true), 0); v.HeartbeatReceived(beat(1, 2, false), s) }, s, Leaving, ReasonAnnouncedLeaving},
		{"a new epoch isn't leaving", groupView(), func(v *View) { v.HeartbeatReceived(beat(1, 1, true), 0); v.HeartbeatReceived(beat(2, 1, false), s) }, s, Alive, ReasonReachable},
		{"listed leaving, of the previous epoch", groupView(), func(v *View) { v.InstancesListed(leaving, 0); v.HeartbeatReceived(beat(2, 1, false), s) }, s, Alive, ReasonReachable},
		{"listed leaving", entryView(), func(v *View) { v.InstancesListed(leaving, 0) }, s, Leaving, ReasonListedLeaving},
		{"leaving announced, at an entry with a stale list", entryView(), func(v *View) { v.InstancesListed(up, 0); v.LeavingAnnounced("a", 1, 0); v.InstancesListed(up, 60*s) }, 60 * s, Leaving, ReasonAnnouncedLeaving},
		{"leaving announced, then a new epoch reported", entryView(), func(v *View) { v.InstancesListed(up, 0); v.LeavingAnnounced("a", 1, 0); v.EpochReported("a", 2, s) }, s, Alive, ReasonReachable},
		{"late announcement of the previous epoch", entryView(), func(v *View) { v.EpochObserved("a", 1, 0); v.EpochObserved("a", 2, s); v.LeavingAnnounced("a", 1, s) }, s, Alive, ReasonReachable},
	} {
		test.do(test.view)
		m, _ := test.view.Get("a", test.at)
		if m.State != test.want || m.Reason != test.why {
			t.Errorf("%s: %s (%s), want %s (%s)", test.name, m.State, m.Reason, test.want, test.why)
		}
	}
}

// Guards against new work for an endpoint that drains or whose process was replaced, as the
// view takes a message of one epoch for another's or trusts the list over the member's own
// announcement. Heartbeats are duplicated, late and of past epochs; the list lags; owners
// report the member; connections fail.
func TestOwnWordOutlastsEverythingInItsEpoch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := groupView()
		now := time.Second
		epoch, seq, leaving := protocol.Epoch(1), uint64(0), false
		var late []*protocol.Heartbeat
		for range 100 {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			switch rapid.SampledFrom([]string{"beat", "beat", "leave", "restart", "late", "late", "list", "list", "fail", "report"}).Draw(t, "step") {
			case "beat":
				seq++
				late = append(late, beat(epoch, seq, leaving))
				v.HeartbeatReceived(beat(epoch, seq, leaving), now)
			case "leave":
				leaving = true
			case "restart":
				if epoch < 3 { // as many past epochs as a view remembers
					epoch, seq, leaving = epoch+1, 0, false
				}
			case "late":
				if len(late) > 0 {
					hb := late[rapid.IntRange(0, len(late)-1).Draw(t, "which")]
					if v.HeartbeatReceived(hb, now) && (hb.Epoch < v.records["a"].epoch) {
						t.Fatalf("a heartbeat of a past epoch was accepted")
					}
				}
			case "list":
				v.InstancesListed([]Instance{{ID: "a", Address: "x", Leaving: rapid.Bool().Draw(t, "leaving")}}, now)
			case "fail":
				v.ConnectionFailed("a", now)
			case "report":
				v.UnavailableReported([]string{"a"}, now)
			}
			announced := len(late) > 0 && late[len(late)-1].Epoch == epoch && late[len(late)-1].Leaving
			if m, ok := v.Get("a", now); ok && announced && m.Usable() {
				t.Fatalf("usable (%s) after it announced that it leaves", m.Reason)
			}
		}
	})
}

// Guards against a member that is never tried again after a failed connection, and against
// entries that all try it at the same moment.
func TestFailuresBackOffAndEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := entryView()
		v.InstancesListed([]Instance{{ID: "a"}}, 0)
		n := rapid.IntRange(1, 40).Draw(t, "failures")
		for range n {
			v.ConnectionFailed("a", 0)
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

// listPeers lists the peer id with an address, and others, n peers in all.
func listPeers(v *View, id string, n int, now time.Duration) {
	list := []Instance{{ID: id, Address: "x"}}
	for i := 1; i < n; i++ {
		list = append(list, Instance{ID: "p" + strconv.Itoa(i), Address: "x"})
	}
	v.InstancesListed(list, now)
}

// Guards against heartbeat traffic of a large group that exceeds a process's whole budget
// for control messages, as it would if each member sent one to every other each second
// while a group grows from 12 to 32 and more.
func TestHeartbeatsKeepTheirRate(t *testing.T) {
	for _, c := range []struct {
		peers  int
		period time.Duration
	}{{1, time.Second}, {10, time.Second}, {11, 1100 * time.Millisecond}, {17, 1700 * time.Millisecond},
		{31, 3100 * time.Millisecond}, {100, 10 * time.Second}, {150, 10 * time.Second}} {
		v := groupView()
		listPeers(v, "a", c.peers, 0)
		if got := len(v.Tick(0)); got != c.peers {
			t.Fatalf("%d of %d peers get a first heartbeat", got, c.peers)
		}
		sent, most := 0, 0
		last := map[string]time.Duration{}
		for now := time.Duration(0); now < 10*c.period; now += 50 * time.Millisecond {
			beats := v.Tick(now)
			sent += len(beats)
			most = max(most, len(beats))
			for _, b := range beats {
				if gap := now - last[b.ID]; gap > c.period+50*time.Millisecond || v.HeartbeatPeriod(b.ID) != c.period {
					t.Fatalf("%d peers: a heartbeat after %v, announced %v, want %v", c.peers, gap, v.HeartbeatPeriod(b.ID), c.period)
				}
				last[b.ID] = now
			}
		}
		if sent < 9*c.peers || sent > 11*c.peers {
			t.Errorf("%d heartbeats to %d peers in 10 periods", sent, c.peers)
		}
		if most > 10 {
			t.Errorf("%d heartbeats in one tick to %d peers", most, c.peers)
		}
	}
}

// Guards against live members of a large group that are suspected in turn, and a dead one
// that gets work for long, because silence is judged by the receiver's view of the group's
// size. The group grows and shrinks, two members learn of it at different times, and then
// one dies.
func TestSilenceIsJudgedByTheAnnouncedPeriod(t *testing.T) {
	const step, transit = 100 * time.Millisecond, 500 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		sender, receiver := groupView(), groupView()
		var seq uint64
		var sent, received time.Duration
		period, inFlight := time.Duration(0), []*protocol.Heartbeat(nil)
		size := rapid.IntRange(1, 120)
		now := time.Duration(0)
		resize := func() {
			listPeers(sender, "b", size.Draw(t, "sender's group"), now)
			listPeers(receiver, "a", size.Draw(t, "receiver's group"), now)
		}
		resize()
		for until := now + 2*time.Minute; now < until; now += step {
			if rapid.IntRange(0, 99).Draw(t, "resize") == 0 {
				resize()
			}
			for _, b := range sender.Tick(now) {
				if b.ID == "b" {
					seq, sent = seq+1, now
					inFlight = append(inFlight, &protocol.Heartbeat{ID: "a", Epoch: 1, Seq: seq, PeriodMs: sender.HeartbeatPeriod("b").Milliseconds()})
				}
			}
			if len(inFlight) > 0 && (now-sent >= transit || rapid.Bool().Draw(t, "arrives")) {
				for _, hb := range inFlight {
					receiver.HeartbeatReceived(hb, now)
					received, period = now, time.Duration(hb.PeriodMs)*time.Millisecond
				}
				inFlight = nil
			}
			if m, _ := receiver.Get("a", now); seq > 0 && period > 0 && !m.Usable() {
				t.Fatalf("%s (%s) at %v, last heartbeat at %v with a period of %v", m.State, m.Reason, now, received, period)
			}
		}
		bound := max(DefaultParams.SuspectAfter, 3*period)
		if m, _ := receiver.Get("a", received+bound); m.State != Suspect {
			t.Fatalf("%s after %v of silence, announced %v", m.State, bound, period)
		}
		if m, _ := receiver.Get("a", received+max(DefaultParams.DeadAfter, 2*bound)); m.State != Dead {
			t.Fatalf("%s after twice that silence", m.State)
		}
	})
}

// Guards against delays that are harmless at a period of one second but not at a long one:
// a restarted member suspects the others until it gets a heartbeat, and a member that was
// found stopped gets work again before it sends one. A first heartbeat arrives between two
// of this process's, a member with a period of 3 s is reported and stays silent, and
// sending to it fails.
func TestLongPeriodsDoNotDelayWhatIsUrgent(t *testing.T) {
	v := groupView()
	listPeers(v, "a", 31, 0)
	v.Tick(0)
	v.Tick(3100 * time.Millisecond)
	due := func(now time.Duration) bool {
		return slices.ContainsFunc(v.Tick(now), func(b Peer) bool { return b.ID == "a" })
	}
	const at = 3200 * time.Millisecond
	v.HeartbeatReceived(&protocol.Heartbeat{ID: "a", Epoch: 1, Seq: 1, PeriodMs: 3100}, at)
	if !due(at) {
		t.Error("no heartbeat at once to a member whose first heartbeat arrived")
	}
	v.Tick(at + 3100*time.Millisecond)
	const failed = at + 3200*time.Millisecond
	v.ConnectionFailed("a", failed)
	if !due(failed + DefaultParams.Interval) {
		t.Error("a failed heartbeat isn't sent again within an interval")
	}
	v.HeartbeatReceived(&protocol.Heartbeat{ID: "a", Epoch: 1, Seq: 2, PeriodMs: 3100}, failed)
	v.UnavailableReported([]string{"a"}, failed)
	for now := failed; now < failed+20*time.Second; now += time.Second {
		if m, _ := v.Get("a", now); m.Usable() {
			t.Fatalf("usable %v after it was reported as stopped", now-failed)
		}
	}
	v.HeartbeatReceived(&protocol.Heartbeat{ID: "a", Epoch: 1, Seq: 3, PeriodMs: 3100}, failed+time.Second)
	if m, _ := v.Get("a", failed+time.Second); !m.Usable() {
		t.Error("not usable after a heartbeat")
	}
}

// Guards against a peer that gets no heartbeat for a period since the one that was under way when it started
// failed.
func TestAFailedHeartbeatIsSentAgainToAPeerThatWasHeardSince(t *testing.T) {
	v := groupView()
	listPeers(v, "a", 1, 0)
	const s = time.Second
	v.Tick(s)
	v.HeartbeatReceived(beat(1, 1, false), s)
	v.Tick(s) // skipped by the caller while the failing one is under way
	v.HeartbeatFailed("a", s, s)
	if len(v.Tick(s)) != 1 {
		t.Error("no heartbeat is due")
	}
	v.HeartbeatFailed("a", s+1, s+1)
	if len(v.Tick(s+1)) != 0 {
		t.Error("a heartbeat is due at once to a peer that wasn't heard since")
	}
}

func TestUnlistedMembersAreForgotten(t *testing.T) {
	v := groupView()
	v.HeartbeatReceived(beat(1, 1, true), 0)
	v.InstancesListed(nil, DefaultParams.ForgetAfter-1)
	if _, ok := v.Get("a", 0); !ok {
		t.Error("forgotten before ForgetAfter, while the list may lag")
	}
	v.InstancesListed(nil, DefaultParams.ForgetAfter)
	if _, ok := v.Get("a", 0); ok {
		t.Error("remembered after ForgetAfter")
	}
}
