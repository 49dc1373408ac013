package lease

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"skylarklead/internal/protocol"
)

// Params time leases.
type Params struct {
	// Duration is how long a grant or renewal lasts.
	Duration time.Duration
	// Margin is what a claimant waits beyond the duration. It covers what two
	// monotonic clocks may differ by over a duration.
	Margin time.Duration
	// RenewBefore is how long before its end a lease is renewed.
	RenewBefore time.Duration
	// OrderMargin is what has to be left of a lease when it is used: longer than
	// an order may take to arrive.
	OrderMargin time.Duration
	// RestartReclaims says that a process of the same name as the holder has followed it:
	// the holder is over, and its successor needn't wait for the lease's end. Without it a
	// loss of power at all processes leaves nobody to order for a lease's whole time after
	// they are back. Set only where no two processes of a name ever run at once.
	RestartReclaims bool
	// RetryMin and RetryMax bound the jittered wait after an append that failed.
	// After a record without effect it may grow up to Duration.
	RetryMin time.Duration
	RetryMax time.Duration
}

// DefaultParams outlast the pauses seen in ordinary operation.
var DefaultParams = Params{
	Duration: 10 * time.Second, Margin: time.Second, RenewBefore: 6 * time.Second,
	OrderMargin: 2 * time.Second, RetryMin: 100 * time.Millisecond, RetryMax: 2 * time.Second,
}

// Action is what Leases ask their process to do or tell it.
type Action interface{ leaseAction() }

// Append appends Data to leases.GROUP and reports Failed if that had no effect
// or an unknown one. A success shows in the stream.
type Append struct {
	Seq  uint64
	Data []byte
	// Claim marks a record that has no effect unless it directly follows, among the
	// records of its lease, the last one read. Where the log takes conditional appends
	// it is to be appended only if nothing has landed since.
	Claim bool
}

// Granted: this process holds the lease. Use it by Check only.
type Granted struct {
	Name  Name
	Fence uint64
}

// Lost: the lease is over; whatever was done under it and has no answer counts
// as lost, not done.
type Lost struct{ Name Name }

func (Append) leaseAction()  {}
func (Granted) leaseAction() {}
func (Lost) leaseAction()    {}

// held is one lease that this process wants or has.
//
// Invariants: fence is 0 unless granted and not yet seen to be over; until
// counts from before the append of the last record seen to be valid was sent.
type held struct {
	wanted  bool
	fence   uint64
	until   time.Duration
	sent    map[uint64]time.Duration
	pending uint64
	tries   int
	nextTry time.Duration
	release uint64
}

// Leases are one process's leases of a group.
type Leases struct {
	params   Params
	self     string
	epoch    protocol.Epoch
	rng      *rand.Rand
	table    *Table
	oldest   uint64
	caughtUp bool
	seq      uint64
	held     map[Name]*held
	out      []Action
}

// NewLeases returns the state of a process that has read nothing of the log yet.
func NewLeases(self string, epoch protocol.Epoch, params Params, rng *rand.Rand) *Leases {
	return &Leases{
		params: params, self: self, epoch: epoch, rng: rng,
		table: NewTable(), oldest: 1, held: map[Name]*held{},
	}
}

// Table is what the log says.
func (l *Leases) Table() *Table { return l.table }

// Acquire asks for a lease and keeps it until Drop.
func (l *Leases) Acquire(n Name, now time.Duration) []Action {
	h := l.of(n)
	if !h.wanted {
		h.wanted, h.nextTry, h.tries = true, now, 0
	}
	return l.Tick(now)
}

// Release gives a lease back. From here on Check refuses it.
func (l *Leases) Release(n Name, now time.Duration) []Action {
	h, ok := l.held[n]
	if !ok {
		return nil
	}
	h.wanted = false
	if h.fence != 0 {
		h.release = h.fence
		h.fence = 0
	}
	return l.Tick(now)
}

// Check returns the fencing number under which an order may be given right now.
// The caller reads the clock for it right before the order: one that was paused
// past its lease finds out here.
func (l *Leases) Check(n Name, now time.Duration) (fence uint64, ok bool) {
	h, known := l.held[n]
	if !known || h.fence == 0 || now+l.params.OrderMargin >= h.until {
		return 0, false
	}
	return h.fence, true
}

