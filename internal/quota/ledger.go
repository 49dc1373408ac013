package quota

import (
	"time"

	"skylarklead/internal/divide"
	"skylarklead/internal/fleet"
)

// Ledger is what one entry may spend of organisations' quotas, and what it has lent.
//
// Invariant: a unit is withdrawn from one bucket only, and within SpendWithin is spent,
// returned or lost.
type Ledger struct {
	params   Params
	entries  divide.Entries
	accounts map[string]*account
	randN    func(n int) int
}

// account is the state of an organisation with a quota.
type account struct {
	name        string
	quota       fleet.Quota
	shares      shares
	sharesValid bool // shares match the current list of entries and quota
	bucket      divide.Bucket
	started     bool
	// loans has the withdrawals by other entries that may still be returned.
	loans map[LoanID]loan
	// lenders has what other entries reported to have left.
	lenders map[string]lenderState
	// refusedUnits is the decayed sum of refused units as of refusedAt.
	refusedUnits float64
	refusedAt    time.Duration
	// unavailable is the number of units that lenders lacked, assumed until unavailableUntil.
	unavailable      float64
	unavailableUntil time.Duration
}

// LoanID identifies a withdrawal by another entry.
type LoanID struct {
	Entry      string
	Epoch, Seq uint64
}

type loan struct {
	units float64
	at    time.Duration
}

// NewLedger returns the ledger of an entry that may not spend anything yet. randN returns a
// random number below n.
func NewLedger(self string, p Params, randN func(n int) int) *Ledger {
	return &Ledger{params: p, entries: divide.NewEntries(self), accounts: make(map[string]*account), randN: randN}
}

// SetParams replaces the parameters.
func (l *Ledger) SetParams(p Params, now time.Duration) {
	l.params = p
	l.redivide(now)
}

// SetEntries sets the names of all listed entries.
func (l *Ledger) SetEntries(entries []string, now time.Duration) {
	l.entries.SetNames(entries)
	l.redivide(now)
}

// Joined records that the list of entries contains this one. known says that it did when this
// process first read the list: then all others account for it already.
func (l *Ledger) Joined(known bool, now time.Duration) {
	if l.entries.Joined(known, l.params.MaxListAge, now) {
		l.redivide(now)
	}
}

// ListConfirmed records as of when the list of entries is known.
func (l *Ledger) ListConfirmed(asOf, now time.Duration) {
	if !l.entries.ListConfirmed(asOf, l.params.MaxListAge) {
		return
	}
	for _, a := range l.accounts {
		// The time for which the list was too old keeps its reduced rate.
		a.refill(now)
		a.bucket.StaleAt = l.entries.StaleAt
	}
}

// redivide has all shares computed again, from now on.
func (l *Ledger) redivide(now time.Duration) {
	for _, a := range l.accounts {
		a.refill(now)
		a.sharesValid = false
	}
}

// refill adds what came in up to now at the previous rate. An account that was not used yet
// adds it at its first use.
func (a *account) refill(now time.Duration) {
	if a.started {
		a.bucket.Refill(now)
	}
}

// SetQuotas sets the quotas in force. Organisations without a quota aren't among them.
func (l *Ledger) SetQuotas(quotas map[string]fleet.Quota, now time.Duration) {
	for name := range l.accounts {
		if _, ok := quotas[name]; !ok {
			delete(l.accounts, name)
		}
	}
	for name, q := range quotas {
		a := l.accounts[name]
		if a == nil {
			a = &account{name: name, loans: make(map[LoanID]loan), lenders: make(map[string]lenderState)}
			a.bucket.RefilledAt, a.bucket.StaleAt = now, l.entries.StaleAt
			l.accounts[name] = a
		}
		if a.quota != q {
			a.refill(now)
			a.bucket.RefilledAt = now
			a.quota, a.sharesValid = q, false
			clear(a.lenders)
		}
	}
}

