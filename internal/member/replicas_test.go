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

func listedReplicas(ids ...string) *member.Replicas {
	v := member.NewReplicas(member.DefaultReplicaParams)
	for i, id := range ids {
		v.Put(replica(id), uint64(i), 0)
	}
	return v
}

// Guards against new work for a replica that leaves: it announces draining and removes its
// record, and then the store serves a read that is seconds old.
func TestStaleRecordBringsNobodyBack(t *testing.T) {
	v := member.NewReplicas(member.DefaultReplicaParams)
	v.Put(replica("a"), 5, 0)
	leaving := replica("a")
	leaving.Draining = true
	v.Put(leaving, 9, 0)
	v.Put(replica("a"), 5, 0)
	if h := v.Health("a", 0); h != member.Left {
		t.Fatalf("after a stale record, the draining replica is %v", h)
	}
	v.Remove("a", 10, 0)
	v.Put(replica("a"), 5, 0)
	if h := v.Health("a", 0); h != member.Left {
		t.Fatalf("after a stale record, the removed replica is %v", h)
	}
}

// Guards against requests for a replaced version of the weights, or for no version: newer
// records of a replica are followed by a stale read with older ones.
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

// Guards against a crashed replica that counts as sound since it restarted under another name before its
// connections were tried.
func TestANewNameAtAnAddressEndsTheOneBefore(t *testing.T) {
	v := member.NewReplicas(member.DefaultReplicaParams)
	put := func(name, address string, startedAtMs int64) string {
		return v.Put(&fleet.Replica{ID: name, Name: name, Address: address, StartedAtMs: startedAtMs}, 0, 0).DisplacedID
	}
	for _, step := range []struct {
		what, name, address string
		startedAtMs         int64
		want                string
	}{
		{"the first one", "a", "x", 1, ""},
		{"its record again", "a", "x", 1, ""},
		{"another address", "b", "y", 2, ""},
		{"another name", "c", "x", 3, "a"},
		{"a late record of an earlier start", "d", "x", 2, ""},
		{"after the late record", "e", "x", 4, "c"},
	} {
		if got := put(step.name, step.address, step.startedAtMs); got != step.want {
			t.Errorf("%s: displaced %q, want %q", step.what, got, step.want)
		}
	}
	v.Remove("e", 1, 0)
	if got := put("f", "x", 5); got != "e" {
		t.Errorf("after its record was removed: displaced %q, want e", got)
	}
}

// Guards against the loss of all replicas after an outage of the store: it lasts longer
// than records live without renewal, so the first read after it shows all records removed.
func TestLapsedInOutageServesOn(t *testing.T) {
	v := listedReplicas("a")
	v.MarkExpired("a", 7, 0, 2*time.Second)
	if h := v.Health("a", time.Second); h != member.Healthy {
		t.Fatalf("right after the outage, the replica is %v", h)
	}
	v.Put(replica("a"), 8, 0)
	if gone := v.Tick(3 * time.Second); len(gone) != 0 {
		t.Fatalf("removed although the record is back: %v", gone)
	}
	v.MarkExpired("a", 9, 3*time.Second, 5*time.Second)
	if gone := v.Tick(5 * time.Second); len(gone) != 1 {
		t.Fatalf("want one removal after the grace period, got %v", gone)
	}
}

// Guards against requests that each wait for a timeout at an unreachable replica because
// callers' requests are used as probes once a backoff ends.
func TestUnreachableUntilProbed(t *testing.T) {
	v := listedReplicas("a")
	if !v.MarkUnreachable("a", 0) {
		t.Fatal("the first failure is not reported as a change")
	}
	if h := v.Health("a", time.Hour); h != member.Down {
		t.Fatalf("an hour later, without a connection, the replica is %v", h)
	}
	probes := v.DueProbes(time.Second)
	if len(probes) != 1 || len(v.DueProbes(time.Second)) != 0 {
		t.Fatalf("got probes %v, want one, and none while it is under way", probes)
	}
	v.MarkUnreachable("a", time.Second)
	if len(v.DueProbes(time.Second)) != 0 || len(v.DueProbes(time.Minute)) != 1 {
		t.Fatal("a failed probe isn't repeated after its backoff")
	}
	if !v.MarkReachable("a") || v.Health("a", time.Minute) != member.Healthy {
		t.Fatal("not healthy after a successful connection")
	}
}

