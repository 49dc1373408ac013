package rollout_test

import (
	"testing"
	"time"

	"skylarklead/internal/rollout"
)

func note(phase rollout.Phase, version uint64) *rollout.Note {
	return &rollout.Note{Holder: "entry-1", Replica: "r", Model: model, Version: version, Phase: phase}
}

// Symptom: a replica gets no work for ever. Sequence: it is announced as ordered, and
// the holder of the lease is killed before it says that the load is over. Cause: a
// note believed without an end.
func TestOrderedNoteRunsOut(t *testing.T) {
	b := rollout.NewBoard()
	b.Saw("r", model, 1, 0)
	b.Take(note(rollout.PhaseOrdered, 2), 0)
	if !b.Ordered("r", model, time.Second) {
		t.Fatal("not ordered after the note")
	}
	if b.Ordered("r", model, rollout.OrderedFor) {
		t.Fatal("still ordered when nothing has followed")
	}
}

func TestVersionOnlyGrows(t *testing.T) {
	b := rollout.NewBoard()
	b.Take(note(rollout.PhaseServing, 3), 0)
	if b.Saw("r", model, 2, 0) {
		t.Fatal("an older record is news")
	}
	if v := b.Version("r", model); v != 3 {
		t.Fatalf("version %d after an older record", v)
	}
}

func TestServingOrReleasedEndsOrdered(t *testing.T) {
	for _, end := range []*rollout.Note{note(rollout.PhaseServing, 2), note(rollout.PhaseReleased, 2)} {
		b := rollout.NewBoard()
		b.Saw("r", model, 1, 0)
		b.Take(note(rollout.PhaseOrdered, 2), 0)
		b.Take(end, 0)
		if b.Ordered("r", model, 0) {
			t.Errorf("still ordered after %v", end.Phase)
		}
	}
}

// Symptom: three seconds after an entry has started two replicas of nine serve
// everything. Sequence: a version is named while it runs; it takes the name for one
// that was there at the start. Cause: what is overdue counted from the wrong time.
func TestOldestVersionThatMayBegin(t *testing.T) {
	d := rollout.NewDemand(10 * time.Second)
	if d.Oldest(time.Hour) != 0 {
		t.Fatal("nothing was named, and yet old weights are overdue")
	}
	d.Named(2, 0)
	d.Named(3, 4*time.Second)
	for _, c := range []struct {
		at   time.Duration
		want uint64
	}{{9 * time.Second, 0}, {10 * time.Second, 2}, {13 * time.Second, 2}, {14 * time.Second, 3}} {
		if got := d.Oldest(c.at); got != c.want {
			t.Errorf("at %v: oldest %d; want %d", c.at, got, c.want)
		}
	}
	if d.Named(3, time.Hour) || d.Newest() != 3 {
		t.Error("a version named again is news")
	}
}

func FuzzDecode(f *testing.F) {
	for _, e := range []rollout.Envelope{{Lease: []byte{1}}, {Note: note(rollout.PhaseOrdered, 2)}} {
		f.Add(e.Encode())
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := rollout.Decode(data)
		if err == nil && (e.Lease == nil) == (e.Note == nil) {
			t.Fatal("an envelope of no kind or of both")
		}
	})
}
