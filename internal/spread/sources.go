package spread

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Mode is where an entry has its records from.
type Mode uint8

// The modes.
const (
	// PeersUnknown: the peers aren't known yet.
	PeersUnknown Mode = iota
	// Following: a peer before it in the order tells it what the store says.
	Following
	// Searching: it hasn't heard yet of all that it could ask.
	Searching
	// ReadingStore: nobody that it could ask knows better, so it reads the store.
	ReadingStore
	// AwaitingSlot: as many as are needed to believe it say that the store is away; it tries at
	// its turn.
	AwaitingSlot
	// ReadingForPeers: as many say so, but the store answers this entry, which tells them.
	ReadingForPeers
)

var modeNames = [...]string{"alone", "listening", "walking", "leading", "waiting", "relieving"}

// String names the mode as logs have it.
func (m Mode) String() string { return modeNames[m] }

// Query is a question to a peer.
type Query struct {
	Peer string
	Seq  uint64
}

// candidate is one that may be asked.
type candidate struct {
	// missing counts the questions in a row that it didn't answer.
	missing   int
	skipUntil time.Duration
	// heard is set once it answered, stale if what it told last was too old.
	heard, stale bool
}

type question struct {
	peer string
	sent time.Duration
}

// UpstreamSelector chooses whom an entry asks, and tells when it reads the store itself.
//
// A source is left after two questions without an answer. Turns keep all entries from calling a
// store at once that is away from all; hints keep a few that are cut off from making all others
// believe that it is.
//
// Invariants: source is "" or in the chain; questions are only to peers that may be skipped
// no longer; of each peer at most one is under way.
type UpstreamSelector struct {
	params Params
	self   Peer
	rng    *rand.Rand
	// listed is set once the peers are known; size counts all entries.
	listed  bool
	size    int
	domains int
	// place spreads what all entries may do at once: it is from 0 to 1.
	place      float64
	chain      []string
	candidates map[string]*candidate
	under      map[uint64]question
	seq        uint64
	source     string
	roundAt    time.Duration
	// served is set while the store answers this entry's own calls.
	served bool
	// turnAt is when an entry that waits may try, 0 if it has no turn yet.
	turnAt time.Duration
	// hint is a peer that the store answers although it comes later in the order.
	hint      string
	hintUntil time.Duration
	hintedAt  time.Duration
}

// NewUpstreamSelector returns the sources of an entry that knows no peers yet.
func NewUpstreamSelector(self Peer, p Params, rng *rand.Rand) *UpstreamSelector {
	return &UpstreamSelector{
		params: p, self: self, rng: rng, size: 1, domains: 1,
		candidates: make(map[string]*candidate), under: make(map[uint64]question),
	}
}

