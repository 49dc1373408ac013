package direct

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"skylarklead/internal/quota"
	"skylarklead/internal/settings"
	"skylarklead/internal/spread"
	"skylarklead/internal/telemetry"
)

// The topics by their numbers in messages between entries.
const (
	operatorTopicID = iota
	replicasTopicID
	entriesTopicID
	peersTopicID
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
	// be. Leases are safe whatever is known of them; an entry spends less of organisations'
	// limits where its list of entries is older.
	entriesLimit = 10 * time.Second
	peersLimit   = quota.DefaultMaxListAge
	// shortLease is how long a read of the entries' topic waits while a rollout is under
	// way, so that a silent connection hides renewals for less than a lease lasts.
	shortLease = entriesReadPause
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
	send func(*peerMessage, netip.AddrPort)
	// fetchTopic fetches from a peer what doesn't fit into a datagram: of the topic of a number what
	// follows next less one, or all. close ends that, and what gives peers the same.
	fetchTopic func(from netip.AddrPort, number int, next uint64) (*wordTopic, error)
	close      func()

	mu        sync.Mutex
	sources   *spread.UpstreamSelector
	followers [topics]*follower
	fetching  [topics]bool
	addresses map[string]netip.AddrPort
	// peers are those listed that sources weren't told of yet, nil for none.
	peers []spread.Peer
	// askers is when each address asked last.
	askers map[netip.AddrPort]time.Duration
	// told is the latest that the log tells of.
	told sourcing
}

// sourcing is where the entry has had its records from, since when, and what the latest answer
// lacked that wasn't young enough.
type sourcing struct {
	mode    spread.Mode
	source  string
	since   time.Duration
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
		entry: e, tel: e.tel, boot: e.bootClock, self: self,
		sources:   spread.NewUpstreamSelector(self, spread.DefaultParams, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		addresses: make(map[string]netip.AddrPort),
		askers:    make(map[netip.AddrPort]time.Duration),
	}
}

// promised reports whether a promise hangs on how soon a topic's records are known. A source
// must know these: the entries' own topics are told by other ways too.
func promised(number int) bool { return number == operatorTopicID || number == replicasTopicID }

// limits are how old what is known of each topic may be.
func limits(d *settings.Direct) [topics]time.Duration {
	return [topics]time.Duration{
		operatorTopicID: spread.MaxAge(d.ConfigurationWithin.D()),
		replicasTopicID: spread.MaxAge(d.LeavingWithin.D()),
		entriesTopicID:  entriesLimit,
		peersTopicID:    peersLimit,
	}
}

// tooOld reports whether an age of the topic's belief is too old for a source.
func (f *follower) tooOld(age time.Duration) bool {
	return float64(age) > spread.StaleFraction*float64(f.limit)
}

// attach takes part in a topic.
func (h *hub) attach(f *follower) {
	h.tel.Metrics.Gauge("known_age_ms_"+topicNames[f.topicID], func() int64 { return f.age().Milliseconds() })
	h.mu.Lock()
	defer h.mu.Unlock()
	f.limit = limits(h.entry.directSettings())[f.topicID]
	h.followers[f.topicID] = f
}

// reads counts a read of the store by why it is made.
func (h *hub) reads() {
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
	first := !f.belief.Known && f.topicID == peersTopicID || !f.keyed && f.reread
	f.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	return first || h.sources.ReadDue(part, now)
}

// patience is how long a read of the store waits, of an entry that others listen to no longer
// than keeps their knowledge young, and of one that reads only this once not at all.
func (h *hub) patience(f *follower, longest time.Duration) time.Duration {
	now := h.boot()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.sources.Mode(now) != spread.ReadingStore {
		return 0
	}
	if f.topicID == entriesTopicID && h.entry.rollouts.active.Load() {
		return min(longest, shortLease)
	}
	return h.sources.ReadWait(f.limit, f.readPause, longest)
}

// served says that the store has answered a call of this entry, missed that it hasn't.
func (h *hub) served() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sources.StoreAnswered()
}

func (h *hub) missed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sources.StoreFailed()
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
	if h.peers = list; h.sources.Mode(h.boot()) == spread.PeersUnknown {
		h.tellSources()
	}
}

// tellSources has sources take the list of peers: at a start they come one by one, and their
// order is worked out once for many. The caller holds mu.
func (h *hub) tellSources() {
	if h.peers != nil {
		h.sources.SetPeers(h.peers)
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
			h.close()
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
	questions := h.sources.DueQueries(now)
	hints := h.addressesOf(h.sources.DueHints(now))
	was, is := h.told, sourcing{mode: h.sources.Mode(now), source: h.sources.Upstream(), since: now}
	changed := is.mode != was.mode || is.source != was.source
	if changed {
		h.told = is
	}
	followers := h.followers
	h.mu.Unlock()
	if changed {
		h.logSource(was, is)
	}
	h.ask(questions)
	for _, to := range hints {
		h.send(&peerMessage{From: h.self.ID, Epoch: uint64(h.tel.Epoch), Hint: true}, to)
	}
	for _, f := range followers {
		if f != nil && (is.mode != spread.Following || f.tooOld(f.age())) {
			trySignal(f.wake)
		}
	}
}

func (h *hub) logSource(was, is sourcing) {
	h.tel.Metrics.Count("records_source_changes", 1)
	if is.mode == spread.ReadingStore {
		h.tel.Metrics.Count("store_taken_over", 1)
	}
	lacks := was.lacking
	h.tel.Log.Info("records' source", "mode", is.mode.String(), "source", is.source,
		"before", was.mode.String(), "source_before", was.source, "after_ms", (is.since - was.since).Milliseconds(),
		"list_age_ms", h.ageOf(replicasTopicID).Milliseconds(), "operator_age_ms", h.ageOf(operatorTopicID).Milliseconds(),
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
