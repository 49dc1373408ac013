package attempt

import (
	"time"

	"skylarklead/internal/protocol"
)

// OnceParams time a Once.
type OnceParams struct {
	// Retention is how long the log keeps a record. Keys that tell an age of half
	// of it are refused.
	Retention time.Duration
	// ClaimTimeout is how long a sending waits for its claim to be decided at most,
	// if its caller has the patience for it.
	ClaimTimeout time.Duration
	// OutageGrace is how long from the first failed append on nobody is refused
	// for it, OutageWait how long a sending waits in an outage that goes on.
	OutageGrace, OutageWait time.Duration
	// MaxLogStaleness is for how long after the last complete read of the log a sending
	// that comes, and is refused, hears not_run. Later the process can't exclude
	// that an earlier sending of the key ran elsewhere, and says unknown.
	MaxLogStaleness time.Duration
	// IdleClaimTTL is how long a claim won for nobody is kept before it is released.
	IdleClaimTTL time.Duration
	// AppendInterval is the least time between two appends, which share what the log
	// takes among all processes. SettleDelay lets settles ride on claims.
	AppendInterval  time.Duration
	SettlementDelay time.Duration
	// MaxBackoff bounds the wait after failed appends. It stays below OutageWait,
	// or sendings made when the log is back are refused for the last failure.
	MaxBackoff time.Duration
	// RetryAfter is when a caller may come back after a passing refusal.
	RetryAfter time.Duration
	// UndatedTTL is how long an undated key is remembered, MaxUndated how many.
	UndatedTTL time.Duration
	MaxUndated int
	// MaxResultBytes bounds the answers kept.
	MaxResultBytes int
}

// DefaultOnceParams are for a log that keeps records for an hour.
var DefaultOnceParams = OnceParams{
	Retention: time.Hour, ClaimTimeout: 8 * time.Second, MaxLogStaleness: 9 * time.Second,
	OutageGrace: 5 * time.Second, OutageWait: time.Second,
	IdleClaimTTL: 5 * time.Second, AppendInterval: 25 * time.Millisecond, SettlementDelay: 250 * time.Millisecond,
	MaxBackoff: 500 * time.Millisecond, RetryAfter: 2 * time.Second,
	UndatedTTL: 24 * time.Hour, MaxUndated: 1 << 16, MaxResultBytes: 16 << 20,
}

// mine is what this process did with a key that it has claimed.
type mine uint8

const (
	mineNone mine = iota
	mineNotRun
	mineRunning
	mineDone
	mineUnknown
	// mineReleasing: a release may be on the log, so the key must not run under
	// the claim any more.
	mineReleasing
)

// claiming is how far this process's own claim of a key has got.
type claiming uint8

const (
	claimIdle claiming = iota
	claimQueued
	claimAppending
	// claimDoubt: the append was answered or its answer lost; reading the log
	// decides.
	claimDoubt
)

// keyState is what is known of one key.
//
// Invariants: winner is the log's verdict as of Once.position; mine is beyond
// mineNotRun only after Execute, and never returns to it but by the back end's
// word that nothing was handed on; claim progress says nothing of who has won.
type keyState struct {
	key         KeyDigest
	fingerprint uint64
	dated       bool
	born        time.Duration
	loggedAt    time.Duration
	winner      winner
	releasedAt  uint64
	mine        mine
	idleSince   time.Duration
	attempt     protocol.AttemptID
	result      *Result
	claim       claiming
	doubtAt     time.Duration
	waiters     []waiter
}

// winner is the process whose claim stands; offset 0 is none.
type winner struct {
	offset   uint64
	endpoint string
	epoch    protocol.Epoch
	done     bool
}

type waiter struct {
	KeyedRun
	since time.Duration
}

// peer is what is known of another process that may have claimed keys.
type peer struct {
	epoch protocol.Epoch
	past  map[protocol.Epoch]bool
	down  bool
}

// Once runs each idempotency key at most once in its group.
//
// The claims on the log decide, lowest offset first, so a process may run a key
// only after it has read its own claim with everything before it. Process memory
// says whether the key was run under that claim; the memory is lost with the
// epoch, and with it the right to run.
type Once struct {
	params    OnceParams
	self      string
	epoch     protocol.Epoch
	keys      map[KeyDigest]*keyState
	peers     map[string]*peer
	deadlines []deadline
	position  uint64
	caughtUp  bool
	freshAt   time.Duration
	outbox    outbox
	// failingSince is when the first of the latest appends failed, if all since
	// did; 0 if the last one succeeded.
	failingSince time.Duration
	doubts       []*keyState
	idle         []*keyState
	results      []*keyState
	kept         int
	carrier      bool
	leaving      bool
	sweepAt      time.Duration
	malformed    uint64
	out          []OnceAction
}

// NewOnce returns the state of a process that has read nothing of the log yet.
func NewOnce(self string, epoch protocol.Epoch, params OnceParams) *Once {
	return &Once{
		params: params, self: self, epoch: epoch,
		keys: map[KeyDigest]*keyState{}, peers: map[string]*peer{},
	}
}

