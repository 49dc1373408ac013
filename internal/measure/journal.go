package measure

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"skylarklead/internal/prefix"
	"skylarklead/internal/standin/engine"
)

// Waste counts tokens that were computed more than once, by the engines' journals.
// Only whole cache blocks are counted.
type Waste struct {
	// Recomputed counts tokens computed while another engine of the group had them
	// in its cache.
	Recomputed int
	// Repeated counts tokens that any engine had computed before: those of
	// Recomputed, and those that were evicted or lost by all engines meanwhile.
	Repeated int
}

// engineChange is a journal entry with its engine's index.
type engineChange struct {
	engine.JournalEntry
	engine int
}

// readJournal reads the journal of the stand-in engine at a base URL.
func readJournal(base string) ([]engine.JournalEntry, error) {
	resp, err := client.Get(base + "/control/journal")
	if err != nil {
		return nil, fmt.Errorf("measure: %w", err)
	}
	defer resp.Body.Close()
	var entries []engine.JournalEntry
	for decoder := json.NewDecoder(resp.Body); ; {
		var entry engine.JournalEntry
		err := decoder.Decode(&entry)
		if errors.Is(err, io.EOF) {
			return entries, nil
		}
		if err != nil {
			return nil, fmt.Errorf("measure: journal of %s: %w", base, err)
		}
		entries = append(entries, entry)
	}
}

// countWaste replays the journals in order of time and counts the waste from
// fromUs on, in microseconds of wall-clock time. It supports at most 64 engines,
// since it represents the set of engines that hold a block as a 64-bit mask.
func countWaste(journals [][]engine.JournalEntry, fromUs int64) Waste {
	var waste Waste
	holders := map[prefix.Hash]uint64{}
	for _, c := range mergeByTime(journals) {
		bit := uint64(1) << c.engine
		if c.Kind == engine.JournalCleared {
			for h := range holders {
				holders[h] &^= bit
			}
			continue
		}
		for _, h := range c.Hashes {
			holderBits, known := holders[h]
			if c.Kind == engine.JournalRemoved {
				holders[h] = holderBits &^ bit
				continue
			}
			if c.Kind == engine.JournalComputed && c.TimeUs >= fromUs {
				waste.add(known, holderBits&^bit != 0)
			}
			holders[h] = holderBits | bit
		}
	}
	return waste
}

func (w *Waste) add(known, held bool) {
	if known {
		w.Repeated += prefix.BlockTokens
	}
	if held {
		w.Recomputed += prefix.BlockTokens
	}
}

func mergeByTime(journals [][]engine.JournalEntry) []engineChange {
	var all []engineChange
	for i, entries := range journals {
		for _, entry := range entries {
			all = append(all, engineChange{JournalEntry: entry, engine: i})
		}
	}
	slices.SortStableFunc(all, func(a, b engineChange) int { return int(a.TimeUs - b.TimeUs) })
	return all
}
