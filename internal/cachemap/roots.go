package cachemap

import (
	"container/list"

	"skylarklead/internal/prefix"
	"skylarklead/internal/protocol"
)

// TrackedLevel is a tracked level with its residency. Owner is the rendezvous key of the
// requests that named it.
type TrackedLevel struct {
	OwnerKey uint64
	Resident protocol.Resident
}

// root is a tracked level.
type root struct {
	level   prefix.Level
	parent  prefix.Hash // 0 if it is the first
	owner   uint64
	version uint64 // when its residency last changed
}

// roots are the levels that requests here have named, the least recently named
// forgotten first.
type roots struct {
	max     int
	index   map[prefix.Hash]*list.Element
	recent  *list.List // of *root, newest first
	version uint64
}

func newRoots(most int) roots {
	return roots{max: most, index: make(map[prefix.Hash]*list.Element), recent: list.New()}
}

// trackOne remembers a level. One that isn't resident yet is only reported once
// it is: its owner, who has just sent the request, must not be told that the
// blocks are missing when they are about to be computed.
func (r *roots) trackOne(owner uint64, l prefix.Level, parent prefix.Hash, resident bool) {
	if at, ok := r.index[l.Hash]; ok {
		r.recent.MoveToFront(at)
		return
	}
	if len(r.index) >= r.max {
		last := r.recent.Back()
		delete(r.index, last.Value.(*root).level.Hash)
		r.recent.Remove(last)
	}
	var version uint64
	if resident {
		r.version++
		version = r.version
	}
	r.index[l.Hash] = r.recent.PushFront(&root{l, parent, owner, version})
}

// changed notes that the block h came or went.
func (r *roots) changed(h prefix.Hash) {
	if at, ok := r.index[h]; ok {
		r.version++
		at.Value.(*root).version = r.version
	}
}

func (r *roots) allChanged() {
	r.version++
	for at := r.recent.Front(); at != nil; at = at.Next() {
		at.Value.(*root).version = r.version
	}
}

// Track remembers the levels of a request that came here. Owner is its
// rendezvous key (route.OwnerKey).
func (p *View) Track(owner uint64, levels []prefix.Level) {
	var parent prefix.Hash
	for _, l := range levels {
		_, resident := p.blocks[l.Hash]
		p.roots.trackOne(owner, l, parent, resident)
		parent = l.Hash
	}
}

// LevelVersion is the version to ask RootsSince for changes from now on.
func (p *View) LevelVersion() uint64 { return p.roots.version }

// LevelsSince returns the tracked levels whose residency has changed after a
// version, and the version to ask from next time. A level that is not resident
// has 0 tokens. From version 0 it is all that is resident, for a full report.
func (p *View) LevelsSince(version uint64) (changed []TrackedLevel, next uint64) {
	for at := p.roots.recent.Front(); at != nil; at = at.Next() {
		r := at.Value.(*root)
		if r.version <= version {
			continue
		}
		tokens := p.rootTokens(r)
		if version == 0 && tokens == 0 {
			continue // a full report lists only what is there
		}
		changed = append(changed, TrackedLevel{r.owner, protocol.Resident{Hash: r.level.Hash, Tokens: tokens}})
	}
	return changed, p.roots.version
}

// rootTokens is a level's length if its last block and those of the levels that
// it is nested in are resident, else 0.
func (p *View) rootTokens(r *root) int {
	tokens := r.level.Tokens
	// A malformed list of levels could name two as each other's parents; the
	// bound keeps the walk finite then.
	for range prefix.MaxLevels {
		if _, held := p.blocks[r.level.Hash]; !held {
			return 0
		}
		at, ok := p.roots.index[r.parent]
		if !ok {
			return tokens
		}
		r = at.Value.(*root)
	}
	return tokens
}
