package quota

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"skylarklead/internal/fleet"
	"skylarklead/internal/rendezvous"
)

// shares is how a quota is divided among the listed entries.
type shares struct {
	// owners hold the undivided part of the quota and are the entries to borrow from.
	owners []string
	// evenShare is every entry's share of the quota, 0 to 1, and ownerShare what each owner
	// has in addition.
	evenShare, ownerShare float64
}

// computeShares computes the shares of a quota with a capacity over all entries. All entries
// with the same list compute the same shares, and the shares of all entries sum to at most 1.
func computeShares(organisation string, q *fleet.Quota, capacity float64, entries []string) shares {
	n := len(entries)
	if n == 0 {
		return shares{}
	}
	var s shares
	if evenFraction*q.Rate/float64(n) >= minEvenRate*largeRequest(q) {
		s.evenShare = evenFraction / float64(n)
	}
	count := max(minOwners, int(math.Ceil(q.Rate/(ratePerOwner*largeRequest(q)))))
	// An owner that can't accumulate a large request would be of no use to one.
	count = min(n, count, max(1, int(capacity/largeRequest(q))))
	// A new entry replaces at most one owner.
	s.owners = rendezvous.Order(xxhash.Sum64String(organisation), entries)[:count]
	s.ownerShare = (1 - s.evenShare*float64(n)) / float64(count)
	return s
}

// of returns an entry's share, 0 to 1.
func (s *shares) of(entry string) float64 {
	if slices.Contains(s.owners, entry) {
		return s.evenShare + s.ownerShare
	}
	return s.evenShare
}
