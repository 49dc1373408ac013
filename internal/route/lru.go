package route

import "skylarklead/internal/prefix"

// touch moves the node of a level to the front of the LRU list, creating it if needed.
func (t *Table) touch(organisation uint64, level prefix.Level, parentTokens int) int32 {
	n, ok := t.index[level.Hash]
	if ok {
		t.unlink(n)
		t.assignOrganisation(n, organisation, parentTokens)
	} else {
		n = t.newNode()
		t.nodes[n] = node{
			hash:         level.Hash,
			organisation: organisation,
			tokens:       int32(level.Tokens),
			parentTokens: int32(parentTokens),
			holders:      none,
		}
		t.index[level.Hash] = n
	}
	t.link(n)
	return n
}

// assignOrganisation sets the organisation and parent of a node that was known only from an
// advertisement, and charges its holders' tokens to that organisation.
func (t *Table) assignOrganisation(n int32, organisation uint64, parentTokens int) {
	if t.nodes[n].organisation != 0 || organisation == 0 {
		return
	}
	for h := t.nodes[n].holders; h != none; h = t.holders[h].next {
		t.adjustShare(n, t.holders[h].slot, -int(t.holders[h].tokens), int(t.holders[h].tokens))
	}
	t.nodes[n].organisation = organisation
	t.nodes[n].parentTokens = int32(parentTokens)
	for h := t.nodes[n].holders; h != none; h = t.holders[h].next {
		t.adjustShare(n, t.holders[h].slot, int(t.holders[h].tokens), 0)
	}
}

func (t *Table) newNode() int32 {
	if len(t.index) >= t.params.MaxLevels {
		t.evict(t.oldest)
	}
	if n := t.freeNode; n != none {
		t.freeNode = t.nodes[n].next
		return n
	}
	t.nodes = append(t.nodes, node{})
	return int32(len(t.nodes) - 1)
}

func (t *Table) evict(n int32) {
	for t.nodes[n].holders != none {
		t.setHolder(0, n, t.holders[t.nodes[n].holders].slot, 0, false)
	}
	t.unlink(n)
	delete(t.index, t.nodes[n].hash)
	delete(t.heats, n)
	t.nodes[n].next = t.freeNode
	t.freeNode = n
}

func (t *Table) link(n int32) {
	t.nodes[n].prev = none
	t.nodes[n].next = t.newest
	if t.newest != none {
		t.nodes[t.newest].prev = n
	}
	t.newest = n
	if t.oldest == none {
		t.oldest = n
	}
}

func (t *Table) unlink(n int32) {
	l := t.nodes[n]
	if l.prev == none {
		t.newest = l.next
	} else {
		t.nodes[l.prev].next = l.next
	}
	if l.next == none {
		t.oldest = l.prev
	} else {
		t.nodes[l.next].prev = l.prev
	}
}
