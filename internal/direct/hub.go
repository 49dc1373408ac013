package direct

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"skylarklead/internal/peermessage"
	"skylarklead/internal/quota"
	"skylarklead/internal/settings"
	"skylarklead/internal/spread"
	"skylarklead/internal/telemetry"
)

// IDs of the topics in peer messages.
const (
	operatorTopicID = iota
	replicasTopicID
	entriesTopicID
	peersTopicID
	topicCount
)

// topicNames are the topics' names in metrics, by topic ID.
var topicNames = [topicCount]string{"operator", "replicas", "entries", "peers"}

const (
	// hubInterval is the pause between checks for queries to send and store reads that are due: a
	// third of the pause between queries to a peer.
	hubInterval = 50 * time.Millisecond
	// subscriptionTTL is how long a peer receives updates after its last query. Peers query often
	// enough that several queries in a row would have to be lost for a subscription to end.
	subscriptionTTL = time.Second
	// maxSubscribers bounds the peers that receive updates: many times the number that queries one
	// entry.
	maxSubscribers = 512
	// maxEntriesAge and maxPeersAge bound the staleness of the entries' own topics. Leases are safe
	// at any staleness, and an entry spends less of the organisations' quotas while its list of
	// entries is older.
	maxEntriesAge = 10 * time.Second
	maxPeersAge   = quota.DefaultMaxListAge
	// rolloutReadWait is how long a read of the entries' topic waits while a rollout is under way,
	// so that a connection that has gone silent hides lease renewals for less than a lease lasts.
	rolloutReadWait = entriesReadPause
)

// hub distributes the store's topics among the entries, so that only a few of them read the store.
// It queries peers, answers their queries and sends updates. Package spread decides which peers to
// query and when to read the store.
//
// Lock order: a follower's mu before the hub's.
type hub struct {
	entry *Entry
	tel   *telemetry.Telemetry
	boot  func() time.Duration
	self  spread.Peer
	// send sends a message to an address. It reports no errors, because every query is repeated.
	send func(peermessage.Message, netip.AddrPort)
	// fetchTopic fetches over HTTP what does not fit in a datagram: the records of a topic from
	// offset next-1 on, or the whole topic. close stops these fetches and the server that answers
	// those of peers.
	fetchTopic func(from netip.AddrPort, topicID int, next uint64) (*peermessage.TopicState, error)
	close      func()

	mu        sync.Mutex
	upstreams *spread.UpstreamSelector
	followers [topicCount]*follower
	fetching  [topicCount]bool
	addresses map[string]netip.AddrPort
	// pendingPeers is a list of peers that upstreams has not received yet; nil if there is none.
	pendingPeers []spread.Peer
	// subscribers holds the time of the last query from each address.
	subscribers map[netip.AddrPort]time.Duration
	// loggedStatus is the status that was last logged.
	loggedStatus upstreamStatus
}

// upstreamStatus says where the entry gets its records from, since when, and which answer was last
// rejected as stale.
type upstreamStatus struct {
	mode     spread.Mode
	upstream string
	since    time.Duration
	stale    staleResponse
}

// staleResponse says why an answer was rejected: the topic, its reported age and the entry that
// read it from the store. topic is "" if the answer lacked a required topic.
type staleResponse struct {
	peer, topic, reader string
	age                 time.Duration
}

