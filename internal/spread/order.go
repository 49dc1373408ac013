package spread

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Peer is an entry as the others know it.
type Peer struct {
	ID string
	// FailureDomain is "" if it isn't known.
	FailureDomain string
}

// preferenceOrder returns the entries that the one at an index of the shared order may query,
// most preferred first. They are predecessors in that order only, so queries never form a cycle.
//
// In a fleet of up to fanIn entries besides the first, all query the first one. In a larger
// fleet the entries of a failure domain form a tree of width fanIn below their first entry,
// which alone queries other domains: each update crosses into a domain once, and an
// entry answers at most fanIn entries and the first entries of the other domains. The
// ancestors in the tree are followed by the rest of the domain and then by all other entries,
// for when those above are lost.
func preferenceOrder(ordered []Peer, index, fanIn int) []string {
	self, before := ordered[index], ordered[:index]
	if len(ordered) <= fanIn+1 {
		return ids(before)
	}
	var own, others []Peer
	for _, p := range before {
		if p.FailureDomain == self.FailureDomain {
			own = append(own, p)
		} else {
			others = append(others, p)
		}
	}
	above := ancestors(own, fanIn)
	list := slices.Clone(above)
	for _, p := range own {
		if !slices.Contains(above, p) {
			list = append(list, p)
		}
	}
	return ids(append(list, others...))
}

// sharedOrder sorts entries by the order that all entries compute alike.
func sharedOrder(entries []Peer) []Peer {
	rank := make(map[string]uint64, len(entries))
	for _, p := range entries {
		rank[p.ID] = xxhash.Sum64String(p.ID)
	}
	slices.SortFunc(entries, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(rank[a.ID], rank[b.ID]), cmp.Compare(a.ID, b.ID))
	})
	return entries
}

// ancestors returns the ancestors of the entry that follows the given ones in a tree of a
// width over all of them, nearest first.
func ancestors(before []Peer, width int) []Peer {
	var above []Peer
	for at := len(before); at > 0; {
		at = (at - 1) / width
		above = append(above, before[at])
	}
	return above
}

func ids(peers []Peer) []string {
	list := make([]string, len(peers))
	for i, p := range peers {
		list[i] = p.ID
	}
	return list
}

// maxHops is the greatest number of hops of an update from the entry that reads the store to
// any other, in a fleet of a size that is spread evenly over failure domains.
func maxHops(entries, domains, fanIn int) int {
	if entries <= fanIn+1 {
		return 1
	}
	hops := 1 // from the reader of the store to a domain's first entry
	for at := (entries+domains-1)/domains - 1; at > 0; at = (at - 1) / fanIn {
		hops++
	}
	return hops
}
