package attempt

import (
	"time"

	"skylarklead/internal/protocol"
)

// OnceParams configures a Once.
type OnceParams struct {
	// Retention is how long the log keeps a record. Keys with a stated age of at least
	// half of it are refused.
	Retention time.Duration
	// ClaimTimeout bounds how long a Run waits for its claim to be decided. Half of
	// the caller's remaining time is used if that is shorter.
	ClaimTimeout time.Duration
	// No Run is refused because of a log outage within OutageGrace of the first failed
	// append. If the outage goes on, each Run waits for OutageWait.
	OutageGrace, OutageWait time.Duration
	// MaxLogStaleness: a Run that arrives within this time after the start of the last
	// complete read of the log is refused with not_run. One that arrives later is
	// refused with unknown, because the process can't exclude that an earlier Run of
	// the key was executed elsewhere.
	MaxLogStaleness time.Duration
	// IdleClaimTTL is how long a claim that was won and has no waiting Run is kept
	// before it is released.
	IdleClaimTTL time.Duration
	// AppendInterval is the least time between two appends, since all processes share
	// the log's append rate. SettlementDelay lets settlements be appended together
	// with claims.
	AppendInterval  time.Duration
	SettlementDelay time.Duration
	// MaxBackoff bounds the wait after failed appends. It must be below OutageWait;
	// otherwise Runs that arrive once the log is back are still refused because of the
	// last failure.
	MaxBackoff time.Duration
	// RetryAfter is the Retry-After of temporary refusals.
	RetryAfter time.Duration
	// UndatedTTL is how long an undated key is remembered, MaxUndated how many of
	// them.
	UndatedTTL time.Duration
	MaxUndated int
	// MaxResultBytes bounds the total size of the results kept.
	MaxResultBytes int
}

// DefaultOnceParams is for a log that keeps records for an hour.
var DefaultOnceParams = OnceParams{
	Retention: time.Hour, ClaimTimeout: 8 * time.Second, MaxLogStaleness: 9 * time.Second,
	OutageGrace: 5 * time.Second, OutageWait: time.Second,
	IdleClaimTTL: 5 * time.Second, AppendInterval: 25 * time.Millisecond, SettlementDelay: 250 * time.Millisecond,
	MaxBackoff: 500 * time.Millisecond, RetryAfter: 2 * time.Second,
	UndatedTTL: 24 * time.Hour, MaxUndated: 1 << 16, MaxResultBytes: 16 << 20,
}

// localState is what this process has done with a key under its own claim.
type localState uint8

const (
	localNone localState = iota
	localNotRun
	localRunning
	localDone
	localUnknown
	// localReleasing: a release may be on the log already, so the key must not run
	// under this claim any more.
	localReleasing
)

// claimState is the progress of this process's own claim of a key.
type claimState uint8

const (
	claimIdle claimState = iota
	claimQueued
	claimAppending
	// claimUncertain: the append was answered, or its answer was lost. The claim's
	// effect is known once the log has been read.
	claimUncertain
)

// keyState is what is known of one key.
//
// Invariants: winner is the log's state as of Once.position. local goes beyond
// localNotRun only after Execute, and returns to it only if the back end reports that
// it was never given the request. claim says nothing about who has won.
type keyState struct {
	key            KeyDigest
	fingerprint    uint64
	dated          bool
	createdAt      time.Duration
	loggedAt       time.Duration
	winner         winner
	releaseOffset  uint64
	local          localState
	idleSince      time.Duration
	attempt        protocol.AttemptID
	result         *Result
	claim          claimState
	uncertainSince time.Duration
	waiters        []waiter
}

// winner is the process whose claim stands; offset 0 means none.
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
	epoch      protocol.Epoch
	pastEpochs map[protocol.Epoch]bool
	down       bool
}

// Once runs each idempotency key at most once in its group.
//
// The claims on the log decide, lowest offset first, so a process may run a key only
// after it has read its own claim and everything before it. Whether the key was run
// under that claim is kept in memory only. It is lost when the process restarts with a
// new epoch, and with it the right to run the key.
type Once struct {
	params        OnceParams
	self          string
	epoch         protocol.Epoch
	keys          map[KeyDigest]*keyState
	peers         map[string]*peer
	deadlines     []deadline
	position      uint64
	caughtUp      bool
	lastReadStart time.Duration
	outbox        outbox
	// failingSince is when the current series of failed appends began; 0 if the last
	// append succeeded.
	failingSince time.Duration
	uncertain    []*keyState
	idleClaims   []*keyState
	results      []*keyState
	resultBytes  int
	carryForward bool
	draining     bool
	nextSweep    time.Duration
	malformed    uint64
	actions      []OnceAction
}

// NewOnce returns the state of a process that has not read the log yet.
func NewOnce(self string, epoch protocol.Epoch, params OnceParams) *Once {
	return &Once{
		params: params, self: self, epoch: epoch,
		keys: map[KeyDigest]*keyState{}, peers: map[string]*peer{},
	}
}