// HeldOrReleasing reports whether this process has a lease, or has not yet read back that it
// gave it back. One that ends before leaves the others to wait for the lease's end.
func (l *Leases) HeldOrReleasing(n Name) bool {
	h, known := l.held[n]
	return known && (h.fence != 0 || h.release != 0)
}

// ApplyRecord takes the next record of the stream, in order of offset.
func (l *Leases) ApplyRecord(offset uint64, data []byte, now time.Duration) []Action {
	r, valid := l.table.Apply(offset, data, now)
	if r == nil {
		return l.Tick(now)
	}
	h, known := l.held[r.Name]
	if known {
		l.take(h, r, offset, valid, now)
	}
	return l.Tick(now)
}

func (l *Leases) take(h *held, r *Record, offset uint64, valid bool, now time.Duration) {
	own := r.Holder == l.self && r.Epoch == l.epoch
	if !own {
		if valid && r.Kind == KindClaim {
			l.lose(h, r.Name)
		}
		return
	}
	if h.pending == r.Seq {
		h.pending = 0
		l.landed(h, valid, now)
	}
	sentAt, mine := h.sent[r.Seq]
	delete(h.sent, r.Seq)
	switch {
	case r.Kind == KindRelease && h.release == r.Fence:
		h.release = 0
	case valid && mine && r.Kind == KindClaim:
		l.grant(h, r, offset, sentAt, now)
	case valid && mine && r.Kind == KindRenew && h.fence == r.Fence:
		h.until = max(h.until, sentAt+r.duration())
	}
}

// landed takes it that the record waited for is on the log.
//
// Of many that claim a free lease at once, those that claim again as soon as they
// have read their claim back as one without effect keep all of them from it: each
// such record makes the claims void that are on their way. It is seen as claims at
// the rate that the log can take, with no holder. So the pause after a record without
// effect grows until few enough are on their way.
func (l *Leases) landed(h *held, valid bool, now time.Duration) {
	if valid {
		h.tries = 0
		return
	}
	h.tries++
	h.nextTry = now + l.wait(h.tries, l.params.Duration)
}

// grant takes this process's own valid claim. One that was read back after its
// end, since the process or the log stood still, is not held.
func (l *Leases) grant(h *held, r *Record, offset uint64, sentAt, now time.Duration) {
	until := sentAt + r.duration()
	if !h.wanted {
		h.release = offset
		return
	}
	if now >= until {
		return
	}
	h.fence, h.until = offset, until
	l.out = append(l.out, Granted{Name: r.Name, Fence: offset})
}

func (l *Leases) lose(h *held, n Name) {
	h.release = 0
	if h.fence != 0 {
		h.fence = 0
		l.out = append(l.out, Lost{Name: n})
	}
}

// CaughtUp says that a read has reached the end of the stream.
func (l *Leases) CaughtUp(now time.Duration) []Action {
	l.caughtUp = true
	return l.Tick(now)
}

// Truncated says that the log's oldest record is now oldest, beyond the next one to
// read, or, at the start, where reading begins.
func (l *Leases) Truncated(oldest uint64, now time.Duration) []Action {
	l.oldest = oldest
	l.table.SkipTo(oldest)
	l.caughtUp = false
	return l.Tick(now)
}

// LogRestored says that the log came back from an older copy and is read anew from oldest on, a
// greater offset than any before. No lease of before is held any more.
func (l *Leases) LogRestored(oldest uint64, now time.Duration) []Action {
	l.oldest, l.caughtUp = oldest, false
	l.table.LogRestored(oldest, now)
	for _, n := range l.names() {
		h := l.held[n]
		l.lose(h, n)
		h.pending = 0
		clear(h.sent)
	}
	return l.Tick(now)
}

// SetOldest tells which record is the oldest that the log still has, as its
// answers say.
func (l *Leases) SetOldest(offset uint64) { l.oldest = max(l.oldest, offset) }

