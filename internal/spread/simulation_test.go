package spread

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The simulation: entries with one topic each, a store that is written to, and links that
// lose some messages. Time goes in steps.
const (
	simStep = 10 * time.Millisecond
	// simWithin is the promise: a record that the store acknowledged is in force everywhere.
	simWithin = 2 * time.Second
	// simCalm is for how long an entry and the store must have been in order until the
	// promise binds the entry.
	simCalm = 3 * time.Second
	// simAnswer is what the store's answer takes, simTimeout the reader's patience beyond
	// what a read waits.
	simAnswer  = simStep
	simTimeout = time.Second
	// simRetry is the pause after a call without an answer.
	simRetry = 300 * time.Millisecond
)

type simMessage struct {
	at       time.Duration
	to, from int
	ask      bool
	hint     bool
	seq      uint64
	// next and age are the sender's belief; lacks says that it has none.
	next   uint64
	age    time.Duration
	reader string
	lacks  bool
}

type simEntry struct {
	id      string
	sources *UpstreamSelector
	belief  Watermark
	// calling is set while a call is under way, made at madeAt.
	calling bool
	madeAt  time.Duration
	wait    time.Duration
	from    uint64
	retryAt time.Duration
	// until these times it is killed (and starts anew), stands still, or is cut off.
	killedUntil, frozenUntil, cutUntil, lonelyUntil time.Duration
	// starvedUntil is until when answers reach it without the records.
	starvedUntil time.Duration
	dead         bool
	// troubled is when it was last in any trouble of its own.
	troubled time.Duration
	calls    int
}

type sim struct {
	rng     *rand.Rand
	now     time.Duration
	entries []*simEntry
	index   map[string]int
	peers   []Peer
	// acked is when each record was acknowledged.
	acked     []time.Duration
	downUntil time.Duration
	downLast  time.Duration
	loss      float64
	messages  []simMessage
	// calls counts calls to the store in each second.
	calls []int
}

func newSim(entries, domains int, loss float64, seed uint64) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), index: map[string]int{}, peers: fleetOf(entries, domains), loss: loss}
	for i, p := range s.peers {
		s.index[p.ID] = i
		s.entries = append(s.entries, &simEntry{id: p.ID})
		s.start(i)
	}
	return s
}

func (s *sim) start(i int) {
	e := s.entries[i]
	others := slices.Delete(slices.Clone(s.peers), i, i+1)
	*e = simEntry{id: e.id, cutUntil: e.cutUntil, lonelyUntil: e.lonelyUntil, troubled: s.now, calls: e.calls}
	e.sources = NewUpstreamSelector(s.peers[i], DefaultParams, rand.New(rand.NewPCG(s.rng.Uint64(), 2)))
	e.belief = NewWatermark(s.now)
	e.sources.SetPeers(others)
}

func (s *sim) storeDown() bool { return s.now < s.downUntil }

func (s *sim) send(m simMessage) {
	if s.rng.Float64() < s.loss || s.now < s.entries[m.from].lonelyUntil || s.now < s.entries[m.to].lonelyUntil {
		return
	}
	m.at = s.now + simStep
	s.messages = append(s.messages, m)
}

// step goes on by one step.
func (s *sim) step() {
	s.now += simStep
	if s.storeDown() {
		s.downLast = s.now
	}
	due := s.messages
	s.messages = nil
	for _, m := range due {
		e := s.entries[m.to]
		switch {
		case e.dead:
		case s.now < e.frozenUntil || m.at > s.now:
			s.messages = append(s.messages, m) // it waits in the socket's buffer
		default:
			s.deliver(m)
		}
	}
	for i := range s.entries {
		s.act(i)
	}
}

func (s *sim) act(i int) {
	e := s.entries[i]
	if s.now < max(e.killedUntil, e.frozenUntil, e.cutUntil, e.lonelyUntil) {
		e.troubled = s.now
	}
	if e.dead {
		if s.now >= e.killedUntil {
			s.start(i)
		}
		return
	}
	if s.now < e.frozenUntil {
		return
	}
	for _, q := range e.sources.DueQueries(s.now) {
		s.send(simMessage{from: i, to: s.index[q.Peer], ask: true, seq: q.Seq})
	}
	for _, id := range e.sources.DueHints(s.now) {
		s.send(simMessage{from: i, to: s.index[id], hint: true})
	}
	s.read(e)
}

