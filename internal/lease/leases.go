package lease

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"skylarklead/internal/protocol"
)

// Params are the durations and the reclaim rule of leases.
type Params struct {
	// Duration is how long a grant or renewal lasts.
	Duration time.Duration
	// Margin is how long a claimant waits beyond Duration. It covers the drift of two
	// monotonic clocks over one Duration.
	Margin time.Duration
	// RenewBefore is how long before its expiry a lease is renewed.
	RenewBefore time.Duration
	// OrderMargin is the time to expiry that a lease must still have when it is used.
	// It is longer than an order may take to arrive.
	OrderMargin time.Duration
	// Apart is the least time from the end of one process's last use of a lease to the
	// first use by another, 0 for none. A release states what is left of it.
	Apart time.Duration
	// MaxUse is how long after Begin a use may take effect at the latest, for instance an
	// order whose packets were lost. A restarted holder lets its predecessor's uses end.
	MaxUse time.Duration
	// RestartReclaims lets a process claim at once a lease that an earlier process of
	// the same name holds, without waiting for its expiry. Without it, after a power
	// loss at all processes nobody can send orders for a full lease duration after the
	// restart. Set it only where no two processes of one name ever run at once.
	RestartReclaims bool
	// RetryMin and RetryMax bound the jittered backoff after a failed append. After a
	// record that was appended but is invalid the backoff may grow up to Duration.
	RetryMin time.Duration
	RetryMax time.Duration
}

// DefaultParams outlast the process pauses of ordinary operation.
var DefaultParams = Params{
	Duration: 10 * time.Second, Margin: time.Second, RenewBefore: 6 * time.Second,
	OrderMargin: 2 * time.Second, RetryMin: 100 * time.Millisecond, RetryMax: 2 * time.Second,
}

// Action is a request or notification from Leases to its process: Append, Granted or
// Lost.
type Action interface{ leaseAction() }

// Append asks the process to append Data to leases.GROUP and to call AppendFailed if
// that had no effect or an unknown one. A success shows when the record is read back.
type Append struct {
	Seq  uint64
	Data []byte
	// Claim marks a record that is invalid unless it directly follows, among the records
	// of its lease, the last one read. Where the log supports conditional appends, append
	// it only if nothing was appended since.
	Claim bool
}

// Granted says that this process holds the lease. Call Leases.Check before each use. Wait is how long
// it can't be used yet, since orders of an earlier holder must be that far in the past.
type Granted struct {
	Name  Name
	Fence uint64
	Wait  time.Duration
}

// Lost says that this process no longer holds the lease. Operations under it that have
// no answer yet are to be treated as lost, not as done.
type Lost struct{ Name Name }

func (Append) leaseAction()  {}
func (Granted) leaseAction() {}
func (Lost) leaseAction()    {}

// leaseState is the state of one lease that this process wants or holds.
//
// Invariants: fence is 0 unless the lease is granted and not yet known to have ended;
// expiresAt counts from before the append of the last record read as valid was sent.
type leaseState struct {
	wanted       bool
	fence        uint64
	expiresAt    time.Duration
	sentAt       map[uint64]time.Duration
	pendingSeq   uint64
	attempts     int
	nextAttempt  time.Duration
	releaseFence uint64
	// inherits is set if the latest claim follows a grant of this process's predecessor.
	inherits bool
	// keptUntil is when the lease would have expired that was lost because the log was restored.
	keptUntil time.Duration
}

// Leases claims, renews and releases one process's leases of a group.
type Leases struct {
	params       Params
	self         string
	epoch        protocol.Epoch
	rng          *rand.Rand
	table        *Table
	oldestOffset uint64
	caughtUp     bool
	seq          uint64
	states       map[Name]*leaseState
	uses         map[Name]*leaseUse
	// started is the time of the first event, once hasStarted is set.
	started    time.Duration
	hasStarted bool
	// settledAt is when no holder can be at work any more whose records this process couldn't read;
	// doubtful is set if the log was, or may have been, restored from an older copy.
	settledAt time.Duration
	doubtful  bool
	actions   []Action
}

