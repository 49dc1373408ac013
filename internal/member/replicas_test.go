package member_test

import (
	"testing"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/member"
)

func replica(id string) *fleet.Replica {
	return &fleet.Replica{ID: id, Name: id, Service: "llm", Address: "10.0.0.1:80"}
}

func listed(ids ...string) *member.Replicas {
	v := member.NewReplicas(member.DefaultReplicaParams)
	for i, id := range ids {
		v.Put(replica(id), uint64(i), 0)
	}
	return v
}

// Symptom: a leaving replica gets new work again. Sequence: it says that it is
// draining and leaves the list; the store then serves a read that is seconds old.
// Cause: an old record taken for news.
func TestStaleRecordBringsNobodyBack(t *testing.T) {
	v := member.NewReplicas(member.DefaultReplicaParams)
	v.Put(replica("a"), 5, 0)
	leaving := replica("a")
	leaving.Draining = true
	v.Put(leaving, 9, 0)
	v.Put(replica("a"), 5, 0)
	if h := v.Health("a", 0); h != member.Left {
		t.Fatalf("after a stale record a draining replica is %v", h)
	}
	v.Remove("a", 10, 0)
	v.Put(replica("a"), 5, 0)
	if h := v.Health("a", 0); h != member.Left {
		t.Fatalf("after a stale record a replica that is gone is %v", h)
	}
}

// Symptom: requests go to a version of weights that was replaced, or to nobody.
// Sequence: newer records of a replica are followed by a stale read with older ones.
// Cause: the last one read taken for the newest.
func TestStaleRecordChangesNothing(t *testing.T) {
	v := member.NewReplicas(member.DefaultReplicaParams)
	newer := replica("a")
	newer.Weights = map[string]uint64{"m": 2}
	v.Put(newer, 9, 0)
	if v.Put(replica("a"), 5, 0).Changed || v.Get("a").Weights["m"] != 2 {
		t.Fatal("an older record replaced a newer one")
	}
	if v.Remove("a", 5, 0) != "" || v.Health("a", 0) != member.Healthy {
		t.Fatal("an older removal took effect after a newer record")
	}
}

// Symptom: after an outage of the store no replica is left, though all run.
// Sequence: the store is away for longer than records live; they lapse, and the
// first read after the outage shows them gone. Cause: a lapse taken for leaving.
func TestLapsedInOutageServesOn(t *testing.T) {
	v := listed("a")
	v.MarkExpired("a", 7, 0, 2*time.Second)
	if h := v.Health("a", time.Second); h != member.Healthy {
		t.Fatalf("right after the outage it is %v", h)
	}
	v.Put(replica("a"), 8, 0)
	if gone := v.Tick(3 * time.Second); len(gone) != 0 {
		t.Fatalf("gone though its record is back: %v", gone)
	}
	v.MarkExpired("a", 9, 3*time.Second, 5*time.Second)
	if gone := v.Tick(5 * time.Second); len(gone) != 1 {
		t.Fatalf("not gone though its record didn't come back: %v", gone)
	}
}

// Symptom: each request sent to a dark replica waits for a timeout. Sequence: a
// connection fails; its time out ends; the next request is the one that finds out
// that it is still dark. Cause: callers' requests used as probes.
func TestUnreachableUntilProbed(t *testing.T) {
	v := listed("a")
	if !v.MarkUnreachable("a", 0) {
		t.Fatal("the first failure is no news")
	}
	if h := v.Health("a", time.Hour); h != member.Down {
		t.Fatalf("an hour later, with no connection made, it is %v", h)
	}
	probes := v.DueProbes(time.Second)
	if len(probes) != 1 || len(v.DueProbes(time.Second)) != 0 {
		t.Fatalf("probes: %v, then again", probes)
	}
	v.MarkUnreachable("a", time.Second)
	if len(v.DueProbes(time.Second)) != 0 || len(v.DueProbes(time.Minute)) != 1 {
		t.Fatal("a failed probe isn't tried again later")
	}
	if !v.MarkReachable("a") || v.Health("a", time.Minute) != member.Healthy {
		t.Fatal("not healthy once a connection was made")
	}
}

