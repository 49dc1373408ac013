package route

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarklead/internal/prefix"
	"skylarklead/internal/wire"
)

const none int32 = -1

// node is one level that the table knows. Nodes form an LRU list.
type node struct {
	hash    prefix.Hash
	owner   uint64 // hash of the organisation, for its share of a cache
	tokens  int32
	parent  int32 // tokens of the level it is nested in
	holders int32 // first holder
	prev    int32
	next    int32
}

// holder says that the engine of a slot holds tokens of a node in a row.
type holder struct {
	at        uint32 // milliseconds, when confirmed or predicted
	decided   uint32 // milliseconds, when a request was last sent there
	tokens    int32
	next      int32
	slot      uint16
	confirmed bool
}

// slot is one endpoint that the table knows.
type slot struct {
	id          string
	epoch       wire.Epoch
	incarnation string
	version     string
	known       bool
	occupancy   occupancy
	served      meter // tokens served from its cache
}

// shareKey names an organisation's share of one slot's cache.
type shareKey struct {
	owner uint64
	slot  uint16
}

// Table is which endpoint holds which level, as its owner has learnt it. It
// forgets the least recently used levels beyond its bound.
type Table struct {
	index   map[prefix.Hash]int32
	nodes   []node
	holders []holder
	slots   []slot
	bySlot  map[string]uint16
	shares  map[shareKey]int
	heats   map[int32]*heat

	freeNode   int32
	freeHolder int32
	newest     int32
	oldest     int32
	params     *Params
}

func newTable(p *Params) *Table {
	return &Table{
		index:      make(map[prefix.Hash]int32),
		bySlot:     make(map[string]uint16),
		shares:     make(map[shareKey]int),
		heats:      make(map[int32]*heat),
		freeNode:   none,
		freeHolder: none,
		newest:     none,
		oldest:     none,
		params:     p,
	}
}

// Len returns the number of levels known.
func (t *Table) Len() int { return len(t.index) }

// Holds returns how many tokens of a level the endpoint is believed to hold.
func (t *Table) Holds(now time.Duration, endpoint string, hash prefix.Hash) int {
	s, known := t.bySlot[endpoint]
	n, found := t.index[hash]
	if !known || !found {
		return 0
	}
	for h := t.nodes[n].holders; h != none; h = t.holders[h].next {
		if t.holders[h].slot == s && t.live(now, &t.holders[h]) {
			return int(t.holders[h].tokens)
		}
	}
	return 0
}

// live reports whether a holder still counts at now.
func (t *Table) live(now time.Duration, h *holder) bool {
	life := t.params.PredictionLife
	if h.confirmed {
		life = t.params.ConfirmedLife
	}
	age := millis(now) - h.at
	return time.Duration(age)*time.Millisecond <= life
}

// OrganisationHash names an organisation in load summaries and shares.
func OrganisationHash(organisation string) uint64 { return xxhash.Sum64String(organisation) }

func (t *Table) slotOf(endpoint string) uint16 {
	if s, ok := t.bySlot[endpoint]; ok {
		return s
	}
	s := uint16(len(t.slots))
	for i := range t.slots {
		if t.slots[i].id == "" {
			s = uint16(i)
			break
		}
	}
	if int(s) == len(t.slots) {
		t.slots = append(t.slots, slot{})
	}
	t.slots[s] = slot{id: endpoint}
	t.bySlot[endpoint] = s
	return s
}

// identify notes which process and engine answer for an endpoint. Anything
// learnt from another epoch, engine incarnation or weights version is void: the
// blocks are gone with the engine, or belong to other weights. Without this a
// restarted engine would keep attracting its old prefixes and recompute them
// all, which shows as predicted cached tokens far above the actual ones.
func (t *Table) identify(s uint16, epoch wire.Epoch, incarnation, version string) {
	l := &t.slots[s]
	changed := l.known && (l.epoch != epoch ||
		differs(l.incarnation, incarnation) || differs(l.version, version))
	if changed {
		t.dropSlot(s)
		l.occupancy = occupancy{}
		l.served = meter{}
		l.incarnation = ""
		l.version = ""
	}
	l.known = true
	l.epoch = epoch
	if incarnation != "" {
		l.incarnation = incarnation
	}
	if version != "" {
		l.version = version
	}
}

// differs reports that two names are known and not the same.
func differs(a, b string) bool { return a != "" && b != "" && a != b }

// gone forgets an endpoint.
func (t *Table) gone(endpoint string) {
	s, ok := t.bySlot[endpoint]
	if !ok {
		return
	}
	t.dropSlot(s)
	t.slots[s] = slot{}
	delete(t.bySlot, endpoint)
}

// dropSlot removes a slot from the holders of every node.
func (t *Table) dropSlot(s uint16) {
	for n := t.newest; n != none; n = t.nodes[n].next {
		t.setHolder(0, n, s, 0, false)
	}
}

// touch returns the node of a level, made if need be, as the newest.
func (t *Table) touch(organisation uint64, level prefix.Level, parentTokens int) int32 {
	n, ok := t.index[level.Hash]
	if ok {
		t.unlink(n)
		t.adopt(n, organisation, parentTokens)
	} else {
		n = t.newNode()
		t.nodes[n] = node{
			hash:    level.Hash,
			owner:   organisation,
			tokens:  int32(level.Tokens),
			parent:  int32(parentTokens),
			holders: none,
		}
		t.index[level.Hash] = n
	}
	t.link(n)
	return n
}

