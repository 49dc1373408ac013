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

func resident(t *testing.T, p *View, want int, chain ...prefix.Hash) {
	t.Helper()
	if got, _ := p.Resident(chain); got != want*prefix.BlockTokens {
		t.Errorf("Resident(%v) = %d tokens, want %d blocks", chain, got, want)
	}
}

func TestResidentInARow(t *testing.T) {
	p := New(Params{})
	p.Connected(1)
	p.Apply(0, stored(1, 1, 2, 3, 4))
	p.Apply(0, removed(2, 3))
	resident(t, p, 2, 1, 2, 3, 4)
	resident(t, p, 0, 9, 1)
}

// Symptom: the picture claims a block that the engine evicted.
// Sequence: an event is lost; it was the block's removal.
// Cause: events come with gaps.
func TestGapAsksForReplayAndReplayFillsIt(t *testing.T) {
	p := New(Params{})
	p.Connected(1)
	p.Apply(0, stored(1, 1, 2))
	actions := p.Apply(0, stored(3, 3))
	if len(actions) != 1 || actions[0] != (Resync{From: 2}) {
		t.Fatalf("actions = %v, want a resync from 2", actions)
	}
	if _, doubtful := p.Resident([]prefix.Hash{1, 2}); !doubtful {
		t.Error("blocks from before a gap are not in doubt")
	}
	p.Connected(2)
	p.Apply(0, removed(2, 2))
	p.Apply(0, stored(3, 3))
	resident(t, p, 1, 1, 2)
	resident(t, p, 1, 3)
	if p.Stale() {
		t.Error("in doubt after a whole replay")
	}
}

// Symptom: requests are drawn to an engine for blocks that it evicted long ago.
// Sequence: an event is lost and the engine's buffer no longer has it.
// Cause: no replay can fill the gap.
func TestUnfillableGapAgesOut(t *testing.T) {
	p := New(Params{StaleTTL: 5 * second})
	p.Connected(1)
	p.Apply(0, stored(1, 1, 2))
	p.Apply(0, stored(5, 3))
	p.Connected(2)
	p.Apply(0, stored(5, 3))
	mark := p.NextRevision()
	p.Reconcile(mark, []prefix.Hash{1}, prefix.BlockTokens)
	resident(t, p, 2, 1, 2)
	p.Tick(6 * second)
	resident(t, p, 1, 1)
	resident(t, p, 0, 2)
	resident(t, p, 1, 3)
}

// Symptom: a restarted engine is believed to hold what it held before.
// Sequence: the engine crashes and comes back; its first event is of a new
// incarnation, and a late event of the old one follows.
// Cause: whatever the old incarnation held is gone.
func TestNewIncarnationVoidsAll(t *testing.T) {
	p := New(Params{})
	p.Connected(1)
	p.Apply(0, stored(1, 1, 2))
	p.Apply(0, Event{Seq: 1, Incarnation: "i2", Weights: "w1", Kind: Stored, Hashes: []prefix.Hash{7}})
	p.Apply(0, stored(2, 1))
	resident(t, p, 0, 1, 2)
	resident(t, p, 1, 7)
}

func TestCorrectKeepsWhatWasStoredSince(t *testing.T) {
	p := New(Params{})
	p.Connected(1)
	p.Apply(0, stored(1, 1, 2, 3))
	mark := p.NextRevision()
	p.Apply(0, stored(2, 3))
	p.Reconcile(mark, []prefix.Hash{1, 2, 3}, prefix.BlockTokens)
	resident(t, p, 1, 1, 2)
	resident(t, p, 1, 3)
}

// Symptom: a restarted engine is believed to hold a prompt that only its
// predecessor had.
// Sequence: a request is cut by a crash; its account is taken after the new
// incarnation is known.
// Cause: the account is of another incarnation than the picture.
func TestAccountOfAPastIncarnationIsIgnored(t *testing.T) {
	p := New(Params{})
	p.Connected(1)
	p.Apply(0, stored(1, 1))
	mark := p.NextRevision()
	p.Apply(0, Event{Seq: 1, Incarnation: "i2", Weights: "w1", Kind: Stored, Hashes: []prefix.Hash{7}})
	p.Reconcile(mark, []prefix.Hash{1, 2}, 2*prefix.BlockTokens)
	resident(t, p, 0, 1, 2)
}

