package route_test

import (
	"testing"
	"time"

	"skylarklead/internal/route"
)

// Guards against losing the count of added tokens when a report in between doesn't contain the
// replica.
func TestTokensTakenInCountAcrossWordsThatDontTellOfThem(t *testing.T) {
	p := route.NewPeerLoads(time.Second)
	var tokens float64
	onAdded := func(_ uint64, n float64) { tokens += n }
	reports := []map[uint64]route.Load{
		{1: {Running: 1, AddedTokens: 10}},
		{2: {Running: 1, AddedTokens: 3}},
		{1: {Running: 1, AddedTokens: 17}},
	}
	for i, loads := range reports {
		p.Update("entry-2", 1, uint64(i+1), loads, time.Duration(i)*time.Millisecond, onAdded)
	}
	if want := 7.0 * route.AddedTokensUnit; tokens != want {
		t.Errorf("%v tokens were counted, want %v", tokens, want)
	}
}
