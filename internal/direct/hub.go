package direct

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/settings"
	"skylarklead/internal/spread"
	"skylarklead/internal/telemetry"
)

// The topics by their numbers in messages between entries.
const (
	numberOperator = iota
	numberReplicas
	numberEntries
	numberPeers
	topics
)

// topicNames are the topics' names in metrics, by their numbers.
var topicNames = [topics]string{"operator", "replicas", "entries", "peers"}

const (
	// hubTick is the pause between looks at what to ask and to read: a third of the pause
	// between questions.
	hubTick = 50 * time.Millisecond
	// askedFor is for how long one that asked is told news: several questions in a row
	// would have to be lost.
	askedFor = time.Second
	// maxAskers bounds those that are told news: many times those that ask one entry.
	maxAskers = 512
	// entriesLimit and peersLimit are how old what is known of the entries' own topics may
	// be. No promise hangs on either: leases are safe whatever is known of them, and peers
	// that aren't known are asked nothing.
	entriesLimit = 10 * time.Second
	peersLimit   = 30 * time.Second
	// shortLease is how long a read of the entries' topic waits while a rollout is under
	// way, so that a silent connection hides renewals for less than a lease lasts.
	shortLease = entriesEvery
)

// hub has an entry's topics passed on among the entries: it asks, answers and tells news. What
// is asked, and when the store is read, package spread decides.
//
// Lock order: a follower's mu before the hub's.
type hub struct {
	entry *Entry
	tel   *telemetry.Telemetry
	boot  func() time.Duration
	self  spread.Peer
	// send sends a message to an address. Errors are of no interest: each question is asked
	// again.
	send func(*word, netip.AddrPort)
	bulk *bulk
	// server gives peers what doesn't fit into a datagram.
	server *http.Server

	mu        sync.Mutex
	sources   *spread.Sources
	followers [topics]*follower
	fetching  [topics]bool
	addresses map[string]netip.AddrPort
	// peers are those listed that sources weren't told of yet, nil for none.
	peers []spread.Peer
	// askers is when each address asked last.
	askers map[netip.AddrPort]time.Duration
	// mode, source and since are the latest that the log tells of.
	mode   spread.Mode
	source string
	since  time.Duration
	// lacking is what the latest answer lacked that wasn't young enough.
	lacking lacking
}

// lacking is why an answer wasn't young enough: the topic, how old it was told to be, and
// who had read it; "" for a topic that it didn't tell of.
type lacking struct {
	peer, topic, reader string
	age                 time.Duration
}

func newHub(e *Entry) *hub {
	self := spread.Peer{ID: e.settings.ID, FailureDomain: e.settings.FailureDomain}
	return &hub{
		entry: e, tel: e.tel, boot: e.boot, self: self,
		sources:   spread.NewSources(self, spread.DefaultParams, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		addresses: make(map[string]netip.AddrPort),
		askers:    make(map[netip.AddrPort]time.Duration),
		bulk:      newBulk(),
	}
}

// promised reports whether a promise hangs on how soon a topic's records are known. A source
// must know these: the entries' own topics are told by other ways too.
func promised(number int) bool { return number == numberOperator || number == numberReplicas }

// limits are how old what is known of each topic may be.
func limits(d *settings.Direct) [topics]time.Duration {
	return [topics]time.Duration{
		numberOperator: spread.Limit(d.ConfigurationWithin.D()),
		numberReplicas: spread.Limit(d.LeavingWithin.D()),
		numberEntries:  entriesLimit,
		numberPeers:    peersLimit,
	}
}

// attach takes part in a topic.
func (h *hub) attach(f *follower) {
	h.tel.Metrics.Gauge("known_age_ms_"+topicNames[f.number], func() int64 { return f.age().Milliseconds() })
	h.mu.Lock()
	defer h.mu.Unlock()
	f.limit = limits(h.entry.direct())[f.number]
	h.followers[f.number] = f
}

// reads counts a read of the store by why it is made.
func (h *hub) reads(*follower) {
	now := h.boot()
	h.mu.Lock()
	mode := h.sources.Mode(now)
	h.mu.Unlock()
	h.tel.Metrics.Count("store_reads_"+mode.String(), 1)
}

// followed returns the topic of a number, nil if there is none.
func (h *hub) followed(number int) *follower {
	h.mu.Lock()
	defer h.mu.Unlock()
	if number < 0 || number >= topics {
		return nil
	}
	return h.followers[number]
}

// due reports whether to read a topic from the store now.
func (h *hub) due(f *follower) bool {
	now := h.boot()
	f.mu.Lock()
	part := float64(f.belief.Age(now)) / float64(f.limit)
	// Who there is to ask is read from the store.
	first := !f.belief.Known && f.number == numberPeers || !f.keyed && f.reread
	f.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	return first || h.sources.Due(part, now)
}

// patience is how long a read of the store waits, of an entry that others listen to no longer
// than keeps their knowledge young, and of one that reads only this once not at all.
func (h *hub) patience(f *follower, longest time.Duration) time.Duration {
	now := h.boot()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.sources.Mode(now) != spread.Leading {
		return 0
	}
	if f.number == numberEntries && h.entry.rollouts.active.Load() {
		return min(longest, shortLease)
	}
	if !h.sources.Followed() {
		return longest
	}
	p := spread.DefaultParams
	return min(longest, p.ReadWait(f.limit, f.every, h.sources.Tiers()))
}

// served says that the store has answered a call for a topic; it returns who that is.
func (h *hub) served(*follower) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sources.Served()
	return h.self.ID
}