// AppendFailed says that an append had no effect, or an unknown one. Should it show
// up in the log after all, it counts from when it was sent.
func (l *Leases) AppendFailed(seq uint64, now time.Duration) []Action {
	for _, h := range l.held {
		if h.pending == seq {
			h.pending = 0
			h.tries++
			h.nextTry = now + l.wait(h.tries, l.params.RetryMax)
		}
	}
	return l.Tick(now)
}

// Tick claims, renews, releases and ends leases as time goes.
func (l *Leases) Tick(now time.Duration) []Action {
	for _, n := range l.names() {
		h := l.held[n]
		if h.fence != 0 && now >= h.until {
			l.lose(h, n)
		}
		if !h.wanted && h.fence == 0 && h.release == 0 && len(h.sent) == 0 {
			delete(l.held, n)
			continue
		}
		l.advance(n, h, now)
	}
	out := l.out
	l.out = nil
	return out
}

func (l *Leases) advance(n Name, h *held, now time.Duration) {
	h.forgetSent(now - l.params.Duration)
	if now < h.nextTry || h.pending != 0 {
		return
	}
	switch {
	case h.release != 0:
		l.advanceRelease(n, h, now)
	case h.fence != 0 && now >= h.until-l.params.RenewBefore:
		l.send(h, &Record{Kind: KindRenew, Name: n, Fence: h.fence}, now)
	case h.fence == 0 && h.wanted && l.caughtUp && l.claimable(n, now):
		claim := &Record{Kind: KindClaim, Name: n, Supersedes: l.table.LastOffset(n)}
		if claim.Supersedes < l.oldest {
			claim.Supersedes, claim.Oldest = 0, l.oldest
		}
		l.send(h, claim, now)
	}
}

// advanceRelease gives a lease back, as long as it is still this process's.
func (l *Leases) advanceRelease(n Name, h *held, now time.Duration) {
	grant, ok := l.table.Holder(n)
	if !ok || grant.Fence != h.release {
		h.release = 0
		return
	}
	l.send(h, &Record{Kind: KindRelease, Name: n, Fence: h.release}, now)
}

// claimable: what this very process held before needs no wait, since it knows
// that it doesn't use it any more; nor does what one before it held, if it is over.
func (l *Leases) claimable(n Name, now time.Duration) bool {
	grant, ok := l.table.Holder(n)
	own := ok && grant.Holder == l.self && (grant.Epoch == l.epoch || l.params.RestartReclaims)
	return own || now >= l.table.ClaimableAt(n, l.params.Margin)
}

func (l *Leases) send(h *held, r *Record, now time.Duration) {
	l.seq++
	r.Holder, r.Epoch, r.Seq = l.self, l.epoch, l.seq
	r.DurationMs = l.params.Duration.Milliseconds()
	data, err := Encode(r)
	if err != nil {
		panic(err) // a record is made of plain values
	}
	h.sent[l.seq] = now
	h.pending = l.seq
	l.out = append(l.out, Append{Seq: l.seq, Data: data, Claim: r.Kind == KindClaim})
}

// forgetSent forgets records whose time would be over if they showed up now.
func (h *held) forgetSent(before time.Duration) {
	for seq, at := range h.sent {
		if at <= before {
			delete(h.sent, seq)
			if h.pending == seq {
				h.pending = 0
			}
		}
	}
}

// wait is the jittered pause after so many tries without effect, at most the longest.
func (l *Leases) wait(tries int, longest time.Duration) time.Duration {
	d := min(l.params.RetryMin<<min(tries-1, 16), longest)
	return d/2 + time.Duration(l.rng.Int64N(int64(d/2)+1))
}

func (l *Leases) of(n Name) *held {
	h, ok := l.held[n]
	if !ok {
		h = &held{sent: map[uint64]time.Duration{}}
		l.held[n] = h
	}
	return h
}

func (l *Leases) names() []Name {
	names := make([]Name, 0, len(l.held))
	for n := range l.held {
		names = append(names, n)
	}
	slices.SortFunc(names, func(a, b Name) int { return strings.Compare(string(a), string(b)) })
	return names
}
