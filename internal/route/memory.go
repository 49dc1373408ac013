package route

import "time"

// FreeTokens is the memory of a candidate, in tokens, that running requests of all entries are
// expected to leave. If its size isn't known, it counts as unbounded.
func (p *Picker) FreeTokens(now time.Duration, c *PickCandidate) float64 {
	return p.cacheCapacity(c, p.totalLoad(now, c.ID, ReplicaKey(c.ID), p.PeerLoadsKnown(now)))
}
