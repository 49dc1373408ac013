package route

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// holding is a replica that a level was sent to.
type holding struct {
	at time.Duration
	// read is set once the replica has read it, so that others can fetch it there.
	read bool
	// mark is how many tokens the replica had taken in by then.
	mark float64
}

// levelHolders are the replicas that a level was sent to, by ReplicaKey.
type levelHolders map[uint64]holding

// residents is which levels are believed to be in which replicas' caches, by what was
// sent there. Engines drop what was used least lately once their memory is full, so a
// level stays until the replica has taken in as many tokens as cached parts have room
// for. A time in its place holds for one load only: the same engine keeps a level for
// three seconds when it is busy and for thirty when it is not.
type residents struct {
	knownFor time.Duration
	levels   *lru.Cache[uint64, levelHolders]
	// taken is how many tokens each replica took in, as far as heard.
	taken map[uint64]float64
	// emptied is when each replica last lost all that it held.
	emptied map[uint64]time.Duration
}

func newResidents(known int, knownFor time.Duration) *residents {
	levels, err := lru.New[uint64, levelHolders](known)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &residents{knownFor: knownFor, levels: levels, taken: map[uint64]float64{}, emptied: map[uint64]time.Duration{}}
}

// holders returns the replicas that each level was sent to.
func (r *residents) holders(levels []PrefixLevel) []levelHolders {
	if len(levels) == 0 {
		return nil
	}
	list := make([]levelHolders, len(levels))
	for i := range levels {
		list[i], _ = r.levels.Peek(levels[i].Key)
	}
	return list
}

// stays reports whether a level is believed to be where it was sent still, given the
// room for cached parts there, in tokens.
func (r *residents) stays(now time.Duration, replica uint64, h holding, room float64) bool {
	if now-h.at > r.knownFor {
		return false
	}
	if emptied, ok := r.emptied[replica]; ok && h.at <= emptied {
		return false
	}
	return r.taken[replica]-h.mark < room
}

// took counts tokens that a replica has taken in.
func (r *residents) took(replica uint64, tokens float64) { r.taken[replica] += tokens }

func (r *residents) hold(level, replica uint64, read bool, now time.Duration) {
	holders, ok := r.levels.Get(level)
	if !ok {
		holders = make(levelHolders, 1)
		r.levels.Add(level, holders)
	}
	before := holders[replica]
	emptied, ok := r.emptied[replica]
	read = read || before.read && !(ok && before.at <= emptied)
	holders[replica] = holding{at: now, read: read, mark: r.taken[replica]}
}

func (r *residents) empty(replica uint64, now time.Duration) { r.emptied[replica] = now }

// gone forgets a replica that doesn't come back: what it held is never asked for.
func (r *residents) gone(replica uint64) {
	delete(r.taken, replica)
	delete(r.emptied, replica)
}
