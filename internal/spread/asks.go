package spread

import "github.com/cespare/xxhash/v2"

// askersOf is how many entries ask a replica while the store is away: one may be cut off
// from it, or lost.
const askersOf = 2

// Asks reports whether an entry is one of those that ask a replica for its state, where it
// hears some others. Entries that hear each other choose alike.
func Asks(self string, alive []string, replica string) bool {
	if len(alive) < askersOf {
		return true
	}
	own := weight(self, replica)
	before := 0
	for _, id := range alive {
		if id != self && weight(id, replica) > own {
			before++
		}
	}
	return before < askersOf
}

// weight is an entry's in the choice for a replica.
func weight(entry, replica string) uint64 {
	return xxhash.Sum64String(entry + "\x00" + replica)
}