// adopt gives a node that was only known from an advertisement its
// organisation and parent.
func (t *Table) adopt(n int32, organisation uint64, parentTokens int) {
	if t.nodes[n].owner != 0 || organisation == 0 {
		return
	}
	for h := t.nodes[n].holders; h != none; h = t.holders[h].next {
		t.account(n, t.holders[h].slot, -int(t.holders[h].tokens), int(t.holders[h].tokens))
	}
	t.nodes[n].owner = organisation
	t.nodes[n].parent = int32(parentTokens)
	for h := t.nodes[n].holders; h != none; h = t.holders[h].next {
		t.account(n, t.holders[h].slot, int(t.holders[h].tokens), 0)
	}
}

func (t *Table) newNode() int32 {
	if len(t.index) >= t.params.MaxNodes {
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

// setHolder notes that slot s holds tokens of node n; 0 removes it.
func (t *Table) setHolder(now time.Duration, n int32, s uint16, tokens int, confirmed bool) {
	link := &t.nodes[n].holders
	for *link != none && t.holders[*link].slot != s {
		link = &t.holders[*link].next
	}
	if *link == none {
		if tokens == 0 {
			return
		}
		h := t.newHolder()
		t.holders[h] = holder{slot: s, next: t.nodes[n].holders}
		t.nodes[n].holders = h
		link = &t.nodes[n].holders
	}
	h := &t.holders[*link]
	t.account(n, s, tokens-int(h.tokens), int(h.tokens))
	if tokens == 0 {
		free := *link
		*link = h.next
		h.next = t.freeHolder
		t.freeHolder = free
		return
	}
	h.tokens = int32(tokens)
	h.confirmed = confirmed
	h.at = millis(now)
}

func (t *Table) newHolder() int32 {
	if h := t.freeHolder; h != none {
		t.freeHolder = t.holders[h].next
		return h
	}
	t.holders = append(t.holders, holder{})
	return int32(len(t.holders) - 1)
}

// account moves an organisation's share of a slot's cache by a change of delta
// tokens of a node, of which only what is beyond its parent is its own.
func (t *Table) account(n int32, s uint16, delta, before int) {
	own := max(0, before+delta-int(t.nodes[n].parent)) - max(0, before-int(t.nodes[n].parent))
	if own == 0 {
		return
	}
	k := shareKey{t.nodes[n].owner, s}
	t.shares[k] += own
	if t.shares[k] <= 0 {
		delete(t.shares, k)
	}
}

// decided notes that the levels will be resident at slot s.
func (t *Table) decided(now time.Duration, organisation uint64, levels []prefix.Level, s uint16) {
	t.sweep(now)
	parent := 0
	for _, l := range levels {
		n := t.touch(organisation, l, parent)
		t.expire(now, n)
		parent = l.Tokens
		if h := t.find(n, s); h == nil || !h.confirmed || int(h.tokens) < l.Tokens {
			t.setHolder(now, n, s, l.Tokens, false)
		}
		t.find(n, s).decided = millis(now)
	}
}

func millis(now time.Duration) uint32 { return uint32(now / time.Millisecond) }

// sweepNodes is how many of the oldest nodes one decision looks at.
const sweepNodes = 4

// sweep forgets the oldest nodes that nobody holds any more. Left in place they
// would count against their organisation's share of caches that no longer hold
// them.
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

// expire removes the holders of a node that no longer count.
func (t *Table) expire(now time.Duration, n int32) {
	for h := t.nodes[n].holders; h != none; {
		next := t.holders[h].next
		if !t.live(now, &t.holders[h]) {
			t.setHolder(now, n, t.holders[h].slot, 0, false)
		}
		h = next
	}
}

// held reports whether any slot holds a node.
func (t *Table) held(now time.Duration, n int32) bool {
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

// finished confirms that an engine has just computed or read the levels.
func (t *Table) finished(now time.Duration, organisation uint64, levels []prefix.Level, s uint16) {
	parent := 0
	for _, l := range levels {
		n := t.touch(organisation, l, parent)
		parent = l.Tokens
		t.setHolder(now, n, s, l.Tokens, true)
	}
}

// advertised takes an endpoint's word on levels that the table knows. Unknown
// ones are added too, so that a restarted owner learns what its group holds.
func (t *Table) advertised(now time.Duration, s uint16, a Advertised) {
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

// withdraw takes a slot's word that it doesn't hold a node, unless a request for
// it was sent there a moment ago: the report is then older than the request,
// which brings the blocks back. Taking it would send the next request for a new
// prefix to another engine, which would compute it a second time.
func (t *Table) withdraw(now time.Duration, n int32, s uint16) {
	h := t.find(n, s)
	if h == nil {
		return
	}
	if time.Duration(millis(now)-h.decided)*time.Millisecond < freshDecision && h.decided > 0 {
		h.confirmed = false
		return
	}
	t.setHolder(now, n, s, 0, false)
}

// freshDecision is how long a decision stands against a report to the contrary:
// the age of a report and the time to compute a prompt.
const freshDecision = 2500 * time.Millisecond
