package route

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarklead/internal/rendezvous"
)

// FeedLevel is one of the nested prefixes of a prompt.
type FeedLevel struct {
	// Key stands for all parts up to the level's end and for whom they may be shared
	// with: model and isolation. The weights' version isn't in it: a replica that loads
	// others holds nothing any more.
	Key uint64
	// Tokens is the length up to the level's end.
	Tokens int
}

// FeedLevels chains the parts of a prompt to levels. scope is what they may be shared in.
func FeedLevels(scope string, ids []string, tokens []int) []FeedLevel {
	if len(ids) == 0 {
		return nil
	}
	levels := make([]FeedLevel, len(ids))
	d := xxhash.New()
	_, _ = d.WriteString(scope) // a digest takes all
	total := 0
	for i, id := range ids {
		_, _ = d.WriteString("\x00" + id)
		total += tokens[i]
		levels[i] = FeedLevel{Key: d.Sum64(), Tokens: total}
	}
	return levels
}

// prefixKey is the key of the longest level.
func (q *FeedQuery) prefixKey() uint64 { return q.Levels[len(q.Levels)-1].Key }

// source is another replica to fetch shared parts from: the one on the same weights
// that is known to have read the longest level. Where none is known it is the one that comes first in the order in which all
// entries look for the prefix's home, a guess. One that fails costs a millisecond;
// reading the prefix anew costs fifty.
//
// It is named for a replica that is believed to hold the prefix, too: a cache may have
// dropped it, which nobody hears of in time.
func (f *Feed) source(q *FeedQuery, chosen int, candidates []FeedCandidate) (source string, tokens int) {
	best, first := -1, -1
	for i := range candidates {
		v := &f.views[i]
		if i == chosen || candidates[i].Version != candidates[chosen].Version {
			continue
		}
		if v.read > 0 && (best < 0 || v.read > f.views[best].read) {
			best = i
		}
		if first < 0 || v.weight > f.views[first].weight {
			first = i
		}
	}
	switch {
	case best >= 0:
		return candidates[best].ID, f.views[best].read
	case first >= 0:
		return candidates[first].ID, 0
	}
	return "", 0
}

// sourceRoom is the part of a cache's room after which a level isn't relied on as a
// source any more. What a replica took in isn't known to the token; one that turns out to
// lack a level costs its reading, a store in its place only a fetch.
const sourceRoom = 0.5

// held is how many shared tokens a replica is believed to hold, and how many of them it
// has read already and can send: a level counts only with all those before it.
func (f *Feed) held(now time.Duration, q *FeedQuery, holders []levelHolders, key uint64, room float64) (held, read int) {
	allRead := true
	for i, at := range holders {
		h, ok := at[key]
		if !ok || !f.resident.stays(now, key, h, room) {
			break
		}
		held = q.Levels[i].Tokens
		sure := h.read && f.resident.stays(now, key, h, sourceRoom*room)
		if allRead = allRead && sure; allRead {
			read = held
		}
	}
	return held, read
}

// room is how much of a replica's memory running requests leave to cached parts, in
// tokens. Unknown memory is taken for unbounded: then time alone decides.
func (f *Feed) room(c *FeedCandidate, load Load) float64 {
	if c.MemoryTokens == 0 {
		return math.MaxFloat64
	}
	return float64(c.MemoryTokens) - float64(load.Running)*f.promptTokens
}

// home is the index of the replica that all entries send a prefix to when nothing else
// is known, -1 for none.
func (f *Feed) home(q *FeedQuery, candidates []FeedCandidate) int {
	if len(q.Levels) == 0 {
		return -1
	}
	best := -1
	for i := range candidates {
		if best < 0 || f.views[i].weight > f.views[best].weight {
			best = i
		}
	}
	return best
}

// missing is how many tokens of the shared prefix a replica is expected to read
// anew.
func (f *Feed) missing(q *FeedQuery, held int, home bool) (int, string) {
	missed := q.SharedTokens - held
	switch {
	case missed <= 0:
		return 0, feedHeld
	case home:
		return int(f.params.HomeDoubt * float64(missed)), feedHome
	}
	return missed, feedSpill
}

// keep reports whether a prefix, under a salt, is to be sent to the store of kept
// cache, and notes that it is. With it goes the request's own part, which nobody
// asks for again: sent each time, those would push all shared parts out.
func (f *Feed) keep(now time.Duration, prefix uint64, salt string) bool {
	key := f.keptKey(prefix, salt)
	if at, ok := f.kept.Get(key); ok && now-at < f.params.KeptFor {
		return false
	}
	f.kept.Add(key, now)
	f.tell(now, Placement{Kept: key})
	return true
}

// keptKey stands for a prefix under a salt.
func (f *Feed) keptKey(prefix uint64, salt string) uint64 {
	return prefix ^ xxhash.Sum64String(salt)
}

