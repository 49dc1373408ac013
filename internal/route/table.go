package route

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarklead/internal/prefix"
	"skylarklead/internal/protocol"
)

const none int32 = -1

// node is a known level. The nodes form an LRU list.
type node struct {
	hash         prefix.Hash
	organisation uint64 // hash of the organisation, for its share of a cache; 0 if not known
	tokens       int32
	parentTokens int32 // length of the level that it is nested in
	holders      int32 // index of the first holder, or none
	prev         int32
	next         int32
}

// holder records that the engine of a slot holds the first tokens of a node.
type holder struct {
	recordedAt uint32 // milliseconds, when confirmed or predicted
	decidedAt  uint32 // milliseconds, when a request was last sent there; 0 for never
	tokens     int32
	next       int32
	slot       uint16
	confirmed  bool
}

// slot is the state of one endpoint. Its index in Table.slots identifies it.
type slot struct {
	id          string
	epoch       protocol.Epoch
	incarnation string
	version     string
	identified  bool
	occupancy   occupancy
	served      decayedSum // prompt tokens served from its cache
}

// shareKey identifies an organisation's share of one slot's cache.
type shareKey struct {
	organisation uint64
	slot         uint16
}

// Table records which endpoint holds which level. Beyond its bound the least recently used levels
// are evicted.
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

// Len returns the number of levels in the table.
func (t *Table) Len() int { return len(t.index) }

// CachedTokens returns how many tokens of a level the endpoint is expected to hold.
func (t *Table) CachedTokens(now time.Duration, endpoint string, hash prefix.Hash) int {
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

// live reports whether a holder has not expired at now.
func (t *Table) live(now time.Duration, h *holder) bool {
	life := t.params.PredictionTTL
	if h.confirmed {
		life = t.params.ConfirmedTTL
	}
	age := millis(now) - h.recordedAt
	return time.Duration(age)*time.Millisecond <= life
}

// OrganisationHash returns the key of an organisation in load summaries and cache shares.
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

// identify records the process epoch, engine incarnation and weights version of an endpoint. If
// any has changed, all state of the slot is dropped: the blocks are gone with the engine, or
// belong to other weights. Otherwise a restarted engine would keep attracting its former prefixes
// and recompute them all, which shows as predicted cached tokens far above the actual ones.
func (t *Table) identify(s uint16, epoch protocol.Epoch, incarnation, version string) {
	state := &t.slots[s]
	// Requests placed before the first report of an endpoint may have gone to an engine that has
	// crashed since, and the first report can't tell. So it clears the slot too; the same
	// heartbeat advertises what the engine does hold.
	firstReport := state.incarnation == "" && incarnation != ""
	changed := state.identified && (state.epoch != epoch || firstReport ||
		differs(state.incarnation, incarnation) || differs(state.version, version))
	if changed {
		t.dropSlot(s)
		state.occupancy = occupancy{}
		state.served = decayedSum{}
		state.incarnation = ""
		state.version = ""
	}
	state.identified = true
	state.epoch = epoch
	if incarnation != "" {
		state.incarnation = incarnation
	}
	if version != "" {
		state.version = version
	}
}

// differs reports whether both names are known and not equal.
func differs(a, b string) bool { return a != "" && b != "" && a != b }

// removeEndpoint drops the state of an endpoint and frees its slot.
func (t *Table) removeEndpoint(endpoint string) {
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

// setHolder records that slot s holds the first tokens of node n; 0 tokens removes it.
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
	t.adjustShare(n, s, tokens-int(h.tokens), int(h.tokens))
	if tokens == 0 {
		freed := *link
		*link = h.next
		h.next = t.freeHolder
		t.freeHolder = freed
		return
	}
	h.tokens = int32(tokens)
	h.confirmed = confirmed
	h.recordedAt = millis(now)
}

func (t *Table) newHolder() int32 {
	if h := t.freeHolder; h != none {
		t.freeHolder = t.holders[h].next
		return h
	}
	t.holders = append(t.holders, holder{})
	return int32(len(t.holders) - 1)
}

// adjustShare updates the organisation's share of a slot's cache when the tokens held of a node
// change by delta from before. Only tokens beyond the parent level count.
func (t *Table) adjustShare(n int32, s uint16, delta, before int) {
	own := max(0, before+delta-int(t.nodes[n].parentTokens)) - max(0, before-int(t.nodes[n].parentTokens))
	if own == 0 {
		return
	}
	k := shareKey{t.nodes[n].organisation, s}
	t.shares[k] += own
	if t.shares[k] <= 0 {
		delete(t.shares, k)
	}
}
