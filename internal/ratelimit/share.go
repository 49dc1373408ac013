package ratelimit

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"skylarklead/internal/rendezvous"
)

// maxSharers keeps an absurdly high rate from overflowing the count of entries.
const maxSharers = 1 << 20

// share returns an entry's share of a replica's rate, in requests a second, how many requests may be
// accumulated, and among how many entries the rate is divided. Entries with the same list and rate
// compute shares that sum to the rate.
func (p *Params) share(self, replica string, whole float64, entries []string) (rate, depth float64, among int) {
	among = min(len(entries), int(min(whole, maxSharers)+p.Burst))
	sharers := entries
	if among < len(entries) {
		sharers = rendezvous.Order(xxhash.Sum64String(replica), entries)[:among]
	}
	if !slices.Contains(sharers, self) {
		return 0, 0, among
	}
	rate = whole / float64(among)
	return rate, max(1, rate*p.BurstPeriod.Seconds()), among
}
