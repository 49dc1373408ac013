package runcopy

import (
	"slices"
	"time"
)

// Ledger counts the memory that this entry's backups take at each replica, in tokens.
type Ledger struct {
	targets map[string]*holding
}

type holding struct {
	tokens int
	// expiring are copies of runs that have ended without success; the replica keeps them for a
	// time.
	expiring []expiry
}

type expiry struct {
	tokens int
	at     time.Duration
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{targets: map[string]*holding{}} }

// Begin counts the backup of a run that starts.
func (l *Ledger) Begin(target string, tokens int) {
	h := l.targets[target]
	if h == nil {
		h = &holding{}
		l.targets[target] = h
	}
	h.tokens += tokens
}

// End ends what Begin counted, at the given time.
func (l *Ledger) End(target string, tokens int, at time.Duration) {
	if h := l.targets[target]; h != nil {
		h.expiring = append(h.expiring, expiry{tokens, at})
	}
}

// Held is the memory that backups take at a replica now.
func (l *Ledger) Held(target string, now time.Duration) int {
	h := l.targets[target]
	if h == nil {
		return 0
	}
	h.expiring = slices.DeleteFunc(h.expiring, func(x expiry) bool {
		if x.at > now {
			return false
		}
		h.tokens -= x.tokens
		return true
	})
	return max(0, h.tokens)
}

// Total is the memory that backups take at all replicas now.
func (l *Ledger) Total(now time.Duration) int {
	total := 0
	for target := range l.targets {
		total += l.Held(target, now)
	}
	return total
}

// Forget drops what is known of a replica that is gone, with its copies.
func (l *Ledger) Forget(target string) { delete(l.targets, target) }
