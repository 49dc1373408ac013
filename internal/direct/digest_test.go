package direct

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"skylarklead/internal/peermessage"
	"skylarklead/internal/route"
	"skylarklead/internal/settings"
)

// peerNode is an entry of which only the messages between entries run, over loopback.
type peerNode struct {
	*Entry
	domain string
}

func (e *peerNode) address() netip.AddrPort {
	at := e.peers.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(at.Addr().Unmap(), at.Port())
}

// newPeerNodes returns entries in several failure domains that know each other and count each other
// as alive, and closes them at the end of the test.
func newPeerNodes(t *testing.T, entries, domains int) []*peerNode {
	t.Helper()
	var all []*peerNode
	for i := range entries {
		s := &settings.Settings{
			ID: fmt.Sprintf("entry-%d", i), FailureDomain: fmt.Sprintf("domain-%d", i%domains),
			Direct: &settings.Direct{MemoryMB: 16, Peers: "127.0.0.1:0"},
		}
		e := newEntry(s, quietTelemetry(t), Platform{})
		p, err := newPeers(e)
		if err != nil {
			t.Fatal(err)
		}
		e.peers = p
		all = append(all, &peerNode{Entry: e, domain: s.FailureDomain})
	}
	for _, a := range all {
		for _, b := range all {
			if a != b {
				a.peers.known[b.settings.ID] = peerAddress{address: b.address(), domain: b.domain}
				a.peers.receivedAt[b.settings.ID] = time.Hour
			}
		}
		a.peers.applyList()
		t.Cleanup(func() { a.peers.conn.Close() })
	}
	return all
}

// startPeerNodes is newPeerNodes with entries that exchange messages.
func startPeerNodes(t *testing.T, entries, domains int) []*peerNode {
	t.Helper()
	all := newPeerNodes(t, entries, domains)
	for _, a := range all {
		clear(a.peers.receivedAt)
		go a.peers.receive()
		go a.peers.sendLoads(t.Context())
		go a.peers.digests.run(t.Context())
	}
	return all
}

// place makes an entry place a request at a replica.
func (e *peerNode) place(replica, prefix string) {
	e.state.mu.Lock()
	defer e.state.mu.Unlock()
	now := e.clock.now()
	q := &route.PickQuery{
		Levels:       route.PrefixLevels("m/", []string{prefix}, []int{3000}),
		SharedTokens: 3000, PromptTokens: 4000,
	}
	choice, _ := e.state.picker.Pick(now, q, []route.PickCandidate{{ID: replica, Slots: 8, Engine: true, MemoryTokens: 100_000}})
	e.state.picker.Dispatched(now, q, &choice)
}

// estimate returns how many tokens of a prompt the entry expects the replica to prefill, and the
// load that it expects there.
func (e *peerNode) estimate(replica, prefix string) (missed int, wait float64) {
	e.state.mu.Lock()
	defer e.state.mu.Unlock()
	q := &route.PickQuery{
		Levels:       route.PrefixLevels("m/", []string{prefix}, []int{3000}),
		SharedTokens: 3000, PromptTokens: 4000,
	}
	choice, _ := e.state.picker.Pick(e.clock.now(), q, []route.PickCandidate{
		{ID: replica, Slots: 8, Engine: true, MemoryTokens: 100_000}, {ID: "elsewhere", Slots: 8, Engine: true, MemoryTokens: 100_000, RecentFaults: true},
	})
	return choice.MissingTokens, choice.WaitMs
}

// A domain's loads and placements must reach every entry of every other domain.
func TestOtherDomainsHearOfLoadsAndPlacements(t *testing.T) {
	const entries, domains = 36, 3
	all := startPeerNodes(t, entries, domains)
	all[0].place("r1", "charter")
	awaitPropagation(t, all)
}

// awaitPropagation waits until all entries know that r1 has a running request and holds the prefix.
func awaitPropagation(t *testing.T, all []*peerNode) {
	t.Helper()
	limit := time.Now().Add(5 * time.Second)
	for _, e := range all {
		missed, wait := e.estimate("r1", "charter")
		for (missed > 0 || wait == 0) && time.Now().Before(limit) {
			time.Sleep(10 * time.Millisecond)
			missed, wait = e.estimate("r1", "charter")
		}
		if missed > 0 || wait == 0 {
			t.Errorf("%s of %s does not know a request that entry-0 of domain-0 placed", e.settings.ID, e.domain)
		}
	}
}

// A domain's digest must not be counted in the domain that it describes, nor be counted twice.
func TestADigestIsNotCountedInItsOwnDomain(t *testing.T) {
	all := startPeerNodes(t, 36, 3)
	all[0].place("r1", "charter")
	awaitPropagation(t, all)
	for _, e := range all {
		e.state.mu.Lock()
		own := e.state.picker.Loads()[route.ReplicaKey("r1")].Running
		domain := e.state.picker.DomainLoads(e.clock.now())[route.ReplicaKey("r1")].Running
		e.state.mu.Unlock()
		want := 0
		if e.domain == all[0].domain {
			want = 1
		}
		if domain != want {
			t.Errorf("%s of %s: its domain has %d requests at the replica, %d of its own; want %d", e.settings.ID, e.domain, domain, own, want)
		}
	}
}

// firstParts returns where the first part of the entry's digests goes.
func (e *peerNode) firstParts() []netip.AddrPort {
	d := e.peers.digests
	return d.relayAddresses(d.targets(time.Hour), 0, time.Hour)
}