// Position is the offset of the last record taken; read on from the next one.
func (o *Once) Position() uint64 { return o.position }

// Keys is the number of keys remembered, Malformed that of records skipped.
func (o *Once) Keys() int { return len(o.keys) }

// Malformed is told in Keys.
func (o *Once) Malformed() uint64 { return o.malformed }

// Run takes one sending of a keyed request.
func (o *Once) Run(r KeyedRun, now time.Duration) []OnceAction {
	if r.Age >= o.params.Retention/2 {
		// Its claim may be gone from the log: that it has not run can't be known.
		o.answer(r.Attempt, protocol.Unknown, protocol.CodeKeyTooOld, "the idempotency key is too old", 0)
		return o.take(now)
	}
	k := o.key(r.Key, now)
	if k.attempt == r.Attempt && k.mine != mineNone || k.waits(r.Attempt) {
		return o.take(now) // the same Run, doubled on its way
	}
	o.decide(k, waiter{KeyedRun: r, since: now}, now)
	if k.waits(r.Attempt) {
		o.bound(r, now)
	}
	return o.take(now)
}

// Withdraw says that nobody waits for the attempt any more.
func (o *Once) Withdraw(key KeyDigest, a protocol.AttemptID) {
	if k, ok := o.keys[key]; ok {
		k.dropWaiter(a)
	}
}

// Finished says what came of an executed key. NotRun is for a back end that was
// never handed the request.
func (o *Once) Finished(key KeyDigest, ran protocol.Outcome, result *Result, now time.Duration) []OnceAction {
	k, ok := o.keys[key]
	if !ok || k.mine != mineRunning {
		return o.take(now)
	}
	switch ran {
	case protocol.Done:
		k.mine = mineDone
		k.winner.done = true
		o.keep(k, result)
		o.outbox.settle(k, protocol.Done, now)
	case protocol.NotRun:
		o.rest(k, now)
	default:
		k.mine = mineUnknown
	}
	return o.take(now)
}

// SetPeerEpoch says which epoch of an endpoint lives now; what its earlier ones
// claimed and did not settle has an unknown outcome for good.
func (o *Once) SetPeerEpoch(endpoint string, epoch protocol.Epoch) {
	p := o.peer(endpoint)
	p.down = false
	if p.epoch != epoch && p.epoch != 0 {
		p.past[p.epoch] = true
	}
	p.epoch = epoch
}

// SetPeerDown says that an endpoint isn't reachable.
func (o *Once) SetPeerDown(endpoint string) { o.peer(endpoint).down = true }

// SetCarryForward makes this process the one of its group that carries undated keys
// forward. Two at once do no harm; none for half of the retention would.
func (o *Once) SetCarryForward(carrier bool) { o.carrier = carrier }

// Drain takes no new keys and releases those that were claimed and not run, so
// that other endpoints may run them. Held counts what is still to be released.
func (o *Once) Drain(now time.Duration) []OnceAction {
	o.leaving = true
	o.releaseIdle(now)
	return o.take(now)
}

// HeldClaims is the number of claims won and neither run nor released.
func (o *Once) HeldClaims() int {
	n := 0
	for _, k := range o.keys {
		if o.isMine(k) && (k.mine == mineNotRun || k.mine == mineReleasing) {
			n++
		}
	}
	return n
}

func (o *Once) isMine(k *keyState) bool {
	return k.winner.offset != 0 && k.winner.endpoint == o.self && k.winner.epoch == o.epoch
}

// rest marks a key as won and not run.
func (o *Once) rest(k *keyState, now time.Duration) {
	k.mine, k.idleSince = mineNotRun, now
	o.idle = append(o.idle, k)
}

// keep stores a result and forgets the oldest ones beyond the bound.
func (o *Once) keep(k *keyState, result *Result) {
	if result == nil || result.size() > o.params.MaxResultBytes {
		return
	}
	k.result = result
	o.kept += result.size()
	o.results = append(o.results, k)
	for o.kept > o.params.MaxResultBytes {
		oldest := o.results[0]
		o.results = o.results[1:]
		o.kept -= oldest.result.size()
		oldest.result = nil
	}
}

func (o *Once) key(d KeyDigest, now time.Duration) *keyState {
	k, ok := o.keys[d]
	if !ok {
		k = &keyState{key: d, born: now, loggedAt: now}
		o.keys[d] = k
	}
	return k
}

func (o *Once) peer(endpoint string) *peer {
	p, ok := o.peers[endpoint]
	if !ok {
		p = &peer{past: map[protocol.Epoch]bool{}}
		o.peers[endpoint] = p
	}
	return p
}

func (k *keyState) waits(a protocol.AttemptID) bool {
	for _, w := range k.waiters {
		if w.Attempt == a {
			return true
		}
	}
	return false
}

func (k *keyState) dropWaiter(a protocol.AttemptID) bool {
	for i, w := range k.waiters {
		if w.Attempt == a {
			k.waiters = append(k.waiters[:i:i], k.waiters[i+1:]...)
			return true
		}
	}
	return false
}
