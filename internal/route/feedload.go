package route

import (
	"maps"
	"math"
	"time"
)

// feedLoad is what this entry has at a replica.
type feedLoad struct {
	reading float64 // tokens of prompts not yet read
	running int
	// taken is how many tokens it has sent there to be read and kept.
	taken float64
	// lag is by how much, in ms, a request lately began later than its own reading
	// explains, as of lagAt.
	lag   float64
	lagAt time.Duration
}

// PeerLoadsKnown reports whether the others' loads are known.
func (f *Picker) PeerLoadsKnown(now time.Duration) bool { return f.peers.Heard(now) > 0 }

// total is what this entry and its peers have at a replica. Where none is heard the
// others are taken to have as much there as this one, each.
func (f *Picker) total(now time.Duration, id string, key uint64, informed bool) Load {
	var own Load
	if l := f.loads[id]; l != nil {
		own = Load{PrefillTokens: l.reading, Running: l.running}
	}
	if !informed {
		others := 1 + f.params.Others
		return Load{PrefillTokens: own.PrefillTokens * others, Running: int(float64(own.Running) * others)}
	}
	sum := f.peers.Load(key, now)
	return Load{PrefillTokens: own.PrefillTokens + sum.PrefillTokens, Running: own.Running + sum.Running}
}

// engineOf is what is known of the speed of a request's engines.
func (f *Picker) engineOf(q *PickQuery) *engineSpeed {
	e := f.engines[q.Service]
	if e == nil {
		e = newEngineSpeed(f.params)
		f.engines[q.Service] = e
	}
	return e
}

// Loads is what this entry has at each replica, for its peers, by ReplicaKey.
func (f *Picker) Loads() map[uint64]Load {
	loads := make(map[uint64]Load, len(f.loads))
	for id, l := range f.loads {
		loads[ReplicaKey(id)] = Load{PrefillTokens: l.reading, Running: l.running, AddedTokens: uint16(uint64(l.taken) / AddedTokensUnit)}
	}
	return loads
}

// freshWords is how many words of a peer would have to be lost until what it has at replicas
// counts no more.
const freshWords = 3

// SetPeerInterval says how long the pause between a peer's words is. A word counts for
// longer than that: where it doesn't, what most of a hundred peers have at the replicas is
// missing in the sums at any moment.
func (f *Picker) SetPeerInterval(pause time.Duration) {
	f.peers.fresh = max(f.params.PeerFresh, freshWords*pause)
}

// UpdatePeerLoads takes another entry's word on its loads, by ReplicaKey.
func (f *Picker) UpdatePeerLoads(peer string, epoch, seq uint64, loads map[uint64]Load, now time.Duration) {
	f.peers.Take(peer, epoch, seq, loads, now, func(replica uint64, tokens float64) {
		f.resident.took(replica, tokens)
		f.domainTaken[replica] += tokens
	})
}

// UpdateDomainLoads takes what a part of another failure domain's entries have together, as Heard; each
// part has replicas of its own.
func (f *Picker) UpdateDomainLoads(part string, epoch, seq uint64, loads map[uint64]Load, now time.Duration) {
	f.peers.TakeDomain(part, epoch, seq, loads, now, f.resident.took)
}

// DomainLoads is what this entry and those that it hears directly have at each replica, by
// ReplicaKey.
func (f *Picker) DomainLoads(now time.Duration) map[uint64]Load {
	sums := f.peers.direct(now)
	taken := maps.Clone(f.domainTaken)
	for id, l := range f.loads {
		key := ReplicaKey(id)
		sum := sums[key]
		sums[key] = Load{PrefillTokens: sum.PrefillTokens + l.reading, Running: sum.Running + l.running}
		taken[key] += l.taken
	}
	for key, tokens := range taken {
		sum := sums[key]
		sum.AddedTokens = uint16(uint64(tokens) / AddedTokensUnit)
		sums[key] = sum
	}
	return sums
}

// lag is the wait that the others' load explains: this entry hears nothing of it
// but how long its own requests wait.
func (f *Picker) lag(l *feedLoad, now time.Duration) float64 {
	if l.lag == 0 {
		return 0
	}
	return l.lag * math.Exp2(-float64(now-l.lagAt)/float64(f.params.LagHalfLife))
}

// Dispatched notes that a request goes to a replica. Its end is told by Began and
// Ended, with the same query and ID.
func (f *Picker) Dispatched(now time.Duration, q *PickQuery, choice *PickResult) {
	l := f.loads[choice.ID]
	if l == nil {
		l = &feedLoad{}
		f.loads[choice.ID] = l
	}
	l.running++
	l.reading += f.unread(q, choice)
	f.take(l, q, choice)
	f.holdOwn(q, choice.ID, false, now)
}

// take counts the tokens that a request adds to a replica's memory.
func (f *Picker) take(l *feedLoad, q *PickQuery, choice *PickResult) {
	if q.PromptTokens == 0 {
		return
	}
	fresh := float64(max(0, q.PromptTokens-q.SharedTokens+choice.MissingTokens) + q.OutputTokens)
	l.taken += fresh
	f.resident.took(ReplicaKey(choice.ID), fresh)
	whole := float64(q.PromptTokens + q.OutputTokens)
	f.promptTokens += f.params.Learning * (whole - f.promptTokens)
}

