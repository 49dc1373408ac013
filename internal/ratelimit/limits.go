package ratelimit

import (
	"math"
	"time"

	"skylarklead/internal/divide"
)

// Params time and size the parts of a limit.
type Params struct {
	// Burst is how many requests all entries together may save up at least, 1 or more.
	Burst float64
	// BurstPeriod is the time for which a part of a large rate is saved up.
	BurstPeriod time.Duration
	// LimitTTL is how long a limit holds after the last word of it. Then one request is
	// tried, whose answer tells.
	LimitTTL time.Duration
	// RenewInterval is the pause between words to the others that a limit still holds.
	RenewInterval time.Duration
	// ReplicaPrecedence is for how long a replica's answer is believed against what others tell.
	ReplicaPrecedence time.Duration
	// MaxListAge is how old the list of entries may be. An entry has no part until it has been
	// listed for as long, and half a part while what it knows is older.
	MaxListAge time.Duration
}

// DefaultParams keep what a limit allows within any four seconds below one and a half times the
// limit and five requests, also with one entry more than some of them know of.
var DefaultParams = Params{
	Burst: 3, BurstPeriod: 250 * time.Millisecond,
	LimitTTL: 30 * time.Second, RenewInterval: 10 * time.Second, ReplicaPrecedence: time.Second,
	MaxListAge: 6 * time.Second,
}

const (
	// tellings is how often news are told: a datagram may be lost.
	tellings = 2
	// sameRate is the relative change of a rate that is no news to the others.
	sameRate = 0.1
)

// limit is what is believed of one replica's rate.
//
// Invariant: a limit that was just named has nothing saved up, as requests under way have used it.
type limit struct {
	rate float64
	// said is when it was last heard of, own when the replica itself named it here last, 0 for
	// never.
	said, own time.Duration
	// told is when the others were last told of it, by this entry or another; tell is how often
	// its present rate has still to be told.
	told time.Duration
	tell int
	// tryAt is from when on a request may find out whether the limit still holds, asked when it
	// was last asked if one may.
	tryAt, asked time.Duration

	// among is how many entries have a part.
	among int
	part  divide.Bucket
}

// Update is what entries tell each other of a replica's limit.
type Update struct {
	Replica string
	// Rate is in requests a second; Lifted says that there is no limit any more.
	Rate   float64
	Lifted bool
}

// Limits are the limits that replicas have named, as one entry knows them. It isn't safe for
// concurrent use.
type Limits struct {
	params  Params
	entries divide.Entries
	known   map[string]*limit
	// lifted are the limits whose end is still to be told, and how often.
	lifted map[string]int
	// draw returns a random number in [0, 1).
	draw func() float64
}

// New returns an entry's limits. It has no part of any until Joined.
func New(self string, p Params, draw func() float64) *Limits {
	return &Limits{params: p, entries: divide.NewEntries(self), known: make(map[string]*limit), lifted: make(map[string]int), draw: draw}
}

// SetEntries takes the names of all entries listed.
func (l *Limits) SetEntries(entries []string, now time.Duration) {
	l.entries.SetNames(entries)
	l.redivide(now)
}

// Joined says that the list of entries has this one. known says that it had when this process
// read the list first: all others count it then.
func (l *Limits) Joined(known bool, now time.Duration) {
	if l.entries.Joined(known, l.params.MaxListAge, now) {
		l.redivide(now)
	}
}

// ListConfirmed says as of when the list of entries is known.
func (l *Limits) ListConfirmed(asOf, now time.Duration) {
	if !l.entries.ListConfirmed(asOf, l.params.MaxListAge) {
		return
	}
	for _, k := range l.known {
		// A time for which the list was too old keeps its rate.
		l.refill(k, now)
		k.part.StaleAt = l.entries.StaleAt
	}
}

func (l *Limits) redivide(now time.Duration) {
	for id, k := range l.known {
		l.resize(id, k, now)
	}
}

// resize gives a limit its part as of now.
func (l *Limits) resize(id string, k *limit, now time.Duration) {
	l.refill(k, now)
	var rate, depth float64
	rate, depth, k.among = l.params.part(l.entries.Self, id, k.rate, l.entries.Names)
	k.part.Resize(rate, depth, now)
}

// refill adds what has come in up to now. Before the entry has parts nothing does.
func (l *Limits) refill(k *limit, now time.Duration) {
	k.part.RefilledAt = max(k.part.RefilledAt, min(now, l.entries.ActiveAt))
	k.part.Refill(now)
}

// AnswerWithLimit takes an answer of a replica that names a limit. It reports whether that is news: a
// first limit, or one that differs from the last by more than a little.
func (l *Limits) AnswerWithLimit(id string, rate float64, now time.Duration) bool {
	k, news := l.put(id, rate, now)
	k.own = now
	l.heard(k, now)
	if news {
		k.tell = tellings
	}
	return news
}

