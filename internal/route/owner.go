package route

import (
	"github.com/cespare/xxhash/v2"

	"skylarklead/internal/prefix"
)

// OwnerKey is the rendezvous key of a request. It is the hash of the first level, so that one
// owner sees all the prefixes nested in it. A request without levels is keyed by its organisation
// and model.
func OwnerKey(organisation, model string, levels []prefix.Level) uint64 {
	if len(levels) > 0 {
		return uint64(levels[0].Hash)
	}
	return xxhash.Sum64String(organisation + "\x00" + model)
}
