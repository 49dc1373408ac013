package quota

import (
	"time"

	"skylarklead/internal/divide"
	"skylarklead/internal/fleet"
)

// Ledger is what one entry may spend of organisations' limits, and what it has lent.
//
// Invariant: a unit is withdrawn from one bucket only, and is spent or given back within
// SpendWithin or lost.
type Ledger struct {
	params   Params
	entries  divide.Entries
	accounts map[string]*account
	draw     func(n int) int
}

// account is an organisation with a limit.
type account struct {
	name    string
	limit   fleet.Quota
	shares  shares
	divided bool // shares are of the present list of entries
	bucket  divide.Bucket
	begun   bool
	// lent are the withdrawals by others that may still be given back.
	lent map[LoanID]loan
	// known is what lenders said they have left.
	known map[string]lender
	// refused is how much was refused lately, as of refusedAt.
	refused   float64
	refusedAt time.Duration
	// lacking is how much lenders didn't have, believed until lackingUntil.
	lacking      float64
	lackingUntil time.Duration
}

// LoanID names a withdrawal by another entry.
type LoanID struct {
	Entry      string
	Epoch, Seq uint64
}

type loan struct {
	units float64
	at    time.Duration
}

// NewLedger returns the ledger of an entry that may spend nothing yet. draw returns a
// random number below n.
func NewLedger(self string, p Params, draw func(n int) int) *Ledger {
	return &Ledger{params: p, entries: divide.NewEntries(self), accounts: make(map[string]*account), draw: draw}
}

// SetParams takes other parameters.
func (l *Ledger) SetParams(p Params, now time.Duration) {
	l.params = p
	l.redivide(now)
}

// SetEntries takes the names of all entries listed.
func (l *Ledger) SetEntries(entries []string, now time.Duration) {
	l.entries.SetNames(entries)
	l.redivide(now)
}

// Joined says that the list of entries has this one. known says that it had when this
// process read the list first: all others count it then, as it was there before.
func (l *Ledger) Joined(known bool, now time.Duration) {
	if l.entries.Joined(known, l.params.MaxListAge, now) {
		l.redivide(now)
	}
}

// ListConfirmed says as of when the list of entries is known.
func (l *Ledger) ListConfirmed(asOf, now time.Duration) {
	if !l.entries.ListConfirmed(asOf, l.params.MaxListAge) {
		return
	}
	for _, a := range l.accounts {
		// A time for which the list was too old keeps its rate.
		a.settle(now)
		a.bucket.StaleAt = l.entries.StaleAt
	}
}

// redivide has all shares computed anew, from now on.
func (l *Ledger) redivide(now time.Duration) {
	for _, a := range l.accounts {
		a.settle(now)
		a.divided = false
	}
}

// settle takes in what has come up to now at the rate until now. An account that was not
// used yet takes it in at its first use.
func (a *account) settle(now time.Duration) {
	if a.begun {
		a.bucket.Refill(now)
	}
}

// SetLimits takes the limits in force. Organisations without one aren't among them.
func (l *Ledger) SetLimits(limits map[string]fleet.Quota, now time.Duration) {
	for name := range l.accounts {
		if _, ok := limits[name]; !ok {
			delete(l.accounts, name)
		}
	}
	for name, q := range limits {
		a := l.accounts[name]
		if a == nil {
			a = &account{name: name, lent: make(map[LoanID]loan), known: make(map[string]lender)}
			a.bucket.RefilledAt, a.bucket.StaleAt = now, l.entries.StaleAt
			l.accounts[name] = a
		}
		if a.limit != q {
			a.settle(now)
			a.bucket.RefilledAt = now
			a.limit, a.divided = q, false
			clear(a.known)
		}
	}
}

