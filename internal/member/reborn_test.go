package member_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarklead/internal/fleet"
	"skylarklead/internal/member"
)

func born(name string, at int64) *fleet.Replica {
	return &fleet.Replica{ID: fleet.IncarnationID(name, at), Name: name, StartedAtMs: at, Service: "llm", Address: "10.0.0.1:80"}
}

// Symptom: what is known of a replica is that of one which has ended: unreachable, busy,
// at fault, leaving. Sequence: it starts again under its name. Cause: the name is taken
// for the incarnation.
func TestLaterIncarnationBeginsAnew(t *testing.T) {
	v := member.NewReplicas(member.DefaultReplicaParams)
	first, second := born("a", 1), born("a", 2)
	first.Draining = true
	v.Put(first, 1, 0)
	v.MarkUnreachable(first.ID, 0)
	v.MarkBusy(first.ID, 0)
	for range 10 {
		v.RecordFault(first.ID, member.FaultConnectionLost, 0)
	}
	listing := v.Put(second, 2, 0)
	if !listing.Changed || listing.SupersededID != first.ID {
		t.Fatalf("%+v", listing)
	}
	if h := v.Health(second.ID, 0); h != member.Healthy {
		t.Fatalf("the later incarnation is %v", h)
	}
	if h := v.Health(first.ID, 0); h != member.Left {
		t.Fatalf("the earlier incarnation is %v", h)
	}
}

// Symptom: a replica that was taken up on its own word is lost, or one that has gone is
// back. Sequence: the list, read late, tells of its earlier incarnation and then of its
// end. Cause: offsets compared across sources.
func TestAdoptedReplicaOutlivesOldNews(t *testing.T) {
	v := member.NewReplicas(member.DefaultReplicaParams)
	v.Put(born("a", 1), 5, 0)
	v.Remove("a", 9, 0)
	v.Adopt(born("a", 2), 0)
	if !v.Put(born("a", 1), 11, 0).Outdated {
		t.Error("a record of the earlier incarnation was taken")
	}
	if id := v.Remove("a", 8, 0); id != "" {
		t.Errorf("an older removal took %s off", id)
	}
	if v.Get("a@2") == nil {
		t.Fatal("the adopted incarnation is gone")
	}
	v.Remove("a", 12, 0)
	if v.Put(born("a", 2), 10, time.Second); v.Get("a@2") != nil {
		t.Error("a stale record brought it back")
	}
}

// Whatever is read in whatever order: the incarnation that is known is the latest of
// those that were heard of, and none that is over comes back.
func TestIncarnationsOnlyGoForward(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := member.NewReplicas(member.DefaultReplicaParams)
		latest, over := int64(0), int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			at := rapid.Int64Range(1, 4).Draw(t, "born")
			offset := rapid.Uint64Range(0, 30).Draw(t, "offset")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				r := born("a", at)
				if listing := v.Put(r, offset, 0); !listing.Outdated && v.Get(r.ID) != nil {
					latest = max(latest, at)
				}
			case 1:
				if listing := v.Adopt(born("a", at), 0); !listing.Outdated {
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
					t.Fatalf("%d is known after %d, and %d is over", b, latest, over)
				}
			}
		}
	})
}