// NewLeases returns the leases of a process that has not read any of the log yet.
func NewLeases(self string, epoch protocol.Epoch, params Params, rng *rand.Rand) *Leases {
	return &Leases{
		params: params, self: self, epoch: epoch, rng: rng,
		table: newTable(params.Duration), oldestOffset: 1, states: map[Name]*leaseState{}, uses: map[Name]*leaseUse{},
	}
}

// Table returns the state of all leases of the group as read from the log.
func (l *Leases) Table() *Table { return l.table }

// Acquire starts claiming a lease and keeps it renewed until Release.
func (l *Leases) Acquire(n Name, now time.Duration) []Action {
	s := l.stateOf(n)
	if !s.wanted {
		s.wanted, s.nextAttempt, s.attempts = true, now, 0
	}
	return l.Tick(now)
}

// Release stops claiming or renewing a lease, and releases it once no use of it is under
// way. Check fails for it from now on.
func (l *Leases) Release(n Name, now time.Duration) []Action {
	s, ok := l.states[n]
	if !ok {
		return nil
	}
	s.wanted = false
	if s.fence != 0 {
		s.releaseFence = s.fence
		s.fence = 0
	}
	return l.Tick(now)
}

// Check returns the fencing number under which an order may be sent now. The caller
// reads the clock right before it sends, so that a process that was paused past the
// expiry of its lease sends nothing.
func (l *Leases) Check(n Name, now time.Duration) (fence uint64, ok bool) {
	s, known := l.states[n]
	if !known || s.fence == 0 || now+l.params.OrderMargin >= s.expiresAt || now < l.usableAt(n) {
		return 0, false
	}
	return s.fence, true
}

// HeldOrReleasing reports whether this process holds a lease, or has not yet read its
// own release of it from the log. If it exits before that, others have to wait until
// the lease expires.
func (l *Leases) HeldOrReleasing(n Name) bool {
	s, known := l.states[n]
	return known && (s.fence != 0 || s.releaseFence != 0)
}

// ApplyRecord applies the next record of the stream. Records come in offset order.
func (l *Leases) ApplyRecord(offset uint64, data []byte, now time.Duration) []Action {
	l.noteStart(now)
	r, valid := l.table.Apply(offset, data, now)
	if r == nil {
		return l.Tick(now)
	}
	l.noteRelease(r, now)
	s, known := l.states[r.Name]
	if known {
		l.applyToState(s, r, offset, valid, now)
	}
	return l.Tick(now)
}

func (l *Leases) applyToState(s *leaseState, r *Record, offset uint64, valid bool, now time.Duration) {
	own := r.Holder == l.self && r.Epoch == l.epoch
	if !own {
		if valid && r.Kind == KindClaim {
			l.markLost(s, r.Name)
		}
		return
	}
	if s.pendingSeq == r.Seq {
		s.pendingSeq = 0
		l.appendLanded(s, valid, now)
	}
	sentAt, sentHere := s.sentAt[r.Seq]
	delete(s.sentAt, r.Seq)
	switch {
	case r.Kind == KindRelease && s.releaseFence == r.Fence:
		s.releaseFence = 0
	case valid && sentHere && r.Kind == KindClaim:
		l.grant(s, r, offset, sentAt, now)
	case valid && sentHere && r.Kind == KindRenew && s.fence == r.Fence:
		s.expiresAt = max(s.expiresAt, sentAt+r.duration())
	}
}

// appendLanded handles the pending record once it was read back from the log.
//
// After an invalid record the backoff grows. Each claim on the log, valid or not,
// invalidates the claims that are in flight. If many processes that claim a free lease
// at once claimed again as soon as they read back their invalid claim, no claim would
// ever be valid: the log would be full of claims at the highest rate that it accepts,
// and nobody would hold the lease. With backoff, few enough claims are in flight.
func (l *Leases) appendLanded(s *leaseState, valid bool, now time.Duration) {
	if valid {
		s.attempts = 0
		return
	}
	s.attempts++
	s.nextAttempt = now + l.backoff(s.attempts, l.params.Duration)
}

