package direct

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"skylarklead/internal/admit"
	"skylarklead/internal/attempt"
	"skylarklead/internal/rollout"
	"skylarklead/internal/route"
	"skylarklead/internal/strictcbor"
	"skylarklead/internal/wait"
)

const (
	// minMessageInterval is the least pause between load messages to each peer, a fraction of the
	// time that prefilling a prompt takes. The pause grows with the number of peers, so that an
	// entry sends at most maxMessagesPerSecond.
	minMessageInterval   = 50 * time.Millisecond
	maxMessagesPerSecond = 200
	// peerExpiry is how long the data of a silent peer is kept.
	peerExpiry = 10 * time.Second
	// maxMessageBytes bounds a message: what a datagram carries without fragmentation over links
	// with an MTU of 1,500 bytes.
	maxMessageBytes = 1472
	// maxMessageLoads bounds the loads in a message without placements. Each placement takes the
	// room of loadsPerPlacement loads.
	maxMessageLoads   = 56
	loadsPerPlacement = 2
	// placementRepeats is how many messages carry each placement, so that the loss of one datagram
	// does not hide it.
	placementRepeats = 2
	// minPlacementAge is the least time for which a placement is advertised, maxMessagePlacements
	// how many fit in one message. An entry with twenty requests a second and a hundred peers makes
	// that many placements between two messages.
	minPlacementAge      = 150 * time.Millisecond
	maxMessagePlacements = 20
	// maxPlacementLevels bounds the prefix levels of a placement. The longest levels are kept,
	// since the fewest replicas hold them.
	maxPlacementLevels = 3
	// maxMessageRolloutRecords bounds the rollout records in a message, maxMessageCrashes the crash
	// reports, so that each kind fits in a datagram.
	maxMessageRolloutRecords = 12
	maxMessageCrashes        = 32
	// maxStoreReachable bounds the advertised time for which the store has answered: many times the
	// longest outage in which this evidence from peers matters.
	maxStoreReachable = time.Hour
)

// peerMessage is a datagram between entries.
type peerMessage struct {
	From  string     `cbor:"1,keyasint"`
	Epoch uint64     `cbor:"2,keyasint"`
	Seq   uint64     `cbor:"3,keyasint"`
	Loads []peerLoad `cbor:"4,keyasint,omitempty"`
	// MemoryTokens has, for each of Loads in order, its route.Load.MemoryTokens in memoryUnit; zeros at
	// the end are left out. Entries of older builds send none, and 18 with another meaning.
	MemoryTokens []uint16 `cbor:"19,keyasint,omitempty"`
	// Placements are the most recent ones. Each is repeated in several messages, because one may be
	// lost.
	Placements []peerPlacement `cbor:"6,keyasint,omitempty"`
	// RolloutRecords are sent without loads and with Seq 0.
	RolloutRecords []rollout.Record `cbor:"5,keyasint,omitempty"`
	// StoreReachable is the time for which the store has answered the reader of the list of
	// replicas without interruption, in milliseconds plus one; 1 means that it does not answer now,
	// 0 that the message says nothing about it.
	StoreReachable uint32 `cbor:"8,keyasint,omitempty"`
	// Crashes are crashes of replicas that are counted against requests. A message with these
	// carries nothing else. The same holds for the fields below, except that DigestPart and Forward
	// come with loads and placements.
	Crashes []attempt.CrashReport `cbor:"7,keyasint,omitempty"`
	// Query and Response distribute the topics of the store. Hint tells a peer that the store
	// answers the sender although it does not answer the receiver.
	Query    *topicsQuery    `cbor:"9,keyasint,omitempty"`
	Response *topicsResponse `cbor:"10,keyasint,omitempty"`
	Hint     bool            `cbor:"11,keyasint,omitempty"`
	// DigestPart names the part of a failure domain's digest that Loads and Placements belong to;
	// "" if they are the sender's own. Forward asks the receiver to forward the part within its own
	// domain.
	DigestPart string `cbor:"13,keyasint,omitempty"`
	Forward    bool   `cbor:"14,keyasint,omitempty"`
	// DigestAck acknowledges a part of a digest: it names the sender's failure domain, in which the
	// sender forwards the part, and the part's index, separated by digestNameSeparator.
	DigestAck string `cbor:"15,keyasint,omitempty"`
	// Reports are states that replicas reported while the store was unavailable.
	Reports []replicaReport `cbor:"12,keyasint,omitempty"`
	// Quota lends, borrows or returns units of an organisation's quota.
	Quota *quotaMessage `cbor:"16,keyasint,omitempty"`
	// Notices are what replicas announced about themselves in answers.
	Notices []noticeMessage `cbor:"17,keyasint,omitempty"`
	// Sound are keys that didn't cause the crashes counted against them.
	Sound []attempt.SoundKey `cbor:"21,keyasint,omitempty"`
	// Streams says or asks which software began streams.
	Streams *streamsMessage `cbor:"20,keyasint,omitempty"`
	// Grant asks for a run with a key, answers that, or returns a grant.
	Grant *grantMessage `cbor:"22,keyasint,omitempty"`
	// Drain is set if the sender shuts down. It comes with its own loads, or alone when it ends.
	Drain *peerDrain `cbor:"23,keyasint,omitempty"`
}