const (
	// fetchedTokens is the shared length from which on a prefix is fetched: below it
	// reading anew takes less than looking for it.
	fetchedTokens = 64
	// keptTokens is the length from which on a prefix is kept in a store and fetched
	// from there. An engine reads shorter ones in 10 ms; a fetch from a store waits
	// behind those of long prefixes, at the ninetieth percentile for half a second,
	// and each save pushes long ones out.
	keptTokens = 512
)

// CacheUse is what a replica is told about the shared parts of a prompt.
type CacheUse struct {
	// Holder is the replica to fetch from what is missing, Store the store of kept
	// cache; at most one of them is set.
	Holder, Store string
	// KeepIn is the store to send the parts to once they are read, "" for none.
	KeepIn string
}

// Cache decides where a replica that was picked fetches shared parts that it turns
// out to lack, and whether they are kept. salt sets them apart by weights and walls.
func (f *Feed) Cache(now time.Duration, q *FeedQuery, choice *FeedChoice, salt string, stores []string) CacheUse {
	var use CacheUse
	if q.SharedTokens < fetchedTokens {
		return use
	}
	if q.SharedTokens >= keptTokens {
		use.Store = KeptAt(q.prefixKey(), stores)
	}
	if use.Store != "" && f.keep(now, q.prefixKey(), salt) {
		use.KeepIn = use.Store
	}
	if f.fetchesFromReplica(q, choice, use.Store) {
		use.Holder, use.Store = choice.Source, ""
	}
	if use.Store != "" && !f.stores.bears(use.Store, q.MaxLoad, now, f.rng) {
		use.Store = ""
		if choice.SourceTokens > 0 {
			use.Holder = choice.Source
		}
	}
	choice.Store = use.Store
	return use
}

// fetchesFromReplica reports whether a replica is the better source than a store. One
// that has read all is: it sends at once, where a store sends one prefix after the
// other. One that has read only a part is not, even where nobody is known to have sent the
// prefix to the store.
func (f *Feed) fetchesFromReplica(q *FeedQuery, choice *FeedChoice, store string) bool {
	switch {
	case choice.Source == "":
		return false
	case choice.SourceTokens >= q.SharedTokens:
		return true
	case store != "":
		return false
	}
	return choice.SourceTokens > 0 || choice.Missed > 0
}

// KeptAt is which of the stores of kept cache has a prefix, "" if there is none. Each
// prefix is in one of them, the same one for all entries: together they hold as many
// as they have room for, where copies in each would push others out.
func KeptAt(prefix uint64, stores []string) string { return rendezvous.First(prefix, stores) }

// Placement is what an entry tells its peers of a request: which levels went where, or
// that a prefix was sent to the store of kept cache. Keys stand for names.
type Placement struct {
	Levels  []uint64
	Replica uint64
	// Read is set once the replica has read them.
	Read bool
	Kept uint64
}

// toldPlacement is a placement and how often it was told.
type toldPlacement struct {
	at    time.Duration
	times int
	Placement
}

// Placements returns at most so many of this entry's placements for its peers: those that
// were told least, the latest first. Each is told so often, unless it is from before a time.
// With a hundred peers a word comes twice a second: one that has room for a part of what was
// placed since the last one must have what the peers don't know.
func (f *Feed) Placements(since time.Duration, times, most int) []Placement {
	f.told = slices.DeleteFunc(f.told, func(t toldPlacement) bool { return t.at < since || t.times >= times })
	slices.SortStableFunc(f.told, func(a, b toldPlacement) int {
		return cmp.Or(cmp.Compare(a.times, b.times), cmp.Compare(b.at, a.at))
	})
	list := make([]Placement, min(most, len(f.told)))
	for i := range list {
		list[i] = f.told[i].Placement
		f.told[i].times++
	}
	return list
}

// tell has a placement told. That a request was sent isn't told any more once it was read.
func (f *Feed) tell(at time.Duration, p Placement) {
	if p.Read {
		f.told = slices.DeleteFunc(f.told, func(t toldPlacement) bool {
			return !t.Read && t.Replica == p.Replica && slices.Equal(t.Levels, p.Levels)
		})
	}
	f.told = append(f.told, toldPlacement{at: at, Placement: p})
}

// HeardPlacements takes a peer's placements.
func (f *Feed) HeardPlacements(list []Placement, now time.Duration) {
	for _, p := range list {
		if p.Kept != 0 {
			f.kept.Add(p.Kept, now)
		}
		for _, level := range p.Levels {
			f.resident.hold(level, p.Replica, p.Read, now)
		}
	}
}

// holdOwn notes what this entry sent, and tells its peers.
func (f *Feed) holdOwn(q *FeedQuery, replica string, read bool, now time.Duration) {
	if len(q.Levels) == 0 {
		return
	}
	p := Placement{Levels: make([]uint64, len(q.Levels)), Replica: ReplicaKey(replica), Read: read}
	for i, level := range q.Levels {
		p.Levels[i] = level.Key
		f.resident.hold(level.Key, p.Replica, read, now)
	}
	f.tell(now, p)
}

// Emptied forgets which levels a replica held: it was restarted or has loaded other
// weights.
func (f *Feed) Emptied(id string, now time.Duration) { f.resident.empty(ReplicaKey(id), now) }
