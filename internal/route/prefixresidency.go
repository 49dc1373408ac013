package route

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// placementRecord records that a level was sent to a replica.
type placementRecord struct {
	recordedAt time.Duration
	// prefilled is set once the replica has computed the level, so that others can fetch it
	// there.
	prefilled bool
	// addedTokens is the replica's total of added tokens at that time.
	addedTokens float64
}

// levelHolders are the replicas that a level was sent to, by ReplicaKey.
type levelHolders map[uint64]placementRecord

// prefixResidency estimates which levels are in which replicas' caches, from what was sent there.
// Engines evict the least recently used blocks once their memory is full, so a level counts as
// resident until as many tokens have been added to the replica as its cache has room for. A time
// limit instead would fit one load only: the same engine keeps a level for three seconds when
// busy and for thirty when not.
type prefixResidency struct {
	ttl    time.Duration
	levels *lru.Cache[uint64, levelHolders]
	// addedTokens is the known total of tokens added to each replica's cache.
	addedTokens map[uint64]float64
	// clearedAt is when each replica last lost its cache.
	clearedAt map[uint64]time.Duration
}

func newPrefixResidency(known int, knownFor time.Duration) *prefixResidency {
	levels, err := lru.New[uint64, levelHolders](known)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &prefixResidency{ttl: knownFor, levels: levels, addedTokens: map[uint64]float64{}, clearedAt: map[uint64]time.Duration{}}
}

// holders returns, for each level, the replicas that it was sent to.
func (r *prefixResidency) holders(levels []PrefixLevel) []levelHolders {
	if len(levels) == 0 {
		return nil
	}
	list := make([]levelHolders, len(levels))
	for i := range levels {
		list[i], _ = r.levels.Peek(levels[i].Key)
	}
	return list
}

// resident reports whether a level sent to a replica is expected to be still in its cache.
// capacity is the number of tokens that cached prefixes may take there.
func (r *prefixResidency) resident(now time.Duration, replica uint64, placed placementRecord, capacity float64) bool {
	if now-placed.recordedAt > r.ttl {
		return false
	}
	if cleared, ok := r.clearedAt[replica]; ok && placed.recordedAt <= cleared {
		return false
	}
	return r.addedTokens[replica]-placed.addedTokens < capacity
}

// addTokens counts tokens added to a replica's cache.
func (r *prefixResidency) addTokens(replica uint64, tokens float64) { r.addedTokens[replica] += tokens }

func (r *prefixResidency) record(level, replica uint64, prefilled bool, now time.Duration) {
	replicas, ok := r.levels.Get(level)
	if !ok {
		replicas = make(levelHolders, 1)
		r.levels.Add(level, replicas)
	}
	previous := replicas[replica]
	cleared, ok := r.clearedAt[replica]
	prefilled = prefilled || previous.prefilled && !(ok && previous.recordedAt <= cleared)
	replicas[replica] = placementRecord{recordedAt: now, prefilled: prefilled, addedTokens: r.addedTokens[replica]}
}

func (r *prefixResidency) clear(replica uint64, now time.Duration) { r.clearedAt[replica] = now }

// removeReplica drops the state of a replica that will not return. Its placement records can
// stay, since nobody asks for that replica again.
func (r *prefixResidency) removeReplica(replica uint64) {
	delete(r.addedTokens, replica)
	delete(r.clearedAt, replica)
}
