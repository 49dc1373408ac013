package spread

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The simulation has entries with one topic each, a store that is written to, and links that
// lose some messages. Time advances in steps.
const (
	simStep = 10 * time.Millisecond
	// simWithin is the time within which an acknowledged record must be in force everywhere.
	simWithin = 2 * time.Second
	// simSettled is for how long an entry and the store must have been undisturbed before
	// simWithin binds the entry.
	simSettled = 3 * time.Second
	// simAnswer is how long the store's answer takes, simTimeout the reader's timeout beyond
	// the time for which a read waits.
	simAnswer  = simStep
	simTimeout = time.Second
	// simListPause is the pause between reads of the list of entries.
	simListPause = time.Second
	// simRetry is the pause after an unanswered call.
	simRetry = 300 * time.Millisecond
)

type simMessage struct {
	at       time.Duration
	to, from int
	ask      bool
	hint     bool
	seq      uint64
	// next and age are the sender's watermark; noRead is set if it was never confirmed.
	next   uint64
	age    time.Duration
	reader string
	noRead bool
}

type simEntry struct {
	id        string
	upstreams *UpstreamSelector
	watermark Watermark
	// calling is set while a call is under way, made at calledAt.
	calling  bool
	calledAt time.Duration
	wait     time.Duration
	from     uint64
	retryAt  time.Duration
	// Until these times the entry is killed (and then restarted), suspended, cut off
	// from the store, or cut off from its peers.
	killedUntil, frozenUntil, storeCutUntil, isolatedUntil time.Duration
	// Until starvedUntil answers reach it without the records.
	starvedUntil time.Duration
	dead         bool
	// listedAt is when the entry reads the whole list of entries.
	listedAt time.Duration
	// disturbedAt is when it was last disturbed itself.
	disturbedAt time.Duration
	calls       int
}

type sim struct {
	rng     *rand.Rand
	now     time.Duration
	entries []*simEntry
	index   map[string]int
	peers   []Peer
	// acked has the time at which each record was acknowledged.
	acked     []time.Duration
	downUntil time.Duration
	lastDown  time.Duration
	loss      float64
	messages  []simMessage
	// slowStart bounds the time for which a starting entry is busy and does nothing else.
	slowStart time.Duration
	// partialLists is set if a starting entry knows only those that started before it, for
	// simListPause.
	partialLists bool
	// calls counts the calls to the store in each second.
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
	*e = simEntry{id: e.id, storeCutUntil: e.storeCutUntil, isolatedUntil: e.isolatedUntil, disturbedAt: s.now, calls: e.calls}
	e.upstreams = NewUpstreamSelector(s.peers[i], DefaultParams, rand.New(rand.NewPCG(s.rng.Uint64(), 2)))
	e.watermark = NewWatermark(s.now)
	if s.partialLists {
		others = slices.DeleteFunc(others, func(p Peer) bool { return s.entries[s.index[p.ID]].dead })
		e.listedAt = s.now + simListPause
	}
	e.upstreams.SetPeers(others)
	if s.slowStart > 0 {
		e.frozenUntil = s.now + time.Duration(s.rng.Int64N(int64(s.slowStart)))
	}
}

func (s *sim) storeDown() bool { return s.now < s.downUntil }

func (s *sim) send(m simMessage) {
	if s.rng.Float64() < s.loss || s.now < s.entries[m.from].isolatedUntil || s.now < s.entries[m.to].isolatedUntil {
		return
	}
	m.at = s.now + simStep
	s.messages = append(s.messages, m)
}