// read is the reader of the store, with long polls as the product's.
func (s *sim) read(e *simEntry) {
	limit := MaxAge(simWithin)
	if !e.calling {
		part := float64(e.belief.Age(s.now)) / float64(limit)
		if s.now < e.retryAt || !e.sources.ReadDue(part, s.now) {
			return
		}
		e.calling, e.madeAt, e.from, e.wait = true, s.now, e.belief.Next, 0
		if e.sources.Mode(s.now) == ReadingStore {
			e.wait = e.sources.ReadWait(limit, 0, 1500*time.Millisecond)
		}
		e.calls++
		s.counted()
		return
	}
	switch {
	case s.downLast >= e.madeAt || e.cutUntil > e.madeAt:
		// It hangs, also where the trouble is over.
		if s.now-e.madeAt >= simTimeout+e.wait {
			e.calling, e.retryAt = false, s.now+simRetry
			e.sources.StoreFailed()
		}
	case s.now-e.madeAt >= simAnswer && (uint64(len(s.acked)) > e.from || s.now-e.madeAt >= e.wait):
		e.calling = false
		e.sources.StoreAnswered()
		e.belief.Advance(uint64(len(s.acked)))
		e.belief.Confirm(Read{Next: uint64(len(s.acked)), CalledAt: e.madeAt, AnsweredAt: s.now, Reader: e.id})
	}
}

func (s *sim) counted() {
	second := int(s.now / time.Second)
	for len(s.calls) <= second {
		s.calls = append(s.calls, 0)
	}
	s.calls[second]++
}

func (s *sim) deliver(m simMessage) {
	e := s.entries[m.to]
	switch {
	case m.hint:
		e.sources.HintReceived(s.entries[m.from].id, s.now)
	case m.ask:
		last := e.belief.LastRead()
		s.send(simMessage{from: m.to, to: m.from, seq: m.seq, next: e.belief.Next,
			age: s.now - last.CalledAt, reader: last.Reader, lacks: !e.belief.Confirmed()})
	default:
		sent, ok := e.sources.QuerySentAt(s.entries[m.from].id, m.seq)
		if !ok {
			return
		}
		made := sent - m.age
		fresh := !m.lacks && m.reader != e.id && float64(s.now-made) <= StaleFraction*float64(MaxAge(simWithin))
		if !m.lacks {
			if s.now >= e.starvedUntil {
				e.belief.Advance(m.next) // the records come with the answer
			}
			e.belief.Confirm(Read{Next: m.next, CalledAt: made, AnsweredAt: made, Reader: m.reader})
		}
		e.sources.QueryAnswered(m.seq, fresh, s.now)
	}
}

// untrue returns an entry that believes to know all records as of a moment and lacks one.
func (s *sim) untrue() string {
	for _, e := range s.entries {
		for offset, at := range s.acked {
			if at < e.belief.LastRead().CalledAt && uint64(offset) >= e.belief.Next {
				return fmt.Sprintf("%s believes to know all as of %v and lacks record %d of %v", e.id, e.belief.LastRead().CalledAt, offset, at)
			}
		}
	}
	return ""
}

// late returns an entry that breaks the promise.
func (s *sim) late() string {
	for _, e := range s.entries {
		calm := s.now - max(e.troubled, s.downLast)
		if e.dead || calm < simCalm {
			continue
		}
		for offset, at := range s.acked {
			if s.now-at > simWithin && uint64(offset) >= e.belief.Next {
				return fmt.Sprintf("%s lacks record %d %v after it was acknowledged, %v after any trouble of its own; %v, source %q, age %v",
					e.id, offset, s.now-at, calm, e.sources.Mode(s.now), e.sources.Upstream(), e.belief.Age(s.now))
			}
		}
	}
	return ""
}

func (s *sim) write() { s.acked = append(s.acked, s.now) }

// inOrder lists the entries from the first on.
func (s *sim) inOrder() []*simEntry {
	list := slices.Clone(s.entries)
	slices.SortFunc(list, func(a, b *simEntry) int { return len(a.sources.chain) - len(b.sources.chain) })
	return list
}

func (s *sim) run(t interface{ Fatal(...any) }, until time.Duration) {
	for s.now < until {
		s.step()
		if s.now%(500*time.Millisecond) == 0 {
			s.write()
		}
		if wrong := s.untrue() + s.late(); wrong != "" {
			t.Fatal(wrong)
		}
	}
}

// Guards against an undisturbed entry that goes by old records, whatever happens to others and to messages.
func TestWhatTheStoreSaysIsInForceInTimeWhateverHappensToOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.IntRange(1, 40).Draw(t, "entries"), rapid.IntRange(1, 5).Draw(t, "domains"),
			rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss"), rapid.Uint64().Draw(t, "seed"))
		s.run(t, 3*time.Second)
		for range rapid.IntRange(1, 6).Draw(t, "troubles") {
			kind := rapid.SampledFrom([]string{"kill", "freeze", "cut", "lonely", "starve", "down"}).Draw(t, "kind")
			lasts := time.Duration(rapid.IntRange(50, 9000).Draw(t, "ms")) * time.Millisecond
			// Troubles of the first ones in the order matter most.
			from := rapid.IntRange(0, len(s.entries)-1).Draw(t, "from")
			many := rapid.IntRange(1, len(s.entries)).Draw(t, "many")
			s.trouble(kind, s.inOrder()[from:min(len(s.entries), from+many)], s.now+lasts)
			s.run(t, s.now+time.Duration(rapid.IntRange(0, 8000).Draw(t, "pause"))*time.Millisecond)
		}
		s.run(t, s.now+6*time.Second)
	})
}