func TestRootsTellChangesOnce(t *testing.T) {
	p := New(Params{})
	p.Connected(1)
	levels := []prefix.Level{{Hash: 2, Tokens: 32}, {Hash: 4, Tokens: 64}}
	p.Apply(0, stored(1, 100))
	p.Track(99, []prefix.Level{{Hash: 100, Tokens: 16}})
	before := p.LevelVersion()
	p.Track(99, levels)
	told, next := p.LevelsSince(before)
	if len(told) != 0 {
		t.Fatalf("told an owner that blocks are missing which it has just sent for: %v", told)
	}
	p.Apply(0, stored(2, 1, 2, 3, 4))
	told, next = p.LevelsSince(next)
	if len(told) != 2 || told[0].OwnerKey != 99 || told[0].Resident.Tokens+told[1].Resident.Tokens != 96 {
		t.Fatalf("told %+v of two stored levels", told)
	}
	if told, _ = p.LevelsSince(next); len(told) != 0 {
		t.Fatalf("told again: %+v", told)
	}
	p.Apply(0, removed(3, 4, 100))
	told, _ = p.LevelsSince(next)
	if len(told) != 2 || told[0].Resident.Tokens != 0 || told[1].Resident.Tokens != 0 {
		t.Fatalf("told %+v of two removed levels", told)
	}
	if told, _ = p.LevelsSince(0); len(told) != 1 || told[0].Resident.Hash != 2 {
		t.Fatalf("all that is resident: %+v", told)
	}
}

func TestBlocksAreBounded(t *testing.T) {
	p := New(Params{MaxBlocks: 100})
	p.Connected(1)
	for i := range 1000 {
		p.Apply(0, stored(uint64(i+1), prefix.Hash(i+1)))
		if p.Len() > 100 {
			t.Fatalf("%d blocks", p.Len())
		}
	}
	resident(t, p, 1, 1000)
}

func TestLateLoadReportDoesNotBringBackThePast(t *testing.T) {
	p := New(Params{})
	p.Connected(1)
	p.Apply(10*second, stored(1, 1))
	if actions := p.Observe(11*second, 5*second, "i0", "w1"); actions != nil {
		t.Fatalf("an older report gave %v", actions)
	}
	resident(t, p, 1, 1)
	actions := p.Observe(12*second, second/10, "i2", "w1")
	if len(actions) != 1 || actions[0] != (Resync{From: 1}) {
		t.Fatalf("a new incarnation gave %v", actions)
	}
	resident(t, p, 0, 1)
}

// Symptom: a block is claimed that is gone.
// Sequence: events come behind a gap while the replay is awaited.
// Cause: what they store may be removed by an event that the gap hides.
func TestBehindAGapOnlyRemovalsCount(t *testing.T) {
	p := New(Params{})
	p.Connected(1)
	p.Apply(0, stored(1, 1, 2))
	p.Apply(0, stored(3, 3))
	p.Apply(0, removed(4, 2))
	resident(t, p, 1, 1, 2)
	resident(t, p, 0, 3)
}

// Symptom: blocks of past weights are claimed.
// Sequence: a load report shows that the engine has new weights; events from
// before that come late.
// Cause: late events of the same incarnation are taken for a return to them.
func TestLateEventsOfPastWeightsOnlyCount(t *testing.T) {
	p := New(Params{})
	p.Connected(1)
	p.Apply(0, stored(1, 1))
	p.Observe(second, 0, "i1", "w2")
	p.Apply(second, stored(2, 5))
	resident(t, p, 0, 5)
	cleared := Event{Seq: 3, Incarnation: "i1", Weights: "w2", Kind: Cleared}
	if actions := p.Apply(second, cleared); actions != nil {
		t.Fatalf("event 2 was not counted: %v", actions)
	}
	p.Apply(second, Event{Seq: 4, Incarnation: "i1", Weights: "w2", Kind: Stored, Hashes: []prefix.Hash{7}})
	resident(t, p, 1, 7)
}
