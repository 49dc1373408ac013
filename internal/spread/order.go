package spread

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Peer is an entry as the others know it.
type Peer struct {
	ID string
	// FailureDomain is "" where it isn't known.
	FailureDomain string
}

// chain lists whom the entry at a place in the order of all asks, best first: only entries that come before it in an order
// that all compute alike, so that questions never go in a circle.
//
// In a fleet of up to fanIn others all ask the first one. In a larger one the entries of a
// failure domain form a tree of that width under their first, which alone asks elsewhere:
// what is passed on crosses between failure domains once for each, and nobody answers more than
// fanIn entries and the other domains' first ones. Where those above are lost the rest of the
// domain follows in order, then all others.
func chain(ordered []Peer, at, fanIn int) []string {
	self, before := ordered[at], ordered[:at]
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

// inOrder sorts entries by the order that all share.
func inOrder(entries []Peer) []Peer {
	rank := make(map[string]uint64, len(entries))
	for _, p := range entries {
		rank[p.ID] = xxhash.Sum64String(p.ID)
	}
	slices.SortFunc(entries, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(rank[a.ID], rank[b.ID]), cmp.Compare(a.ID, b.ID))
	})
	return entries
}

// ancestors are those above the entry that follows the ones given, in a tree of a width
// over all of them, nearest first.
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

// tiers is how many times a word is passed on at most from the entry that reads the store
// to any other in a fleet of a size, spread evenly over failure domains.
func tiers(entries, domains, fanIn int) int {
	if entries <= fanIn+1 {
		return 1
	}
	times := 1 // from the reader to a domain's first entry
	for at := (entries+domains-1)/domains - 1; at > 0; at = (at - 1) / fanIn {
		times++
	}
	return times
}