func (s *sim) trouble(kind string, on []*simEntry, until time.Duration) {
	if kind == "down" {
		s.downUntil = until
		return
	}
	for _, e := range on {
		switch kind {
		case "kill":
			e.dead, e.killedUntil = true, until
		case "freeze":
			e.frozenUntil = until
		case "cut":
			e.cutUntil = until
		case "lonely":
			e.lonelyUntil = until
		case "starve":
			e.starvedUntil = until
			continue // nothing is wrong with it or the store
		}
		e.troubled = s.now
	}
}

// Guards against calls to the store that grow with the entries.
func TestCallsDoNotGrowWithEntries(t *testing.T) {
	for _, entries := range []int{3, 30, 103, 300} {
		s := newSim(entries, 5, 0.01, 7)
		s.run(t, 3*time.Second)
		before := s.total()
		const lasts = 20 * time.Second
		s.run(t, s.now+lasts)
		// A read waits for a third of a second or more, and two records a second cut one short.
		if calls := s.total() - before; calls > 6*int(lasts/time.Second) {
			t.Errorf("%d entries: %d calls in %v", entries, calls, lasts)
		}
	}
}

func (s *sim) total() int {
	n := 0
	for _, e := range s.entries {
		n += e.calls
	}
	return n
}

// Guards against a store that is back and is called by all entries at once.
func TestAStoreThatIsAwayIsTriedByFew(t *testing.T) {
	const many = 100
	for _, entries := range []int{103, 300} {
		s := newSim(entries, 5, 0.01, 11)
		s.run(t, 4*time.Second)
		s.downUntil = s.now + 8*time.Second
		begins := int(s.now / time.Second)
		s.run(t, s.now+14*time.Second)
		for second := begins; second < len(s.calls); second++ {
			if n := s.calls[second]; n >= many {
				t.Errorf("%d entries: %d calls in second %d of the outage", entries, n, second-begins)
			}
		}
	}
}

// Guards against an outage that all believe in as the first entries are cut off from a store that answers the others.
func TestWitnessesThatAreCutOffThemselvesAreTold(t *testing.T) {
	s := newSim(103, 5, 0, 13)
	s.run(t, 4*time.Second)
	first := s.inOrder()[:DefaultParams.OutageQuorum+1]
	s.trouble("cut", first, s.now+10*time.Second)
	s.run(t, s.now+9*time.Second)
	for _, e := range first {
		if age := e.belief.Age(s.now); age > simWithin {
			t.Errorf("%s, cut off from the store alone, knows it as of %v ago", e.id, age)
		}
	}
}

// Guards against a source that is kept although it doesn't answer.
func TestALostSourceIsLeftAtOnce(t *testing.T) {
	for _, entries := range []int{3, 30, 103} {
		s := newSim(entries, 5, 0, 17)
		s.run(t, 4*time.Second)
		lost := s.inOrder()[0]
		s.trouble("kill", []*simEntry{lost}, time.Hour)
		// Two questions, the next of which was due, go unanswered; then the next entry is asked.
		p := DefaultParams
		s.run(t, s.now+p.QueryInterval+time.Duration(p.MaxUnanswered)*p.QueryTimeout+4*simStep+p.QueryInterval)
		for _, e := range s.entries {
			if e != lost && e.sources.Upstream() == lost.id {
				t.Errorf("of %d entries %s still listens to the one that was killed", entries, e.id)
			}
		}
	}
}

// Guards against entries in order that wait too long for their turn while most are cut off from the store.
func TestFewThatAreAnsweredAreFoundInTime(t *testing.T) {
	s := newSim(22, 1, 0, 0)
	s.run(t, 3*time.Second)
	for range 2 {
		s.trouble("kill", s.inOrder()[:1], s.now+50*time.Millisecond)
		s.run(t, s.now+71*time.Millisecond)
	}
	s.trouble("down", nil, s.now+50*time.Millisecond)
	s.run(t, s.now+1141*time.Millisecond)
	s.trouble("cut", s.inOrder()[:17], s.now+1961*time.Millisecond)
	s.run(t, s.now+6*time.Second)
}
