package engine

import (
	"container/list"
	"time"

	"skylarklead/internal/prefix"
)

// origin is where a block's content was computed.
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
	// refs counts the running requests that use the block; those of its
	// ancestors are at least as many.
	refs int
	// idle is the block's place in the cache's idle list, nil while in use.
	idle      *list.Element
	idleSince time.Time
}

// cache is the prefix cache. Blocks not in use stay until their room is needed,
// least recently used first.
//
// Invariant: in the idle list a block stands before its ancestors, since every
// use of a block is one of its ancestors too and release goes from the leaf
// upwards. So the front is always a leaf, and no block outlives its parent.
type cache struct {
	total  int
	blocks map[prefix.Hash]*block
	idle   *list.List
	// reserved counts blocks promised to running requests and not yet stored.
	reserved int
}

func newCache(total int) *cache {
	return &cache{total: total, blocks: map[prefix.Hash]*block{}, idle: list.New()}
}

// match returns how many leading blocks of a chain are resident.
func (c *cache) match(chain []prefix.Hash) int {
	for i, h := range chain {
		if c.blocks[h] == nil {
			return i
		}
	}
	return len(chain)
}

// acquire puts resident blocks in use.
func (c *cache) acquire(chain []prefix.Hash) {
	for _, h := range chain {
		c.use(c.blocks[h])
	}
}

func (c *cache) use(b *block) {
	b.refs++
	if b.idle != nil {
		c.idle.Remove(b.idle)
		b.idle = nil
	}
}

// release ends the use of blocks that were acquired or stored.
func (c *cache) release(chain []prefix.Hash, now time.Time) {
	for i := len(chain) - 1; i >= 0; i-- {
		b := c.blocks[chain[i]]
		if b.refs--; b.refs == 0 {
			b.idle = c.idle.PushBack(b)
			b.idleSince = now
		}
	}
}

// reserve promises n blocks, if there are as many free or idle.
func (c *cache) reserve(n int) bool {
	if c.total-len(c.blocks)-c.reserved+c.idle.Len() < n {
		return false
	}
	c.reserved += n
	return true
}

// store turns a reserved block into a resident one in use, and reports whether
// it is new.
func (c *cache) store(h, parent prefix.Hash, from origin) bool {
	c.reserved--
	if b := c.blocks[h]; b != nil {
		c.use(b)
		return false
	}
	c.blocks[h] = &block{hash: h, parent: parent, origin: from, refs: 1}
	return true
}

// trim evicts until the cache is within its bound, and returns what it evicted.
func (c *cache) trim() []prefix.Hash {
	var gone []prefix.Hash
	for len(c.blocks)+c.reserved > c.total && c.idle.Len() > 0 {
		gone = append(gone, c.evictFront())
	}
	return gone
}

// expire evicts what is idle since before a time, and returns it.
func (c *cache) expire(before time.Time) []prefix.Hash {
	var gone []prefix.Hash
	for c.idle.Len() > 0 && c.idle.Front().Value.(*block).idleSince.Before(before) {
		gone = append(gone, c.evictFront())
	}
	return gone
}

func (c *cache) evictFront() prefix.Hash {
	b := c.idle.Remove(c.idle.Front()).(*block)
	delete(c.blocks, b.hash)
	return b.hash
}