func newHub(e *Entry) *hub {
	self := spread.Peer{ID: e.settings.ID, FailureDomain: e.settings.FailureDomain}
	return &hub{
		entry: e, tel: e.tel, boot: e.bootClock, self: self,
		upstreams:   spread.NewUpstreamSelector(self, spread.DefaultParams, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		addresses:   make(map[string]netip.AddrPort),
		subscribers: make(map[netip.AddrPort]time.Duration),
	}
}

// mustBeFresh reports whether a time limit on changes depends on the staleness of a topic. Only a
// peer with fresh data for these topics may be the upstream; the entries' own topics also spread in
// other ways.
func mustBeFresh(topicID int) bool { return topicID == operatorTopicID || topicID == replicasTopicID }

// maxAges returns the maximum staleness of each topic.
func maxAges(d *settings.Direct) [topicCount]time.Duration {
	return [topicCount]time.Duration{
		operatorTopicID: spread.MaxAge(d.ConfigurationWithin.D()),
		replicasTopicID: spread.MaxAge(d.LeavingWithin.D()),
		entriesTopicID:  maxEntriesAge,
		peersTopicID:    maxPeersAge,
	}
}

// tooStale reports whether a peer's data for the topic is too old to use that peer as upstream.
func (f *follower) tooStale(age time.Duration) bool {
	return float64(age) > spread.StaleFraction*float64(f.maxAge)
}

// attach registers the follower of a topic.
func (h *hub) attach(f *follower) {
	h.tel.Metrics.Gauge("known_age_ms_"+topicNames[f.topicID], func() int64 { return f.age().Milliseconds() })
	h.mu.Lock()
	defer h.mu.Unlock()
	f.maxAge = maxAges(h.entry.directSettings())[f.topicID]
	h.followers[f.topicID] = f
}

// countRead counts a read of the store under the mode that caused it.
func (h *hub) countRead() {
	now := h.boot()
	h.mu.Lock()
	mode := h.upstreams.Mode(now)
	h.mu.Unlock()
	h.tel.Metrics.Count("store_reads_"+mode.String(), 1)
}

// followerOf returns the follower of a topic, nil if there is none.
func (h *hub) followerOf(topicID int) *follower {
	h.mu.Lock()
	defer h.mu.Unlock()
	if topicID < 0 || topicID >= topicCount {
		return nil
	}
	return h.followers[topicID]
}

// readDue reports whether to read a topic from the store now.
func (h *hub) readDue(f *follower) bool {
	now := h.boot()
	f.mu.Lock()
	ageFraction := float64(f.watermark.Age(now)) / float64(f.maxAge)
	// The list of peers to query comes from the store.
	required := !f.watermark.Known && f.topicID == peersTopicID || !f.keyed && f.reload
	f.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	return required || h.upstreams.ReadDue(ageFraction, now)
}

// readWait returns how long a read of the store may wait for a record. A read by an entry that
// others query is short enough to keep their data fresh; a read that this entry makes only once,
// in any mode but spread.ReadingStore, does not wait.
func (h *hub) readWait(f *follower, longest time.Duration) time.Duration {
	now := h.boot()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.upstreams.Mode(now) != spread.ReadingStore {
		return 0
	}
	if f.topicID == entriesTopicID && h.entry.rollouts.active.Load() {
		return min(longest, rolloutReadWait)
	}
	return h.upstreams.ReadWait(f.maxAge, f.readPause, longest)
}

// storeAnswered records that the store answered a call of this entry, storeFailed that it did not.
func (h *hub) storeAnswered() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.upstreams.StoreAnswered()
}

func (h *hub) storeFailed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.upstreams.StoreFailed()
}

// setPeers sets the addresses and failure domains of all other entries.
func (h *hub) setPeers(peers map[string]peerAddress) {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.addresses)
	list := make([]spread.Peer, 0, len(peers))
	for id, p := range peers {
		h.addresses[id] = p.address
		list = append(list, spread.Peer{ID: id, FailureDomain: p.domain})
	}
	if h.pendingPeers = list; h.upstreams.Mode(h.boot()) == spread.PeersUnknown {
		h.applyPendingPeers()
	}
}

// applyPendingPeers sets the latest list of peers in upstreams. At a start peers are added one by
// one, and computing their order once for many is cheaper. The caller holds mu.
func (h *hub) applyPendingPeers() {
	if h.pendingPeers != nil {
		h.upstreams.SetPeers(h.pendingPeers)
		h.pendingPeers = nil
	}
}

// run sends queries and wakes the followers until ctx ends.
func (h *hub) run(ctx context.Context) {
	tick := time.NewTicker(hubInterval)
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

// step sends the queries that are due and wakes the followers whose reads may be due.
func (h *hub) step() {
	now := h.boot()
	h.mu.Lock()
	h.applyPendingPeers()
	queries := h.upstreams.DueQueries(now)
	hints := h.addressesOf(h.upstreams.DueHints(now))
	previous, current := h.loggedStatus, upstreamStatus{mode: h.upstreams.Mode(now), upstream: h.upstreams.Upstream(), since: now}
	changed := current.mode != previous.mode || current.upstream != previous.upstream
	if changed {
		h.loggedStatus = current
	}
	followers := h.followers
	h.mu.Unlock()
	if changed {
		h.logUpstreamChange(previous, current)
	}
	h.sendQueries(queries)
	for _, to := range hints {
		h.send(peermessage.StoreHint{}, to)
	}
	for _, f := range followers {
		if f != nil && (current.mode != spread.Following || f.tooStale(f.age())) {
			trySignal(f.wake)
		}
	}
}

func (h *hub) logUpstreamChange(previous, current upstreamStatus) {
	h.tel.Metrics.Count("records_source_changes", 1)
	if current.mode == spread.ReadingStore {
		h.tel.Metrics.Count("store_taken_over", 1)
	}
	stale := previous.stale
	h.tel.Log.Info("records upstream changed", "mode", current.mode.String(), "source", current.upstream,
		"before", previous.mode.String(), "source_before", previous.upstream, "after_ms", (current.since - previous.since).Milliseconds(),
		"list_age_ms", h.ageOf(replicasTopicID).Milliseconds(), "operator_age_ms", h.ageOf(operatorTopicID).Milliseconds(),
		"old_at", stale.peer, "old_topic", stale.topic, "old_ms", stale.age.Milliseconds(), "old_from", stale.reader)
}

func (h *hub) ageOf(topicID int) time.Duration {
	if f := h.followerOf(topicID); f != nil {
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