// grant handles this process's own valid claim. A claim that is read back after its
// expiry, because the process or the log was stalled, does not grant the lease.
func (l *Leases) grant(s *leaseState, r *Record, offset uint64, sentAt, now time.Duration) {
	until := sentAt + r.duration()
	if s.inherits {
		l.inheritUse(r.Name)
	}
	if !s.wanted {
		s.releaseFence = offset
		return
	}
	if now >= until {
		return
	}
	s.fence, s.expiresAt = offset, until
	l.actions = append(l.actions, Granted{Name: r.Name, Fence: offset, Wait: max(0, l.usableAt(r.Name)-now)})
}

func (l *Leases) markLost(s *leaseState, n Name) {
	s.releaseFence = 0
	if s.fence != 0 {
		s.fence = 0
		l.actions = append(l.actions, Lost{Name: n})
	}
}

// CaughtUp reports that a read has reached the end of the stream. Nothing is claimed
// before.
func (l *Leases) CaughtUp(now time.Duration) []Action {
	l.caughtUp = true
	return l.Tick(now)
}

// Truncated reports that the oldest record of the log is now at oldest, beyond the next
// one to read, or, at the start, that reading begins there. All leases of this process are lost: the
// records that it could not read may have granted them to others.
func (l *Leases) Truncated(oldest uint64, now time.Duration) []Action {
	l.oldestOffset, l.caughtUp = oldest, false
	if oldest > l.table.Position()+1 {
		l.table.SkipGap(oldest, now)
		l.forget(now)
	}
	return l.Tick(now)
}

// LogRestored reports that the log was restored from an older copy and is read again from
// oldest on, a greater offset than any before. All leases of this process are lost.
func (l *Leases) LogRestored(oldest uint64, now time.Duration) []Action {
	l.oldestOffset, l.caughtUp = oldest, false
	l.table.LogRestored(oldest, now)
	for _, s := range l.states {
		if s.fence != 0 {
			s.keptUntil = s.expiresAt
		}
	}
	l.HistoryDoubtful(now)
	l.forget(now)
	return l.Tick(now)
}

// HistoryDoubtful reports that the log may have been restored from an older copy before this process
// read it: the last holder in it need not be the last one.
func (l *Leases) HistoryDoubtful(now time.Duration) {
	l.doubtful = true
	l.settle(now)
}

// settle keeps this process from claiming leases until a holder that it can't know of has lost its lease.
func (l *Leases) settle(now time.Duration) {
	l.settledAt = now + l.params.Duration + l.params.Margin
}

// forget gives up what depends on records that this process can't read any more.
func (l *Leases) forget(now time.Duration) {
	l.settle(now)
	for _, n := range l.sortedNames() {
		s := l.states[n]
		l.markLost(s, n)
		s.pendingSeq = 0
		clear(s.sentAt)
	}
}

// SetOldest sets the offset of the oldest record that the log still has, as reported
// in its answers.
func (l *Leases) SetOldest(offset uint64) { l.oldestOffset = max(l.oldestOffset, offset) }

// AppendFailed reports that an append had no effect, or an unknown one. If the record
// is read back after all, its duration counts from when it was sent.
func (l *Leases) AppendFailed(seq uint64, now time.Duration) []Action {
	for _, s := range l.states {
		if s.pendingSeq == seq {
			s.pendingSeq = 0
			s.attempts++
			s.nextAttempt = now + l.backoff(s.attempts, l.params.RetryMax)
		}
	}
	return l.Tick(now)
}

// Tick claims, renews, releases and expires leases that are due at now.
func (l *Leases) Tick(now time.Duration) []Action {
	l.noteStart(now)
	for _, n := range l.sortedNames() {
		s := l.states[n]
		if s.fence != 0 && now >= s.expiresAt {
			l.markLost(s, n)
		}
		if !s.wanted && s.fence == 0 && s.releaseFence == 0 && len(s.sentAt) == 0 {
			delete(l.states, n)
			continue
		}
		l.advance(n, s, now)
	}
	out := l.actions
	l.actions = nil
	return out
}

