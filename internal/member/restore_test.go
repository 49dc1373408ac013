package member

import (
	"testing"
	"time"

	"skylarklead/internal/fleet"
)

func numberedRecord(n uint64, draining bool) *fleet.Replica {
	return &fleet.Replica{ID: "a", Name: "a", Service: "s", Address: "10.0.0.1:1", HeartbeatSeq: n, Draining: draining}
}

// Guards against a replica that left and is back because the store was restored from a copy
// that holds its older record.
func TestARecordInACopyBringsNobodyBack(t *testing.T) {
	v := NewReplicas(DefaultReplicaParams)
	v.Put(numberedRecord(7, false), 10, time.Second)
	v.Remove("a", 11, time.Second)
	v.Put(numberedRecord(7, false), fleet.Position(1, 5), 2*time.Second)
	if v.Get("a") != nil {
		t.Error("a record from before the removal brings the replica back")
	}
	v.Put(numberedRecord(8, false), fleet.Position(1, 6), 2*time.Second)
	if v.Get("a") == nil {
		t.Error("a record written since the removal doesn't bring the replica back")
	}
}

// Guards against a lost announcement that a replica leaves: only records of the era before
// the restore contain it, and the copy's record was read first.
func TestTheLaterOfARecordAndItsCopyCounts(t *testing.T) {
	v := NewReplicas(DefaultReplicaParams)
	v.Put(numberedRecord(7, false), fleet.Position(1, 5), time.Second)
	v.Put(numberedRecord(6, true), 9, time.Second)
	if v.Draining("a") {
		t.Error("an earlier record of the previous era is taken")
	}
	v.Put(numberedRecord(8, true), 10, time.Second)
	if !v.Draining("a") {
		t.Error("a later record of the previous era is not taken")
	}
}
