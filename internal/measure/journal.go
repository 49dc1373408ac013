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

// Waste is what the engines' journals tell of a run, in tokens. Only whole
// cache blocks are counted.
type Waste struct {
	// Recomputed were computed while some other engine of the group held them.
	Recomputed int
	// Again were computed before by any engine: Recomputed, and what had been
	// evicted or lost everywhere.
	Again int
}

// change is a journal entry with its engine's index.
type change struct {
	engine.JournalEntry
	engine int
}

// readJournal reads an engine's journal.
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

// tally replays the journals in the order of time and counts waste from a point
// in time on. The engines are at most 64.
func tally(journals [][]engine.JournalEntry, fromUs int64) Waste {
	var w Waste
	holders := map[prefix.Hash]uint64{}
	for _, c := range merge(journals) {
		bit := uint64(1) << c.engine
		if c.Kind == engine.JournalCleared {
			for h := range holders {
				holders[h] &^= bit
			}
			continue
		}
		for _, h := range c.Hashes {
			held, known := holders[h]
			if c.Kind == engine.JournalRemoved {
				holders[h] = held &^ bit
				continue
			}
			if c.Kind == engine.JournalComputed && c.TimeUs >= fromUs {
				w.count(known, held&^bit != 0)
			}
			holders[h] = held | bit
		}
	}
	return w
}

func (w *Waste) count(known, held bool) {
	if known {
		w.Again += prefix.BlockTokens
	}
	if held {
		w.Recomputed += prefix.BlockTokens
	}
}

func merge(journals [][]engine.JournalEntry) []change {
	var all []change
	for i, entries := range journals {
		for _, entry := range entries {
			all = append(all, change{JournalEntry: entry, engine: i})
		}
	}
	slices.SortStableFunc(all, func(a, b change) int { return int(a.TimeUs - b.TimeUs) })
	return all
}
