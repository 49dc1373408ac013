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
	// Key is a hash of all parts up to the level's end and of the scope in which they may be
	// shared: model and isolation. The weights version isn't included, since a replica that loads
	// other weights loses its cache anyway.
	Key uint64
	// Tokens is the length up to the level's end.
	Tokens int
}

// PrefixLevels chains the parts of a prompt, given by ID and length in tokens, to levels. scope
// is the scope in which they may be shared.
func PrefixLevels(scope string, ids []string, tokens []int) []PrefixLevel {
	if len(ids) == 0 {
		return nil
	}
	levels := make([]PrefixLevel, len(ids))
	d := xxhash.New()
	_, _ = d.WriteString(scope) // Digest.WriteString returns no error
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

// donor returns another replica to fetch the shared parts from: the one on the same weights that
// is known to have prefilled most of them. If none is known, it is a guess: the first in the
// rendezvous order by which all entries find the prefix's owner. A fetch that fails costs a
// millisecond, prefilling the prefix anew costs fifty.
//
// A donor is named even for a replica that is expected to hold the prefix: its cache may have
// evicted it, which entries don't learn in time.
func (p *Picker) donor(q *PickQuery, chosen int, candidates []PickCandidate) (donor string, tokens int) {
	best, owner := -1, -1
	for i := range candidates {
		v := &p.views[i]
		if i == chosen || candidates[i].Version != candidates[chosen].Version {
			continue
		}
		if v.prefilledTokens > 0 && (best < 0 || v.prefilledTokens > p.views[best].prefilledTokens) {
			best = i
		}
		if owner < 0 || v.ownerWeight > p.views[owner].ownerWeight {
			owner = i
		}
	}
	switch {
	case best >= 0:
		return candidates[best].ID, p.views[best].prefilledTokens
	case owner >= 0:
		return candidates[owner].ID, 0
	}
	return "", 0
}

// donorCapacityShare is the fraction of a cache's capacity that may be added after a level before
// the replica is no longer trusted as its donor. The tokens added to a replica aren't known
// exactly. A donor that turns out to lack a level costs its prefill, while a store in its place
// costs only a fetch.
const donorCapacityShare = 0.5

// heldTokens returns how many shared tokens a replica is expected to hold, and how many it has
// prefilled and can send. A level counts only with all those before it. capacity and donorCapacity
// are how many tokens may be added after a level for it to count.
func (p *Picker) heldTokens(now time.Duration, q *PickQuery, holders []levelHolders, key uint64, capacity, donorCapacity float64) (heldTokens, prefilledTokens int) {
	allHeld, allPrefilled := true, true
	for i, replicas := range holders {
		h, ok := replicas[key]
		allHeld = allHeld && ok && p.residency.resident(now, key, h, capacity)
		allPrefilled = allPrefilled && ok && h.prefilled && p.residency.resident(now, key, h, donorCapacity)
		if allHeld {
			heldTokens = q.Levels[i].Tokens
		}
		if allPrefilled {
			prefilledTokens = q.Levels[i].Tokens
		}
	}
	return heldTokens, prefilledTokens
}

// cacheCapacity is the part of a replica's memory that running requests leave to cached prefixes,
// in tokens. Unknown memory counts as unbounded: then only LevelTTL limits a level.
func (p *Picker) cacheCapacity(c *PickCandidate, load Load) float64 {
	if c.MemoryTokens == 0 {
		return math.MaxFloat64
	}
	return float64(c.MemoryTokens) - float64(load.Running)*p.meanRequestTokens
}

// ownerIndex is the index of the prefix's owner, the replica to which all entries send it if
// nothing else is known; -1 without a shared prefix.
func (p *Picker) ownerIndex(q *PickQuery, candidates []PickCandidate) int {
	if len(q.Levels) == 0 {
		return -1
	}
	best := -1
	for i := range candidates {
		if best < 0 || p.views[i].ownerWeight > p.views[best].ownerWeight {
			best = i
		}
	}
	return best
}

// missingTokens is how many tokens of the shared prefix a replica is expected to prefill anew,
// with the reason to report.
func (p *Picker) missingTokens(q *PickQuery, held int, isOwner bool) (int, string) {
	missing := q.SharedTokens - held
	switch {
	case missing <= 0:
		return 0, pickPrefixHeld
	case isOwner:
		return int(p.params.OwnerMissShare * float64(missing)), pickPrefixOwner
	}
	return missing, pickSpill
}

// startSave reports whether a prefix, under a salt, is due to be saved to its KV store, and if so
// records that it is. A save includes the request's own part, which nobody fetches again: on
// every request, those would push all shared parts out of the store.
func (p *Picker) startSave(now time.Duration, prefix uint64, salt string) bool {
	key := p.savedKey(prefix, salt)
	if savedAt, ok := p.saved.Get(key); ok && now-savedAt < p.params.SavedTTL {
		return false
	}
	p.saved.Add(key, now)
	p.enqueuePlacement(now, Placement{Saved: key})
	return true
}

// savedKey identifies a prefix under a salt.
func (p *Picker) savedKey(prefix uint64, salt string) uint64 {
	return prefix ^ xxhash.Sum64String(salt)
}

const (
	// minFetchTokens is the shared length from which a prefix is fetched; below it prefilling
	// takes less time than looking for it.
	minFetchTokens = 64
	// minSaveTokens is the length from which a prefix is saved to a KV store and fetched from
	// there. An engine prefills a shorter one in 10 ms, while a fetch from a store queues behind
	// those of long prefixes, for half a second at the 90th percentile, and each save pushes long
	// ones out.
	minSaveTokens = 512
)

// CachePlan tells a replica where to fetch the shared parts of a prompt that it lacks and where
// to save them.
type CachePlan struct {
	// Donor is the replica to fetch from, Store the KV store; at most one of them is set.
	Donor, Store string
	// SaveTo is the KV store to save the parts to once they are prefilled, "" for none.
	SaveTo string
}

// PlanCache decides where the picked replica fetches shared parts that it turns out to lack, and
// whether they are saved. salt separates them by weights and isolation.
func (p *Picker) PlanCache(now time.Duration, q *PickQuery, choice *PickResult, salt string, stores []string) CachePlan {
	var plan CachePlan
	if q.SharedTokens < minFetchTokens {
		return plan
	}
	if q.SharedTokens >= minSaveTokens {
		plan.Store = StoreFor(q.prefixKey(), stores)
	}
	if plan.Store != "" && p.startSave(now, q.prefixKey(), salt) {
		plan.SaveTo = plan.Store
	}
	if p.prefersDonor(q, choice, plan.Store) {
		plan.Donor, plan.Store = choice.Donor, ""
	}
	if plan.Store != "" && !p.stores.allowFetch(plan.Store, q.MaxWaitMs, now, p.rng) {
		plan.Store = ""
		if choice.DonorTokens > 0 {
			plan.Donor = choice.Donor
		}
	}
	choice.Store = plan.Store
	return plan
}

// prefersDonor reports whether a replica is a better source than a KV store. One that has
// prefilled all shared parts is: it sends at once, where a store sends one prefix after another.
// One that has only some of them is not, even if the prefix isn't known to have been saved to the
// store.
func (p *Picker) prefersDonor(q *PickQuery, choice *PickResult, store string) bool {
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

// StoreFor returns the KV store that has a prefix, "" if there are no stores. Each prefix is in
// one store, the same for all entries, so that the stores' capacities add up; with copies in
// each, prefixes would push one another out.
func StoreFor(prefix uint64, stores []string) string { return rendezvous.First(prefix, stores) }

// Placement is what an entry sends its peers about a request: which levels were sent to which
// replica, or that a prefix was saved to its KV store. Names are sent as hashes.
type Placement struct {
	Levels  []uint64
	Replica uint64
	// Prefilled is set once the replica has computed the levels.
	Prefilled bool
	// Saved is the savedKey of a prefix that was saved to its KV store, 0 for none.
	Saved uint64
}

// outgoingPlacement is a placement with the number of times it was sent.
type outgoingPlacement struct {
	at        time.Duration
	sendCount int
	Placement
}

// PlacementsToSend returns at most limit of this entry's placements for its peers: those sent the
// fewest times first, among them the latest first. Each is sent maxSends times, unless it is
// older than since. With a hundred peers a message goes out only twice a second: if it has room
// for only a part of the placements since the last one, it must contain those that the peers
// don't know.
func (p *Picker) PlacementsToSend(since time.Duration, maxSends, limit int) []Placement {
	p.outbox = slices.DeleteFunc(p.outbox, func(queued outgoingPlacement) bool { return queued.at < since || queued.sendCount >= maxSends })
	slices.SortStableFunc(p.outbox, func(a, b outgoingPlacement) int {
		return cmp.Or(cmp.Compare(a.sendCount, b.sendCount), cmp.Compare(b.at, a.at))
	})
	list := make([]Placement, min(limit, len(p.outbox)))
	for i := range list {
		list[i] = p.outbox[i].Placement
		p.outbox[i].sendCount++
	}
	return list
}

// enqueuePlacement queues a placement for the peers. One that says that the levels were prefilled
// replaces the one that says that they were sent.
func (p *Picker) enqueuePlacement(at time.Duration, placement Placement) {
	if placement.Prefilled {
		p.outbox = slices.DeleteFunc(p.outbox, func(queued outgoingPlacement) bool {
			return !queued.Prefilled && queued.Replica == placement.Replica && slices.Equal(queued.Levels, placement.Levels)
		})
	}
	p.outbox = append(p.outbox, outgoingPlacement{at: at, Placement: placement})
}

// ApplyPlacements records a peer's placements.
func (p *Picker) ApplyPlacements(list []Placement, now time.Duration) {
	for _, placement := range list {
		if placement.Saved != 0 {
			p.saved.Add(placement.Saved, now)
		}
		for _, level := range placement.Levels {
			p.residency.record(level, placement.Replica, placement.Prefilled, now)
		}
	}
}

// recordPlacement records where this entry sent the levels of q and queues that for its peers.
func (p *Picker) recordPlacement(q *PickQuery, replica string, prefilled bool, now time.Duration) {
	if len(q.Levels) == 0 {
		return
	}
	placement := Placement{Levels: make([]uint64, len(q.Levels)), Replica: ReplicaKey(replica), Prefilled: prefilled}
	for i, level := range q.Levels {
		placement.Levels[i] = level.Key
		p.residency.record(level.Key, placement.Replica, prefilled, now)
	}
	p.enqueuePlacement(now, placement)
}

// CacheCleared records that a replica lost its cache: it was restarted or has loaded other
// weights.
func (p *Picker) CacheCleared(id string, now time.Duration) { p.residency.clear(ReplicaKey(id), now) }
