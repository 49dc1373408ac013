package quota

import (
	"slices"
	"time"
)

// lender is what an entry said it has left, as of a time.
type lender struct {
	left float64
	at   time.Duration
}

const (
	// knownFor is how long a lender's word that it lacks units is believed.
	knownFor = 250 * time.Millisecond
	// lackingFor is how long an organisation's requests of a size are refused unasked after
	// lenders had nothing for one.
	lackingFor = 50 * time.Millisecond
	// mostLenders is how many entries one request asks, one after the other.
	mostLenders = 3
	// refusedFor is over how long refusals count towards the wait of the next caller.
	refusedFor = time.Second
	// leastWait and mostWait bound what a caller is told.
	leastWait = 100 * time.Millisecond
	mostWait  = 5 * time.Second
)

// Lenders lists the entries to ask for units, in order: those that may have them by what
// they said, and of a large limit one of the others. None means that the limit is used
// up. usable reports whether an entry answers.
func (l *Ledger) Lenders(organisation string, units float64, usable func(string) bool, now time.Duration) []string {
	a := l.account(organisation, now)
	if a == nil || now < a.lackingUntil && units >= a.lacking {
		return nil
	}
	homes := l.lendersOf(a, a.shares.homes, a.shares.even+a.shares.home, units, usable, now)
	if len(homes) >= mostLenders {
		return homes[:mostLenders]
	}
	if a.shares.even == 0 || units > l.most(a, a.shares.even) {
		return homes
	}
	other := l.entries.Names[l.draw(len(l.entries.Names))]
	if slices.Contains(a.shares.homes, other) {
		return homes
	}
	return append(homes, l.lendersOf(a, []string{other}, a.shares.even, units, usable, now)...)
}

// OwnerReachable reports whether any entry that holds the undivided part of a limit may be asked, this
// one included.
func (l *Ledger) OwnerReachable(organisation string, usable func(string) bool, now time.Duration) bool {
	a := l.account(organisation, now)
	return a == nil || slices.ContainsFunc(a.shares.homes, func(home string) bool { return home == l.entries.Self || usable(home) })
}

// lendersOf are those of some entries, which have equal parts, that may have units, the
// one with most first.
func (l *Ledger) lendersOf(a *account, entries []string, part, units float64, usable func(string) bool, now time.Duration) []string {
	most := l.most(a, part)
	need := min(units, lendAtOnce*most)
	type candidate struct {
		entry string
		has   float64
	}
	var out []candidate
	first := 0
	if len(entries) > 0 {
		first = l.draw(len(entries))
	}
	for i := range entries {
		entry := entries[(first+i)%len(entries)]
		if entry == l.entries.Self || !usable(entry) {
			continue
		}
		has := most
		if k, ok := a.known[entry]; ok && now-k.at < knownFor {
			has = min(most, k.left+l.rate(a, part)*(now-k.at).Seconds())
		}
		if has >= need {
			out = append(out, candidate{entry, has})
		}
	}
	slices.SortStableFunc(out, func(a, b candidate) int {
		switch {
		case a.has > b.has:
			return -1
		case a.has < b.has:
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

// LenderReported takes what a lender said it has left.
func (l *Ledger) LenderReported(organisation, entry string, left float64, now time.Duration) {
	if a := l.accounts[organisation]; a != nil && slices.Contains(l.entries.Names, entry) {
		a.known[entry] = lender{left, now}
	}
}

// RecordRefusal counts units that were refused, and returns when the limit will have room for
// them after those refused before, here and, as it is told by this entry's own, elsewhere.
func (l *Ledger) RecordRefusal(organisation string, units float64, now time.Duration) time.Duration {
	a := l.account(organisation, now)
	if a == nil || a.limit.Rate <= 0 {
		return leastWait
	}
	if now >= a.lackingUntil || units < a.lacking {
		a.lacking, a.lackingUntil = units, now+lackingFor
	}
	left := max(0, 1-(now-a.refusedAt).Seconds()/refusedFor.Seconds())
	before := a.refused * left
	a.refused, a.refusedAt = before+units, now
	alike := float64(len(a.shares.homes))
	if a.shares.even > 0 {
		alike = float64(len(l.entries.Names))
	}
	wait := time.Duration((units + alike*before) / a.limit.Rate * float64(time.Second))
	return min(mostWait, max(leastWait, wait))
}
