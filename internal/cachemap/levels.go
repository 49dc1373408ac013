package cachemap

import (
	"container/list"

	"skylarklead/internal/prefix"
	"skylarklead/internal/protocol"
)

// TrackedLevel is a tracked level with its residency. OwnerKey is the rendezvous key of the
// requests that named it.
type TrackedLevel struct {
	OwnerKey uint64
	Resident protocol.Resident
}

// levelState is the state of a tracked level.
type levelState struct {
	level    prefix.Level
	parent   prefix.Hash // 0 for the first level
	ownerKey uint64
	version  uint64 // when its residency last changed; 0 if not since it is tracked
}

// levelTracker tracks the levels named by requests to this endpoint, in LRU order.
type levelTracker struct {
	max     int
	index   map[prefix.Hash]*list.Element
	lru     *list.List // of *levelState, most recently named first
	version uint64
}

func newLevelTracker(maxLevels int) levelTracker {
	return levelTracker{max: maxLevels, index: make(map[prefix.Hash]*list.Element), lru: list.New()}
}

// track adds a level or marks it as recently named. A level that isn't resident yet is reported
// only once it is: its owner, which has just sent the request, must not learn that the blocks are
// missing when they are about to be computed.
func (t *levelTracker) track(ownerKey uint64, l prefix.Level, parent prefix.Hash, resident bool) {
	if element, ok := t.index[l.Hash]; ok {
		t.lru.MoveToFront(element)
		return
	}
	if len(t.index) >= t.max {
		oldest := t.lru.Back()
		delete(t.index, oldest.Value.(*levelState).level.Hash)
		t.lru.Remove(oldest)
	}
	var version uint64
	if resident {
		t.version++
		version = t.version
	}
	t.index[l.Hash] = t.lru.PushFront(&levelState{l, parent, ownerKey, version})
}

// markChanged records that block h was stored or removed.
func (t *levelTracker) markChanged(h prefix.Hash) {
	if element, ok := t.index[h]; ok {
		t.version++
		element.Value.(*levelState).version = t.version
	}
}

func (t *levelTracker) markAllChanged() {
	t.version++
	for element := t.lru.Front(); element != nil; element = element.Next() {
		element.Value.(*levelState).version = t.version
	}
}

// Track tracks the levels of a request that arrived here. ownerKey is its rendezvous key
// (route.OwnerKey).
func (v *View) Track(ownerKey uint64, levels []prefix.Level) {
	var parent prefix.Hash
	for _, l := range levels {
		_, resident := v.blocks[l.Hash]
		v.levels.track(ownerKey, l, parent, resident)
		parent = l.Hash
	}
}

// LevelVersion is the version from which LevelsSince returns later changes.
func (v *View) LevelVersion() uint64 { return v.levels.version }

// LevelsSince returns the tracked levels whose residency has changed after a version, and the
// version for the next call. A level that is not resident has 0 tokens. For version 0 it returns
// all resident levels, for a full report.
func (v *View) LevelsSince(version uint64) (changed []TrackedLevel, next uint64) {
	for element := v.levels.lru.Front(); element != nil; element = element.Next() {
		level := element.Value.(*levelState)
		if level.version <= version {
			continue
		}
		tokens := v.residentTokens(level)
		if version == 0 && tokens == 0 {
			continue // a full report lists only resident levels
		}
		changed = append(changed, TrackedLevel{level.ownerKey, protocol.Resident{Hash: level.level.Hash, Tokens: tokens}})
	}
	return changed, v.levels.version
}

// residentTokens is a level's length if its last block and those of its parents are resident,
// else 0.
func (v *View) residentTokens(level *levelState) int {
	tokens := level.level.Tokens
	// A malformed list of levels could make two levels each other's parents; the bound ends the
	// loop then.
	for range prefix.MaxLevels {
		if _, held := v.blocks[level.level.Hash]; !held {
			return 0
		}
		element, ok := v.levels.index[level.parent]
		if !ok {
			return tokens
		}
		level = element.Value.(*levelState)
	}
	return tokens
}
