package engine

import (
	"encoding/json"
	"time"

	api "skylarklead/internal/engine"
	"skylarklead/internal/prefix"
)

// exportedBlock stands for the content of one block in an export.
type exportedBlock struct {
	Hash   uint64 `json:"hash"`
	Parent uint64 `json:"parent"`
	Origin origin `json:"origin"`
}

// export returns the blocks asked for that are resident.
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
		panic(err) // the type has nothing that can't be encoded
	}
	kv.Blob = blob
	return kv
}

// transferTime is how long an import of so many blocks takes.
func (e *Engine) transferTime(blocks int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	seconds := float64(blocks*prefix.BlockTokens) / e.settings.TransferTokensPerSecond
	return time.Duration(seconds * float64(time.Second))
}

// importKV stores exported blocks as far as they join on to the salt's root or
// to a resident block, and there is room.
func (e *Engine) importKV(kv api.KV, blocks []exportedBlock, now time.Time) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if kv.Weights != e.orders.state.Version {
		return 0, conflict("blocks are of weights %q, the engine has %q", kv.Weights, e.orders.state.Version)
	}
	root := prefix.Salt{Organisation: kv.CacheSalt, Model: e.orders.state.Model, Weights: kv.Weights}.Root()
	held := newHolding(e.cache)
	var stored []prefix.Hash
	for _, b := range blocks {
		hash, parent := prefix.Hash(b.Hash), prefix.Hash(b.Parent)
		if parent != root && !held.lineage(parent) || !e.cache.reserve(1) {
			break
		}
		if held.store(hash, parent, b.Origin) {
			stored = append(stored, hash)
		}
		e.removed(e.cache.trim())
	}
	e.cache.release(held.chain, now)
	e.stored(stored, false)
	return held.imported, nil
}

// holding is the blocks that an import has in use, parents first.
type holding struct {
	cache    *cache
	chain    []prefix.Hash
	has      map[prefix.Hash]bool
	imported int
}

func newHolding(c *cache) *holding { return &holding{cache: c, has: map[prefix.Hash]bool{}} }

// lineage puts a resident block and its ancestors in use, lest room for their
// descendants be made by evicting them. It reports whether the block is there.
func (h *holding) lineage(hash prefix.Hash) bool {
	if h.has[hash] {
		return true
	}
	b := h.cache.blocks[hash]
	if b == nil {
		return false
	}
	h.lineage(b.parent)
	h.cache.use(b)
	h.add(hash)
	return true
}

func (h *holding) store(hash, parent prefix.Hash, from origin) bool {
	h.imported++
	isNew := h.cache.store(hash, parent, from)
	h.add(hash)
	return isNew
}

func (h *holding) add(hash prefix.Hash) {
	h.chain = append(h.chain, hash)
	h.has[hash] = true
}