// account returns an organisation's account with up-to-date shares, nil for an organisation
// without a quota.
func (l *Ledger) account(organisation string, now time.Duration) *account {
	a := l.accounts[organisation]
	if a == nil || a.sharesValid && a.started {
		return a
	}
	a.sharesValid = true
	a.shares = computeShares(a.name, &a.quota, l.params.capacity(&a.quota), l.entries.Names)
	if now < l.entries.ActiveAt {
		a.sharesValid = false
		return a
	}
	share := a.shares.of(l.entries.Self)
	if !a.started {
		// The bucket starts empty, as units spent before a restart are not known. Adds what came in
		// between the beginning of the share and its first use.
		a.bucket.RefilledAt = max(a.bucket.RefilledAt, l.entries.ActiveAt)
		a.bucket.Rate, a.bucket.Capacity = l.rate(a, share), l.capacity(a, share)
		a.started = true
	}
	a.bucket.Resize(l.rate(a, share), l.capacity(a, share), now)
	return a
}

func (l *Ledger) rate(a *account, share float64) float64 {
	return share * l.params.rate(&a.quota)
}

func (l *Ledger) capacity(a *account, share float64) float64 {
	return share * l.params.capacity(&a.quota)
}

// HasQuota reports whether an organisation has a quota.
func (l *Ledger) HasQuota(organisation string) bool { return l.accounts[organisation] != nil }

// Take withdraws units from this entry's own share.
func (l *Ledger) Take(organisation string, units float64, now time.Duration) bool {
	a := l.account(organisation, now)
	return a != nil && a.bucket.Take(units, now)
}

// Refund returns unspent units to this entry's own share that were withdrawn at a time.
// Units withdrawn more than SpendWithin ago are lost.
func (l *Ledger) Refund(organisation string, units float64, at, now time.Duration) {
	if a := l.account(organisation, now); a != nil && now-at <= l.params.SpendWithin {
		a.bucket.Refund(units, now)
	}
}

// LendReply is the answer to an entry that asks for a loan.
type LendReply struct {
	// Units is the number lent, 0 for none; Remaining is the lender's level afterwards.
	Units, Remaining float64
}

// Lend withdraws units for another entry: all that it asks for or, if the request is larger
// than this entry's bucket can ever hold, a part.
func (l *Ledger) Lend(organisation string, units float64, to LoanID, now time.Duration) LendReply {
	a := l.account(organisation, now)
	if a == nil || !(units > 0) {
		return LendReply{}
	}
	a.expireLoans(now - l.params.SpendWithin)
	a.bucket.Refill(now)
	if _, again := a.loans[to]; again {
		return LendReply{Remaining: a.bucket.Level}
	}
	lent := min(units, max(a.bucket.Level, 0))
	if lent < min(units, partialLoanFraction*a.bucket.Capacity) {
		return LendReply{Remaining: a.bucket.Level}
	}
	if !a.bucket.Take(lent, now) || lent == 0 {
		return LendReply{Remaining: a.bucket.Level}
	}
	a.loans[to] = loan{lent, now}
	return LendReply{Units: lent, Remaining: a.bucket.Level}
}

// partialLoanFraction is the fraction of the bucket's capacity that is enough for a partial loan.
const partialLoanFraction = 0.5

// LoanReturned takes back units that were lent and not spent.
func (l *Ledger) LoanReturned(organisation string, units float64, by LoanID, now time.Duration) {
	a := l.account(organisation, now)
	if a == nil {
		return
	}
	a.expireLoans(now - l.params.SpendWithin)
	granted, ok := a.loans[by]
	if !ok || !(units > 0) {
		return
	}
	delete(a.loans, by)
	a.bucket.Refund(min(units, granted.units), now)
}

// expireLoans drops loans made before a time: they can't be returned any more.
func (a *account) expireLoans(before time.Duration) {
	for id, granted := range a.loans {
		if granted.at < before {
			delete(a.loans, id)
		}
	}
}

// State is the state of a quota at one entry.
type State struct {
	Rate, Burst float64
	// Share is this entry's share of the quota, 0 to 1, Level the units it has left.
	Share, Level float64
	// Stale is set if the list of entries is too old for the whole rate.
	Stale bool
}

// State returns the state of an organisation's quota, false if it has none.
func (l *Ledger) State(organisation string, now time.Duration) (State, bool) {
	a := l.account(organisation, now)
	if a == nil {
		return State{}, false
	}
	a.bucket.Refill(now)
	s := State{
		Rate: a.quota.Rate, Burst: a.quota.Burst, Level: a.bucket.Level,
		Stale: now > l.entries.StaleAt,
	}
	if now >= l.entries.ActiveAt {
		s.Share = a.shares.of(l.entries.Self)
	}
	return s, true
}
