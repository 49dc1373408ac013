package route

import (
	"time"

	"skylarklead/internal/prefix"
)

// recordDecision predicts that the levels will be resident at slot s.
func (t *Table) recordDecision(now time.Duration, organisation uint64, levels []prefix.Level, s uint16) {
	t.sweep(now)
	parent := 0
	for _, l := range levels {
		n := t.touch(organisation, l, parent)
		t.expire(now, n)
		parent = l.Tokens
		if h := t.find(n, s); h == nil || !h.confirmed || int(h.tokens) < l.Tokens {
			t.setHolder(now, n, s, l.Tokens, false)
		}
		t.find(n, s).decidedAt = millis(now)
	}
}

func millis(now time.Duration) uint32 { return uint32(now / time.Millisecond) }

// sweepNodes is how many of the oldest nodes one decision examines.
const sweepNodes = 4

// sweep evicts the oldest nodes that have no holder left. Otherwise they would still count
// against their organisation's share of caches that no longer hold them.
func (t *Table) sweep(now time.Duration) {
	for range sweepNodes {
		n := t.oldest
		if n == none {
			return
		}
		t.expire(now, n)
		if t.nodes[n].holders != none {
			return
		}
		t.evict(n)
	}
}

// expire removes the holders of a node whose TTL has passed.
func (t *Table) expire(now time.Duration, n int32) {
	for h := t.nodes[n].holders; h != none; {
		next := t.holders[h].next
		if !t.live(now, &t.holders[h]) {
			t.setHolder(now, n, t.holders[h].slot, 0, false)
		}
		h = next
	}
}

// isHeld reports whether a node has a live holder.
func (t *Table) isHeld(now time.Duration, n int32) bool {
	for h := t.nodes[n].holders; h != none; h = t.holders[h].next {
		if t.live(now, &t.holders[h]) {
			return true
		}
	}
	return false
}

func (t *Table) find(n int32, s uint16) *holder {
	for h := t.nodes[n].holders; h != none; h = t.holders[h].next {
		if t.holders[h].slot == s {
			return &t.holders[h]
		}
	}
	return nil
}

// confirm records that an engine has just computed the levels or read them from its cache.
func (t *Table) confirm(now time.Duration, organisation uint64, levels []prefix.Level, s uint16) {
	parent := 0
	for _, l := range levels {
		n := t.touch(organisation, l, parent)
		parent = l.Tokens
		t.setHolder(now, n, s, l.Tokens, true)
	}
}

// applyAdvertisement updates the holders of the advertised levels. Levels not yet in the table
// are added, so that a restarted owner learns what its group holds.
func (t *Table) applyAdvertisement(now time.Duration, s uint16, a Advertisement) {
	if a.Full {
		for n := t.newest; n != none; n = t.nodes[n].next {
			t.withdraw(now, n, s)
		}
	}
	for _, r := range a.Residents {
		n, ok := t.index[r.Hash]
		switch {
		case r.Tokens > 0 && !ok:
			n = t.touch(0, prefix.Level{Hash: r.Hash, Tokens: r.Tokens}, 0)
			t.setHolder(now, n, s, r.Tokens, true)
		case r.Tokens > 0:
			t.setHolder(now, n, s, r.Tokens, true)
		case ok:
			t.withdraw(now, n, s)
		}
	}
}

// withdraw removes a slot from a node's holders after a report that it does not hold it. If a
// request for the node was sent there within decisionGrace, the report may be older than the
// request, which brings the blocks back: the holder then stays, unconfirmed. Removing it would
// send the next request for a new prefix to another engine, which would compute it a second time.
func (t *Table) withdraw(now time.Duration, n int32, s uint16) {
	h := t.find(n, s)
	if h == nil {
		return
	}
	if time.Duration(millis(now)-h.decidedAt)*time.Millisecond < decisionGrace && h.decidedAt > 0 {
		h.confirmed = false
		return
	}
	t.setHolder(now, n, s, 0, false)
}

// decisionGrace is how long a decision outweighs a report to the contrary: the age of a report
// plus the time to compute a prompt.
const decisionGrace = 2500 * time.Millisecond
