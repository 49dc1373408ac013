package cachemap

import (
	"testing"

	"skylarklead/internal/prefix"
)

const second = 1_000_000_000

func stored(seq uint64, hashes ...prefix.Hash) Event {
	return Event{Seq: seq, Incarnation: "i1", Weights: "w1", Kind: Stored, Hashes: hashes}
}

func removed(seq uint64, hashes ...prefix.Hash) Event {
	return Event{Seq: seq, Incarnation: "i1", Weights: "w1", Kind: Removed, Hashes: hashes}
}

func wantResident(t *testing.T, v *View, want int, chain ...prefix.Hash) {
	t.Helper()
	if got, _ := v.Resident(chain); got != want*prefix.BlockTokens {
		t.Errorf("Resident(%v) = %d tokens, want %d blocks", chain, got, want)
	}
}

func TestResidentInARow(t *testing.T) {
	v := New(Params{})
	v.Connected(1)
	v.Apply(0, stored(1, 1, 2, 3, 4))
	v.Apply(0, removed(2, 3))
	wantResident(t, v, 2, 1, 2, 3, 4)
	wantResident(t, v, 0, 9, 1)
}

// Guards against reporting a block that the engine has evicted: events arrive with gaps, and the
// lost event was the block's removal.
func TestGapAsksForReplayAndReplayFillsIt(t *testing.T) {
	v := New(Params{})
	v.Connected(1)
	v.Apply(0, stored(1, 1, 2))
	actions := v.Apply(0, stored(3, 3))
	if len(actions) != 1 || actions[0] != (Resync{From: 2}) {
		t.Fatalf("actions = %v, want a resync from 2", actions)
	}
	if _, stale := v.Resident([]prefix.Hash{1, 2}); !stale {
		t.Error("blocks confirmed before a gap are not stale")
	}
	v.Connected(2)
	v.Apply(0, removed(2, 2))
	v.Apply(0, stored(3, 3))
	wantResident(t, v, 1, 1, 2)
	wantResident(t, v, 1, 3)
	if v.Stale() {
		t.Error("stale after a complete replay")
	}
}

// Guards against attracting requests for blocks evicted long ago: an event is lost, the engine's
// buffer no longer has it, and so no replay can fill the gap.
func TestUnfillableGapAgesOut(t *testing.T) {
	v := New(Params{StaleTTL: 5 * second})
	v.Connected(1)
	v.Apply(0, stored(1, 1, 2))
	v.Apply(0, stored(5, 3))
	v.Connected(2)
	v.Apply(0, stored(5, 3))
	revision := v.NextRevision()
	v.Reconcile(revision, []prefix.Hash{1}, prefix.BlockTokens)
	wantResident(t, v, 2, 1, 2)
	v.Tick(6 * second)
	wantResident(t, v, 1, 1)
	wantResident(t, v, 0, 2)
	wantResident(t, v, 1, 3)
}

// Guards against keeping blocks of a crashed engine: its first event after the restart has a new
// incarnation, and a late event of the old one follows.
func TestNewIncarnationVoidsAll(t *testing.T) {
	v := New(Params{})
	v.Connected(1)
	v.Apply(0, stored(1, 1, 2))
	v.Apply(0, Event{Seq: 1, Incarnation: "i2", Weights: "w1", Kind: Stored, Hashes: []prefix.Hash{7}})
	v.Apply(0, stored(2, 1))
	wantResident(t, v, 0, 1, 2)
	wantResident(t, v, 1, 7)
}

func TestCorrectKeepsWhatWasStoredSince(t *testing.T) {
	v := New(Params{})
	v.Connected(1)
	v.Apply(0, stored(1, 1, 2, 3))
	revision := v.NextRevision()
	v.Apply(0, stored(2, 3))
	v.Reconcile(revision, []prefix.Hash{1, 2, 3}, prefix.BlockTokens)
	wantResident(t, v, 1, 1, 2)
	wantResident(t, v, 1, 3)
}

// Guards against adding a prompt that only the crashed engine held: a request is cut off by the
// crash, and its count of cached tokens is applied after the new incarnation is known.
func TestAccountOfAPastIncarnationIsIgnored(t *testing.T) {
	v := New(Params{})
	v.Connected(1)
	v.Apply(0, stored(1, 1))
	revision := v.NextRevision()
	v.Apply(0, Event{Seq: 1, Incarnation: "i2", Weights: "w1", Kind: Stored, Hashes: []prefix.Hash{7}})
	v.Reconcile(revision, []prefix.Hash{1, 2}, 2*prefix.BlockTokens)
	wantResident(t, v, 0, 1, 2)
}