// Symptom: a replica that fails two of five requests with a good health check gets
// its full share. Cause: only connections count as evidence.
func TestFaultsMakeDoubtful(t *testing.T) {
	v := listed("grey", "sound")
	now := time.Duration(0)
	for i := range 20 {
		now += 50 * time.Millisecond
		if i%5 < 2 {
			v.RecordFault("grey", member.FaultConnectionLost, now)
		} else {
			v.RecordSuccess("grey", now)
		}
		v.RecordSuccess("sound", now)
	}
	if v.Health("grey", now) != member.Degraded || v.Health("sound", now) != member.Healthy {
		t.Fatalf("grey %v, sound %v", v.Health("grey", now), v.Health("sound", now))
	}
	if h := v.Health("grey", now+20*time.Second); h != member.Healthy {
		t.Fatalf("20 s later the grey one is still %v", h)
	}
}

func TestReplacedIncarnationIsGoneForGood(t *testing.T) {
	v := listed("a")
	v.Replaced("a", 0)
	v.Put(replica("a"), 1<<40, 0)
	if h := v.Health("a", 0); h != member.Left {
		t.Fatalf("a late heartbeat brought a replaced incarnation back: %v", h)
	}
}

// Symptom: replicas that were dark when an entry started are found late. Sequence: a
// request hangs at one within the first half second. Cause: "never looked at" taken for
// "looked at when the process started".
func TestSilentReplicaIsLookedAtSoonAfterTheStart(t *testing.T) {
	v := listed("r")
	if !v.CheckSilent("r", 100*time.Millisecond) {
		t.Fatal("not looked at 100 ms after the start")
	}
	if v.CheckSilent("r", 300*time.Millisecond) {
		t.Fatal("looked at again 200 ms later")
	}
	if !v.CheckSilent("r", 700*time.Millisecond) {
		t.Fatal("not looked at again 600 ms later")
	}
}

// Guards against a replica that said it leaves and is in use again by its record from before.
func TestOnlyALaterIncarnationTakesBackThatAReplicaLeaves(t *testing.T) {
	v := member.NewReplicas(member.DefaultReplicaParams)
	first := &fleet.Replica{ID: "r-1", Name: "r", StartedAtMs: 1}
	v.Put(first, 1, 0)
	if !v.MarkLeaving("r-1") {
		t.Fatal("that it leaves is no news")
	}
	v.Put(first, 2, time.Second)
	if !v.Draining("r-1") {
		t.Error("a record that says nothing of it takes it back")
	}
	v.Remove("r", 3, 2*time.Second)
	v.Put(first, 4, 3*time.Second)
	if !v.Draining("r-1") {
		t.Error("a removal and a record of before take it back")
	}
	v.Put(&fleet.Replica{ID: "r-2", Name: "r", StartedAtMs: 2}, 5, 4*time.Second)
	if v.Draining("r-2") {
		t.Error("a later incarnation is left alone too")
	}
}

// Guards against a longer rest that a shorter one ends, and against one that has no end.
func TestTheRestThatEndsLaterHolds(t *testing.T) {
	v := member.NewReplicas(member.DefaultReplicaParams)
	v.Put(&fleet.Replica{ID: "r", Name: "r"}, 1, 0)
	if !v.Backoff("r", 3*time.Second, time.Second) || v.Backoff("r", time.Second, 2*time.Second) {
		t.Error("the rest doesn't begin with the first word of it")
	}
	v.RecordSuccess("r", 2*time.Second)
	for at, want := range map[time.Duration]member.Health{3500 * time.Millisecond: member.Down, 4 * time.Second: member.Healthy} {
		if got := v.Health("r", at); got != want {
			t.Errorf("at %v it is %v, want %v", at, got, want)
		}
	}
	v.Backoff("r", 24*time.Hour, 5*time.Second)
	if until := v.BackoffUntil("r"); until != 5*time.Second+member.DefaultReplicaParams.MaxRequestedBackoff {
		t.Errorf("it rests until %v", until)
	}
}
