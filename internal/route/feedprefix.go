package route

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// source is where a replica that lacks the prefix can fetch it from: the holder
// that this entry used last, else the replica that comes first, of the others on
// the same weights, in the order in which all entries look for its home. A guess
// that fails costs a millisecond; reading the prefix anew costs fifty.
func (f *Feed) source(now time.Duration, q *FeedQuery, chosen string, candidates []FeedCandidate) (source string, known bool) {
	version := versionOf(chosen, candidates)
	key := PrefixHash(q.Prefix)
	holders, _ := f.held.Peek(key)
	latest := time.Duration(-1)
	first := ranked{}
	for i := range candidates {
		c := &candidates[i]
		if c.ID == chosen || c.Version != version {
			continue
		}
		if h, ok := holders[c.ID]; ok && h.read && now-h.at <= f.params.KnownFor && h.at > latest {
			latest, source = h.at, c.ID
		}
		if r := (ranked{c.ID, weight(key, c.ID)}); first.id == "" || compareRanked(r, first) < 0 {
			first = r
		}
	}
	if source != "" {
		return source, true
	}
	return first.id, false
}

func versionOf(id string, candidates []FeedCandidate) uint64 {
	for i := range candidates {
		if candidates[i].ID == id {
			return candidates[i].Version
		}
	}
	return 0
}

// holds reports whether a replica is believed to hold a query's prefix.
func (f *Feed) holds(now time.Duration, q *FeedQuery, id string) bool {
	if q.Prefix == "" {
		return false
	}
	holders, ok := f.held.Peek(PrefixHash(q.Prefix))
	if !ok {
		return false
	}
	h, ok := holders[id]
	return ok && now-h.at <= f.params.KnownFor
}

// home is the replica that all entries send a prefix to when nothing else is
// known.
func (f *Feed) home(q *FeedQuery, candidates []FeedCandidate) string {
	if q.Prefix == "" {
		return ""
	}
	key := PrefixHash(q.Prefix)
	best := ranked{}
	for i := range candidates {
		r := ranked{candidates[i].ID, weight(key, candidates[i].ID)}
		if best.id == "" || compareRanked(r, best) < 0 {
			best = r
		}
	}
	return best.id
}

// missing is how many tokens of the shared prefix a replica is expected to read
// anew.
func (f *Feed) missing(now time.Duration, q *FeedQuery, id string, home bool) (int, string) {
	if f.holds(now, q, id) {
		return 0, feedHeld
	}
	if home {
		return int(f.params.HomeDoubt * float64(q.SharedTokens)), feedHome
	}
	return q.SharedTokens, feedSpill
}

// keep reports whether a prefix, under a salt, is to be sent to the store of kept
// cache, and notes that it is. With it goes the request's own part, which nobody
// asks for again: sent each time, those would push all shared parts out.
func (f *Feed) keep(now time.Duration, prefix, salt string) bool {
	key := xxhash.Sum64String(salt + "|" + prefix)
	if at, ok := f.kept.Get(key); ok && now-at < f.params.KeptFor {
		return false
	}
	f.kept.Add(key, now)
	f.told = append(f.told, toldPlacement{at: now, Placement: Placement{Kept: key}})
	return true
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
		use.Store = KeptAt(q.Prefix, stores)
	}
	if use.Store != "" && f.keep(now, q.Prefix, salt) {
		use.KeepIn = use.Store
	}
	if choice.Source != "" && (choice.SourceKnown || use.Store == "") {
		use.Holder, use.Store = choice.Source, ""
	}
	return use
}

// KeptAt is which of the stores of kept cache has a prefix, "" if there is none. Each
// prefix is in one of them, the same one for all entries: together they hold as many
// as they have room for, where copies in each would push others out.
func KeptAt(prefix string, stores []string) string { return First(PrefixHash(prefix), stores) }

// Placement is what an entry tells its peers of a request: where a prefix went, or
// that one was sent to the store of kept cache. Hashes stand for names.
type Placement struct {
	Prefix  uint64
	Replica string
	// Read is set once the replica has read the prefix.
	Read bool
	Kept uint64
}

type toldPlacement struct {
	at time.Duration
	Placement
}

// Placements returns this entry's placements since a time, and forgets earlier ones.
func (f *Feed) Placements(since time.Duration) []Placement {
	kept := f.told[:0]
	var list []Placement
	for _, t := range f.told {
		if t.at >= since {
			kept = append(kept, t)
			list = append(list, t.Placement)
		}
	}
	f.told = kept
	return list
}

// HeardPlacements takes a peer's placements.
func (f *Feed) HeardPlacements(list []Placement, now time.Duration) {
	for _, p := range list {
		if p.Kept != 0 {
			f.kept.Add(p.Kept, now)
		}
		if p.Replica != "" {
			f.hold(p.Prefix, p.Replica, p.Read, now)
		}
	}
}

// holding is a replica that a prefix was sent to.
type holding struct {
	at time.Duration
	// read is set once the replica has read it, so that others can fetch it there.
	read bool
}

func (f *Feed) hold(prefix uint64, replica string, read bool, now time.Duration) {
	holders, ok := f.held.Get(prefix)
	if !ok {
		holders = make(map[string]holding, 1)
		f.held.Add(prefix, holders)
	}
	holders[replica] = holding{at: now, read: read || holders[replica].read}
}

// holdOwn notes what this entry sent, and tells its peers.
func (f *Feed) holdOwn(q *FeedQuery, replica string, read bool, now time.Duration) {
	if q.Prefix == "" {
		return
	}
	key := PrefixHash(q.Prefix)
	f.hold(key, replica, read, now)
	f.told = append(f.told, toldPlacement{at: now, Placement: Placement{Prefix: key, Replica: replica, Read: read}})
}

// Emptied forgets which prefixes a replica held: it was restarted or has loaded
// other weights.
func (f *Feed) Emptied(id string) {
	for _, key := range f.held.Keys() {
		if holders, ok := f.held.Peek(key); ok {
			delete(holders, id)
		}
	}
}

// PrefixHash is the hash by which entries tell each other of a prefix.
func PrefixHash(prefix string) uint64 { return xxhash.Sum64String(prefix) }
