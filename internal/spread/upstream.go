package spread

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Mode is how an entry gets its records.
type Mode uint8

// The modes.
const (
	// PeersUnknown: the list of peers hasn't been read yet.
	PeersUnknown Mode = iota
	// Following: a predecessor in the shared order answers its queries with fresh data.
	Following
	// Searching: it has no upstream and not all candidates have answered or failed yet.
	Searching
	// ReadingStore: no candidate has fresher data, so it reads the store.
	ReadingStore
	// AwaitingSlot: OutageQuorum candidates have no fresh data, so the store is assumed to
	// be unavailable; the entry tries it in its slot.
	AwaitingSlot
	// ReadingForPeers: as AwaitingSlot, but the store answers this entry, which sends hints
	// to those candidates.
	ReadingForPeers
)

var modeNames = [...]string{"alone", "listening", "walking", "leading", "waiting", "relieving"}

// String returns the name used in logs.
func (m Mode) String() string { return modeNames[m] }

// Query is a query to a peer.
type Query struct {
	Peer string
	Seq  uint64
}

// candidate is a peer that may be queried.
type candidate struct {
	// unanswered counts the consecutive queries without an answer.
	unanswered   int
	backoffUntil time.Duration
	// answered is set once it has answered, stale if its last answer was too old.
	answered, stale bool
}

type pendingQuery struct {
	peer   string
	sentAt time.Duration
}

// UpstreamSelector chooses which peers an entry queries, and says when it reads the store
// itself.
//
// An upstream is dropped after MaxUnanswered queries without an answer, two by default. Slots keep
// the entries from all calling an unavailable store at the same time; hints keep a few entries that
// are cut off from the store from making all others assume that it is unavailable.
//
// Invariants: upstream is "" or in preference; queries go only to peers that are not in
// backoff, and each peer has at most one pending.
type UpstreamSelector struct {
	params Params
	self   Peer
	rng    *rand.Rand
	// peersKnown is set once the peers are known; size counts all entries, this one included.
	peersKnown bool
	size       int
	domains    int
	// position is the entry's place in the shared order, from 0 to 1, which spreads actions
	// that all entries may take.
	position   float64
	preference []string
	candidates map[string]*candidate
	pending    map[uint64]pendingQuery
	seq        uint64
	upstream   string
	nextRound  time.Duration
	// storeAnswers is set while the store answers this entry's own calls.
	storeAnswers bool
	// slotAt is when an entry in AwaitingSlot may try the store, 0 if that isn't scheduled.
	slotAt time.Duration
	// hint is a peer that the store answers although it comes later in the order.
	hint        string
	hintUntil   time.Duration
	hintsSentAt time.Duration
}

// NewUpstreamSelector returns the selector of an entry that knows no peers yet.
func NewUpstreamSelector(self Peer, p Params, rng *rand.Rand) *UpstreamSelector {
	return &UpstreamSelector{
		params: p, self: self, rng: rng, size: 1, domains: 1,
		candidates: make(map[string]*candidate), pending: make(map[uint64]pendingQuery),
	}
}

// SetPeers takes the list of all other entries.
func (s *UpstreamSelector) SetPeers(peers []Peer) {
	s.peersKnown, s.size = true, len(peers)+1
	domains := map[string]bool{s.self.FailureDomain: true}
	for _, p := range peers {
		domains[p.FailureDomain] = true
	}
	s.domains = len(domains)
	ordered := sharedOrder(append([]Peer{s.self}, peers...))
	index := slices.Index(ordered, s.self)
	s.preference = preferenceOrder(ordered, index, s.params.FanIn)
	s.position = float64(index) / float64(len(ordered))
	in := make(map[string]bool, len(s.preference))
	for _, id := range s.preference {
		in[id] = true
		if s.candidates[id] == nil {
			s.candidates[id] = &candidate{}
		}
	}
	for id := range s.candidates {
		if !in[id] {
			delete(s.candidates, id)
		}
	}
	if !in[s.upstream] {
		s.upstream = ""
	}
}

