package route

import "time"

// Spare is what running requests of all entries are expected to leave at a candidate: free memory in
// tokens, unbounded if its size isn't known, and the time until it has prefilled all prompts that were
// sent there.
func (p *Picker) Spare(now time.Duration, q *PickQuery, c *PickCandidate) (freeTokens float64, backlog time.Duration) {
	load := p.totalLoad(now, c.ID, ReplicaKey(c.ID), p.PeerLoadsKnown(now))
	return p.cacheCapacity(c, load), milliseconds(p.engineFor(q).prefillMs(load.PrefillTokens))
}
