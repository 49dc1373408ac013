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

func resident(t *testing.T, p *Picture, want int, chain ...prefix.Hash) {
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
	if p.Doubtful() {
		t.Error("in doubt after a whole replay")
	}
}

// Symptom: requests are drawn to an engine for blocks that it evicted long ago.
// Sequence: an event is lost and the engine's buffer no longer has it.
// Cause: no replay can fill the gap.
func TestUnfillableGapAgesOut(t *testing.T) {
	p := New(Params{DoubtLife: 5 * second})
	p.Connected(1)
	p.Apply(0, stored(1, 1, 2))
	p.Apply(0, stored(5, 3))
	p.Connected(2)
	p.Apply(0, stored(5, 3))
	mark := p.Mark()
	p.Correct(mark, []prefix.Hash{1}, prefix.BlockTokens)
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
	mark := p.Mark()
	p.Apply(0, stored(2, 3))
	p.Correct(mark, []prefix.Hash{1, 2, 3}, prefix.BlockTokens)
	resident(t, p, 1, 1, 2)
	resident(t, p, 1, 3)
}