// ReadWait returns how long a read of the store may wait for a record of a topic with an age
// limit, given the pause between reads and an upper bound. If other entries may query this one,
// it is short enough that their data doesn't become stale in a fleet without failures.
func (s *UpstreamSelector) ReadWait(maxAge, pause, longest time.Duration) time.Duration {
	if s.size <= len(s.preference)+1 {
		return longest // no entry comes after it in the order
	}
	return min(longest, s.params.readWait(maxAge, pause, maxHops(s.size, s.domains, s.params.FanIn)))
}

// DueQueries returns the queries to send now.
func (s *UpstreamSelector) DueQueries(now time.Duration) []Query {
	s.expireQueries(now)
	if now < s.nextRound || len(s.preference) == 0 && !s.hasHint(now) {
		return nil
	}
	s.nextRound = now + s.params.QueryInterval
	var out []Query
	queried := 0
	for _, id := range s.preference {
		if s.candidates[id].backoffUntil > now {
			continue
		}
		out = s.appendQuery(out, id, now)
		queried++
		if id == s.upstream || queried >= s.params.OutageQuorum {
			break
		}
	}
	if s.upstream != "" && queried >= s.params.OutageQuorum {
		out = s.appendQuery(out, s.upstream, now)
	}
	if s.hasHint(now) {
		out = s.appendQuery(out, s.hint, now)
	}
	return out
}

func (s *UpstreamSelector) appendQuery(out []Query, id string, now time.Duration) []Query {
	for _, q := range s.pending {
		if q.peer == id {
			return out
		}
	}
	s.seq++
	s.pending[s.seq] = pendingQuery{peer: id, sentAt: now}
	return append(out, Query{Peer: id, Seq: s.seq})
}

// expireQueries drops the queries that weren't answered in time.
func (s *UpstreamSelector) expireQueries(now time.Duration) {
	for seq, q := range s.pending {
		if now-q.sentAt < s.params.QueryTimeout {
			continue
		}
		delete(s.pending, seq)
		c := s.candidates[q.peer]
		if c == nil {
			continue
		}
		c.unanswered++
		if over := c.unanswered - s.params.MaxUnanswered; over >= 0 {
			c.backoffUntil = now + min(s.params.BackoffMin<<min(over, 8), s.params.BackoffMax)
			c.answered = false
			s.dropUpstream(q.peer, now)
		}
	}
}

// dropUpstream drops an upstream; the next candidate is queried at once.
func (s *UpstreamSelector) dropUpstream(id string, now time.Duration) {
	if s.upstream == id {
		s.upstream, s.nextRound = "", now
	}
}

// QuerySentAt returns when the query was sent that a peer answers; false if the answer is
// too late or matches no query.
func (s *UpstreamSelector) QuerySentAt(peer string, seq uint64) (time.Duration, bool) {
	q, ok := s.pending[seq]
	return q.sentAt, ok && q.peer == peer
}

// QueryAnswered takes an answer to a query, and whether its data is fresh.
func (s *UpstreamSelector) QueryAnswered(seq uint64, fresh bool, now time.Duration) {
	q, ok := s.pending[seq]
	if !ok {
		return
	}
	delete(s.pending, seq)
	c := s.candidates[q.peer]
	if c == nil {
		return // the hinted peer
	}
	c.unanswered, c.backoffUntil, c.answered, c.stale = 0, 0, true, !fresh
	switch {
	case !fresh:
		s.dropUpstream(q.peer, now)
	case s.upstream == "" || slices.Index(s.preference, q.peer) < slices.Index(s.preference, s.upstream):
		s.upstream = q.peer
		s.slotAt = 0
	}
}

// StoreAnswered records that the store answered a call of this entry.
func (s *UpstreamSelector) StoreAnswered() { s.storeAnswers, s.slotAt = true, 0 }