// unread is how many tokens of a request's prompt a replica is expected to read.
func (f *Picker) unread(q *PickQuery, choice *PickResult) float64 {
	return float64(max(0, q.PromptTokens-q.SharedTokens+choice.MissingTokens))
}

// PrefillTime is how long a replica with nothing else to do takes to read what it is
// expected to lack of a request's prompt.
func (f *Picker) PrefillTime(q *PickQuery, choice *PickResult) time.Duration {
	return milliseconds(f.engineOf(q).reading(f.unread(q, choice)))
}

// PrefillMs is how long an engine takes to read tokens, in milliseconds, Overhead the
// time to a first event beside reading.
func (f *Picker) PrefillMs(q *PickQuery, tokens int) float64 {
	return f.engineOf(q).reading(float64(tokens))
}

// OverheadMs is told in ReadTime.
func (f *Picker) OverheadMs(q *PickQuery) float64 { return f.engineOf(q).overhead() }

// learn takes how long a request took to begin, in milliseconds, as word of its engine's
// speed or, where most of its prefix came from a store, of the store's delay.
func (f *Picker) learn(now time.Duration, q *PickQuery, choice *PickResult, took float64) {
	e := f.engineOf(q)
	if choice.Store == "" || 2*choice.MissingTokens < q.SharedTokens {
		e.began(Load{PrefillTokens: choice.LoadAtPick.PrefillTokens + f.unread(q, choice), Running: choice.LoadAtPick.Running}, took)
		return
	}
	own := Load{PrefillTokens: choice.LoadAtPick.PrefillTokens + float64(q.PromptTokens-q.SharedTokens), Running: choice.LoadAtPick.Running}
	f.stores.fetched(choice.Store, took-e.overhead()-e.wait(own), now)
}

// EngineSpeed is what was learnt of the engines of a service.
type EngineSpeed struct {
	// TokensPerMs is how fast they read, RunningMs by how much a running request delays
	// the next, OverheadMs the time to a first event beside.
	TokensPerMs, RunningMs, OverheadMs float64
}

// EngineSpeeds is what was learnt of the engines of each service that was asked for.
func (f *Picker) EngineSpeeds() map[string]EngineSpeed {
	speeds := make(map[string]EngineSpeed, len(f.engines))
	for service, e := range f.engines {
		speeds[service] = EngineSpeed{
			TokensPerMs: 1 / e.reading(1), RunningMs: e.wait(Load{Running: 1}), OverheadMs: e.overhead(),
		}
	}
	return speeds
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// FirstEvent notes that a request's prompt has been read, in the time that it took since
// it was placed.
func (f *Picker) FirstEvent(now time.Duration, q *PickQuery, choice *PickResult, took time.Duration) {
	l := f.loads[choice.ID]
	if l == nil {
		return
	}
	f.read(q, choice)
	f.holdOwn(q, choice.ID, true, now)
	f.learn(now, q, choice, ms(took))
	waited := ms(took - f.PrefillTime(q, choice))
	before := f.lag(l, now)
	l.lag = before + f.params.LagLearning*(max(0, waited)-before)
	l.lagAt = now
}

func (f *Picker) read(q *PickQuery, choice *PickResult) {
	if l := f.loads[choice.ID]; l != nil {
		l.reading = max(0, l.reading-f.unread(q, choice))
	}
}

// Finished notes that a request is no longer at a replica; began tells whether Began
// was called for it.
func (f *Picker) Finished(q *PickQuery, choice *PickResult, began bool) {
	l := f.loads[choice.ID]
	if l == nil {
		return
	}
	if !began {
		f.read(q, choice)
	}
	l.running--
}

// ExpectedStreamTime is how long a request's output is expected to take.
func (f *Picker) ExpectedStreamTime(q *PickQuery) time.Duration {
	return time.Duration(float64(q.OutputTokens) * f.tokenMs * float64(time.Millisecond))
}

// ObserveStream learns from a stream that took d from its first event to its end.
func (f *Picker) ObserveStream(q *PickQuery, d time.Duration) {
	if q.OutputTokens <= 0 {
		return
	}
	seen := float64(d) / float64(time.Millisecond) / float64(q.OutputTokens)
	f.tokenMs += f.params.Learning * (seen - f.tokenMs)
}

// ForgetPeers drops the words of peers that were last heard before a time.
func (f *Picker) ForgetPeers(before time.Duration) { f.peers.Forget(before) }

// RemoveReplica forgets a replica.
func (f *Picker) RemoveReplica(id string) {
	delete(f.loads, id)
	delete(f.domainTaken, ReplicaKey(id))
	f.resident.gone(ReplicaKey(id))
}

// Running is how many requests of this entry are at a replica.
func (f *Picker) Running(id string) int {
	if l := f.loads[id]; l != nil {
		return l.running
	}
	return 0
}