// step advances the simulation by one step.
func (s *sim) step() {
	s.now += simStep
	if s.storeDown() {
		s.lastDown = s.now
	}
	due := s.messages
	s.messages = nil
	for _, m := range due {
		e := s.entries[m.to]
		switch {
		case e.dead:
		case s.now < e.frozenUntil || m.at > s.now:
			s.messages = append(s.messages, m) // stays in the socket's buffer
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
	if s.now < max(e.killedUntil, e.frozenUntil, e.storeCutUntil, e.isolatedUntil) {
		e.disturbedAt = s.now
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
	if e.listedAt > 0 && s.now >= e.listedAt {
		e.listedAt = 0
		e.upstreams.SetPeers(slices.Delete(slices.Clone(s.peers), i, i+1))
	}
	for _, q := range e.upstreams.DueQueries(s.now) {
		s.send(simMessage{from: i, to: s.index[q.Peer], ask: true, seq: q.Seq})
	}
	for _, id := range e.upstreams.DueHints(s.now) {
		s.send(simMessage{from: i, to: s.index[id], hint: true})
	}
	s.read(e)
}

// read reads the store with long polls, as the real entry does.
func (s *sim) read(e *simEntry) {
	limit := MaxAge(simWithin)
	if !e.calling {
		fraction := float64(e.watermark.Age(s.now)) / float64(limit)
		if s.now < e.retryAt || !e.upstreams.ReadDue(fraction, s.now) {
			return
		}
		e.calling, e.calledAt, e.from, e.wait = true, s.now, e.watermark.Next, 0
		if e.upstreams.Mode(s.now) == ReadingStore {
			e.wait = e.upstreams.ReadWait(limit, 0, 1500*time.Millisecond)
		}
		e.calls++
		s.countCall()
		return
	}
	switch {
	case s.lastDown >= e.calledAt || e.storeCutUntil > e.calledAt:
		// The call hangs, even if the disturbance is over.
		if s.now-e.calledAt >= simTimeout+e.wait {
			e.calling, e.retryAt = false, s.now+simRetry
			e.upstreams.StoreFailed()
		}
	case s.now-e.calledAt >= simAnswer && (uint64(len(s.acked)) > e.from || s.now-e.calledAt >= e.wait):
		e.calling = false
		e.upstreams.StoreAnswered()
		e.watermark.Advance(uint64(len(s.acked)))
		e.watermark.Confirm(Read{Next: uint64(len(s.acked)), CalledAt: e.calledAt, AnsweredAt: s.now, Reader: e.id})
	}
}

func (s *sim) countCall() {
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
		e.upstreams.HintReceived(s.entries[m.from].id, s.now)
	case m.ask:
		last := e.watermark.LastRead()
		s.send(simMessage{from: m.to, to: m.from, seq: m.seq, next: e.watermark.Next,
			age: s.now - last.CalledAt, reader: last.Reader, noRead: !e.watermark.Confirmed()})
	default:
		sent, ok := e.upstreams.QuerySentAt(s.entries[m.from].id, m.seq)
		if !ok {
			return
		}
		calledAt := sent - m.age
		fresh := !m.noRead && m.reader != e.id && float64(s.now-calledAt) <= StaleFraction*float64(MaxAge(simWithin))
		if !m.noRead {
			if s.now >= e.starvedUntil {
				e.watermark.Advance(m.next) // the records come with the answer
			}
			e.watermark.Confirm(Read{Next: m.next, CalledAt: calledAt, AnsweredAt: calledAt, Reader: m.reader})
		}
		e.upstreams.QueryAnswered(m.seq, fresh, s.now)
	}
}

// falseWatermark describes an entry that lacks a record from before its watermark's time.
func (s *sim) falseWatermark() string {
	for _, e := range s.entries {
		for offset, at := range s.acked {
			if at < e.watermark.LastRead().CalledAt && uint64(offset) >= e.watermark.Next {
				return fmt.Sprintf("%s claims to know all records as of %v and lacks record %d of %v", e.id, e.watermark.LastRead().CalledAt, offset, at)
			}
		}
	}
	return ""
}

// overdue describes an entry that lacks a record simWithin after it was acknowledged.
func (s *sim) overdue() string {
	for _, e := range s.entries {
		settled := s.now - max(e.disturbedAt, s.lastDown)
		if e.dead || settled < simSettled {
			continue
		}
		for offset, at := range s.acked {
			if s.now-at > simWithin && uint64(offset) >= e.watermark.Next {
				return fmt.Sprintf("%s lacks record %d %v after it was acknowledged, %v after it was last disturbed; %v, upstream %q, age %v",
					e.id, offset, s.now-at, settled, e.upstreams.Mode(s.now), e.upstreams.Upstream(), e.watermark.Age(s.now))
			}
		}
	}
	return ""
}

func (s *sim) write() { s.acked = append(s.acked, s.now) }

// byPreference returns the entries in the shared order.
func (s *sim) byPreference() []*simEntry {
	list := slices.Clone(s.entries)
	slices.SortFunc(list, func(a, b *simEntry) int { return len(a.upstreams.preference) - len(b.upstreams.preference) })
	return list
}

func (s *sim) run(t interface{ Fatal(...any) }, until time.Duration) {
	for s.now < until {
		s.step()
		if s.now%(500*time.Millisecond) == 0 {
			s.write()
		}
		if wrong := s.falseWatermark() + s.overdue(); wrong != "" {
			t.Fatal(wrong)
		}
	}
}

// Guards against an undisturbed entry that uses outdated records, whatever fails elsewhere.
func TestWhatTheStoreSaysIsInForceInTimeWhateverHappensToOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.IntRange(1, 40).Draw(t, "entries"), rapid.IntRange(1, 5).Draw(t, "domains"),
			rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss"), rapid.Uint64().Draw(t, "seed"))
		s.run(t, 3*time.Second)
		for range rapid.IntRange(1, 6).Draw(t, "troubles") {
			kind := rapid.SampledFrom([]string{"kill", "freeze", "cut", "lonely", "starve", "down"}).Draw(t, "kind")
			lasts := time.Duration(rapid.IntRange(50, 9000).Draw(t, "ms")) * time.Millisecond
			// Failures of the first entries in the order have the greatest effect.
			from := rapid.IntRange(0, len(s.entries)-1).Draw(t, "from")
			many := rapid.IntRange(1, len(s.entries)).Draw(t, "many")
			s.inject(kind, s.byPreference()[from:min(len(s.entries), from+many)], s.now+lasts)
			s.run(t, s.now+time.Duration(rapid.IntRange(0, 8000).Draw(t, "pause"))*time.Millisecond)
		}
		s.run(t, s.now+6*time.Second)
	})
}

