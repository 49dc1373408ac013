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

	"github.com/fxamacker/cbor/v2"

	"skylarklead/internal/attempt"
	"skylarklead/internal/rollout"
	"skylarklead/internal/route"
	"skylarklead/internal/strictcbor"
	"skylarklead/internal/wait"
)

const (
	// minMessageInterval is the pause between words to each peer: a fraction of the time that
	// a prompt takes to be read. With many peers it grows, so that an entry sends no
	// more than wordsPerSecond.
	minMessageInterval = 50 * time.Millisecond
	wordsPerSecond     = 200
	// peerExpiry is when a silent peer's word is dropped.
	peerExpiry = 10 * time.Second
	// maxWord bounds a word, in bytes: what a datagram carries without fragments over links
	// of 1,500 bytes.
	maxWord = 1472
	// maxWordLoads bounds the replicas in a word without placements; each of those takes the
	// room of placementLoads.
	maxWordLoads   = 70
	placementLoads = 2
	// wordRepeats is how many words have a placement, so that one lost datagram
	// doesn't hide it.
	wordRepeats = 2
	// toldFor is how long a placement is told at least, maxWordPlacements how many are in
	// one word: an entry with twenty requests a second and a hundred peers places as many
	// between two words.
	toldFor           = 150 * time.Millisecond
	maxWordPlacements = 20
	// maxWordLevels bounds the levels of a placement, the longest of them, which fewest
	// replicas hold.
	maxWordLevels = 3
	// maxWordNotes bounds the notes in a word likewise, maxWordStrikes the strikes.
	maxWordNotes   = 12
	maxWordStrikes = 32
	// maxWordServed bounds the time for which a word says that the store has answered:
	// many times the longest outage in which peers' words matter.
	maxWordServed = time.Hour
)

// peerMessage is what an entry tells its peers.
type peerMessage struct {
	From  string     `cbor:"1,keyasint"`
	Epoch uint64     `cbor:"2,keyasint"`
	Seq   uint64     `cbor:"3,keyasint"`
	Loads []wordLoad `cbor:"4,keyasint,omitempty"`
	// Placements are the latest; each is in several words, as one may be lost.
	Placements []wordPlacement `cbor:"6,keyasint,omitempty"`
	// RolloutRecords are of a rollout; a word with them has no loads, and Seq is 0.
	RolloutRecords []rollout.Record `cbor:"5,keyasint,omitempty"`
	// StoreReachable is for how long the store has answered the reader of the list of replicas
	// without a break, in milliseconds and one; 1 says that it doesn't, 0 nothing.
	StoreReachable uint32 `cbor:"8,keyasint,omitempty"`
	// Crashes are of requests at replicas that were lost; a word with them has nothing
	// else, nor has one of those that follow.
	Crashes []attempt.CrashReport `cbor:"7,keyasint,omitempty"`
	// Ask and Answer pass on what the store says. Hint says that the store answers the
	// sender, though it doesn't answer the receiver.
	Ask    *wordAsk    `cbor:"9,keyasint,omitempty"`
	Answer *wordAnswer `cbor:"10,keyasint,omitempty"`
	Hint   bool        `cbor:"11,keyasint,omitempty"`
	// Of names the part of a failure domain's digest whose loads and placements these are, "" for
	// the sender's own; PassOn asks the receiver to pass it on in its own domain.
	Of     string `cbor:"13,keyasint,omitempty"`
	PassOn bool   `cbor:"14,keyasint,omitempty"`
	// Passed says that the sender, of the failure domain named, passes digests on.
	Passed string `cbor:"15,keyasint,omitempty"`
	// Reports are what replicas have said of themselves while the store is away.
	Reports []wordReport `cbor:"12,keyasint,omitempty"`
	// Quota is about units of an organisation's limit.
	Quota *quotaMessage `cbor:"16,keyasint,omitempty"`
	// Notices are what replicas have said of themselves; a word with them has nothing else.
	Notices []noticeMessage `cbor:"17,keyasint,omitempty"`
}

// wordLoad is a route.Load; Replica is its route.ReplicaKey.
type wordLoad struct {
	_       struct{} `cbor:",toarray"`
	Replica uint64
	Reading uint32
	Running uint32
	Taken   uint16
}

type wordPlacement struct {
	_       struct{} `cbor:",toarray"`
	Levels  []uint64
	Replica uint64
	Read    bool
	Kept    uint64
}

var messageDecoder = strictcbor.Decoder(strictcbor.Bounds{MapPairs: 16})

