package route

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarklead/internal/prefix"
	"skylarklead/internal/protocol"
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
	epoch       protocol.Epoch
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
func (t *Table) identify(s uint16, epoch protocol.Epoch, incarnation, version string) {
	l := &t.slots[s]
	// What was placed before the first word of an endpoint may have gone to an
	// engine that has crashed since, and its first word can't tell. The same
	// heartbeat advertises what the engine does hold.
	firstWord := l.incarnation == "" && incarnation != ""
	changed := l.known && (l.epoch != epoch || firstWord ||
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