func (l *Leases) advance(n Name, s *leaseState, now time.Duration) {
	s.forgetExpired(now - l.params.Duration)
	if now < s.nextAttempt || s.pendingSeq != 0 {
		return
	}
	switch {
	case s.releaseFence != 0:
		if !l.inUse(n) {
			l.sendRelease(n, s, now)
		}
	case s.fence != 0 && now >= s.expiresAt-l.params.RenewBefore:
		l.send(s, &Record{Kind: KindRenew, Name: n, Fence: s.fence}, now)
	case s.fence == 0 && s.wanted && l.caughtUp && l.claimable(n, now):
		claim := &Record{Kind: KindClaim, Name: n, Supersedes: l.table.LastOffset(n)}
		if claim.Supersedes < l.oldestOffset {
			claim.Supersedes, claim.Oldest = 0, l.oldestOffset
		}
		grant, _ := l.table.Holder(n)
		s.inherits = l.heldBySelf(n) && grant.Epoch != l.epoch
		l.send(s, claim, now)
	}
}

// sendRelease releases a lease if this process is still its holder on the log.
func (l *Leases) sendRelease(n Name, s *leaseState, now time.Duration) {
	grant, ok := l.table.Holder(n)
	if !ok || grant.Fence != s.releaseFence {
		s.releaseFence = 0
		return
	}
	rest := l.restAfterUse(n, now)
	l.send(s, &Record{Kind: KindRelease, Name: n, Fence: s.releaseFence, DurationMs: rest.Milliseconds()}, now)
}

// claimable reports whether a lease may be claimed now. A process need not wait for the
// expiry of a lease that it held itself, since it knows that it no longer uses it, nor,
// with RestartReclaims, of one that its predecessor of the same name held.
//
// A process that can't have read all records waits until any holder has lost its lease.
func (l *Leases) claimable(n Name, now time.Duration) bool {
	s, known := l.states[n]
	kept := known && now < s.keptUntil
	if l.heldBySelf(n) && (kept || !l.doubtful) {
		return true
	}
	return now >= max(l.settledAt, l.table.ClaimableAt(n, l.params.Margin))
}

// heldBySelf reports whether the log has a lease as this process's, or as its predecessor's with
// RestartReclaims.
func (l *Leases) heldBySelf(n Name) bool {
	grant, ok := l.table.Holder(n)
	return ok && grant.Holder == l.self && (grant.Epoch == l.epoch || l.params.RestartReclaims) && l.table.certain(n)
}

func (l *Leases) send(s *leaseState, r *Record, now time.Duration) {
	l.seq++
	r.Holder, r.Epoch, r.Seq = l.self, l.epoch, l.seq
	if r.Kind != KindRelease {
		r.DurationMs = l.params.Duration.Milliseconds()
	}
	data, err := Encode(r)
	if err != nil {
		panic(err) // cannot fail: a record has only plain values
	}
	s.sentAt[l.seq] = now
	s.pendingSeq = l.seq
	l.actions = append(l.actions, Append{Seq: l.seq, Data: data, Claim: r.Kind == KindClaim})
}

// forgetExpired forgets sent records whose duration would be over if they were read
// back now.
func (s *leaseState) forgetExpired(before time.Duration) {
	for seq, at := range s.sentAt {
		if at <= before {
			delete(s.sentAt, seq)
			if s.pendingSeq == seq {
				s.pendingSeq = 0
			}
		}
	}
}

// backoff returns the jittered exponential backoff after a number of failed attempts,
// at most longest.
func (l *Leases) backoff(attempts int, longest time.Duration) time.Duration {
	d := min(l.params.RetryMin<<min(attempts-1, 16), longest)
	return d/2 + time.Duration(l.rng.Int64N(int64(d/2)+1))
}

func (l *Leases) stateOf(n Name) *leaseState {
	s, ok := l.states[n]
	if !ok {
		s = &leaseState{sentAt: map[uint64]time.Duration{}}
		l.states[n] = s
	}
	return s
}

func (l *Leases) sortedNames() []Name {
	names := make([]Name, 0, len(l.states))
	for n := range l.states {
		names = append(names, n)
	}
	slices.SortFunc(names, func(a, b Name) int { return strings.Compare(string(a), string(b)) })
	return names
}
