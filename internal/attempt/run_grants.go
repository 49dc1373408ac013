package attempt

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// GrantHolder is a run that was granted a key: a number that its entry chose.
type GrantHolder struct {
	Entry  string
	Number uint64
}

// RunGrants lets one run at a time have a key, over all entries that ask the same one. It is pure, and
// keeps nothing that can't be lost: a run whose grant is forgotten goes on.
type RunGrants struct {
	granted *lru.Cache[uint64, runGrant]
}

type runGrant struct {
	holder GrantHolder
	until  time.Duration
}

// NewRunGrants returns a table of at most size keys.
func NewRunGrants(size int) *RunGrants {
	granted, err := lru.New[uint64, runGrant](size)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &RunGrants{granted: granted}
}

// Ask grants a key for the time of a lease, unless another run has it. The holder of a grant extends it.
func (g *RunGrants) Ask(key uint64, holder GrantHolder, lease, now time.Duration) bool {
	current, known := g.granted.Get(key)
	if known && current.holder != holder && now < current.until {
		return false
	}
	g.granted.Add(key, runGrant{holder, now + lease})
	return true
}

// Return ends a grant, after a time in which the outcome of its run becomes known.
func (g *RunGrants) Return(key uint64, holder GrantHolder, settle, now time.Duration) {
	if current, known := g.granted.Peek(key); known && current.holder == holder {
		g.granted.Add(key, runGrant{until: min(current.until, now+settle)})
	}
}