func TestRootsTellChangesOnce(t *testing.T) {
	v := New(Params{})
	v.Connected(1)
	levels := []prefix.Level{{Hash: 2, Tokens: 32}, {Hash: 4, Tokens: 64}}
	v.Apply(0, stored(1, 100))
	v.Track(99, []prefix.Level{{Hash: 100, Tokens: 16}})
	before := v.LevelVersion()
	v.Track(99, levels)
	changed, next := v.LevelsSince(before)
	if len(changed) != 0 {
		t.Fatalf("reported levels as missing for which a request has just arrived: %v", changed)
	}
	v.Apply(0, stored(2, 1, 2, 3, 4))
	changed, next = v.LevelsSince(next)
	if len(changed) != 2 || changed[0].OwnerKey != 99 || changed[0].Resident.Tokens+changed[1].Resident.Tokens != 96 {
		t.Fatalf("LevelsSince = %+v after two levels were stored", changed)
	}
	if changed, _ = v.LevelsSince(next); len(changed) != 0 {
		t.Fatalf("reported again: %+v", changed)
	}
	v.Apply(0, removed(3, 4, 100))
	changed, _ = v.LevelsSince(next)
	if len(changed) != 2 || changed[0].Resident.Tokens != 0 || changed[1].Resident.Tokens != 0 {
		t.Fatalf("LevelsSince = %+v after two levels were removed", changed)
	}
	if changed, _ = v.LevelsSince(0); len(changed) != 1 || changed[0].Resident.Hash != 2 {
		t.Fatalf("full report = %+v, want the one resident level", changed)
	}
}

func TestBlocksAreBounded(t *testing.T) {
	v := New(Params{MaxBlocks: 100})
	v.Connected(1)
	for i := range 1000 {
		v.Apply(0, stored(uint64(i+1), prefix.Hash(i+1)))
		if v.Len() > 100 {
			t.Fatalf("%d blocks, want at most 100", v.Len())
		}
	}
	wantResident(t, v, 1, 1000)
}

func TestLateLoadReportDoesNotBringBackThePast(t *testing.T) {
	v := New(Params{})
	v.Connected(1)
	v.Apply(10*second, stored(1, 1))
	if actions := v.Observe(11*second, 5*second, "i0", "w1"); actions != nil {
		t.Fatalf("an older report gave %v", actions)
	}
	wantResident(t, v, 1, 1)
	actions := v.Observe(12*second, second/10, "i2", "w1")
	if len(actions) != 1 || actions[0] != (Resync{From: 1}) {
		t.Fatalf("a new incarnation gave %v", actions)
	}
	wantResident(t, v, 0, 1)
}

// Guards against reporting a block that is gone: blocks stored by events after a gap may have
// been removed by an event within it, so before the replay only removals count.
func TestBehindAGapOnlyRemovalsCount(t *testing.T) {
	v := New(Params{})
	v.Connected(1)
	v.Apply(0, stored(1, 1, 2))
	v.Apply(0, stored(3, 3))
	v.Apply(0, removed(4, 2))
	wantResident(t, v, 1, 1, 2)
	wantResident(t, v, 0, 3)
}

// Guards against reporting blocks of past weights: a load report shows that the engine has new
// weights, events from before arrive late, and these must not look like a return to the old
// weights.
func TestLateEventsOfPastWeightsOnlyCount(t *testing.T) {
	v := New(Params{})
	v.Connected(1)
	v.Apply(0, stored(1, 1))
	v.Observe(second, 0, "i1", "w2")
	v.Apply(second, stored(2, 5))
	wantResident(t, v, 0, 5)
	cleared := Event{Seq: 3, Incarnation: "i1", Weights: "w2", Kind: Cleared}
	if actions := v.Apply(second, cleared); actions != nil {
		t.Fatalf("event 2 was not counted: %v", actions)
	}
	v.Apply(second, Event{Seq: 4, Incarnation: "i1", Weights: "w2", Kind: Stored, Hashes: []prefix.Hash{7}})
	wantResident(t, v, 1, 7)
}
