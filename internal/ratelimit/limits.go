package ratelimit

import (
	"math"
	"time"

	"skylarklead/internal/divide"
)

// Params are the times and sizes of shares of a limit.
type Params struct {
	// Burst is the least number of requests that all entries together may accumulate, 1 or more.
	Burst float64
	// BurstPeriod is the time for which a share of a large rate may accumulate.
	BurstPeriod time.Duration
	// LimitTTL is how long a limit holds after the last answer or update with it. Then single
	// requests probe whether it still holds.
	LimitTTL time.Duration
	// RenewInterval is the pause between updates to the others that a limit still holds.
	RenewInterval time.Duration
	// ReplicaPrecedence is how long a replica's answer takes precedence over others' updates.
	ReplicaPrecedence time.Duration
	// MaxListAge is how old the list of entries may be. An entry has no share until it has been
	// listed for that long, and half a share while its list is older.
	MaxListAge time.Duration
}

// DefaultParams keep the requests within any four seconds below one and a half times the
// limit plus five requests, even with one entry more than some of the entries know of.
var DefaultParams = Params{
	Burst: 3, BurstPeriod: 250 * time.Millisecond,
	LimitTTL: 30 * time.Second, RenewInterval: 10 * time.Second, ReplicaPrecedence: time.Second,
	MaxListAge: 6 * time.Second,
}

const (
	// sendsPerUpdate is how often an update is sent: a datagram may be lost.
	sendsPerUpdate = 2
	// rateTolerance is the relative change of a rate up to which no update is sent.
	rateTolerance = 0.1
)

// limit is what is known of one replica's rate limit.
//
// Invariant: a limit that was just announced has nothing accumulated, as the requests under way
// have used it.
type limit struct {
	rate float64
	// lastReceived is when the limit was last confirmed by an answer or an update, announcedAt when
	// the replica last announced it to this entry, 0 for never.
	lastReceived, announcedAt time.Duration
	// lastAdvertised is when this entry or another last sent an update with the limit;
	// sendsLeft is how often its current rate has still to be sent.
	lastAdvertised time.Duration
	sendsLeft      int
	// probedAt is when this entry last sent a request to probe whether the limit still holds.
	probedAt time.Duration

	share  entryShare
	bucket divide.Bucket
}

// Update is an entry's message to the others on a replica's limit.
type Update struct {
	Replica string
	// Rate is in requests a second; Lifted is set if there is no limit any more.
	Rate   float64
	Lifted bool
}

// Limits are the limits that replicas have announced, as known to one entry. It isn't safe for
// concurrent use.
type Limits struct {
	params  Params
	entries divide.Entries
	known   map[string]*limit
	// lifted has the limits whose end has still to be sent, and how often.
	lifted map[string]int
}

// New returns an entry's limits. The entry has no share of any until Joined.
func New(self string, p Params) *Limits {
	return &Limits{params: p, entries: divide.NewEntries(self), known: make(map[string]*limit), lifted: make(map[string]int)}
}

// SetEntries sets the names of all listed entries.
func (l *Limits) SetEntries(entries []string, now time.Duration) {
	l.entries.SetNames(entries)
	l.redivide(now)
}

// Joined records that the list of entries contains this one. known says that it did when this
// process first read the list: then all others account for it already.
func (l *Limits) Joined(known bool, now time.Duration) {
	if l.entries.Joined(known, l.params.MaxListAge, now) {
		l.redivide(now)
	}
}

// ListConfirmed records as of when the list of entries is known.
func (l *Limits) ListConfirmed(asOf, now time.Duration) {
	if !l.entries.ListConfirmed(asOf, l.params.MaxListAge) {
		return
	}
	for _, lim := range l.known {
		// The time for which the list was too old keeps its reduced rate.
		l.refill(lim, now)
		lim.bucket.StaleAt = l.entries.StaleAt
	}
}

func (l *Limits) redivide(now time.Duration) {
	for id, lim := range l.known {
		l.resize(id, lim, now)
	}
}

// resize sets this entry's share of a limit as of now.
func (l *Limits) resize(id string, lim *limit, now time.Duration) {
	l.refill(lim, now)
	lim.share = l.params.share(l.entries.Self, id, lim.rate, l.entries.Names)
	lim.bucket.Resize(lim.share.rate, lim.share.depth, now)
}

// refill adds what came in up to now. Nothing comes in before the entry's shares begin.
func (l *Limits) refill(lim *limit, now time.Duration) {
	lim.bucket.RefilledAt = max(lim.bucket.RefilledAt, min(now, l.entries.ActiveAt))
	lim.bucket.Refill(now)
}

// AnswerWithLimit takes an answer in which a replica announces a limit. It reports whether the
// limit is new or differs from the last one by more than rateTolerance.
func (l *Limits) AnswerWithLimit(id string, rate float64, now time.Duration) bool {
	lim, changed := l.set(id, rate, now)
	lim.announcedAt = now
	lim.lastReceived = now
	if changed {
		lim.sendsLeft = sendsPerUpdate
	}
	return changed
}