// peers exchanges loads with the other entries over UDP. A lost word costs nothing:
// the next one says all again.
type peers struct {
	entry *Entry
	conn  *net.UDPConn

	// read is closed once the list of entries was read; written tells where it has this one.
	read    chan struct{}
	written string
	// writtenBefore says that it had this one when it was read first.
	writtenBefore bool

	mu    sync.Mutex
	known map[string]peerAddress
	// listed are the names in the list of entries, this one's among them once it is there.
	listed map[string]bool
	seq    uint64
	// toldTaken is the count of tokens taken in that was last told of each replica; only the
	// loop that speaks uses it.
	toldTaken map[uint64]uint16
	digests   *digests
	// heardAt is when each peer's last message came, on the entry's clock.
	heardAt map[string]time.Duration
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
		entry: e, conn: conn, read: make(chan struct{}),
		known: make(map[string]peerAddress), listed: make(map[string]bool),
		heardAt:   make(map[string]time.Duration),
		toldTaken: make(map[uint64]uint16),
	}
	p.digests = newDigests(p)
	return p, nil
}

// tell sends notes of a rollout to the others at once. One that is lost is read from
// the entries' topic.
func (p *peers) tell(notes []rollout.Record) {
	for part := range slices.Chunk(notes, maxWordNotes) {
		p.broadcast(&peerMessage{From: p.entry.settings.ID, Epoch: uint64(p.entry.tel.Epoch), RolloutRecords: part})
	}
}

// sendCrashes sends strikes to the others at once.
func (p *peers) sendCrashes(strikes []attempt.CrashReport) {
	for part := range slices.Chunk(strikes, maxWordStrikes) {
		p.broadcast(&peerMessage{From: p.entry.settings.ID, Epoch: uint64(p.entry.tel.Epoch), Crashes: part})
	}
}

func (p *peers) broadcast(w *peerMessage) { p.sendTo(w, p.addresses()...) }

func (p *peers) sendTo(w *peerMessage, to ...netip.AddrPort) {
	data, err := cbor.Marshal(w)
	if err != nil {
		panic(err) // a word is made of plain values
	}
	for _, address := range to {
		// A peer that can't be reached is no news here.
		_, _ = p.conn.WriteToUDPAddrPort(data, address)
	}
}

// speak sends this entry's loads to the others until ctx ends.
func (p *peers) speak(ctx context.Context) {
	for wait.For(ctx, p.pause()) == nil {
		w := p.word()
		p.digests.export(w.Placements)
		p.sendTo(w, p.near()...)
	}
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

// aliveWindow is for how long a peer counts as alive after its last message.
func (p *peers) aliveWindow() time.Duration { return max(aliveFor, aliveWords*p.pause()) }

// alive lists the peers that were heard of lately.
func (p *peers) alive(now time.Duration) []string {
	window := p.aliveWindow()
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for id, at := range p.heardAt {
		if now-at <= window {
			ids = append(ids, id)
		}
	}
	return ids
}

// pause is the time between this entry's words.
func (p *peers) pause() time.Duration {
	return max(minMessageInterval, time.Duration(len(p.near()))*time.Second/wordsPerSecond)
}

// aliveFor is the least time for which a peer counts as alive after its last message, and
// aliveWords how many of its words would have to be lost: with many peers they are rarer.
const (
	aliveFor   = 1500 * time.Millisecond
	aliveWords = 3
)

func (p *peers) word() *peerMessage {
	s := p.entry.state
	s.mu.Lock()
	loads := s.feed.Loads()
	now := p.entry.clock.now()
	placements := s.feed.PlacementsToSend(now-max(toldFor, (wordRepeats+1)*p.pause()), wordRepeats, maxWordPlacements)
	served := s.outage.ServedFor(now)
	s.mu.Unlock()
	p.seq++
	w := &peerMessage{From: p.entry.settings.ID, Epoch: uint64(p.entry.tel.Epoch), Seq: p.seq, StoreReachable: wordServed(served)}
	w.Loads = telling(loads, p.toldTaken, maxWordLoads-len(placements)*placementLoads)
	for _, placed := range placements {
		levels := placed.Levels[max(0, len(placed.Levels)-maxWordLevels):]
		w.Placements = append(w.Placements, wordPlacement{Levels: levels, Replica: placed.Replica, Read: placed.Prefilled, Kept: placed.Saved})
	}
	return w
}

// telling are the loads to tell now: of replicas that have work and then of those that have taken
// something in since they were told of, as toldTaken has it. Peers know nothing of a load that
// isn't told, and take the replica for idle, and a word has no room for all of them.
func telling(loads map[uint64]route.Load, toldTaken map[uint64]uint16, most int) []wordLoad {
	var out []wordLoad
	for id, l := range loads {
		news := l.Running > 0 || toldTaken[id] != l.AddedTokens
		if news {
			out = append(out, wordLoad{Replica: id, Reading: uint32(l.PrefillTokens), Running: uint32(l.Running), Taken: l.AddedTokens})
		}
	}
	slices.SortFunc(out, func(a, b wordLoad) int {
		return cmp.Or(cmp.Compare(b.Reading, a.Reading), cmp.Compare(b.Running, a.Running), cmp.Compare(a.Replica, b.Replica))
	})
	out = out[:min(len(out), most)]
	for _, l := range out {
		toldTaken[l.Replica] = l.Taken
	}
	return out
}

// wordServed is what a word says of the store.
func wordServed(served time.Duration) uint32 {
	return uint32(min(served, maxWordServed).Milliseconds()) + 1
}

// listen takes the others' words until the socket is closed.
func (p *peers) listen() {
	buffer := make([]byte, maxWord)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an answer that a peer's port is closed
		}
		p.heard(buffer[:n], from)
	}
}