// peerDrain is an admit.DrainNotice in milliseconds. The fields are encoded as an array, in this order.
type peerDrain struct {
	_          struct{} `cbor:",toarray"`
	Open, Left uint32
}

// peerLoad is the load of an entry or of a failure domain at a replica. The fields are encoded as
// an array, in this order.
type peerLoad struct {
	_ struct{} `cbor:",toarray"`
	// Replica is the hash of the replica's ID.
	Replica uint64
	// PrefillTokens is the number of prompt tokens that are not prefilled yet, Running the number
	// of requests in flight.
	PrefillTokens uint32
	Running       uint32
	// AddedTokens counts the prompt tokens sent to the replica, in route.AddedTokensUnit; it wraps
	// around.
	AddedTokens uint16
}

// peerPlacement is a route.Placement: the prefix levels that were sent to a replica, or saved to a
// store (Saved). Prefilled is set once the replica has prefilled them. The fields are encoded as an
// array, in this order.
type peerPlacement struct {
	_         struct{} `cbor:",toarray"`
	Levels    []uint64
	Replica   uint64
	Prefilled bool
	Saved     uint64
}

var messageDecoder = strictcbor.Decoder(strictcbor.Bounds{MapPairs: 16})

// peers exchanges messages with the other entries over UDP and keeps the list of entries. A lost
// load message is harmless, because the next one repeats the loads.
type peers struct {
	entry *Entry
	conn  *net.UDPConn

	// listRead is closed once the list of entries has been read. ownRecord is this entry's record
	// in the list, "" if it has none.
	listRead  chan struct{}
	ownRecord string
	// listedAtStart says that the first read of the list contained this entry.
	listedAtStart bool

	mu sync.Mutex
	// known holds the addresses of the other entries, by ID: those in the list and those that sent
	// messages.
	known map[string]peerAddress
	// listed holds the IDs in the list of entries, including this entry's own once it is
	// registered.
	listed map[string]bool
	seq    uint64
	// advertisedTokens is the last advertised AddedTokens of each replica. Only the goroutine of
	// sendLoads uses it.
	advertisedTokens map[uint64]uint16
	digests          *digests
	origins          *origins
	grants           *runGrants
	// receivedAt is the time of each peer's last message, on the entry's clock.
	receivedAt map[string]time.Duration
	// drains knows which peers shut down.
	drains *admit.PeerDrains
}

func newPeers(e *Entry) (*peers, error) {
	address, err := net.ResolveUDPAddr("udp4", e.settings.Direct.Peers)
	if err != nil {
		return nil, fmt.Errorf("direct: peers: %w", err)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("direct: peers: %w", err)
	}
	p := &peers{
		entry: e, conn: conn, listRead: make(chan struct{}),
		known: make(map[string]peerAddress), listed: make(map[string]bool),
		receivedAt:       make(map[string]time.Duration),
		drains:           admit.NewPeerDrains(),
		advertisedTokens: make(map[uint64]uint16),
	}
	p.digests = newDigests(p)
	p.origins = newOrigins(p)
	p.grants = newRunGrants(p)
	return p, nil
}

