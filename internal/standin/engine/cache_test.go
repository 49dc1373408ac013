package engine

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarklead/internal/prefix"
)

// Under any sequence of runs the cache stays within its limit, no block outlives
// its parent, and blocks in use aren't evicted.
func TestCacheInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCache(rapid.IntRange(4, 24).Draw(t, "total"))
		type runningRequest struct{ chain []prefix.Hash }
		var runs []runningRequest
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				chain := drawChain(t)
				hits := chain[:c.matchLength(chain)]
				c.acquire(hits)
				if !c.reserve(len(chain) - len(hits)) {
					c.release(hits, time.Time{})
					return
				}
				c.evictExcess()
				for i := len(hits); i < len(chain); i++ {
					parent := prefix.Hash(0)
					if i > 0 {
						parent = chain[i-1]
					}
					c.store(chain[i], parent, origin{})
				}
				runs = append(runs, runningRequest{chain})
			},
			"end": func(t *rapid.T) {
				if len(runs) == 0 {
					t.Skip("nothing runs")
				}
				i := rapid.IntRange(0, len(runs)-1).Draw(t, "run")
				c.release(runs[i].chain, time.Time{})
				runs = append(runs[:i], runs[i+1:]...)
			},
			"": func(t *rapid.T) {
				if len(c.blocks) > c.total || c.reserved != 0 {
					t.Fatalf("%d blocks and %d reserved of %d", len(c.blocks), c.reserved, c.total)
				}
				for _, b := range c.blocks {
					if b.parent != 0 && c.blocks[b.parent] == nil {
						t.Fatalf("block %x outlived its parent", b.hash)
					}
				}
				for _, r := range runs {
					if c.matchLength(r.chain) != len(r.chain) {
						t.Fatal("a block in use was evicted")
					}
				}
			},
		})
	})
}

// drawChain returns a path in a small tree, so that many chains share a prefix.
func drawChain(t *rapid.T) []prefix.Hash {
	var chain []prefix.Hash
	h := prefix.Hash(1)
	for range rapid.IntRange(1, 8).Draw(t, "length") {
		h = h*4 + prefix.Hash(rapid.IntRange(0, 2).Draw(t, "branch"))
		chain = append(chain, h)
	}
	return chain
}
