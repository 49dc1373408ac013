package engine

import (
	"encoding/json"
	"time"

	api "skylarklead/internal/engine"
	"skylarklead/internal/prefix"
)

// exportedBlock represents one block in the blob of an export.
type exportedBlock struct {
	Hash   uint64 `json:"hash"`
	Parent uint64 `json:"parent"`
	Origin origin `json:"origin"`
}

// export returns those of the requested blocks that are resident.
func (e *Engine) export(hashes []prefix.Hash) api.KV {
	e.mu.Lock()
	defer e.mu.Unlock()
	kv := api.KV{Incarnation: e.incarnation, Weights: e.orders.state.Version, Hashes: api.Hashes{}}
	blocks := []exportedBlock{}
	for _, h := range hashes {
		b := e.cache.blocks[h]
		if b == nil {
			continue
		}
		kv.Hashes = append(kv.Hashes, h)
		blocks = append(blocks, exportedBlock{Hash: uint64(h), Parent: uint64(b.parent), Origin: b.origin})
	}
	blob, err := json.Marshal(blocks)
	if err != nil {
		panic(err) // every value of the type can be encoded
	}
	kv.Blob = blob
	return kv
}

// transferTime returns how long an import of this many blocks takes.
func (e *Engine) transferTime(blocks int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	seconds := float64(blocks*prefix.BlockTokens) / e.settings.TransferTokensPerSecond
	return time.Duration(seconds * float64(time.Second))
}

// importKV stores exported blocks in order until one is neither a child of the
// salt's root nor of a resident block, or the cache has no space. It returns how
// many were accepted.
func (e *Engine) importKV(kv api.KV, blocks []exportedBlock, now time.Time) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if kv.Weights != e.orders.state.Version {
		return 0, conflict("blocks are of weights %q, the engine has %q", kv.Weights, e.orders.state.Version)
	}
	root := prefix.Salt{Organisation: kv.CacheSalt, Model: e.orders.state.Model, Weights: kv.Weights}.Root()
	pinned := newPinSet(e.cache)
	var stored []prefix.Hash
	for _, b := range blocks {
		hash, parent := prefix.Hash(b.Hash), prefix.Hash(b.Parent)
		if parent != root && !pinned.pinWithAncestors(parent) || !e.cache.reserve(1) {
			break
		}
		if pinned.storePinned(hash, parent, b.Origin) {
			stored = append(stored, hash)
		}
		e.publishRemoved(e.cache.evictExcess())
	}
	e.cache.release(pinned.chain, now)
	e.publishStored(stored, false)
	return pinned.imported, nil
}

// pinSet holds the blocks that an import keeps in use, parents first.
type pinSet struct {
	cache    *cache
	chain    []prefix.Hash
	members  map[prefix.Hash]bool
	imported int
}

func newPinSet(c *cache) *pinSet { return &pinSet{cache: c, members: map[prefix.Hash]bool{}} }

// pinWithAncestors adds a reference to a resident block and its ancestors, so
// that storing their descendants doesn't evict them. It reports whether the block
// is resident.
func (p *pinSet) pinWithAncestors(hash prefix.Hash) bool {
	if p.members[hash] {
		return true
	}
	b := p.cache.blocks[hash]
	if b == nil {
		return false
	}
	p.pinWithAncestors(b.parent)
	p.cache.addRef(b)
	p.add(hash)
	return true
}

func (p *pinSet) storePinned(hash, parent prefix.Hash, source origin) bool {
	p.imported++
	isNew := p.cache.store(hash, parent, source)
	p.add(hash)
	return isNew
}

func (p *pinSet) add(hash prefix.Hash) {
	p.chain = append(p.chain, hash)
	p.members[hash] = true
}