// sendRolloutRecords sends rollout records to all peers at once. A peer that loses the datagram
// reads the records from the entries' topic.
func (p *peers) sendRolloutRecords(records []rollout.Record) {
	for batch := range slices.Chunk(records, maxMessageRolloutRecords) {
		p.broadcast(&peerMessage{From: p.entry.settings.ID, Epoch: uint64(p.entry.tel.Epoch), RolloutRecords: batch})
	}
}

// sendCrashes sends crashes that are counted against requests to all peers at once.
func (p *peers) sendCrashes(crashes []attempt.CrashReport) {
	for batch := range slices.Chunk(crashes, maxMessageCrashes) {
		p.broadcast(&peerMessage{From: p.entry.settings.ID, Epoch: uint64(p.entry.tel.Epoch), Crashes: batch})
	}
}

func (p *peers) broadcast(m *peerMessage) { p.sendTo(m, p.addresses()...) }

func (p *peers) sendTo(m *peerMessage, to ...netip.AddrPort) {
	data, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // the message consists of plain values
	}
	for _, address := range to {
		// Unreachable peers are noticed by the lack of messages from them.
		_, _ = p.conn.WriteToUDPAddrPort(data, address)
	}
}

// sendLoads sends this entry's loads to its direct peers until ctx ends.
func (p *peers) sendLoads(ctx context.Context) {
	for wait.For(ctx, p.interval()) == nil {
		m := p.loadMessage()
		p.digests.enqueue(m.Placements)
		p.sendTo(m, p.directPeers()...)
	}
}

// allIDs returns the IDs of all entries, this one included.
func (p *peers) allIDs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]string, 0, len(p.known)+1)
	all = append(all, p.entry.settings.ID)
	for id := range p.known {
		all = append(all, id)
	}
	return all
}

func (p *peers) addresses() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]netip.AddrPort, 0, len(p.known))
	for _, a := range p.known {
		list = append(list, a.address)
	}
	return list
}

// aliveWindow is how long a peer counts as alive after its last message.
func (p *peers) aliveWindow() time.Duration { return max(minAliveWindow, aliveMessages*p.interval()) }

// alive returns the IDs of the peers from which a message came within the alive window.
func (p *peers) alive(now time.Duration) []string {
	window := p.aliveWindow()
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for id, at := range p.receivedAt {
		if now-at <= window {
			ids = append(ids, id)
		}
	}
	return ids
}

// interval is the pause between this entry's load messages.
func (p *peers) interval() time.Duration {
	return max(minMessageInterval, time.Duration(len(p.directPeers()))*time.Second/maxMessagesPerSecond)
}

// minAliveWindow is the least time for which a peer counts as alive after its last message;
// aliveMessages is how many of its messages would have to be lost. Messages are rarer with many
// peers.
const (
	minAliveWindow = 1500 * time.Millisecond
	aliveMessages  = 3
)

func (p *peers) loadMessage() *peerMessage {
	s := p.entry.state
	s.mu.Lock()
	loads := s.picker.Loads()
	now := p.entry.clock.now()
	placements := s.picker.PlacementsToSend(now-max(minPlacementAge, (placementRepeats+1)*p.interval()), placementRepeats, maxMessagePlacements)
	served := s.outage.ServedFor(now)
	s.mu.Unlock()
	p.seq++
	m := &peerMessage{From: p.entry.settings.ID, Epoch: uint64(p.entry.tel.Epoch), Seq: p.seq, StoreReachable: encodeStoreReachable(served), Drain: encodeDrain(p.entry.drain.notice())}
	m.setLoads(loads, p.advertisedTokens, maxMessageLoads-len(placements)*loadsPerPlacement)
	for _, placement := range placements {
		levels := placement.Levels[max(0, len(placement.Levels)-maxPlacementLevels):]
		m.Placements = append(m.Placements, peerPlacement{Levels: levels, Replica: placement.Replica, Prefilled: placement.Prefilled, Saved: placement.Saved})
	}
	return m
}

