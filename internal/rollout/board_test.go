package rollout_test

import (
	"testing"
	"time"

	"skylarklead/internal/rollout"
)

func note(phase rollout.Phase, version uint64) *rollout.Record {
	return &rollout.Record{Holder: "entry-1", Replica: "r", Model: model, Version: version, Phase: phase}
}

// Symptom: a replica gets no work for ever. Sequence: it is announced as ordered, and
// the holder of the lease is killed before it says that the load is over. Cause: a
// note believed without an end.
func TestOrderedNoteRunsOut(t *testing.T) {
	b := rollout.NewVersionTracker()
	b.ObserveVersion("r", model, 1, 0)
	b.ApplyRecord(note(rollout.PhaseOrdered, 2), 0)
	if !b.Ordered("r", model, time.Second) {
		t.Fatal("not ordered after the note")
	}
	if b.Ordered("r", model, rollout.OrderedTTL) {
		t.Fatal("still ordered when nothing has followed")
	}
}

func TestVersionOnlyGrows(t *testing.T) {
	b := rollout.NewVersionTracker()
	b.ApplyRecord(note(rollout.PhaseServing, 3), 0)
	if b.ObserveVersion("r", model, 2, 0) {
		t.Fatal("an older record is news")
	}
	if v := b.Version("r", model); v != 3 {
		t.Fatalf("version %d after an older record", v)
	}
}

func TestServingOrReleasedEndsOrdered(t *testing.T) {
	for _, end := range []*rollout.Record{note(rollout.PhaseServing, 2), note(rollout.PhaseReleased, 2)} {
		b := rollout.NewVersionTracker()
		b.ObserveVersion("r", model, 1, 0)
		b.ApplyRecord(note(rollout.PhaseOrdered, 2), 0)
		b.ApplyRecord(end, 0)
		if b.Ordered("r", model, 0) {
			t.Errorf("still ordered after %v", end.Phase)
		}
	}
}

// Symptom: three seconds after an entry has started two replicas of nine serve
// everything. Sequence: a version is named while it runs; it takes the name for one
// that was there at the start. Cause: what is overdue counted from the wrong time.
func TestOldestVersionThatMayBegin(t *testing.T) {
	d := rollout.NewVersionHistory(10 * time.Second)
	if d.OldestAllowed(time.Hour) != 0 {
		t.Fatal("nothing was named, and yet old weights are overdue")
	}
	d.Add(2, 0)
	d.Add(3, 4*time.Second)
	for _, c := range []struct {
		at   time.Duration
		want uint64
	}{{9 * time.Second, 0}, {10 * time.Second, 2}, {13 * time.Second, 2}, {14 * time.Second, 3}} {
		if got := d.OldestAllowed(c.at); got != c.want {
			t.Errorf("at %v: oldest %d; want %d", c.at, got, c.want)
		}
	}
	if d.Add(3, time.Hour) || d.Newest() != 3 {
		t.Error("a version named again is news")
	}
}

func FuzzDecode(f *testing.F) {
	for _, e := range []rollout.Envelope{{Lease: []byte{1}}, {Rollout: note(rollout.PhaseOrdered, 2)}} {
		f.Add(e.Encode())
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := rollout.Decode(data)
		if err == nil && (e.Lease == nil) == (e.Rollout == nil) {
			t.Fatal("an envelope of no kind or of both")
		}
	})
}

// Symptom: after all entries lost power most replicas are refused, though the version that
// they lack was named seconds ago; or, the other way round, weights that two newer
// versions have replaced are used.
// Sequence: versions 3 and 4 are named; an entry starts and reads version 4 alone; another
// one's word says when.
// Cause: what is there at the start taken for overdue; or what came before it forgotten.
func TestNamingsTellAStartedEntryWhatIsOverdue(t *testing.T) {
	assumed := -7 * time.Second // overdue at 3 s
	start := func() *rollout.VersionHistory {
		d := rollout.NewVersionHistory(10 * time.Second)
		d.Add(4, assumed)
		return d
	}
	if got := start().OldestAllowed(4 * time.Second); got != 4 {
		t.Errorf("without word: %d", got)
	}
	d := start()
	d.AddPrevious(4, 3, assumed)
	d.AnnouncedNoEarlier(4, -2*time.Second)
	for _, c := range []struct {
		at   time.Duration
		want uint64
	}{{2 * time.Second, 0}, {4 * time.Second, 3}, {7 * time.Second, 3}, {8 * time.Second, 4}} {
		if got := d.OldestAllowed(c.at); got != c.want {
			t.Errorf("at %v no request may begin on weights before %d; want %d", c.at, got, c.want)
		}
	}
	d = start()
	d.AddPrevious(4, 3, assumed)
	d.AnnouncedNoEarlier(4, -2*time.Second)
	d.AnnouncedNoEarlier(3, -4*time.Second)
	if got := d.OldestAllowed(4 * time.Second); got != 0 {
		t.Errorf("both were named a moment ago, and %d is overdue", got)
	}
	d.AnnouncedNoEarlier(4, -20*time.Second)
	if got := d.OldestAllowed(7 * time.Second); got != 3 {
		t.Errorf("an earlier time replaced a later one: %d", got)
	}
}

// Symptom: as in the test of the entry's reader. Sequence: a version is named between 2 s and
// 12 s, as far as the entry knows, and read at 12 s; words say when. Cause: the reading
// taken for the naming.
func TestWordsTellWhenAVersionReadLateWasNamed(t *testing.T) {
	late := func() *rollout.VersionHistory {
		d := rollout.NewVersionHistory(10 * time.Second)
		d.Add(2, 12*time.Second)
		d.MarkReadLate(2, 2*time.Second)
		return d
	}
	cases := []struct {
		name    string
		words   []time.Duration
		overdue time.Duration
	}{
		{"no word", nil, 22 * time.Second},
		{"a word", []time.Duration{5 * time.Second}, 15 * time.Second},
		{"an earlier word follows", []time.Duration{8 * time.Second, 5 * time.Second}, 15 * time.Second},
		{"a later word follows", []time.Duration{5 * time.Second, 8 * time.Second}, 15 * time.Second},
		{"a word from before it can have been", []time.Duration{-time.Hour}, 12 * time.Second},
		{"a word from after the reading", []time.Duration{time.Hour}, 22 * time.Second},
	}
	for _, c := range cases {
		d := late()
		for _, at := range c.words {
			d.AnnouncedNoLater(2, at)
		}
		if d.OldestAllowed(c.overdue-time.Millisecond) != 0 || d.OldestAllowed(c.overdue) != 2 {
			t.Errorf("%s: not overdue at %v", c.name, c.overdue)
		}
	}
	d := rollout.NewVersionHistory(10 * time.Second)
	d.Add(2, 12*time.Second)
	d.AnnouncedNoLater(2, time.Second)
	if d.OldestAllowed(22*time.Second-time.Millisecond) != 0 {
		t.Error("a word about a version that was read at once changed when it counts as named")
	}
}