// Position is the offset of the last record applied. Reading continues at the next
// one.
func (o *Once) Position() uint64 { return o.position }

// Keys is the number of keys remembered.
func (o *Once) Keys() int { return len(o.keys) }

// Malformed is the number of records skipped as malformed.
func (o *Once) Malformed() uint64 { return o.malformed }

// Run handles one Run message of a keyed request.
func (o *Once) Run(r KeyedRun, now time.Duration) []OnceAction {
	if r.Age >= o.params.Retention/2 {
		// The key's claim may have been removed from the log, so it is not known
		// whether the key has run.
		o.answer(r.Attempt, protocol.Unknown, protocol.CodeKeyTooOld, "the idempotency key is too old", 0)
		return o.takeActions(now)
	}
	k := o.key(r.Key, now)
	if k.attempt == r.Attempt && k.local != localNone || k.hasWaiter(r.Attempt) {
		return o.takeActions(now) // duplicate delivery of the same Run
	}
	o.decide(k, waiter{KeyedRun: r, since: now}, now)
	if k.hasWaiter(r.Attempt) {
		o.setDeadline(r, now)
	}
	return o.takeActions(now)
}

// Withdraw records that nobody waits for the attempt any more.
func (o *Once) Withdraw(key KeyDigest, a protocol.AttemptID) {
	if k, ok := o.keys[key]; ok {
		k.dropWaiter(a)
	}
}

// Finished records the outcome of an executed key. NotRun means that the back end was
// never given the request.
func (o *Once) Finished(key KeyDigest, ran protocol.Outcome, result *Result, now time.Duration) []OnceAction {
	k, ok := o.keys[key]
	if !ok || k.local != localRunning {
		return o.takeActions(now)
	}
	switch ran {
	case protocol.Done:
		k.local = localDone
		k.winner.done = true
		o.keepResult(k, result)
		o.outbox.addSettlement(k, protocol.Done, now)
	case protocol.NotRun:
		o.markIdle(k, now)
	default:
		k.local = localUnknown
	}
	return o.takeActions(now)
}

// SetPeerEpoch records the current epoch of an endpoint. What its earlier epochs
// claimed and did not settle has an unknown outcome for good.
func (o *Once) SetPeerEpoch(endpoint string, epoch protocol.Epoch) {
	p := o.peer(endpoint)
	p.down = false
	if p.epoch != epoch && p.epoch != 0 {
		p.pastEpochs[p.epoch] = true
	}
	p.epoch = epoch
}

// SetPeerDown records that an endpoint is unreachable.
func (o *Once) SetPeerDown(endpoint string) { o.peer(endpoint).down = true }

// SetCarryForward selects whether this process is the one of its group that carries
// undated keys forward. Two processes doing so at once is harmless. If none does so
// for half of the retention, claims of undated keys can be lost.
func (o *Once) SetCarryForward(carrier bool) { o.carryForward = carrier }

// Drain refuses new keys from now on and releases the claims that have not run, so
// that other endpoints may run the keys. HeldClaims counts those not yet released.
func (o *Once) Drain(now time.Duration) []OnceAction {
	o.draining = true
	o.releaseIdle(now)
	return o.takeActions(now)
}

// HeldClaims is the number of claims won and neither run nor released.
func (o *Once) HeldClaims() int {
	n := 0
	for _, k := range o.keys {
		if o.isMine(k) && (k.local == localNotRun || k.local == localReleasing) {
			n++
		}
	}
	return n
}

func (o *Once) isMine(k *keyState) bool {
	return k.winner.offset != 0 && k.winner.endpoint == o.self && k.winner.epoch == o.epoch
}

// markIdle marks a key as won and not run.
func (o *Once) markIdle(k *keyState, now time.Duration) {
	k.local, k.idleSince = localNotRun, now
	o.idleClaims = append(o.idleClaims, k)
}

// keepResult stores a result and drops the oldest ones beyond MaxResultBytes.
func (o *Once) keepResult(k *keyState, result *Result) {
	if result == nil || result.size() > o.params.MaxResultBytes {
		return
	}
	k.result = result
	o.resultBytes += result.size()
	o.results = append(o.results, k)
	for o.resultBytes > o.params.MaxResultBytes {
		oldest := o.results[0]
		o.results = o.results[1:]
		o.resultBytes -= oldest.result.size()
		oldest.result = nil
	}
}

func (o *Once) key(d KeyDigest, now time.Duration) *keyState {
	k, ok := o.keys[d]
	if !ok {
		k = &keyState{key: d, createdAt: now, loggedAt: now}
		o.keys[d] = k
	}
	return k
}

func (o *Once) peer(endpoint string) *peer {
	p, ok := o.peers[endpoint]
	if !ok {
		p = &peer{pastEpochs: map[protocol.Epoch]bool{}}
		o.peers[endpoint] = p
	}
	return p
}

func (k *keyState) hasWaiter(a protocol.AttemptID) bool {
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
