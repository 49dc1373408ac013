package spread

import (
	"github.com/cespare/xxhash/v2"

	"skylarklead/internal/rendezvous"
)

// queriersPerReplica is how many entries query a replica while the store is unavailable: one of
// them may be cut off from it, or lost.
const queriersPerReplica = 2

// ShouldQuery reports whether an entry is one of those that query a replica for its state,
// given the entries that it counts as alive. Entries with the same view choose alike.
func ShouldQuery(self string, alive []string, replica string) bool {
	if len(alive) < queriersPerReplica {
		return true
	}
	key := xxhash.Sum64String(replica)
	own := rendezvous.Weight(key, self)
	higher := 0
	for _, id := range alive {
		if id != self && rendezvous.Weight(key, id) > own {
			higher++
		}
	}
	return higher < queriersPerReplica
}