// loadsToSend returns at most limit loads to advertise: those of replicas with running requests
// first, then those whose AddedTokens differs from advertisedTokens. Peers assume that a replica
// without an advertised load is idle, and a message has no room for all loads.
func loadsToSend(loads map[uint64]route.Load, advertisedTokens map[uint64]uint16, limit int) []peerLoad {
	var out []peerLoad
	for id, l := range loads {
		changed := l.Running > 0 || advertisedTokens[id] != l.AddedTokens
		if changed {
			out = append(out, peerLoad{Replica: id, PrefillTokens: uint32(l.PrefillTokens), Running: uint32(l.Running), AddedTokens: l.AddedTokens})
		}
	}
	slices.SortFunc(out, func(a, b peerLoad) int {
		return cmp.Or(cmp.Compare(b.PrefillTokens, a.PrefillTokens), cmp.Compare(b.Running, a.Running), cmp.Compare(a.Replica, b.Replica))
	})
	out = out[:min(len(out), limit)]
	for _, l := range out {
		advertisedTokens[l.Replica] = l.AddedTokens
	}
	return out
}

// setLoads sets the loads of a message to at most limit loads.
func (m *peerMessage) setLoads(loads map[uint64]route.Load, advertisedTokens map[uint64]uint16, limit int) {
	m.Loads = loadsToSend(loads, advertisedTokens, limit)
	for i, l := range m.Loads {
		if units := encodeMemory(loads[l.Replica].MemoryTokens); units > 0 {
			m.MemoryTokens = append(m.MemoryTokens, make([]uint16, i+1-len(m.MemoryTokens))...)
			m.MemoryTokens[i] = units
		}
	}
}

// loads returns the loads of a message by replica.
func (m *peerMessage) loads() map[uint64]route.Load {
	loads := make(map[uint64]route.Load, len(m.Loads))
	for i, l := range m.Loads {
		load := route.Load{PrefillTokens: float64(l.PrefillTokens), Running: int(l.Running), AddedTokens: l.AddedTokens}
		if i < len(m.MemoryTokens) {
			load.MemoryTokens = float64(m.MemoryTokens[i]) * memoryUnit
		}
		loads[l.Replica] = load
	}
	return loads
}

// memoryUnit is the unit of peerMessage.MemoryTokens, in tokens: a fraction of a request's memory.
const memoryUnit = 64

// encodeMemory returns tokens in memoryUnit, rounded up.
func encodeMemory(tokens float64) uint16 {
	return uint16(min(math.Ceil(tokens/memoryUnit), math.MaxUint16))
}

// encodeStoreReachable returns the value of peerMessage.StoreReachable.
func encodeStoreReachable(served time.Duration) uint32 {
	return uint32(min(served, maxStoreReachable).Milliseconds()) + 1
}

// receive handles messages from peers until the socket is closed.
func (p *peers) receive() {
	buffer := make([]byte, maxMessageBytes)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error: the port of some peer is closed
		}
		p.handle(buffer[:n], from)
	}
}

func (p *peers) handle(data []byte, from netip.AddrPort) {
	e := p.entry
	var m peerMessage
	if err := messageDecoder.Unmarshal(data, &m); err != nil || m.From == "" {
		e.tel.Metrics.Count("peer_words_malformed", 1)
		return
	}
	p.markReceived(m.From, from)
	switch {
	case len(m.RolloutRecords) > 0:
		e.rollouts.receiveRecords(m.RolloutRecords)
	case len(m.Crashes) > 0:
		e.receiveCrashes(m.Crashes, m.From)
	case len(m.Reports) > 0:
		e.handleReports(m.Reports)
	case m.Query != nil || m.Response != nil || m.Hint:
		e.hub.handle(&m, from)
	case len(m.Notices) > 0:
		e.receiveNotices(m.Notices, m.From)
	case len(m.Sound) > 0:
		e.receiveSound(m.Sound)
	case m.Streams != nil:
		p.origins.receive(m.Streams, m.From, from)
	case m.Grant != nil:
		p.grants.receive(m.Grant, m.From, from)
	case m.Quota != nil:
		e.quotas.receive(&m, from)
	case m.Drain != nil && m.Seq == 0:
		p.heardDrain(&m)
	case m.DigestAck != "":
		p.digests.handleAck(m.DigestAck)
	default:
		p.handleLoads(&m, from)
	}
}

