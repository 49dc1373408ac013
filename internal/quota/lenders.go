package quota

import (
	"slices"
	"time"
)

// lenderState is what an entry reported to have left at a time.
type lenderState struct {
	remaining float64
	at        time.Duration
}

const (
	// lenderTTL is how long a lender's report that it lacks units counts.
	lenderTTL = 250 * time.Millisecond
	// unavailableTTL is how long an organisation's requests of a size or larger are refused
	// without loan requests after lenders had nothing for one of that size.
	unavailableTTL = 50 * time.Millisecond
	// maxLenders is how many entries are asked for one request, one after the other.
	maxLenders = 3
	// refusalWindow is how long refusals count towards the wait of the next caller.
	refusalWindow = time.Second
	// minWait and maxWait bound the Retry-After that a caller gets.
	minWait = 100 * time.Millisecond
	maxWait = 5 * time.Second
)

// Lenders returns the entries to ask for units, in order: owners that may have them according
// to their last report, and of a large quota one of the other entries. None means that the
// quota is used up. usable reports whether an entry answers.
func (l *Ledger) Lenders(organisation string, units float64, usable func(string) bool, now time.Duration) []string {
	a := l.account(organisation, now)
	if a == nil || now < a.unavailableUntil && units >= a.unavailable {
		return nil
	}
	owners := l.rankLenders(a, a.shares.owners, a.shares.evenShare+a.shares.ownerShare, units, usable, now)
	if len(owners) >= maxLenders {
		return owners[:maxLenders]
	}
	if a.shares.evenShare == 0 || units > l.capacity(a, a.shares.evenShare) {
		return owners
	}
	other := l.entries.Names[l.randN(len(l.entries.Names))]
	if slices.Contains(a.shares.owners, other) {
		return owners
	}
	return append(owners, l.rankLenders(a, []string{other}, a.shares.evenShare, units, usable, now)...)
}

// OwnerReachable reports whether any owner of the undivided part of a quota may be asked, this
// entry included.
func (l *Ledger) OwnerReachable(organisation string, usable func(string) bool, now time.Duration) bool {
	a := l.account(organisation, now)
	return a == nil || slices.ContainsFunc(a.shares.owners, func(owner string) bool { return owner == l.entries.Self || usable(owner) })
}

// rankLenders returns those of some entries with equal shares that may have units, the one
// with most units first.
func (l *Ledger) rankLenders(a *account, entries []string, share, units float64, usable func(string) bool, now time.Duration) []string {
	capacity := l.capacity(a, share)
	need := min(units, partialLoanFraction*capacity)
	type candidate struct {
		entry     string
		available float64
	}
	var out []candidate
	first := 0
	if len(entries) > 0 {
		first = l.randN(len(entries))
	}
	for i := range entries {
		entry := entries[(first+i)%len(entries)]
		if entry == l.entries.Self || !usable(entry) {
			continue
		}
		has := capacity
		if s, ok := a.lenders[entry]; ok && now-s.at < lenderTTL {
			has = min(capacity, s.remaining+l.rate(a, share)*(now-s.at).Seconds())
		}
		if has >= need {
			out = append(out, candidate{entry, has})
		}
	}
	slices.SortStableFunc(out, func(a, b candidate) int {
		switch {
		case a.available > b.available:
			return -1
		case a.available < b.available:
			return 1
		}
		return 0
	})
	names := make([]string, 0, len(out))
	for _, c := range out {
		names = append(names, c.entry)
	}
	return names
}

// LenderReported records what a lender reported to have left.
func (l *Ledger) LenderReported(organisation, entry string, remaining float64, now time.Duration) {
	if a := l.accounts[organisation]; a != nil && slices.Contains(l.entries.Names, entry) {
		a.lenders[entry] = lenderState{remaining, now}
	}
}

// RecordRefusal counts refused units, and returns after which time the quota will have room
// for them after those refused before, here and at the other entries, which are assumed to
// have refused as much as this one.
func (l *Ledger) RecordRefusal(organisation string, units float64, now time.Duration) time.Duration {
	a := l.account(organisation, now)
	if a == nil || a.quota.Rate <= 0 {
		return minWait
	}
	if now >= a.unavailableUntil || units < a.unavailable {
		a.unavailable, a.unavailableUntil = units, now+unavailableTTL
	}
	weight := max(0, 1-(now-a.refusedAt).Seconds()/refusalWindow.Seconds())
	earlier := a.refusedUnits * weight
	a.refusedUnits, a.refusedAt = earlier+units, now
	refusers := float64(len(a.shares.owners))
	if a.shares.evenShare > 0 {
		refusers = float64(len(l.entries.Names))
	}
	wait := time.Duration((units + refusers*earlier) / a.quota.Rate * float64(time.Second))
	return min(maxWait, max(minWait, wait))
}