// SetPeers takes the list of all other entries.
func (s *UpstreamSelector) SetPeers(peers []Peer) {
	s.listed, s.size = true, len(peers)+1
	domains := map[string]bool{s.self.FailureDomain: true}
	for _, p := range peers {
		domains[p.FailureDomain] = true
	}
	s.domains = len(domains)
	ordered := inOrder(append([]Peer{s.self}, peers...))
	at := slices.Index(ordered, s.self)
	s.chain = chain(ordered, at, s.params.FanIn)
	s.place = float64(at) / float64(len(ordered))
	in := make(map[string]bool, len(s.chain))
	for _, id := range s.chain {
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
	if !in[s.source] {
		s.source = ""
	}
}

// ReadWait is how long a read of the store waits for a record of a topic that has a limit, with
// a pause between reads, and at most. If there are others that would ask this entry it is short
// enough that their beliefs don't get old while all is well.
func (s *UpstreamSelector) ReadWait(limit, pause, longest time.Duration) time.Duration {
	if s.size <= len(s.chain)+1 {
		return longest // nobody comes after it in the order
	}
	return min(longest, s.params.readWait(limit, pause, tiers(s.size, s.domains, s.params.FanIn)))
}

// DueQueries returns the questions to send now.
func (s *UpstreamSelector) DueQueries(now time.Duration) []Query {
	s.expire(now)
	if now < s.roundAt || len(s.chain) == 0 && !s.hinted(now) {
		return nil
	}
	s.roundAt = now + s.params.QueryInterval
	var out []Query
	asked := 0
	for _, id := range s.chain {
		if s.candidates[id].skipUntil > now {
			continue
		}
		out = s.ask(out, id, now)
		asked++
		if id == s.source || asked >= s.params.OutageQuorum {
			break
		}
	}
	if s.source != "" && asked >= s.params.OutageQuorum {
		out = s.ask(out, s.source, now)
	}
	if s.hinted(now) {
		out = s.ask(out, s.hint, now)
	}
	return out
}

func (s *UpstreamSelector) ask(out []Query, id string, now time.Duration) []Query {
	for _, q := range s.under {
		if q.peer == id {
			return out
		}
	}
	s.seq++
	s.under[s.seq] = question{peer: id, sent: now}
	return append(out, Query{Peer: id, Seq: s.seq})
}

// expire takes questions that weren't answered in time.
func (s *UpstreamSelector) expire(now time.Duration) {
	for seq, q := range s.under {
		if now-q.sent < s.params.QueryTimeout {
			continue
		}
		delete(s.under, seq)
		c := s.candidates[q.peer]
		if c == nil {
			continue
		}
		c.missing++
		if over := c.missing - s.params.MaxUnanswered; over >= 0 {
			c.skipUntil = now + min(s.params.BackoffMin<<min(over, 8), s.params.BackoffMax)
			c.heard = false
			s.leave(q.peer, now)
		}
	}
}

// leave ends a source; the next one is asked at once.
func (s *UpstreamSelector) leave(id string, now time.Duration) {
	if s.source == id {
		s.source, s.roundAt = "", now
	}
}

// QuerySentAt is when a question was sent that a peer answers; false for an answer that comes too
// late, or that nobody asked for.
func (s *UpstreamSelector) QuerySentAt(peer string, seq uint64) (time.Duration, bool) {
	q, ok := s.under[seq]
	return q.sent, ok && q.peer == peer
}

// QueryAnswered takes an answer to a question, and whether what it tells is young enough.
func (s *UpstreamSelector) QueryAnswered(seq uint64, fresh bool, now time.Duration) {
	q, ok := s.under[seq]
	if !ok {
		return
	}
	delete(s.under, seq)
	c := s.candidates[q.peer]
	if c == nil {
		return // it was hinted at
	}
	c.missing, c.skipUntil, c.heard, c.stale = 0, 0, true, !fresh
	switch {
	case !fresh:
		s.leave(q.peer, now)
	case s.source == "" || slices.Index(s.chain, q.peer) < slices.Index(s.chain, s.source):
		s.source = q.peer
		s.turnAt = 0
	}
}

// StoreAnswered says that the store answered a call of this entry, Missed that it didn't.
func (s *UpstreamSelector) StoreAnswered() { s.served, s.turnAt = true, 0 }

// StoreFailed: see Served.
func (s *UpstreamSelector) StoreFailed() { s.served = false }

// HintReceived takes a peer's word that the store answers it although it doesn't answer this
// entry, which comes before it in the order.
func (s *UpstreamSelector) HintReceived(peer string, now time.Duration) {
	if s.source != "" {
		return
	}
	s.hint, s.hintUntil, s.roundAt = peer, now+s.params.HintTTL, now
}

func (s *UpstreamSelector) hinted(now time.Duration) bool { return s.hint != "" && now < s.hintUntil }

// DueHints are the peers to tell that the store answers this entry: those before it that it
// doesn't answer. They would be cut off, and would have all that ask them believe that
// the store is away.
func (s *UpstreamSelector) DueHints(now time.Duration) []string {
	if mode := s.Mode(now); !s.served || mode != ReadingStore && mode != ReadingForPeers || now-s.hintedAt < s.params.HintInterval {
		return nil
	}
	s.hintedAt = now
	var stale []string
	for _, id := range s.chain {
		if s.candidates[id].told() {
			stale = append(stale, id)
		}
	}
	return stale[:min(len(stale), s.params.OutageQuorum)]
}

// told reports whether a candidate answers, but knows too little.
func (c *candidate) told() bool { return c.heard && c.stale }

// Upstream is the peer that the entry listens to, "" for none.
func (s *UpstreamSelector) Upstream() string { return s.source }

// Mode is where the entry has its records from now.
func (s *UpstreamSelector) Mode(now time.Duration) Mode {
	if !s.listed {
		return PeersUnknown
	}
	if s.source != "" {
		return Following
	}
	told, open := 0, false
	for _, id := range s.chain {
		switch c := s.candidates[id]; {
		case c.told():
			told++
		case c.missing < s.params.MaxUnanswered:
			open = true
		}
	}
	switch {
	case told >= s.params.OutageQuorum && !s.served:
		return AwaitingSlot
	case told >= s.params.OutageQuorum:
		return ReadingForPeers
	case open:
		return Searching
	}
	return ReadingStore
}

// ReadDue reports whether to read a topic from the store now, whose belief has used up a part of
// its limit.
func (s *UpstreamSelector) ReadDue(part float64, now time.Duration) bool {
	switch s.Mode(now) {
	case ReadingStore:
		return true
	case Following:
		// The source knows, but this topic doesn't reach the entry.
		return part >= StaleFraction+(1-StaleFraction)*s.place
	case Searching:
		return part >= takeOverAt+(1-takeOverAt)*s.place
	case AwaitingSlot:
		return part >= StaleFraction && s.turn(now)
	case ReadingForPeers:
		// Those that it tells will read for all in a moment.
		return part >= relieveAt
	}
	return false
}

// turn reports whether an entry that waits may try. The entries' turns are spread so that
// all of them together try at a bounded rate: the first ones soon, since the witnesses
// may just have been cut off themselves.
func (s *UpstreamSelector) turn(now time.Duration) bool {
	all := time.Duration(float64(s.size) / s.params.ProbesPerSecond * float64(time.Second))
	if s.turnAt == 0 {
		first := float64(s.size) / s.params.FirstProbesPerSecond * float64(time.Second)
		s.turnAt = now + time.Duration(s.place*first)
	}
	if now < s.turnAt {
		return false
	}
	s.turnAt = now + all/2 + time.Duration(s.rng.Float64()*float64(all))
	return true
}

// QueryNow has a peer asked now that has news which didn't reach the entry whole.
func (s *UpstreamSelector) QueryNow(peer string, now time.Duration) {
	if peer == s.source {
		s.roundAt = now
	}
}
