package member

import (
	"testing"
	"time"

	"skylarklead/internal/fleet"
)

func numbered(n uint64, draining bool) *fleet.Replica {
	return &fleet.Replica{ID: "a", Name: "a", Service: "s", Address: "10.0.0.1:1", HeartbeatSeq: n, Draining: draining}
}

// Guards against a replica's older record in the copy that a store came back from, by which it would
// be back though it left.
func TestARecordInACopyBringsNobodyBack(t *testing.T) {
	v := NewReplicas(DefaultReplicaParams)
	v.Put(numbered(7, false), 10, time.Second)
	v.Remove("a", 11, time.Second)
	v.Put(numbered(7, false), fleet.Position(1, 5), 2*time.Second)
	if v.Get("a") != nil {
		t.Error("the record that it left behind brings it back")
	}
	v.Put(numbered(8, false), fleet.Position(1, 6), 2*time.Second)
	if v.Get("a") == nil {
		t.Error("what it has written since doesn't")
	}
}

// Guards against a replica's leaving that only entries from before know, and that the copy's record,
// taken first, hides.
func TestTheLaterOfARecordAndItsCopyCounts(t *testing.T) {
	v := NewReplicas(DefaultReplicaParams)
	v.Put(numbered(7, false), fleet.Position(1, 5), time.Second)
	v.Put(numbered(6, true), 9, time.Second)
	if v.Draining("a") {
		t.Error("an earlier record of the era before counts")
	}
	v.Put(numbered(8, true), 10, time.Second)
	if !v.Draining("a") {
		t.Error("a later record of the era before doesn't count")
	}
}
