package route

import "time"

// Spare is what running requests of all entries are expected to leave at a candidate: free memory in
// tokens, unbounded if its size isn't known, and the time until it has prefilled all prompts that were
// sent there.
func (p *Picker) Spare(now time.Duration, q *PickQuery, c *PickCandidate) (freeTokens float64, backlog time.Duration) {
	load := p.totalLoad(now, c.ID, ReplicaKey(c.ID), p.PeerLoadsKnown(now))
	return p.cacheCapacity(c, load), milliseconds(p.engineFor(q).prefillMs(load.PrefillTokens))
}

// memoryFraction is the fraction of an engine's memory that requests in flight are expected to need
// at most. The rest is for outputs that get longer than expected, and for prefixes that are kept.
//
// An engine whose memory runs out preempts a running request: its stream pauses, and its prompt is
// prefilled again.
const memoryFraction = 0.8

// fitsMemory reports whether a replica with a load has memory for another request. An idle replica
// takes any; one whose memory isn't known too.
func fitsMemory(q *PickQuery, c *PickCandidate, load Load) bool {
	if c.MemoryTokens == 0 || load.MemoryTokens == 0 {
		return true
	}
	return load.MemoryTokens+q.memoryTokens() <= memoryFraction*float64(c.MemoryTokens)
}

// memoryTokens is the memory that a request needs until it ends. Its first level is left out, which
// the requests of a replica mostly share.
func (q *PickQuery) memoryTokens() float64 {
	tokens := q.PromptTokens + q.OutputTokens
	if len(q.Levels) > 0 {
		tokens -= q.Levels[0].Tokens
	}
	return float64(max(0, tokens))
}