func (p *peers) heard(data []byte, from netip.AddrPort) {
	e := p.entry
	var w peerMessage
	if err := messageDecoder.Unmarshal(data, &w); err != nil || w.From == "" {
		e.tel.Metrics.Count("peer_words_malformed", 1)
		return
	}
	p.heardOf(w.From, from)
	switch {
	case len(w.RolloutRecords) > 0:
		e.rollouts.receiveRecords(w.RolloutRecords)
	case len(w.Crashes) > 0:
		e.receiveCrashes(w.Crashes, w.From)
	case len(w.Reports) > 0:
		e.heardReports(w.Reports)
	case w.Ask != nil || w.Answer != nil || w.Hint:
		e.hub.heard(&w, from)
	case len(w.Notices) > 0:
		e.receiveNotices(w.Notices, w.From)
	case w.Quota != nil:
		e.quotas.receive(&w, from)
	case w.Passed != "":
		p.digests.passed(w.Passed)
	default:
		p.heardLoads(&w, from)
	}
}

// heardOf notes that a peer was heard of. One that isn't listed here is known from now on: an
// entry that the store turns away right after its start would have nobody to ask otherwise,
// though all the others speak to it.
func (p *peers) heardOf(id string, from netip.AddrPort) {
	p.mu.Lock()
	p.heardAt[id] = p.entry.clock.now()
	_, known := p.known[id]
	if !known && id != p.entry.settings.ID {
		p.known[id] = peerAddress{address: from}
	}
	p.mu.Unlock()
	if !known && id != p.entry.settings.ID {
		p.entry.tel.Log.Info("peer heard of", "peer", id, "address", from.String())
		p.counted()
	}
}

// heardLoads takes what a peer has at the replicas.
func (p *peers) heardLoads(w *peerMessage, from netip.AddrPort) {
	e := p.entry
	loads := make(map[uint64]route.Load, len(w.Loads))
	for _, l := range w.Loads {
		loads[l.Replica] = route.Load{PrefillTokens: float64(l.Reading), Running: int(l.Running), AddedTokens: l.Taken}
	}
	placements := make([]route.Placement, len(w.Placements))
	for i, placed := range w.Placements {
		placements[i] = route.Placement{Levels: placed.Levels, Replica: placed.Replica, Prefilled: placed.Read, Saved: placed.Kept}
	}
	if w.Of == "" {
		p.digests.export(w.Placements)
	} else {
		p.digests.heard(w, from)
	}
	now := e.clock.now()
	e.state.mu.Lock()
	if w.Of == "" {
		e.state.feed.UpdatePeerLoads(w.From, w.Epoch, w.Seq, loads, now)
	} else {
		e.state.feed.UpdateDomainLoads(w.Of, w.Epoch, w.Seq, loads, now)
	}
	e.state.feed.ApplyPlacements(placements, now)
	if w.StoreReachable > 0 {
		e.state.outage.PeerReported(w.From, time.Duration(w.StoreReachable-1)*time.Millisecond, now)
	}
	e.state.mu.Unlock()
}

// run exchanges loads until ctx ends.
func (p *peers) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { p.conn.Close() })
	defer stop()
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){p.follow, p.hello, p.speak, p.digests.run} {
		loops.Go(func() { loop(ctx) })
	}
	p.listen()
	loops.Wait()
}