func (l *Limits) set(id string, rate float64, now time.Duration) (lim *limit, changed bool) {
	delete(l.lifted, id)
	lim = l.known[id]
	if lim == nil {
		lim = &limit{bucket: divide.Bucket{RefilledAt: now, StaleAt: l.entries.StaleAt}}
		l.known[id] = lim
		changed = true
	}
	changed = changed || math.Abs(lim.rate-rate) > rateTolerance*lim.rate
	if changed || lim.rate != rate {
		l.refill(lim, now)
		lim.rate = rate
		l.resize(id, lim, now)
	}
	return lim, changed
}

// AnswerWithoutLimit takes a replica's answer without a limit to a request that was sent at a
// time. It reports whether that ends a limit: if the request was sent before the limit was last
// confirmed, the answer may be older than the limit.
func (l *Limits) AnswerWithoutLimit(id string, sent time.Duration) bool {
	lim := l.known[id]
	if lim == nil || sent <= lim.lastReceived {
		return false
	}
	delete(l.known, id)
	l.lifted[id] = sendsPerUpdate
	return true
}

// UpdateReceived takes another entry's update. It reports whether it changes anything.
func (l *Limits) UpdateReceived(u Update, now time.Duration) bool {
	lim := l.known[u.Replica]
	if lim != nil && lim.announcedAt != 0 && now-lim.announcedAt <= l.params.ReplicaPrecedence {
		return false
	}
	if u.Lifted {
		delete(l.known, u.Replica)
		return lim != nil
	}
	if !(u.Rate >= 0) || math.IsInf(u.Rate, 0) {
		return false
	}
	lim, changed := l.set(u.Replica, u.Rate, now)
	lim.lastAdvertised = now
	lim.lastReceived = now
	return changed
}

// Allows reports whether a request may be sent to a replica now.
func (l *Limits) Allows(id string, now time.Duration) bool {
	lim := l.known[id]
	if lim == nil {
		return true
	}
	l.refill(lim, now)
	return lim.bucket.Level >= 1 || now >= l.nextProbe(lim, now)
}

// Take counts a request that is sent to a replica.
func (l *Limits) Take(id string, now time.Duration) {
	lim := l.known[id]
	if lim == nil {
		return
	}
	l.refill(lim, now)
	if !lim.bucket.Take(1, now) && now >= l.nextProbe(lim, now) {
		lim.probedAt = now
	}
}

// Next returns when a request may be sent to a replica, as far as is known now.
func (l *Limits) Next(id string, now time.Duration) time.Duration {
	lim := l.known[id]
	if lim == nil {
		return now
	}
	l.refill(lim, now)
	next := max(now, l.nextProbe(lim, now))
	if lim.bucket.Rate > 0 && l.entries.ActiveAt-now < l.params.LimitTTL {
		missing := max(0, 1-lim.bucket.Level) / lim.bucket.Rate
		next = min(next, max(now, l.entries.ActiveAt)+time.Duration(missing*float64(time.Second)))
	}
	return next
}

// DueUpdates returns the updates to send to the others now: those on changes, and those on limits
// that they got no update on for RenewInterval.
func (l *Limits) DueUpdates(now time.Duration) []Update {
	var updates []Update
	for id, times := range l.lifted {
		updates = append(updates, Update{Replica: id, Lifted: true})
		if l.lifted[id] = times - 1; times <= 1 {
			delete(l.lifted, id)
		}
	}
	for id, lim := range l.known {
		renew := lim.announcedAt > lim.lastAdvertised && now-lim.lastAdvertised >= l.params.RenewInterval
		if lim.sendsLeft == 0 && !renew {
			continue
		}
		lim.sendsLeft = max(0, lim.sendsLeft-1)
		lim.lastAdvertised = now
		updates = append(updates, Update{Replica: id, Rate: lim.rate})
	}
	return updates
}

// Forget drops the limit of a replica that is gone.
func (l *Limits) Forget(id string) {
	delete(l.known, id)
	delete(l.lifted, id)
}

// State is the state of a replica's limit.
type State struct {
	// Rate is what the replica accepts, Share what this entry may send of it, both in requests
	// a second; Sharers is how many entries have a share.
	Rate, Share float64
	Sharers     int
	// Age is the time since the limit was last confirmed; FromReplica is set if the replica
	// announced it to this entry.
	Age         time.Duration
	FromReplica bool
}

// State returns the state of a replica's limit, false if it has none.
func (l *Limits) State(id string, now time.Duration) (State, bool) {
	lim := l.known[id]
	if lim == nil {
		return State{}, false
	}
	return State{Rate: lim.rate, Share: lim.bucket.Rate, Sharers: lim.share.sharers, Age: now - lim.lastReceived, FromReplica: lim.announcedAt != 0}, true
}
