package route

import (
	"maps"
	"math"
	"time"
)

// ownLoad is the load of this entry at a replica.
type ownLoad struct {
	// current is what its requests add to the replica's load now; AddedTokens is not set.
	current Load
	// addedTokens counts the tokens that its requests have added to the replica's cache.
	addedTokens float64
	// queueDelayMs is by how much requests have recently started later than their own prefill
	// explains, as of queueDelayAt.
	queueDelayMs float64
	queueDelayAt time.Duration
}

// PeerLoadsKnown reports whether a peer's load report has arrived within its TTL.
func (p *Picker) PeerLoadsKnown(now time.Duration) bool { return p.peers.FreshPeers(now) > 0 }

// totalLoad is the load of this entry and its peers at a replica. If no peer's load is known, the
// others together are assumed to have PeerLoadFactor times this entry's load.
func (p *Picker) totalLoad(now time.Duration, id string, key uint64, peersKnown bool) Load {
	var own Load
	if l := p.loads[id]; l != nil {
		own = l.current
	}
	if !peersKnown {
		others := 1 + p.params.PeerLoadFactor
		return Load{PrefillTokens: own.PrefillTokens * others, MemoryTokens: own.MemoryTokens * others, Running: int(float64(own.Running) * others)}
	}
	return own.plus(p.peers.Load(key, now))
}

// engineFor returns the learnt speed of the engines of q's service.
func (p *Picker) engineFor(q *PickQuery) *engineSpeed {
	e := p.engines[q.Service]
	if e == nil {
		e = newEngineSpeed(p.params)
		p.engines[q.Service] = e
	}
	return e
}

// Loads returns this entry's load at each replica, by ReplicaKey, to be sent to peers.
func (p *Picker) Loads() map[uint64]Load {
	loads := make(map[uint64]Load, len(p.loads))
	for id, l := range p.loads {
		load := l.current
		load.AddedTokens = uint16(uint64(l.addedTokens) / AddedTokensUnit)
		loads[ReplicaKey(id)] = load
	}
	return loads
}

// freshIntervals is how many intervals between a peer's messages its last load report stays
// valid.
const freshIntervals = 3

// SetPeerInterval sets the interval at which peers send their messages. A load report must stay
// valid for longer than that: otherwise the load of most of a hundred peers would be missing from
// the sums at any moment.
func (p *Picker) SetPeerInterval(interval time.Duration) {
	p.peers.ttl = max(p.params.PeerTTL, freshIntervals*interval)
}

// UpdatePeerLoads applies a peer's load report, keyed by ReplicaKey.
func (p *Picker) UpdatePeerLoads(peer string, epoch, seq uint64, loads map[uint64]Load, now time.Duration) {
	p.peers.Update(peer, epoch, seq, loads, now, func(replica uint64, tokens float64) {
		p.residency.addTokens(replica, tokens)
		p.domainAddedTokens[replica] += tokens
	})
}

// UpdateDomainLoads applies one part of another failure domain's digest, as UpdatePeerLoads does.
// Each part covers different replicas.
func (p *Picker) UpdateDomainLoads(part string, epoch, seq uint64, loads map[uint64]Load, now time.Duration) {
	p.peers.UpdateDomain(part, epoch, seq, loads, now, p.residency.addTokens)
}

// DomainLoads returns the load of this entry and of the peers that report to it directly at each
// replica, by ReplicaKey.
func (p *Picker) DomainLoads(now time.Duration) map[uint64]Load {
	sums := p.peers.directSums(now)
	added := maps.Clone(p.domainAddedTokens)
	for id, l := range p.loads {
		key := ReplicaKey(id)
		sums[key] = sums[key].plus(l.current)
		added[key] += l.addedTokens
	}
	for key, tokens := range added {
		sum := sums[key]
		sum.AddedTokens = uint16(uint64(tokens) / AddedTokensUnit)
		sums[key] = sum
	}
	return sums
}

// queueDelay is the decayed extra wait, in milliseconds, that this entry's requests have met at a
// replica. It covers load of others that no report contains.
func (p *Picker) queueDelay(l *ownLoad, now time.Duration) float64 {
	if l.queueDelayMs == 0 {
		return 0
	}
	return l.queueDelayMs * math.Exp2(-float64(now-l.queueDelayAt)/float64(p.params.QueueDelayHalfLife))
}

// Dispatched records that a request is sent to a replica. Finished must follow, before it
// FirstEvent if there is a first event, with the same query and result.
func (p *Picker) Dispatched(now time.Duration, q *PickQuery, choice *PickResult) {
	l := p.loads[choice.ID]
	if l == nil {
		l = &ownLoad{}
		p.loads[choice.ID] = l
	}
	l.current = l.current.plus(p.requestLoad(q, choice))
	p.countAddedTokens(l, q, choice)
	p.recordPlacement(q, choice.ID, false, now)
}

// countAddedTokens counts the tokens that a request adds to a replica's cache.
func (p *Picker) countAddedTokens(l *ownLoad, q *PickQuery, choice *PickResult) {
	if q.PromptTokens == 0 {
		return
	}
	added := float64(max(0, q.PromptTokens-q.SharedTokens+choice.MissingTokens) + q.OutputTokens)
	l.addedTokens += added
	p.residency.addTokens(ReplicaKey(choice.ID), added)
	whole := float64(q.PromptTokens + q.OutputTokens)
	p.meanRequestTokens += p.params.LearningRate * (whole - p.meanRequestTokens)
}