// Before any acknowledgement arrives, the sender in one domain must choose the entry that is the
// sender of the other domain.
func TestTheFirstDigestGoesToTheEntryWhoseTurnItIs(t *testing.T) {
	all := newPeerNodes(t, 36, 3)
	byAddress := map[netip.AddrPort]*peerNode{}
	for _, e := range all {
		byAddress[e.address()] = e
	}
	for _, e := range all {
		for _, to := range e.firstParts() {
			other := byAddress[to]
			if back := other.firstParts(); !slices.Contains(back, e.address()) {
				t.Errorf("%s of %s sends to %s of %s, which does not send back to it", e.settings.ID, e.domain, other.settings.ID, other.domain)
			}
		}
	}
}

// Guards against the loss of one part of a digest for as long as its relay is gone, while the other
// parts are acknowledged, and against acknowledgements that count for another part.
func TestARelayThatDoesNotAcknowledgeIsReplaced(t *testing.T) {
	all := newPeerNodes(t, 36, 3)
	var d *digests
	for _, e := range all {
		if len(e.peers.digests.targets(time.Hour)) > 0 {
			d = e.peers.digests
			break
		}
	}
	targets := d.targets(time.Hour)[:1]
	domain := targets[0].domain
	sent := time.Duration(0)
	relay := func(part int) netip.AddrPort { return d.relayAddresses(targets, part, sent)[0] }
	first, second := relay(0), relay(1)
	d.handleAck(domain + digestNameSeparator + "1")
	d.handleAck(domain + digestNameSeparator + "none")
	if acked := d.acks[relayedPart{domain, 1}].ackedAt; acked == 0 || d.acks[relayedPart{domain, 0}].ackedAt != 0 {
		t.Fatalf("acknowledged at %v and, for the other part, %v", acked, d.acks[relayedPart{domain, 0}].ackedAt)
	}
	sent = digestAckTimeout + time.Nanosecond
	if relay(0) == first || relay(1) != second {
		t.Error("the relay that didn't acknowledge is kept, or the one that did is replaced")
	}
	d.handleAck(domain) // an older build, which acknowledges the first part only
	if d.acks[relayedPart{domain, 0}].ackedAt == 0 {
		t.Error("an acknowledgement of an older build doesn't count")
	}
}

// digestsOf returns how many placements each digest has that the entry received, in order, before a pause.
func (e *peerNode) digestsOf(t *testing.T) (placements []int) {
	t.Helper()
	buffer := make([]byte, peermessage.MaxBytes)
	for {
		if err := e.peers.conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		n, _, err := e.peers.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return placements
		}
		_, m, err := peermessage.Decode(buffer[:n])
		if err != nil {
			t.Fatal(err)
		}
		placements = append(placements, len(m.(*peermessage.Loads).Placements))
	}
}

// Guards against a placement that no entry of another domain hears of because one datagram was lost.
func TestEachPlacementGoesWithTwoDigests(t *testing.T) {
	all := newPeerNodes(t, 36, 3)
	byAddress := map[netip.AddrPort]*peerNode{}
	for _, e := range all {
		byAddress[e.address()] = e
	}
	sender := all[slices.IndexFunc(all, func(e *peerNode) bool { return len(e.peers.digests.targets(time.Hour)) > 0 })]
	d := sender.peers.digests
	d.enqueue([]peermessage.Placement{{Levels: []uint64{7}, Replica: 1}})
	relays := sender.firstParts()
	for range 3 {
		d.send(d.targets(time.Hour))
	}
	for _, to := range relays {
		if got := byAddress[to].digestsOf(t); !slices.Equal(got, []int{1, 1, 0}) {
			t.Errorf("placements in three digests: %v; want 1, 1, 0", got)
		}
	}
}

// Placements that do not fit in one digest must be sent with the next ones.
func TestPlacementsThatDoNotFitComeWithTheNextDigest(t *testing.T) {
	const placed = 3 * maxMessagePlacements
	d := newPeerNodes(t, 36, 3)[0].peers.digests
	for i := range placed {
		d.enqueue([]peermessage.Placement{{Levels: []uint64{uint64(i)}, Replica: 1, Prefilled: true}})
	}
	dequeued := 0
	for range 3 {
		dequeued += len(d.dequeue(maxMessagePlacements))
	}
	if dequeued != placed {
		t.Errorf("%d of %d placements were dequeued", dequeued, placed)
	}
}

// Guards against a forwarded digest whose numbers are taken for those of the entry that forwards it.
func TestAForwardedDigestKeepsTheEpochOfItsSender(t *testing.T) {
	const epoch = 99
	all := newPeerNodes(t, 36, 3)
	relay := all[0]
	receiver := all[slices.IndexFunc(all, func(e *peerNode) bool { return e != relay && e.domain == relay.domain })]
	part := &peermessage.Loads{Seq: 5, DigestPart: strings.Join([]string{"domain-1", "1", "0"}, digestNameSeparator), Forward: true}
	relay.peers.handle(peermessage.Encode(peermessage.Sender{ID: "entry-1", Epoch: epoch}, part), somePeer)
	if err := receiver.peers.conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, peermessage.MaxBytes)
	n, _, err := receiver.peers.conn.ReadFromUDPAddrPort(buffer)
	if err != nil {
		t.Fatal(err)
	}
	sender, m, err := peermessage.Decode(buffer[:n])
	if err != nil {
		t.Fatal(err)
	}
	if got := m.(*peermessage.Loads); sender.ID != relay.settings.ID || sender.Epoch != epoch || got.Seq != part.Seq || got.Forward {
		t.Errorf("forwarded %+v as of %+v", got, sender)
	}
}
