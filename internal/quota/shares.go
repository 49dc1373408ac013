package quota

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"skylarklead/internal/fleet"
	"skylarklead/internal/rendezvous"
)

// shares is how a limit is divided among the entries listed.
type shares struct {
	// homes are the entries that hold the undivided part, and the ones to borrow from.
	homes []string
	// even and home are the parts of the limit, 0 to 1, of every entry and of each home
	// beside.
	even, home float64
}

// sharesOf computes the shares of a limit of which at most units may be saved up. All entries
// with the same list compute the same, and the parts of all entries sum to at most 1.
func sharesOf(organisation string, q *fleet.Quota, most float64, entries []string) shares {
	n := len(entries)
	if n == 0 {
		return shares{}
	}
	var s shares
	if dividedPart*q.Rate/float64(n) >= leastDivided*large(q) {
		s.even = dividedPart / float64(n)
	}
	count := max(leastHomes, int(math.Ceil(q.Rate/(perHome*large(q)))))
	// A home that can't save up a large request would be of no use to it.
	count = min(n, count, max(1, int(most/large(q))))
	// One more entry takes the place of one home at most.
	s.homes = rendezvous.Order(xxhash.Sum64String(organisation), entries)[:count]
	s.home = (1 - s.even*float64(n)) / float64(count)
	return s
}

// of is an entry's part, 0 to 1.
func (s *shares) of(entry string) float64 {
	if slices.Contains(s.homes, entry) {
		return s.even + s.home
	}
	return s.even
}