// account returns an organisation's account with its shares up to date, nil for one
// without a limit.
func (l *Ledger) account(organisation string, now time.Duration) *account {
	a := l.accounts[organisation]
	if a == nil || a.divided && a.begun {
		return a
	}
	a.divided = true
	a.shares = sharesOf(a.name, &a.limit, l.params.most(&a.limit), l.entries.Names)
	if now < l.entries.ActiveAt {
		a.divided = false
		return a
	}
	part := a.shares.of(l.entries.Self)
	if !a.begun {
		// What came in between the beginning of the part and its first use.
		a.bucket.RefilledAt = max(a.bucket.RefilledAt, l.entries.ActiveAt)
		a.bucket.Rate, a.bucket.Capacity = l.rate(a, part), l.most(a, part)
		a.bucket.Level = min(a.bucket.Capacity, begun*l.params.Slack*part)
		a.begun = true
	}
	a.bucket.Resize(l.rate(a, part), l.most(a, part), now)
	return a
}

func (l *Ledger) rate(a *account, part float64) float64 {
	return part * l.params.rate(&a.limit)
}

func (l *Ledger) most(a *account, part float64) float64 {
	return part * l.params.most(&a.limit)
}

// HasLimit reports whether an organisation has a limit.
func (l *Ledger) HasLimit(organisation string) bool { return l.accounts[organisation] != nil }

// Take withdraws units from this entry's own part.
func (l *Ledger) Take(organisation string, units float64, now time.Duration) bool {
	a := l.account(organisation, now)
	return a != nil && a.bucket.Take(units, now)
}

// Refund takes back units of this entry's own part that were withdrawn at a time and are
// not spent. Those withdrawn longer ago are lost.
func (l *Ledger) Refund(organisation string, units float64, at, now time.Duration) {
	if a := l.account(organisation, now); a != nil && now-at <= l.params.SpendWithin {
		a.bucket.Refund(units, now)
	}
}

// LendReply is the answer to an entry that asks for units.
type LendReply struct {
	// Units are lent, 0 for none; Remaining are left here.
	Units, Remaining float64
}

// Lend withdraws units for another entry: all that it asks for, or, of a request larger
// than what is saved up here at most, a part.
func (l *Ledger) Lend(organisation string, units float64, to LoanID, now time.Duration) LendReply {
	a := l.account(organisation, now)
	if a == nil || !(units > 0) {
		return LendReply{}
	}
	a.forget(now - l.params.SpendWithin)
	a.bucket.Refill(now)
	if _, again := a.lent[to]; again {
		return LendReply{Remaining: a.bucket.Level}
	}
	lent := min(units, max(a.bucket.Level, 0))
	if lent < min(units, lendAtOnce*a.bucket.Capacity) {
		return LendReply{Remaining: a.bucket.Level}
	}
	if !a.bucket.Take(lent, now) || lent == 0 {
		return LendReply{Remaining: a.bucket.Level}
	}
	a.lent[to] = loan{lent, now}
	return LendReply{Units: lent, Remaining: a.bucket.Level}
}

// lendAtOnce is the part of what can be saved up that is lent of a larger request.
const lendAtOnce = 0.5

// LoanReturned takes units back that were lent and not spent.
func (l *Ledger) LoanReturned(organisation string, units float64, by LoanID, now time.Duration) {
	a := l.account(organisation, now)
	if a == nil {
		return
	}
	a.forget(now - l.params.SpendWithin)
	given, ok := a.lent[by]
	if !ok || !(units > 0) {
		return
	}
	delete(a.lent, by)
	a.bucket.Refund(min(units, given.units), now)
}

// forget drops loans made before a time: they can't be given back any more.
func (a *account) forget(before time.Duration) {
	for id, given := range a.lent {
		if given.at < before {
			delete(a.lent, id)
		}
	}
}

// State is what an entry tells of a limit.
type State struct {
	Rate, Burst float64
	// Share is this entry's part of the limit, 0 to 1, Level what it has left of it.
	Share, Level float64
	// Stale says that the list of entries is too old for the whole rate.
	Stale bool
}

// State returns an organisation's state.
func (l *Ledger) State(organisation string, now time.Duration) (State, bool) {
	a := l.account(organisation, now)
	if a == nil {
		return State{}, false
	}
	a.bucket.Refill(now)
	s := State{
		Rate: a.limit.Rate, Burst: a.limit.Burst, Level: a.bucket.Level,
		Stale: now > l.entries.StaleAt,
	}
	if now >= l.entries.ActiveAt {
		s.Share = a.shares.of(l.entries.Self)
	}
	return s, true
}
