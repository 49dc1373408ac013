package spread

import (
	"github.com/cespare/xxhash/v2"

	"skylarklead/internal/rendezvous"
)

// askersOf is how many entries ask a replica while the store is away: one may be cut off
// from it, or lost.
const askersOf = 2

// ShouldQuery reports whether an entry is one of those that ask a replica for its state, where it
// hears some others. Entries that hear each other choose alike.
func ShouldQuery(self string, alive []string, replica string) bool {
	if len(alive) < askersOf {
		return true
	}
	key := xxhash.Sum64String(replica)
	own := rendezvous.Weight(key, self)
	before := 0
	for _, id := range alive {
		if id != self && rendezvous.Weight(key, id) > own {
			before++
		}
	}
	return before < askersOf
}
