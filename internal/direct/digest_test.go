package direct

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"skylarklead/internal/route"
	"skylarklead/internal/settings"
)

// peerNode is an entry of which only the words between entries run, over loopback.
type peerNode struct {
	*Entry
	domain string
}

// address is where others reach the entry.
func (e *peerNode) address() netip.AddrPort {
	at := e.peers.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(at.Addr().Unmap(), at.Port())
}

// newPeerNodes returns entries of some failure domains, all of which know and have heard each
// other, and ends them with the test.
func newPeerNodes(t *testing.T, entries, domains int) []*peerNode {
	t.Helper()
	var all []*peerNode
	for i := range entries {
		s := &settings.Settings{
			ID: fmt.Sprintf("entry-%d", i), FailureDomain: fmt.Sprintf("domain-%d", i%domains),
			Direct: &settings.Direct{Memory: 16, Peers: "127.0.0.1:0"},
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
				a.peers.heardAt[b.settings.ID] = time.Hour
			}
		}
		a.peers.counted()
		t.Cleanup(func() { a.peers.conn.Close() })
	}
	return all
}

// startPeerNodes is newTalkers whose entries speak.
func startPeerNodes(t *testing.T, entries, domains int) []*peerNode {
	t.Helper()
	all := newPeerNodes(t, entries, domains)
	for _, a := range all {
		clear(a.peers.heardAt)
		go a.peers.listen()
		go a.peers.speak(t.Context())
		go a.peers.digests.run(t.Context())
	}
	return all
}

// place has an entry send a request to a replica.
func (e *peerNode) place(replica, prefix string) {
	e.state.mu.Lock()
	defer e.state.mu.Unlock()
	now := e.clock.now()
	q := &route.PickQuery{
		Levels:       route.PrefixLevels("m/", []string{prefix}, []int{3000}),
		SharedTokens: 3000, PromptTokens: 4000,
	}
	choice, _ := e.state.feed.Pick(now, q, []route.PickCandidate{{ID: replica, Slots: 8, Engine: true, MemoryTokens: 100_000}})
	e.state.feed.Dispatched(now, q, &choice)
}

// held is how many tokens an entry expects a replica to read anew of a prompt, and the wait
// there.
func (e *peerNode) held(replica, prefix string) (missed int, wait float64) {
	e.state.mu.Lock()
	defer e.state.mu.Unlock()
	q := &route.PickQuery{
		Levels:       route.PrefixLevels("m/", []string{prefix}, []int{3000}),
		SharedTokens: 3000, PromptTokens: 4000,
	}
	choice, _ := e.state.feed.Pick(e.clock.now(), q, []route.PickCandidate{
		{ID: replica, Slots: 8, Engine: true, MemoryTokens: 100_000}, {ID: "elsewhere", Slots: 8, Engine: true, MemoryTokens: 100_000, RecentFaults: true},
	})
	return choice.MissingTokens, choice.WaitMs
}

// Guards against a domain's loads and placements that no other domain, or one entry of it only, is told of.
func TestOtherDomainsHearOfLoadsAndPlacements(t *testing.T) {
	const entries, domains = 36, 3
	all := startPeerNodes(t, entries, domains)
	all[0].place("r1", "charter")
	awaitHeard(t, all)
}

// awaitHeard waits until all entries know that r1 is at work and holds the charter.
func awaitHeard(t *testing.T, all []*peerNode) {
	t.Helper()
	limit := time.Now().Add(5 * time.Second)
	for _, e := range all {
		heard := false
		for ; !heard && time.Now().Before(limit); time.Sleep(10 * time.Millisecond) {
			missed, wait := e.held("r1", "charter")
			heard = missed == 0 && wait > 0
		}
		if !heard {
			t.Errorf("%s of %s hasn't heard of a request that entry-0 of domain-0 placed", e.settings.ID, e.domain)
		}
	}
}

// Guards against a load that counts twice, or comes back to its sender.
func TestADigestIsNotCountedInItsOwnDomain(t *testing.T) {
	all := startPeerNodes(t, 36, 3)
	all[0].place("r1", "charter")
	awaitHeard(t, all)
	for _, e := range all {
		e.state.mu.Lock()
		own := e.state.feed.Loads()[route.ReplicaKey("r1")].Running
		domain := e.state.feed.DomainLoads(e.clock.now())[route.ReplicaKey("r1")].Running
		e.state.mu.Unlock()
		want := 0
		if e.domain == all[0].domain {
			want = 1
		}
		if domain != want {
			t.Errorf("%s of %s: its domain has %d requests there, %d of its own; want %d", e.settings.ID, e.domain, domain, own, want)
		}
	}
}

// Guards against entries that pass digests on out of turn before anything was heard.
func TestTheFirstDigestGoesToTheEntryWhoseTurnItIs(t *testing.T) {
	all := newPeerNodes(t, 36, 3)
	byAddress := map[netip.AddrPort]*peerNode{}
	for _, e := range all {
		byAddress[e.address()] = e
	}
	for _, e := range all {
		for _, to := range e.peers.digests.targets(time.Hour) {
			other := byAddress[to]
			if back := other.peers.digests.targets(time.Hour); !slices.Contains(back, e.address()) {
				t.Errorf("%s of %s tells %s of %s, which speaks with others", e.settings.ID, e.domain, other.settings.ID, other.domain)
			}
		}
	}
}

// Guards against placements that are dropped where a digest has no room for them.
func TestPlacementsThatDoNotFitComeWithTheNextDigest(t *testing.T) {
	const placed = 3 * maxWordPlacements
	d := newPeerNodes(t, 36, 3)[0].peers.digests
	for i := range placed {
		d.export([]wordPlacement{{Levels: []uint64{uint64(i)}, Replica: 1, Read: true}})
	}
	told := 0
	for range 3 {
		told += len(d.take(maxWordPlacements))
	}
	if told != placed {
		t.Errorf("%d of %d placements are told", told, placed)
	}
}
