package route

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarklead/internal/rendezvous"
)

// PrefixLevel is one of the nested prefixes of a prompt.
type PrefixLevel struct {
	// Key stands for all parts up to the level's end and for whom they may be shared
	// with: model and isolation. The weights' version isn't in it: a replica that loads
	// others holds nothing any more.
	Key uint64
	// Tokens is the length up to the level's end.
	Tokens int
}

// PrefixLevels chains the parts of a prompt to levels. scope is what they may be shared in.
func PrefixLevels(scope string, ids []string, tokens []int) []PrefixLevel {
	if len(ids) == 0 {
		return nil
	}
	levels := make([]PrefixLevel, len(ids))
	d := xxhash.New()
	_, _ = d.WriteString(scope) // a digest takes all
	total := 0
	for i, id := range ids {
		_, _ = d.WriteString("\x00" + id)
		total += tokens[i]
		levels[i] = PrefixLevel{Key: d.Sum64(), Tokens: total}
	}
	return levels
}

// prefixKey is the key of the longest level.
func (q *PickQuery) prefixKey() uint64 { return q.Levels[len(q.Levels)-1].Key }

// source is another replica to fetch shared parts from: the one on the same weights
// that is known to have read the longest level. Where none is known it is the one that comes first in the order in which all
// entries look for the prefix's home, a guess. One that fails costs a millisecond;
// reading the prefix anew costs fifty.
//
// It is named for a replica that is believed to hold the prefix, too: a cache may have
// dropped it, which nobody hears of in time.
func (f *Picker) source(q *PickQuery, chosen int, candidates []PickCandidate) (source string, tokens int) {
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
func (f *Picker) held(now time.Duration, q *PickQuery, holders []levelHolders, key uint64, room float64) (held, read int) {
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
func (f *Picker) room(c *PickCandidate, load Load) float64 {
	if c.MemoryTokens == 0 {
		return math.MaxFloat64
	}
	return float64(c.MemoryTokens) - float64(load.Running)*f.promptTokens
}

// home is the index of the replica that all entries send a prefix to when nothing else
// is known, -1 for none.
func (f *Picker) home(q *PickQuery, candidates []PickCandidate) int {
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
func (f *Picker) missing(q *PickQuery, held int, home bool) (int, string) {
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
func (f *Picker) keep(now time.Duration, prefix uint64, salt string) bool {
	key := f.keptKey(prefix, salt)
	if at, ok := f.kept.Get(key); ok && now-at < f.params.KeptFor {
		return false
	}
	f.kept.Add(key, now)
	f.tell(now, Placement{Saved: key})
	return true
}

// keptKey stands for a prefix under a salt.
func (f *Picker) keptKey(prefix uint64, salt string) uint64 {
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

// CachePlan is what a replica is told about the shared parts of a prompt.
type CachePlan struct {
	// Donor is the replica to fetch from what is missing, Store the store of kept
	// cache; at most one of them is set.
	Donor, Store string
	// SaveTo is the store to send the parts to once they are read, "" for none.
	SaveTo string
}

// PlanCache decides where a replica that was picked fetches shared parts that it turns
// out to lack, and whether they are kept. salt sets them apart by weights and walls.
func (f *Picker) PlanCache(now time.Duration, q *PickQuery, choice *PickResult, salt string, stores []string) CachePlan {
	var use CachePlan
	if q.SharedTokens < fetchedTokens {
		return use
	}
	if q.SharedTokens >= keptTokens {
		use.Store = StoreFor(q.prefixKey(), stores)
	}
	if use.Store != "" && f.keep(now, q.prefixKey(), salt) {
		use.SaveTo = use.Store
	}
	if f.fetchesFromReplica(q, choice, use.Store) {
		use.Donor, use.Store = choice.Donor, ""
	}
	if use.Store != "" && !f.stores.bears(use.Store, q.MaxWaitMs, now, f.rng) {
		use.Store = ""
		if choice.DonorTokens > 0 {
			use.Donor = choice.Donor
		}
	}
	choice.Store = use.Store
	return use
}

// fetchesFromReplica reports whether a replica is the better source than a store. One
// that has read all is: it sends at once, where a store sends one prefix after the
// other. One that has read only a part is not, even where nobody is known to have sent the
// prefix to the store.
func (f *Picker) fetchesFromReplica(q *PickQuery, choice *PickResult, store string) bool {
	switch {
	case choice.Donor == "":
		return false
	case choice.DonorTokens >= q.SharedTokens:
		return true
	case store != "":
		return false
	}
	return choice.DonorTokens > 0 || choice.MissingTokens > 0
}

// StoreFor is which of the stores of kept cache has a prefix, "" if there is none. Each
// prefix is in one of them, the same one for all entries: together they hold as many
// as they have room for, where copies in each would push others out.
func StoreFor(prefix uint64, stores []string) string { return rendezvous.First(prefix, stores) }

// Placement is what an entry tells its peers of a request: which levels went where, or
// that a prefix was sent to the store of kept cache. Keys stand for names.
type Placement struct {
	Levels  []uint64
	Replica uint64
	// Prefilled is set once the replica has read them.
	Prefilled bool
	Saved     uint64
}

// toldPlacement is a placement and how often it was told.
type toldPlacement struct {
	at    time.Duration
	times int
	Placement
}

// PlacementsToSend returns at most so many of this entry's placements for its peers: those that
// were told least, the latest first. Each is told so often, unless it is from before a time.
// With a hundred peers a word comes twice a second: one that has room for a part of what was
// placed since the last one must have what the peers don't know.
func (f *Picker) PlacementsToSend(since time.Duration, times, most int) []Placement {
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
func (f *Picker) tell(at time.Duration, p Placement) {
	if p.Prefilled {
		f.told = slices.DeleteFunc(f.told, func(t toldPlacement) bool {
			return !t.Prefilled && t.Replica == p.Replica && slices.Equal(t.Levels, p.Levels)
		})
	}
	f.told = append(f.told, toldPlacement{at: at, Placement: p})
}

// ApplyPlacements takes a peer's placements.
func (f *Picker) ApplyPlacements(list []Placement, now time.Duration) {
	for _, p := range list {
		if p.Saved != 0 {
			f.kept.Add(p.Saved, now)
		}
		for _, level := range p.Levels {
			f.resident.hold(level, p.Replica, p.Prefilled, now)
		}
	}
}

// holdOwn notes what this entry sent, and tells its peers.
func (f *Picker) holdOwn(q *PickQuery, replica string, read bool, now time.Duration) {
	if len(q.Levels) == 0 {
		return
	}
	p := Placement{Levels: make([]uint64, len(q.Levels)), Replica: ReplicaKey(replica), Prefilled: read}
	for i, level := range q.Levels {
		p.Levels[i] = level.Key
		f.resident.hold(level.Key, p.Replica, read, now)
	}
	f.tell(now, p)
}

// CacheCleared forgets which levels a replica held: it was restarted or has loaded other
// weights.
func (f *Picker) CacheCleared(id string, now time.Duration) { f.resident.empty(ReplicaKey(id), now) }
