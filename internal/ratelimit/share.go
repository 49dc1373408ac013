package ratelimit

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"skylarklead/internal/rendezvous"
)

// share is an entry's part of a replica's rate.
type share struct {
	// rate is in requests a second, depth how many may be saved up; both are 0 for an entry
	// without a part.
	rate, depth float64
	// among is how many entries have a part.
	among int
}

// divide returns an entry's share of a rate. Entries with the same list and rate compute shares
// whose rates sum to rate.
func (p *Params) divide(self, replica string, rate float64, entries []string) share {
	if len(entries) == 0 {
		return share{}
	}
	among := min(len(entries), int(min(rate, maxSharers)+p.Burst))
	s := share{among: among}
	if among < len(entries) {
		sharers := rendezvous.Order(xxhash.Sum64String(replica), entries)[:among]
		if !slices.Contains(sharers, self) {
			return s
		}
	} else if !slices.Contains(entries, self) {
		return s
	}
	s.rate = rate / float64(among)
	s.depth = max(1, s.rate*p.SavedFor.Seconds())
	return s
}

// maxSharers keeps an absurd rate from overflowing a count of entries.
const maxSharers = 1 << 20