func (h *hub) missed(*follower) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sources.Missed()
}

// listed takes where all other entries are.
func (h *hub) listed(peers map[string]peerAddress) {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.addresses)
	list := make([]spread.Peer, 0, len(peers))
	for id, p := range peers {
		h.addresses[id] = p.address
		list = append(list, spread.Peer{ID: id, FailureDomain: p.domain})
	}
	if h.peers = list; h.sources.Mode(h.boot()) == spread.Alone {
		h.tellSources()
	}
}

// tellSources has sources take the list of peers: at a start they come one by one, and their
// order is worked out once for many. The caller holds mu.
func (h *hub) tellSources() {
	if h.peers != nil {
		h.sources.Peers(h.peers)
		h.peers = nil
	}
}

// run asks and looks what to read until ctx ends.
func (h *hub) run(ctx context.Context) {
	tick := time.NewTicker(hubTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			h.server.Close()
			h.bulk.client.CloseIdleConnections()
			return
		case <-tick.C:
		}
		h.step()
	}
}

// step asks what is to be asked now and wakes the readers.
func (h *hub) step() {
	now := h.boot()
	h.mu.Lock()
	h.tellSources()
	questions := h.sources.Tick(now)
	hints := h.addressesOf(h.sources.Hints(now))
	mode, source := h.sources.Mode(now), h.sources.Source()
	changed := mode != h.mode || source != h.source
	before, was, lasted := h.mode, h.source, now-h.since
	if changed {
		h.mode, h.source, h.since = mode, source, now
	}
	followers := h.followers
	lacks := h.lacking
	if changed {
		h.lacking = lacking{}
	}
	h.mu.Unlock()
	if changed {
		h.logSource(mode, source, before, was, lasted, lacks)
	}
	h.ask(questions)
	for _, to := range hints {
		h.send(&word{From: h.self.ID, Epoch: uint64(h.tel.Epoch), Hint: true}, to)
	}
	for _, f := range followers {
		if f != nil && (mode != spread.Listening || f.age() > time.Duration(spread.StaleAt*float64(f.limit))) {
			nudge(f.wake)
		}
	}
}

func (h *hub) logSource(mode spread.Mode, source string, before spread.Mode, was string, lasted time.Duration, lacks lacking) {
	h.tel.Metrics.Count("records_source_changes", 1)
	if mode == spread.Leading {
		h.tel.Metrics.Count("store_taken_over", 1)
	}
	h.tel.Log.Info("records' source", "mode", mode.String(), "source", source,
		"before", before.String(), "source_before", was, "after_ms", lasted.Milliseconds(),
		"list_age_ms", h.ageOf(numberReplicas).Milliseconds(), "operator_age_ms", h.ageOf(numberOperator).Milliseconds(),
		"old_at", lacks.peer, "old_topic", lacks.topic, "old_ms", lacks.age.Milliseconds(), "old_from", lacks.reader)
}

func (h *hub) ageOf(number int) time.Duration {
	if f := h.followed(number); f != nil {
		return f.age()
	}
	return 0
}

