package member_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarklead/internal/fleet"
	"skylarklead/internal/member"
)

func incarnation(name string, at int64) *fleet.Replica {
	return &fleet.Replica{ID: fleet.IncarnationID(name, at), Name: name, StartedAtMs: at, Service: "llm", Address: "10.0.0.1:80"}
}

// Guards against a replica that restarts under its name and inherits the state of its
// previous incarnation: unreachable, busy, faulty, leaving.
func TestLaterIncarnationBeginsAnew(t *testing.T) {
	v := member.NewReplicas(member.DefaultReplicaParams)
	first, second := incarnation("a", 1), incarnation("a", 2)
	first.Draining = true
	v.Put(first, 1, 0)
	v.MarkUnreachable(first.ID, 0)
	v.MarkBusy(first.ID, 0)
	for range 10 {
		v.RecordFault(first.ID, member.FaultConnectionLost, 0)
	}
	result := v.Put(second, 2, 0)
	if !result.Changed || result.SupersededID != first.ID {
		t.Fatalf("got %+v; want a change that supersedes the first incarnation", result)
	}
	if h := v.Health(second.ID, 0); h != member.Healthy {
		t.Fatalf("the later incarnation is %v", h)
	}
	if h := v.Health(first.ID, 0); h != member.Left {
		t.Fatalf("the earlier incarnation is %v", h)
	}
}

// Guards against offsets that are compared across sources: a replica is adopted on its own
// report, and then the list, read late, gives its earlier incarnation and that one's
// removal. The adopted one must stay, and one that is gone must not come back.
func TestAdoptedReplicaOutlivesOldNews(t *testing.T) {
	v := member.NewReplicas(member.DefaultReplicaParams)
	v.Put(incarnation("a", 1), 5, 0)
	v.Remove("a", 9, 0)
	v.Adopt(incarnation("a", 2), 0)
	if !v.Put(incarnation("a", 1), 11, 0).Outdated {
		t.Error("a record of the earlier incarnation was accepted")
	}
	if id := v.Remove("a", 8, 0); id != "" {
		t.Errorf("an older removal removed %s", id)
	}
	if v.Get("a@2") == nil {
		t.Fatal("the adopted incarnation is gone")
	}
	v.Remove("a", 12, 0)
	if v.Put(incarnation("a", 2), 10, time.Second); v.Get("a@2") != nil {
		t.Error("a stale record brought the removed replica back")
	}
}

// For reads in any order: the known incarnation is the latest one read or adopted, and none
// that has ended comes back.
func TestIncarnationsOnlyGoForward(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := member.NewReplicas(member.DefaultReplicaParams)
		latest, over := int64(0), int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			at := rapid.Int64Range(1, 4).Draw(t, "born")
			offset := rapid.Uint64Range(0, 30).Draw(t, "offset")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				r := incarnation("a", at)
				if result := v.Put(r, offset, 0); !result.Outdated && v.Get(r.ID) != nil {
					latest = max(latest, at)
				}
			case 1:
				if result := v.Adopt(incarnation("a", at), 0); !result.Outdated {
					latest = max(latest, at)
				}
			case 2:
				v.Remove("a", offset, 0)
			case 3:
				if id := fleet.IncarnationID("a", at); v.Get(id) != nil {
					v.Replaced(id, 0)
					over = at
				}
			}
			ids := v.IDs()
			if len(ids) > 1 {
				t.Fatalf("two incarnations at once: %v", ids)
			}
			for _, id := range ids {
				if b := v.Get(id).StartedAtMs; b < latest || b <= over {
					t.Fatalf("incarnation %d is known after %d was seen and %d has ended", b, latest, over)
				}
			}
		}
	})
}