// Guards against a full share of requests for a replica that fails two of five requests
// but accepts connections.
func TestFaultsMakeDoubtful(t *testing.T) {
	v := listedReplicas("grey", "sound")
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
		t.Fatalf("grey replica %v, sound one %v", v.Health("grey", now), v.Health("sound", now))
	}
	if h := v.Health("grey", now+20*time.Second); h != member.Healthy {
		t.Fatalf("20 s later the grey replica is still %v", h)
	}
}

func TestReplacedIncarnationIsGoneForGood(t *testing.T) {
	v := listedReplicas("a")
	v.Replaced("a", 0)
	v.Put(replica("a"), 1<<40, 0)
	if h := v.Health("a", 0); h != member.Left {
		t.Fatalf("a late heartbeat brought a replaced incarnation back: %v", h)
	}
}

// Guards against late detection of replicas that are unreachable when an entry starts:
// "never checked" must not count as "checked at process start".
func TestSilentReplicaIsLookedAtSoonAfterTheStart(t *testing.T) {
	v := listedReplicas("r")
	if !v.CheckSilent("r", 100*time.Millisecond) {
		t.Fatal("not checked 100 ms after the start")
	}
	if v.CheckSilent("r", 300*time.Millisecond) {
		t.Fatal("checked again 200 ms later")
	}
	if !v.CheckSilent("r", 700*time.Millisecond) {
		t.Fatal("not checked again 600 ms later")
	}
}

// Guards against a replica that announced that it leaves and is used again because of an older record.
func TestOnlyALaterIncarnationTakesBackThatAReplicaLeaves(t *testing.T) {
	v := member.NewReplicas(member.DefaultReplicaParams)
	first := &fleet.Replica{ID: "r-1", Name: "r", StartedAtMs: 1}
	v.Put(first, 1, 0)
	if !v.MarkLeaving("r-1") {
		t.Fatal("the announcement is not reported as a change")
	}
	v.Put(first, 2, time.Second)
	if !v.Draining("r-1") {
		t.Error("a record without the announcement revokes it")
	}
	v.Remove("r", 3, 2*time.Second)
	v.Put(first, 4, 3*time.Second)
	if !v.Draining("r-1") {
		t.Error("a removal and an older record revoke the announcement")
	}
	v.Put(&fleet.Replica{ID: "r-2", Name: "r", StartedAtMs: 2}, 5, 4*time.Second)
	if v.Draining("r-2") {
		t.Error("a later incarnation counts as leaving too")
	}
}

// Guards against a requested backoff that a later, shorter one cuts short, and against one without a bound.
func TestTheRestThatEndsLaterHolds(t *testing.T) {
	v := member.NewReplicas(member.DefaultReplicaParams)
	v.Put(&fleet.Replica{ID: "r", Name: "r"}, 1, 0)
	if !v.Backoff("r", 3*time.Second, time.Second) || v.Backoff("r", time.Second, 2*time.Second) {
		t.Error("the backoff doesn't begin with the first request for it")
	}
	v.RecordSuccess("r", 2*time.Second)
	for at, want := range map[time.Duration]member.Health{3500 * time.Millisecond: member.Down, 4 * time.Second: member.Healthy} {
		if got := v.Health("r", at); got != want {
			t.Errorf("health at %v is %v, want %v", at, got, want)
		}
	}
	v.Backoff("r", 24*time.Hour, 5*time.Second)
	if until := v.BackoffUntil("r"); until != 5*time.Second+member.DefaultReplicaParams.MaxRequestedBackoff {
		t.Errorf("backoff until %v", until)
	}
}