func (h *hub) addressesOf(ids []string) []netip.AddrPort {
	var list []netip.AddrPort
	for _, id := range ids {
		if a, ok := h.addresses[id]; ok {
			list = append(list, a)
		}
	}
	return list
}

// ask sends questions.
func (h *hub) ask(questions []spread.Question) {
	for _, q := range questions {
		h.mu.Lock()
		to, ok := h.addresses[q.Peer]
		followers := h.followers
		h.mu.Unlock()
		if !ok {
			continue
		}
		asked := &wordAsk{Seq: q.Seq}
		for _, f := range followers {
			asked.Next = append(asked.Next, f.nextOf())
		}
		h.tel.Metrics.Count("records_asked", 1)
		h.send(&word{From: h.self.ID, Epoch: uint64(h.tel.Epoch), Ask: asked}, to)
	}
}

// nextOf is one more than the offset from which on a topic isn't known here, 0 where
// nothing of it is.
func (f *follower) nextOf() uint64 {
	if f == nil {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.belief.Known {
		return 0
	}
	return f.belief.Next + 1
}

// asked answers a peer's question.
func (h *hub) asked(a *wordAsk, from netip.AddrPort) {
	now := h.boot()
	h.mu.Lock()
	if _, known := h.askers[from]; known || len(h.askers) < maxAskers {
		h.askers[from] = now
	}
	followers := h.followers
	h.mu.Unlock()
	out := &wordAnswer{Seq: a.Seq}
	room := maxWord - wordOverhead
	for i, f := range followers {
		if f == nil || i >= len(a.Next) {
			continue
		}
		topic, known := f.told(a.Next[i], now, &room)
		if known {
			topic.Number = uint8(i)
			out.Topics = append(out.Topics, topic)
		}
	}
	h.tel.Metrics.Count("records_answered", 1)
	h.send(&word{From: h.self.ID, Epoch: uint64(h.tel.Epoch), Answer: out}, from)
}

// told is what an entry that knows a topic up to next less one, 0 for nothing, is told of it:
// where it ends and as of when, and the records that it lacks as far as there is room.
func (f *follower) told(next uint64, now time.Duration, room *int) (wordTopic, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.belief.Confirmed() {
		return wordTopic{}, false
	}
	last := f.belief.Last()
	t := wordTopic{
		Next: f.belief.Next, Reader: last.Reader,
		MadeMs: ageMs(now - last.Made), AnsweredMs: ageMs(now - last.Answered),
	}
	if next == 0 || next > f.belief.Next {
		return t, true
	}
	records, kept := f.tail.From(next - 1)
	if kept {
		t.From = next - 1
		t.Records = fitting(records, room)
	}
	return t, true
}

// fitting are the first records that fit into a datagram's room, which they take.
func fitting(records []fleet.Record, room *int) []wordRecord {
	var out []wordRecord
	for _, r := range records {
		takes := len(r.Key) + len(r.Value) + recordOverhead
		if takes > *room {
			break
		}
		*room -= takes
		out = append(out, wordRecord{Key: r.Key, Value: r.Value, Gone: r.Value == nil})
	}
	return out
}

// ageMs is an age in milliseconds, rounded up: what is passed on never gets younger.
func ageMs(age time.Duration) uint64 {
	return uint64((max(0, age) + time.Millisecond - 1) / time.Millisecond)
}

// answered takes a peer's answer, or news that nobody asked for (Seq 0).
func (h *hub) answered(peer string, a *wordAnswer, from netip.AddrPort) {
	now := h.boot()
	if a.Seq == 0 {
		h.heardNews(peer, a, from)
		return
	}
	h.mu.Lock()
	sent, ok := h.sources.Sent(peer, a.Seq)
	h.mu.Unlock()
	if !ok {
		h.tel.Metrics.Count("records_answers_late", 1)
		return
	}
	told := [topics]bool{}
	var lacks lacking
	for i := range a.Topics {
		t := &a.Topics[i]
		f := h.followed(int(t.Number))
		if f == nil {
			continue
		}
		told[t.Number] = true
		r := t.reading(sent)
		old := t.Reader == h.self.ID || float64(now-r.Made) > spread.StaleAt*float64(f.limit)
		if old && promised(f.number) {
			lacks = lacking{peer: peer, topic: f.topic, reader: t.Reader, age: now - r.Made}
		}
		h.take(f, t, r, from)
	}
	if !told[numberOperator] || !told[numberReplicas] {
		lacks = lacking{peer: peer}
	}
	h.mu.Lock()
	if lacks.peer != "" {
		h.lacking = lacks
	}
	h.sources.Answered(a.Seq, lacks.peer == "", now)
	h.mu.Unlock()
	h.step()
}

// reading is what an answer shows to a question that was sent at a time: the ages run back
// from then, so that the way of the answer, or a stop of this process, makes nothing young.
func (t *wordTopic) reading(sent time.Duration) spread.Reading {
	return spread.Reading{
		Next: t.Next, Reader: t.Reader,
		Made:     sent - time.Duration(t.MadeMs)*time.Millisecond,
		Answered: sent - time.Duration(t.AnsweredMs)*time.Millisecond,
	}
}

// heardNews takes records that a peer has just read. Which peer doesn't matter: a record
// is the same whoever passes it on.
func (h *hub) heardNews(peer string, a *wordAnswer, from netip.AddrPort) {
	behind := false
	for i := range a.Topics {
		t := &a.Topics[i]
		if f := h.followed(int(t.Number)); f != nil {
			behind = !f.take(t.From, t.records(), spread.Reading{Next: t.Next}, from) || behind
		}
	}
	if !behind {
		return
	}
	h.mu.Lock()
	h.sources.Hurry(peer, h.boot())
	h.mu.Unlock()
	h.step()
}

// take takes what a peer tells of a topic, and fetches what isn't in its message.
func (h *hub) take(f *follower, t *wordTopic, r spread.Reading, from netip.AddrPort) {
	if f.take(t.From, t.records(), r, from) {
		h.tel.Metrics.Count("records_from_peers", int64(len(t.Records)))
		return
	}
	h.mu.Lock()
	begun := h.fetching[f.number]
	h.fetching[f.number] = true
	h.mu.Unlock()
	if begun {
		return
	}
	go func() {
		h.fetch(f, from)
		h.mu.Lock()
		h.fetching[f.number] = false
		h.mu.Unlock()
	}()
}

// heard takes a message between hubs. Where this entry reads all for itself it answers none.
func (h *hub) heard(w *word, from netip.AddrPort) {
	switch {
	case h == nil:
	case w.Ask != nil:
		h.asked(w.Ask, from)
	case w.Answer != nil:
		h.answered(w.From, w.Answer, from)
	case w.Hint:
		h.hinted(w.From)
	}
}

// hinted takes a peer's word that the store answers it.
func (h *hub) hinted(peer string) {
	h.mu.Lock()
	h.sources.Hinted(peer, h.boot())
	h.mu.Unlock()
	h.step()
}

// news tells of records that this entry has just taken, by whom they came to it, those that
// ask it and the one that it asks; with none, that there are some, which they ask for. What an
// entry writes, and reads back, reaches all others so within milliseconds, and not only
// those that ask it: a hundred entries would claim a free lease after one of them got it. A
// record that is known already goes no further. The follower's mu is held.
func (h *hub) news(f *follower, from uint64, records []fleet.Record, by netip.AddrPort) {
	now := h.boot()
	var to []netip.AddrPort
	h.mu.Lock()
	for address, at := range h.askers {
		if now-at > askedFor {
			delete(h.askers, address)
		} else if address != by {
			to = append(to, address)
		}
	}
	if source, ok := h.addresses[h.sources.Source()]; ok && source != by && !slices.Contains(to, source) {
		to = append(to, source)
	}
	h.mu.Unlock()
	if len(to) == 0 {
		return
	}
	for first := true; first || len(records) > 0; first = false {
		room := maxWord - wordOverhead
		part := fitting(records, &room)
		t := wordTopic{Number: uint8(f.number), From: from, Next: from + uint64(len(part)), Records: part}
		if len(part) == 0 {
			t.Next = from + uint64(len(records))
		}
		w := &word{From: h.self.ID, Epoch: uint64(h.tel.Epoch), Answer: &wordAnswer{Topics: []wordTopic{t}}}
		for _, address := range to {
			h.send(w, address)
		}
		if len(part) == 0 {
			return // the next one is too long for a datagram
		}
		from += uint64(len(part))
		records = records[len(part):]
	}
}
