package engine

import (
	"container/list"
	"time"

	"skylarklead/internal/prefix"
)

// origin identifies for which salt, with which weights and in which incarnation a
// block was computed.
type origin struct {
	Salt        string `json:"salt"`
	Weights     string `json:"weights_version"`
	Incarnation string `json:"incarnation"`
}

// block is one resident cache block.
type block struct {
	hash   prefix.Hash
	parent prefix.Hash
	origin origin
	// refs counts the running requests that use the block. It is never higher
	// than the count of the block's parent.
	refs int
	// idleElement is the block's element in cache.idleBlocks, nil while it is in
	// use.
	idleElement *list.Element
	idleSince   time.Time
}

// cache is the prefix cache. Blocks that aren't in use stay resident until their
// space is needed and are evicted in LRU order.
//
// Invariant: in idleBlocks a block precedes its ancestors, since a request that
// uses a block also uses its ancestors, and release goes from the leaf to the
// root. So the front element is always a leaf, and no block outlives its parent.
type cache struct {
	total      int
	blocks     map[prefix.Hash]*block
	idleBlocks *list.List
	// reserved counts blocks that are reserved for running requests and not yet
	// stored.
	reserved int
}

func newCache(total int) *cache {
	return &cache{total: total, blocks: map[prefix.Hash]*block{}, idleBlocks: list.New()}
}

// matchLength returns how many leading blocks of a chain are resident.
func (c *cache) matchLength(chain []prefix.Hash) int {
	for i, h := range chain {
		if c.blocks[h] == nil {
			return i
		}
	}
	return len(chain)
}

// acquire adds a reference to each block of a chain; all must be resident.
func (c *cache) acquire(chain []prefix.Hash) {
	for _, h := range chain {
		c.addRef(c.blocks[h])
	}
}

func (c *cache) addRef(b *block) {
	b.refs++
	if b.idleElement != nil {
		c.idleBlocks.Remove(b.idleElement)
		b.idleElement = nil
	}
}

// release drops one reference to each block of a chain that was acquired or
// stored.
func (c *cache) release(chain []prefix.Hash, now time.Time) {
	for i := len(chain) - 1; i >= 0; i-- {
		b := c.blocks[chain[i]]
		if b.refs--; b.refs == 0 {
			b.idleElement = c.idleBlocks.PushBack(b)
			b.idleSince = now
		}
	}
}

// reserve reserves n blocks and reports whether that many are free or idle.
func (c *cache) reserve(n int) bool {
	if c.total-len(c.blocks)-c.reserved+c.idleBlocks.Len() < n {
		return false
	}
	c.reserved += n
	return true
}

// store makes a reserved block resident with one reference, and reports whether
// it wasn't resident before.
func (c *cache) store(h, parent prefix.Hash, source origin) bool {
	c.reserved--
	if b := c.blocks[h]; b != nil {
		c.addRef(b)
		return false
	}
	c.blocks[h] = &block{hash: h, parent: parent, origin: source, refs: 1}
	return true
}

// evictExcess evicts idle blocks until resident and reserved blocks fit in total,
// and returns the evicted ones.
func (c *cache) evictExcess() []prefix.Hash {
	var evicted []prefix.Hash
	for len(c.blocks)+c.reserved > c.total && c.idleBlocks.Len() > 0 {
		evicted = append(evicted, c.evictOldest())
	}
	return evicted
}

// evictIdleSince evicts blocks that became idle before the given time, and
// returns them.
func (c *cache) evictIdleSince(before time.Time) []prefix.Hash {
	var evicted []prefix.Hash
	for c.idleBlocks.Len() > 0 && c.idleBlocks.Front().Value.(*block).idleSince.Before(before) {
		evicted = append(evicted, c.evictOldest())
	}
	return evicted
}

func (c *cache) evictOldest() prefix.Hash {
	b := c.idleBlocks.Remove(c.idleBlocks.Front()).(*block)
	delete(c.blocks, b.hash)
	return b.hash
}
