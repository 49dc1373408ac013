package route_test

import (
	"testing"
	"time"

	"skylarklead/internal/route"
)

// Guards against tokens taken in that aren't counted where a word in between didn't tell of the replica.
func TestTokensTakenInCountAcrossWordsThatDontTellOfThem(t *testing.T) {
	p := route.NewPeers(time.Second)
	var tokens float64
	took := func(_ uint64, n float64) { tokens += n }
	words := []map[uint64]route.Load{
		{1: {Running: 1, AddedTokens: 10}},
		{2: {Running: 1, AddedTokens: 3}},
		{1: {Running: 1, AddedTokens: 17}},
	}
	for i, loads := range words {
		p.Take("entry-2", 1, uint64(i+1), loads, time.Duration(i)*time.Millisecond, took)
	}
	if want := 7.0 * route.AddedTokensUnit; tokens != want {
		t.Errorf("%v tokens were counted; the replica took %v", tokens, want)
	}
}