func (s *sim) inject(kind string, on []*simEntry, until time.Duration) {
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
			e.storeCutUntil = until
		case "lonely":
			e.isolatedUntil = until
		case "starve":
			e.starvedUntil = until
			continue // its own links and the store work
		}
		e.disturbedAt = s.now
	}
}

// Guards against store calls that grow with the number of entries.
func TestCallsDoNotGrowWithEntries(t *testing.T) {
	for _, entries := range []int{3, 30, 103, 300} {
		s := newSim(entries, 5, 0.01, 7)
		s.run(t, 3*time.Second)
		before := s.totalCalls()
		const lasts = 20 * time.Second
		s.run(t, s.now+lasts)
		// A read waits for at least a third of a second, and two records a second end one early.
		if calls := s.totalCalls() - before; calls > 6*int(lasts/time.Second) {
			t.Errorf("%d entries: %d calls in %v", entries, calls, lasts)
		}
	}
}

func (s *sim) totalCalls() int {
	n := 0
	for _, e := range s.entries {
		n += e.calls
	}
	return n
}

// Guards against a returning store that is called by all entries at once.
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

// Guards against all entries assuming an outage because the first ones are cut off from a store that answers the others.
func TestWitnessesThatAreCutOffThemselvesAreTold(t *testing.T) {
	s := newSim(103, 5, 0, 13)
	s.run(t, 4*time.Second)
	first := s.byPreference()[:DefaultParams.OutageQuorum+1]
	s.inject("cut", first, s.now+10*time.Second)
	s.run(t, s.now+9*time.Second)
	for _, e := range first {
		if age := e.watermark.Age(s.now); age > simWithin {
			t.Errorf("%s, which alone is cut off from the store, has an age of %v", e.id, age)
		}
	}
}

// Guards against an upstream that is kept although it doesn't answer.
func TestALostSourceIsLeftAtOnce(t *testing.T) {
	for _, entries := range []int{3, 30, 103} {
		s := newSim(entries, 5, 0, 17)
		s.run(t, 4*time.Second)
		lost := s.byPreference()[0]
		s.inject("kill", []*simEntry{lost}, time.Hour)
		// Two queries, after the one that was due, go unanswered; then the next candidate is queried.
		p := DefaultParams
		s.run(t, s.now+p.QueryInterval+time.Duration(p.MaxUnanswered)*p.QueryTimeout+4*simStep+p.QueryInterval)
		for _, e := range s.entries {
			if e != lost && e.upstreams.Upstream() == lost.id {
				t.Errorf("of %d entries %s still follows the killed one", entries, e.id)
			}
		}
	}
}

// Guards against undisturbed entries that wait too long for their slot while most are cut off from the store.
func TestFewThatAreAnsweredAreFoundInTime(t *testing.T) {
	s := newSim(22, 1, 0, 0)
	s.run(t, 3*time.Second)
	for range 2 {
		s.inject("kill", s.byPreference()[:1], s.now+50*time.Millisecond)
		s.run(t, s.now+71*time.Millisecond)
	}
	s.inject("down", nil, s.now+50*time.Millisecond)
	s.run(t, s.now+1141*time.Millisecond)
	s.inject("cut", s.byPreference()[:17], s.now+1961*time.Millisecond)
	s.run(t, s.now+6*time.Second)
}