// StoreFailed records that the store didn't answer a call of this entry.
func (s *UpstreamSelector) StoreFailed() { s.storeAnswers = false }

// HintReceived takes a hint of a peer: the store answers the peer, although it doesn't answer
// this entry, which comes before the peer in the order.
func (s *UpstreamSelector) HintReceived(peer string, now time.Duration) {
	if s.upstream != "" {
		return
	}
	s.hint, s.hintUntil, s.nextRound = peer, now+s.params.HintTTL, now
}

func (s *UpstreamSelector) hasHint(now time.Duration) bool { return s.hint != "" && now < s.hintUntil }

// DueHints returns the peers to notify that the store answers this entry: its predecessors
// that have no fresh data. Without hints those would stay cut off, and would make all entries
// that query them assume that the store is unavailable.
func (s *UpstreamSelector) DueHints(now time.Duration) []string {
	if mode := s.Mode(now); !s.storeAnswers || mode != ReadingStore && mode != ReadingForPeers || now-s.hintsSentAt < s.params.HintInterval {
		return nil
	}
	s.hintsSentAt = now
	var stale []string
	for _, id := range s.preference {
		if s.candidates[id].answeredStale() {
			stale = append(stale, id)
		}
	}
	return stale[:min(len(stale), s.params.OutageQuorum)]
}

// answeredStale reports whether a candidate answers, but without fresh data.
func (c *candidate) answeredStale() bool { return c.answered && c.stale }

// Upstream returns the peer that the entry follows, "" for none.
func (s *UpstreamSelector) Upstream() string { return s.upstream }

// Mode returns how the entry gets its records now.
func (s *UpstreamSelector) Mode(now time.Duration) Mode {
	if !s.peersKnown {
		return PeersUnknown
	}
	if s.upstream != "" {
		return Following
	}
	stale, untried := 0, false
	for _, id := range s.preference {
		switch c := s.candidates[id]; {
		case c.answeredStale():
			stale++
		case c.unanswered < s.params.MaxUnanswered:
			untried = true
		}
	}
	switch {
	case stale >= s.params.OutageQuorum && !s.storeAnswers:
		return AwaitingSlot
	case stale >= s.params.OutageQuorum:
		return ReadingForPeers
	case untried:
		return Searching
	}
	return ReadingStore
}

// ReadDue reports whether to read a topic from the store now, given the fraction of its age
// limit that is used up.
func (s *UpstreamSelector) ReadDue(fraction float64, now time.Duration) bool {
	switch s.Mode(now) {
	case ReadingStore:
		return true
	case Following:
		// The upstream has fresh data, but this topic's records don't reach the entry.
		return fraction >= StaleFraction+(1-StaleFraction)*s.position
	case Searching:
		return fraction >= takeOverFraction+(1-takeOverFraction)*s.position
	case AwaitingSlot:
		return fraction >= StaleFraction && s.slotDue(now)
	case ReadingForPeers:
		// The entries that get the hints will soon read for all.
		return fraction >= readForPeersFraction
	}
	return false
}

// slotDue reports whether an entry in AwaitingSlot may try the store. The slots are spread so
// that all entries together try at a bounded rate, which is higher at first because the peers
// without fresh data may only be cut off themselves.
func (s *UpstreamSelector) slotDue(now time.Duration) bool {
	cycle := time.Duration(float64(s.size) / s.params.ProbesPerSecond * float64(time.Second))
	if s.slotAt == 0 {
		first := float64(s.size) / s.params.FirstProbesPerSecond * float64(time.Second)
		s.slotAt = now + time.Duration(s.position*first)
	}
	if now < s.slotAt {
		return false
	}
	s.slotAt = now + cycle/2 + time.Duration(s.rng.Float64()*float64(cycle))
	return true
}

// QueryNow has the upstream queried at once if it has an update that didn't reach the entry whole.
func (s *UpstreamSelector) QueryNow(peer string, now time.Duration) {
	if peer == s.upstream {
		s.nextRound = now
	}
}