// uncachedTokens is how many tokens of a request's prompt a replica is expected to prefill.
func (p *Picker) uncachedTokens(q *PickQuery, choice *PickResult) float64 {
	return float64(max(0, q.PromptTokens-q.SharedTokens+choice.MissingTokens))
}

// requestLoad is the load of a request until its prompt is prefilled. Afterwards its PrefillTokens
// are gone.
func (p *Picker) requestLoad(q *PickQuery, choice *PickResult) Load {
	return Load{PrefillTokens: p.uncachedTokens(q, choice), MemoryTokens: q.memoryTokens(), Running: 1}
}

// PrefillTime is how long an otherwise idle replica takes to prefill the part of a prompt that it
// is expected to lack.
func (p *Picker) PrefillTime(q *PickQuery, choice *PickResult) time.Duration {
	return milliseconds(p.engineFor(q).prefillMs(p.uncachedTokens(q, choice)))
}

// PrefillMs is how long an engine takes to prefill tokens, in milliseconds.
func (p *Picker) PrefillMs(q *PickQuery, tokens int) float64 {
	return p.engineFor(q).prefillMs(float64(tokens))
}

// OverheadMs is the time to the first event besides prefill and waiting, in milliseconds.
func (p *Picker) OverheadMs(q *PickQuery) float64 { return p.engineFor(q).overheadMs() }

// learnDelay learns from the time to a request's first event: the engine's speed or, if most of
// its prefix came from a KV store, that store's delay.
func (p *Picker) learnDelay(now time.Duration, q *PickQuery, choice *PickResult, elapsedMs float64) {
	e := p.engineFor(q)
	ahead := choice.Ahead
	if choice.Store == "" || 2*choice.MissingTokens < q.SharedTokens {
		ahead.PrefillTokens += p.uncachedTokens(q, choice)
		e.observe(ahead, elapsedMs)
		return
	}
	ahead.PrefillTokens += float64(q.PromptTokens - q.SharedTokens)
	p.stores.observe(choice.Store, elapsedMs-e.overheadMs()-e.waitMs(ahead), now)
}

// EngineSpeed is the learnt speed of a service's engines.
type EngineSpeed struct {
	// TokensPerMs is the prefill speed, RunningMs by how much each running request delays the
	// next one, OverheadMs the time to the first event besides these.
	TokensPerMs, RunningMs, OverheadMs float64
}

// EngineSpeeds returns the learnt speeds by service, for each service with a request so far.
func (p *Picker) EngineSpeeds() map[string]EngineSpeed {
	speeds := make(map[string]EngineSpeed, len(p.engines))
	for service, speed := range p.engines {
		speeds[service] = EngineSpeed{
			TokensPerMs: 1 / speed.prefillMs(1), RunningMs: speed.waitMs(Load{Running: 1}), OverheadMs: speed.overheadMs(),
		}
	}
	return speeds
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// FirstEvent records that a request's prompt has been prefilled, elapsed after its dispatch.
func (p *Picker) FirstEvent(now time.Duration, q *PickQuery, choice *PickResult, elapsed time.Duration) {
	l := p.loads[choice.ID]
	if l == nil {
		return
	}
	p.prefillDone(q, choice)
	p.recordPlacement(q, choice.ID, true, now)
	p.learnDelay(now, q, choice, ms(elapsed))
	waitedMs := ms(elapsed - p.PrefillTime(q, choice))
	previousMs := p.queueDelay(l, now)
	l.queueDelayMs = previousMs + p.params.QueueDelayLearningRate*(max(0, waitedMs)-previousMs)
	l.queueDelayAt = now
}

func (p *Picker) prefillDone(q *PickQuery, choice *PickResult) {
	if l := p.loads[choice.ID]; l != nil {
		done := p.requestLoad(q, choice)
		done.Running, done.MemoryTokens = 0, 0
		l.current = l.current.minus(done)
	}
}

// Finished records that a request is no longer at a replica. firstEventSeen tells whether
// FirstEvent was called for it.
func (p *Picker) Finished(q *PickQuery, choice *PickResult, firstEventSeen bool) {
	l := p.loads[choice.ID]
	if l == nil {
		return
	}
	if !firstEventSeen {
		p.prefillDone(q, choice)
	}
	l.current = l.current.minus(Load{Running: 1, MemoryTokens: q.memoryTokens()})
}

// ExpectedStreamTime is how long a request's output is expected to take.
func (p *Picker) ExpectedStreamTime(q *PickQuery) time.Duration {
	return time.Duration(float64(q.OutputTokens) * p.tokenMs * float64(time.Millisecond))
}

// ObserveStream learns the time per output token from a stream that took d from its first event
// to its end.
func (p *Picker) ObserveStream(q *PickQuery, d time.Duration) {
	if q.OutputTokens <= 0 {
		return
	}
	tokenMs := float64(d) / float64(time.Millisecond) / float64(q.OutputTokens)
	p.tokenMs += p.params.LearningRate * (tokenMs - p.tokenMs)
}

// ForgetPeers drops the load reports of peers last received before a time.
func (p *Picker) ForgetPeers(before time.Duration) { p.peers.Forget(before) }

// RemoveReplica drops the state of a replica.
func (p *Picker) RemoveReplica(id string) {
	delete(p.loads, id)
	delete(p.domainAddedTokens, ReplicaKey(id))
	p.residency.removeReplica(ReplicaKey(id))
}

// Running is the number of this entry's requests in flight at a replica.
func (p *Picker) Running(id string) int {
	if l := p.loads[id]; l != nil {
		return l.current.Running
	}
	return 0
}
