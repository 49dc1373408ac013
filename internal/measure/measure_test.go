package measure

import (
	"testing"
	"time"

	"skylarklead/internal/prefix"
	"skylarklead/internal/standin/engine"
	"skylarklead/internal/standin/load"
)

func TestTallyCountsWhatAnotherEngineHeld(t *testing.T) {
	entry := func(us int64, kind engine.JournalKind, hashes ...prefix.Hash) engine.JournalEntry {
		return engine.JournalEntry{TimeUs: us, Kind: kind, Hashes: hashes}
	}
	journals := [][]engine.JournalEntry{
		{entry(1, engine.JournalComputed, 1, 2), entry(5, engine.JournalRemoved, 2), entry(9, engine.JournalCleared)},
		{
			entry(2, engine.JournalComputed, 1),    // held by the first engine, before counting starts
			entry(4, engine.JournalComputed, 2),    // held by the first engine
			entry(7, engine.JournalRemoved, 2),     // now no engine holds it
			entry(8, engine.JournalComputed, 2, 3), // 2 is repeated, 3 is new
			entry(10, engine.JournalRemoved, 1),
			entry(11, engine.JournalComputed, 1), // the first engine's cache was cleared
		},
	}
	got := countWaste(journals, 3)
	want := Waste{Recomputed: 1 * prefix.BlockTokens, Repeated: 3 * prefix.BlockTokens}
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestRecovery(t *testing.T) {
	series := func(rates ...int) *hitRateSeries {
		h := &hitRateSeries{}
		for second, cached := range rates {
			h.add(load.Result{ScheduledAt: time.Duration(second) * time.Second, PromptTokens: 100, CachedTokens: cached})
		}
		return h
	}
	tests := []struct {
		name  string
		rates []int
		want  time.Duration
	}{
		{"no dip", []int{0, 80, 80, 80, 80, 80}, 2 * time.Second},
		{"back after four seconds", []int{0, 80, 80, 0, 40, 75, 75, 80}, 4 * time.Second},
		{"never", []int{0, 80, 80, 0, 0, 0, 0, 0}, -time.Millisecond},
	}
	for _, tt := range tests {
		if got := series(tt.rates...).recoveryTime(time.Second, 3*time.Second); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}
