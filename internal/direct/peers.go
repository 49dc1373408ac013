package direct

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"skylarklead/internal/admit"
	"skylarklead/internal/attempt"
	"skylarklead/internal/peermessage"
	"skylarklead/internal/rollout"
	"skylarklead/internal/route"
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
	// maxMessageRolloutRecords bounds the rollout records in a message, so that it fits in a datagram.
	maxMessageRolloutRecords = 12
)

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
	// sentKinds and receivedKinds count messages.
	sentKinds, receivedKinds kindCounters
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
		sentKinds:        newKindCounters("peer_messages_sent_"),
		receivedKinds:    newKindCounters("peer_messages_received_"),
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
		p.broadcast(peermessage.RolloutRecords(batch))
	}
}

// sendCrashes sends crashes that are counted against requests to all peers at once.
func (p *peers) sendCrashes(crashes []attempt.CrashReport) {
	for _, batch := range peermessage.Crashes(crashes).Batches(p.sender()) {
		p.broadcast(batch)
	}
}

func (p *peers) broadcast(m peermessage.Message) { p.sendTo(m, p.addresses()...) }

func (p *peers) sendTo(m peermessage.Message, to ...netip.AddrPort) {
	p.sendAs(p.sender(), m, to...)
}

// sender identifies this process.
func (p *peers) sender() peermessage.Sender {
	return peermessage.Sender{ID: p.entry.settings.ID, Epoch: uint64(p.entry.tel.Epoch)}
}

// sendAs sends a message with a sender's numbers.
func (p *peers) sendAs(from peermessage.Sender, m peermessage.Message, to ...netip.AddrPort) {
	data := peermessage.Encode(from, m)
	p.sentKinds.count(p.entry.tel, m.Kind(), len(to))
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

func (p *peers) loadMessage() *peermessage.Loads {
	s := p.entry.state
	s.mu.Lock()
	loads := s.picker.Loads()
	now := p.entry.clock.now()
	placements := s.picker.PlacementsToSend(now-max(minPlacementAge, (placementRepeats+1)*p.interval()), placementRepeats, maxMessagePlacements)
	served := s.outage.ServedFor(now)
	s.mu.Unlock()
	p.seq++
	m := &peermessage.Loads{Seq: p.seq}
	m.SetStoreServed(served)
	m.SetDrain(p.entry.drain.notice())
	m.SetLoads(loadsToSend(loads, p.advertisedTokens, maxMessageLoads-len(placements)*loadsPerPlacement), loads)
	for _, placement := range placements {
		levels := placement.Levels[max(0, len(placement.Levels)-maxPlacementLevels):]
		m.Placements = append(m.Placements, peermessage.Placement{Levels: levels, Replica: placement.Replica, Prefilled: placement.Prefilled, Saved: placement.Saved})
	}
	return m
}

// loadsToSend returns at most limit loads to advertise: those of replicas with running requests
// first, then those whose AddedTokens differs from advertisedTokens. Peers assume that a replica
// without an advertised load is idle, and a message has no room for all loads.
func loadsToSend(loads map[uint64]route.Load, advertisedTokens map[uint64]uint16, limit int) []peermessage.Load {
	var out []peermessage.Load
	for id, l := range loads {
		changed := l.Running > 0 || advertisedTokens[id] != l.AddedTokens
		if changed {
			out = append(out, peermessage.Load{Replica: id, PrefillTokens: uint32(l.PrefillTokens), Running: uint32(l.Running), AddedTokens: l.AddedTokens})
		}
	}
	slices.SortFunc(out, func(a, b peermessage.Load) int {
		return cmp.Or(cmp.Compare(b.PrefillTokens, a.PrefillTokens), cmp.Compare(b.Running, a.Running), cmp.Compare(a.Replica, b.Replica))
	})
	out = out[:min(len(out), limit)]
	for _, l := range out {
		advertisedTokens[l.Replica] = l.AddedTokens
	}
	return out
}

// receive handles messages from peers until the socket is closed.
func (p *peers) receive() {
	buffer := make([]byte, peermessage.MaxBytes)
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
	sender, message, err := peermessage.Decode(data)
	switch {
	case errors.Is(err, peermessage.ErrUnknownKind):
		p.markReceived(sender.ID, from)
		p.entry.tel.Metrics.Count("peer_messages_unknown", 1)
		return
	case err != nil:
		p.entry.tel.Metrics.Count("peer_words_malformed", 1)
		return
	}
	p.receivedKinds.count(p.entry.tel, message.Kind(), 1)
	p.markReceived(sender.ID, from)
	p.dispatch(sender, message, from)
}

func (p *peers) dispatch(sender peermessage.Sender, message peermessage.Message, from netip.AddrPort) {
	e := p.entry
	switch m := message.(type) {
	case *peermessage.Loads:
		p.handleLoads(sender, m, from)
	case peermessage.End:
		p.heardDrain(sender, 0, &admit.DrainNotice{})
	case peermessage.DigestAck:
		p.digests.handleAck(string(m))
	case peermessage.RolloutRecords:
		e.rollouts.receiveRecords(m)
	case peermessage.Crashes:
		e.receiveCrashes(m, sender.ID)
	case peermessage.Sound:
		e.receiveSound(m)
	case *peermessage.Grant:
		p.grants.receive(m, sender.ID, from)
	case peermessage.Reports:
		e.handleReports(m)
	case peermessage.Notices:
		e.receiveNotices(m, sender.ID)
	case *peermessage.Streams:
		p.origins.receive(m, sender.ID, from)
	case *peermessage.Quota:
		e.quotas.receive(sender, m, from)
	default:
		e.hub.handle(sender.ID, message, from)
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
func (p *peers) handleLoads(sender peermessage.Sender, m *peermessage.Loads, from netip.AddrPort) {
	e := p.entry
	loads := m.ByReplica()
	placements := make([]route.Placement, len(m.Placements))
	for i, placement := range m.Placements {
		placements[i] = route.Placement{Levels: placement.Levels, Replica: placement.Replica, Prefilled: placement.Prefilled, Saved: placement.Saved}
	}
	if m.DigestPart == "" {
		p.digests.enqueue(m.Placements)
		p.heardDrain(sender, m.Seq, m.DrainNotice())
	} else {
		p.digests.forward(sender.Epoch, m, from)
	}
	now := e.clock.now()
	e.state.mu.Lock()
	if m.DigestPart == "" {
		e.state.picker.UpdatePeerLoads(sender.ID, sender.Epoch, m.Seq, loads, now)
	} else {
		e.state.picker.UpdateDomainLoads(m.DigestPart, sender.Epoch, m.Seq, loads, now)
	}
	e.state.picker.ApplyPlacements(placements, now)
	if served, told := m.StoreServed(); told {
		e.state.outage.PeerReported(sender.ID, served, now)
	}
	e.state.mu.Unlock()
}

// heardDrain records whether the sender of a message shuts down: notice is nil if it doesn't.
func (p *peers) heardDrain(sender peermessage.Sender, seq uint64, notice *admit.DrainNotice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drains.Heard(sender.ID, sender.Epoch, seq, notice, p.entry.clock.now())
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
	p.sendTo(peermessage.End{}, p.directPeers()...)
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
