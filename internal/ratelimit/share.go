package ratelimit

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"skylarklead/internal/rendezvous"
)

// maxSharers keeps an absurdly high rate from overflowing the count of entries.
const maxSharers = 1 << 20

// entryShare is what one entry may send of a replica's rate.
type entryShare struct {
	// rate is in requests a second, depth how many requests may be accumulated.
	rate, depth float64
	// rank is the entry's place in the order that all entries compute alike for the replica,
	// sharers the number of entries, the first in that order, among which the rate is divided.
	rank, sharers int
}

// share returns an entry's share of a replica's rate of whole requests a second. Entries with the
// same list and rate compute shares that sum to the rate.
func (p *Params) share(self, replica string, whole float64, entries []string) entryShare {
	s := entryShare{
		rank:    rendezvous.Rank(xxhash.Sum64String(replica), self, entries),
		sharers: min(len(entries), int(min(whole, maxSharers)+p.Burst)),
	}
	if s.rank >= s.sharers || !slices.Contains(entries, self) {
		return s
	}
	s.rate = whole / float64(s.sharers)
	s.depth = max(1, s.rate*p.BurstPeriod.Seconds())
	return s
}