func (l *Limits) put(id string, rate float64, now time.Duration) (k *limit, news bool) {
	delete(l.lifted, id)
	k = l.known[id]
	if k == nil {
		k = &limit{part: divide.Bucket{RefilledAt: now, StaleAt: l.entries.StaleAt}}
		l.known[id] = k
		news = true
	}
	news = news || math.Abs(k.rate-rate) > sameRate*k.rate
	if news || k.rate != rate {
		l.refill(k, now)
		k.rate = rate
		l.resize(id, k, now)
	}
	return k, news
}

// heard says that a limit was spoken of now.
func (l *Limits) heard(k *limit, now time.Duration) {
	k.said = now
	k.tryAt = now + l.params.LimitTTL + l.spread()
}

// spread is drawn, so that entries don't all try at the same time.
func (l *Limits) spread() time.Duration {
	return time.Duration(l.draw() * float64(l.params.LimitTTL))
}

// AnswerWithoutLimit takes an answer of a replica without a limit, to a request that was sent at a time. It
// reports whether that ends a limit: the answer to a request from before the last word of the
// limit may be older than the limit.
func (l *Limits) AnswerWithoutLimit(id string, sent time.Duration) bool {
	k := l.known[id]
	if k == nil || sent <= k.said {
		return false
	}
	delete(l.known, id)
	l.lifted[id] = tellings
	return true
}

// UpdateReceived takes what another entry tells. It reports whether that is news.
func (l *Limits) UpdateReceived(w Update, now time.Duration) bool {
	k := l.known[w.Replica]
	if k != nil && k.own != 0 && now-k.own <= l.params.ReplicaPrecedence {
		return false
	}
	if w.Lifted {
		delete(l.known, w.Replica)
		return k != nil
	}
	if !(w.Rate >= 0) || math.IsInf(w.Rate, 0) {
		return false
	}
	k, news := l.put(w.Replica, w.Rate, now)
	k.told = now
	l.heard(k, now)
	return news
}

// Allows reports whether a request may be sent to a replica now.
func (l *Limits) Allows(id string, now time.Duration) bool {
	k := l.known[id]
	if k == nil {
		return true
	}
	l.refill(k, now)
	if now >= k.tryAt && now-k.asked > l.params.LimitTTL {
		// All entries may have had nothing to send for as long.
		k.tryAt = now + l.spread()
	}
	k.asked = now
	return k.part.Level >= 1 || now >= k.tryAt
}

// Take counts a request that is sent to a replica.
func (l *Limits) Take(id string, now time.Duration) {
	k := l.known[id]
	if k == nil {
		return
	}
	l.refill(k, now)
	if !k.part.Take(1, now) && now >= k.tryAt {
		k.tryAt = now + l.params.LimitTTL + l.spread()
	}
}

// Next returns when a request may be sent to a replica, as far as is known now.
func (l *Limits) Next(id string, now time.Duration) time.Duration {
	k := l.known[id]
	if k == nil {
		return now
	}
	l.refill(k, now)
	next := max(now, k.tryAt)
	if k.part.Rate > 0 && l.entries.ActiveAt-now < l.params.LimitTTL {
		missing := max(0, 1-k.part.Level) / k.part.Rate
		next = min(next, max(now, l.entries.ActiveAt)+time.Duration(missing*float64(time.Second)))
	}
	return next
}

// DueUpdates returns what to tell the others now: what is news to them, and limits that they have not
// been told of for a while.
func (l *Limits) DueUpdates(now time.Duration) []Update {
	var words []Update
	for id, times := range l.lifted {
		words = append(words, Update{Replica: id, Lifted: true})
		if l.lifted[id] = times - 1; times <= 1 {
			delete(l.lifted, id)
		}
	}
	for id, k := range l.known {
		renew := k.own > k.told && now-k.told >= l.params.RenewInterval
		if k.tell == 0 && !renew {
			continue
		}
		k.tell = max(0, k.tell-1)
		k.told = now
		words = append(words, Update{Replica: id, Rate: k.rate})
	}
	return words
}

// Forget drops the limit of a replica that is gone.
func (l *Limits) Forget(id string) {
	delete(l.known, id)
	delete(l.lifted, id)
}

// State is what is known of a replica's limit.
type State struct {
	// Rate is what the replica takes, Share what this entry may send of it, both in requests a
	// second; Among is how many entries have a part.
	Rate, Share float64
	Sharers     int
	// Age is the time since the last word of it, Own whether the replica itself named it here.
	Age         time.Duration
	FromReplica bool
}

// State returns the state of a replica's limit, false if it has none.
func (l *Limits) State(id string, now time.Duration) (State, bool) {
	k := l.known[id]
	if k == nil {
		return State{}, false
	}
	return State{Rate: k.rate, Share: k.part.Rate, Sharers: k.among, Age: now - k.said, FromReplica: k.own != 0}, true
}