// markReceived records that a message came from a peer. A peer that is not listed here is added to
// the known ones: an entry that the store rejects right after its start would otherwise have no
// peer to query, although all the others send to it.
func (p *peers) markReceived(id string, from netip.AddrPort) {
	p.mu.Lock()
	p.receivedAt[id] = p.entry.clock.now()
	_, known := p.known[id]
	if !known && id != p.entry.settings.ID {
		p.known[id] = peerAddress{address: from}
	}
	p.mu.Unlock()
	if !known && id != p.entry.settings.ID {
		p.entry.tel.Log.Info("message received from unlisted peer", "peer", id, "address", from.String())
		p.applyList()
	}
}

// handleLoads applies the loads and placements of a peer or of another failure domain.
func (p *peers) handleLoads(m *peerMessage, from netip.AddrPort) {
	e := p.entry
	loads := m.loads()
	placements := make([]route.Placement, len(m.Placements))
	for i, placement := range m.Placements {
		placements[i] = route.Placement{Levels: placement.Levels, Replica: placement.Replica, Prefilled: placement.Prefilled, Saved: placement.Saved}
	}
	if m.DigestPart == "" {
		p.digests.enqueue(m.Placements)
		p.heardDrain(m)
	} else {
		p.digests.forward(m, from)
	}
	now := e.clock.now()
	e.state.mu.Lock()
	if m.DigestPart == "" {
		e.state.picker.UpdatePeerLoads(m.From, m.Epoch, m.Seq, loads, now)
	} else {
		e.state.picker.UpdateDomainLoads(m.DigestPart, m.Epoch, m.Seq, loads, now)
	}
	e.state.picker.ApplyPlacements(placements, now)
	if m.StoreReachable > 0 {
		e.state.outage.PeerReported(m.From, time.Duration(m.StoreReachable-1)*time.Millisecond, now)
	}
	e.state.mu.Unlock()
}

// encodeDrain returns the value of peerMessage.Drain.
func encodeDrain(n *admit.DrainNotice) *peerDrain {
	if n == nil {
		return nil
	}
	return &peerDrain{Open: uint32(n.Open.Milliseconds()), Left: uint32(n.Left.Milliseconds())}
}

// heardDrain records whether the sender of a message shuts down.
func (p *peers) heardDrain(m *peerMessage) {
	var notice *admit.DrainNotice
	if m.Drain != nil {
		notice = &admit.DrainNotice{Open: time.Duration(m.Drain.Open) * time.Millisecond, Left: time.Duration(m.Drain.Left) * time.Millisecond}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drains.Heard(m.From, m.Epoch, m.Seq, notice, p.entry.clock.now())
}

// outlook returns which peers a caller that is refused can turn to.
func (p *peers) outlook() admit.PeerOutlook {
	window := p.aliveWindow()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.drains.Outlook(p.entry.clock.now(), window)
}

// sendEnd tells the direct peers that this entry ends now.
func (p *peers) sendEnd() {
	p.sendTo(&peerMessage{From: p.entry.settings.ID, Epoch: uint64(p.entry.tel.Epoch), Drain: &peerDrain{}}, p.directPeers()...)
}

// run exchanges messages until ctx ends.
func (p *peers) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { p.conn.Close() })
	defer stop()
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){p.follow, p.register, p.sendLoads, p.digests.run} {
		loops.Go(func() { loop(ctx) })
	}
	p.receive()
	loops.Wait()
}
