package rollout_test

import (
	"testing"
	"time"

	"skylarklead/internal/rollout"
)

func record(phase rollout.Phase, version uint64) *rollout.Record {
	return &rollout.Record{Holder: "entry-1", Replica: "r", Model: model, Version: version, Phase: phase}
}

// Guards against a replica that never gets work again: it is announced as ordered, and the lease
// holder is killed before it publishes the end of the load.
func TestOrderedNoteRunsOut(t *testing.T) {
	tracker := rollout.NewVersionTracker()
	tracker.ObserveVersion("r", model, 1, 0)
	tracker.ApplyRecord(record(rollout.PhaseOrdered, 2), 0)
	if !tracker.Ordered("r", model, time.Second) {
		t.Fatal("not ordered after an ordered record")
	}
	if tracker.Ordered("r", model, rollout.OrderedTTL) {
		t.Fatal("still ordered after OrderedTTL without another record")
	}
}

func TestVersionOnlyGrows(t *testing.T) {
	tracker := rollout.NewVersionTracker()
	tracker.ApplyRecord(record(rollout.PhaseServing, 3), 0)
	if tracker.ObserveVersion("r", model, 2, 0) {
		t.Fatal("an older version counts as higher than any before")
	}
	if v := tracker.Version("r", model); v != 3 {
		t.Fatalf("version %d after an older record", v)
	}
}

func TestServingOrReleasedEndsOrdered(t *testing.T) {
	for _, end := range []*rollout.Record{record(rollout.PhaseServing, 2), record(rollout.PhaseReleased, 2)} {
		tracker := rollout.NewVersionTracker()
		tracker.ObserveVersion("r", model, 1, 0)
		tracker.ApplyRecord(record(rollout.PhaseOrdered, 2), 0)
		tracker.ApplyRecord(end, 0)
		if tracker.Ordered("r", model, 0) {
			t.Errorf("still ordered after %v", end.Phase)
		}
	}
}

// Guards against an entry that uses only the few replicas with the newest weights soon after its
// start: a version is announced while the entry runs, and is taken for one that was there at the
// start. Three seconds later two replicas of nine then serve everything.
func TestOldestVersionThatMayBegin(t *testing.T) {
	history := rollout.NewVersionHistory(10 * time.Second)
	if history.OldestAllowed(time.Hour) != 0 {
		t.Fatal("no version was announced, and yet old weights are overdue")
	}
	history.Add(2, 0)
	history.Add(3, 4*time.Second)
	for _, c := range []struct {
		at   time.Duration
		want uint64
	}{{9 * time.Second, 0}, {10 * time.Second, 2}, {13 * time.Second, 2}, {14 * time.Second, 3}} {
		if got := history.OldestAllowed(c.at); got != c.want {
			t.Errorf("at %v: oldest %d; want %d", c.at, got, c.want)
		}
	}
	if history.Add(3, time.Hour) || history.Newest() != 3 {
		t.Error("a version announced again counts as new")
	}
}

func FuzzDecode(f *testing.F) {
	for _, e := range []rollout.Envelope{{Lease: []byte{1}}, {Rollout: record(rollout.PhaseOrdered, 2)}} {
		f.Add(e.Encode())
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := rollout.Decode(data)
		if err == nil && (e.Lease == nil) == (e.Rollout == nil) {
			t.Fatal("an envelope with neither or both of Lease and Rollout")
		}
	})
}

// Guards against two errors after a restart of all entries: replicas are refused although the
// version that they lack was announced seconds ago, or weights are used that two newer versions
// have replaced. Versions 3 and 4 are announced, and an entry starts and reads only version 4;
// the announcement of another entry tells it when. What is there at the start must not count as
// overdue, and the version before must not be forgotten.
func TestNamingsTellAStartedEntryWhatIsOverdue(t *testing.T) {
	assumed := -7 * time.Second // overdue at 3 s
	start := func() *rollout.VersionHistory {
		history := rollout.NewVersionHistory(10 * time.Second)
		history.Add(4, assumed)
		return history
	}
	if got := start().OldestAllowed(4 * time.Second); got != 4 {
		t.Errorf("without an announcement by another entry: oldest %d; want 4", got)
	}
	history := start()
	history.AddPrevious(4, 3, assumed)
	history.AnnouncedNoEarlier(4, -2*time.Second)
	for _, c := range []struct {
		at   time.Duration
		want uint64
	}{{2 * time.Second, 0}, {4 * time.Second, 3}, {7 * time.Second, 3}, {8 * time.Second, 4}} {
		if got := history.OldestAllowed(c.at); got != c.want {
			t.Errorf("at %v no request may begin on weights before %d; want %d", c.at, got, c.want)
		}
	}
	history = start()
	history.AddPrevious(4, 3, assumed)
	history.AnnouncedNoEarlier(4, -2*time.Second)
	history.AnnouncedNoEarlier(3, -4*time.Second)
	if got := history.OldestAllowed(4 * time.Second); got != 0 {
		t.Errorf("both were announced a moment ago, and version %d is overdue", got)
	}
	history.AnnouncedNoEarlier(4, -20*time.Second)
	if got := history.OldestAllowed(7 * time.Second); got != 3 {
		t.Errorf("an earlier time replaced a later one: oldest %d; want 3", got)
	}
}

// Guards against an entry that takes the time when it read a version for the time of its
// announcement. The version is announced between 2 s and 12 s, as far as the entry knows, and read
// at 12 s; announcements by other entries tell when.
func TestWordsTellWhenAVersionReadLateWasNamed(t *testing.T) {
	late := func() *rollout.VersionHistory {
		history := rollout.NewVersionHistory(10 * time.Second)
		history.Add(2, 12*time.Second)
		history.MarkReadLate(2, 2*time.Second)
		return history
	}
	cases := []struct {
		name    string
		times   []time.Duration
		overdue time.Duration
	}{
		{"no announcement", nil, 22 * time.Second},
		{"an announcement", []time.Duration{5 * time.Second}, 15 * time.Second},
		{"an earlier time follows", []time.Duration{8 * time.Second, 5 * time.Second}, 15 * time.Second},
		{"a later time follows", []time.Duration{5 * time.Second, 8 * time.Second}, 15 * time.Second},
		{"a time before it can have been announced", []time.Duration{-time.Hour}, 12 * time.Second},
		{"a time after it was read", []time.Duration{time.Hour}, 22 * time.Second},
	}
	for _, c := range cases {
		history := late()
		for _, at := range c.times {
			history.AnnouncedNoLater(2, at)
		}
		if history.OldestAllowed(c.overdue-time.Millisecond) != 0 || history.OldestAllowed(c.overdue) != 2 {
			t.Errorf("%s: not overdue at %v", c.name, c.overdue)
		}
	}
	history := rollout.NewVersionHistory(10 * time.Second)
	history.Add(2, 12*time.Second)
	history.AnnouncedNoLater(2, time.Second)
	if history.OldestAllowed(22*time.Second-time.Millisecond) != 0 {
		t.Error("an announcement changed the time of a version that was read at once")
	}
}
