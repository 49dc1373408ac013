package direct

import (
	"context"
	"maps"
	"math/bits"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"skylarklead/internal/route"
	"skylarklead/internal/spread"
	"skylarklead/internal/wait"
)

// Words from each entry to all others get rare as a fleet grows, and most of their bytes cross
// between failure domains. So in a large fleet an entry tells its own failure domain only, more often;
// one entry of each domain sums up what the domain has and tells it to one of each other domain,
// which passes it on in its own.
const (
	// allHear is up to how many entries all tell all others.
	allHear = 32
	// digestEvery is the pause between a domain's digests, about that of words in a domain.
	digestEvery = 100 * time.Millisecond
	// digestPart is how many replicas a part of a digest tells of, so that placements fit too.
	digestPart = 44
	// silentDomain is after which time without a word another entry of a domain is told.
	silentDomain = 500 * time.Millisecond
	// maxExports bounds the placements that wait for the next digest.
	maxExports = 256
	// exportsSeen bounds the placements remembered as told; each comes in two words.
	exportsSeen = 4096
	// partsSeparator is between a domain's name and the part's number in a digest's name.
	partsSeparator = "\x00"
)

// digests is an entry's part in telling other failure domains what its own has.
type digests struct {
	peers *peers
	// exports are placements of the domain to be told; the peers' mu guards them, as heardAt and
	// tries, which are of each other domain.
	exports []wordPlacement
	seen    *lru.Cache[uint64, struct{}]
	heardAt map[string]time.Duration
	tries   map[string]int
	triedAt map[string]time.Duration
	// toldTaken and seq are the loop's that tells.
	toldTaken map[uint64]uint16
	seq       uint64
}

func newDigests(p *peers) *digests {
	seen, err := lru.New[uint64, struct{}](exportsSeen)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &digests{
		peers: p, seen: seen, heardAt: make(map[string]time.Duration), tries: make(map[string]int),
		triedAt: make(map[string]time.Duration), toldTaken: make(map[uint64]uint16),
	}
}

// large reports whether entries tell their own failure domain only. The caller holds mu.
func (p *peers) large() bool { return len(p.known)+1 > allHear }

// inDomain reports whether a peer is told words directly. The caller holds mu.
func (p *peers) inDomain(a peerAddress) bool {
	return a.domain == "" || a.domain == p.entry.settings.FailureDomain
}

// near lists the addresses of those that this entry's words go to.
func (p *peers) near() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	large := p.large()
	var list []netip.AddrPort
	for _, a := range p.known {
		if !large || p.inDomain(a) {
			list = append(list, a.address)
		}
	}
	return list
}

// run tells other domains while this entry speaks for its own, until ctx ends.
func (d *digests) run(ctx context.Context) {
	for wait.For(ctx, digestEvery) == nil {
		if to := d.targets(d.peers.entry.clock.now()); len(to) > 0 {
			d.tell(to)
		} else {
			d.take(maxExports) // another entry tells them
		}
	}
}

// targets are whom to tell now: one entry of each domain that this one speaks with.
func (d *digests) targets(now time.Duration) []netip.AddrPort {
	p := d.peers
	window := p.aliveWindow()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.large() {
		return nil
	}
	own := p.entry.settings.FailureDomain
	members := map[string][]string{own: {p.entry.settings.ID}}
	for id, a := range p.known {
		if a.domain != own || now-p.heardAt[id] <= window {
			members[a.domain] = append(members[a.domain], id)
		}
	}
	delete(members, "")
	domains := slices.Collect(maps.Keys(members))
	var to []netip.AddrPort
	for _, other := range domains {
		if other != own && spread.Gateway(members[own], own, other, domains) == p.entry.settings.ID {
			to = append(to, p.known[spread.RemoteGateway(members[other], own, other, domains, d.triesAt(other, now))].address)
		}
	}
	return to
}

// triesAt is how often a domain's entries were told in vain until now. The caller holds mu.
func (d *digests) triesAt(other string, now time.Duration) int {
	if _, begun := d.triedAt[other]; !begun {
		d.triedAt[other] = now
	}
	if now-max(d.heardAt[other], d.triedAt[other]) > silentDomain {
		d.tries[other]++
		d.triedAt[other] = now
	}
	return d.tries[other]
}

// export takes a placement of this domain's, once.
func (d *digests) export(list []wordPlacement) {
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	if !d.peers.large() {
		return
	}
	for _, placed := range list {
		if known, _ := d.seen.ContainsOrAdd(placed.fingerprint(), struct{}{}); !known && len(d.exports) < maxExports {
			d.exports = append(d.exports, placed)
		}
	}
}

// fingerprint tells placements apart.
func (w *wordPlacement) fingerprint() uint64 {
	d := xxhash.New()
	for _, n := range append(slices.Clone(w.Levels), w.Replica, w.Kept) {
		_, _ = d.WriteString(strconv.FormatUint(n, 16) + ",") // a digest takes all
	}
	_, _ = d.WriteString(strconv.FormatBool(w.Read))
	return d.Sum64()
}

// take takes at most so many of the placements that are to be told.
func (d *digests) take(most int) []wordPlacement {
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	most = min(most, len(d.exports))
	taken := slices.Clone(d.exports[:most])
	d.exports = slices.Delete(d.exports, 0, most)
	return taken
}

// tell sends what the domain has at the replicas, in parts that each have always the same ones.
func (d *digests) tell(to []netip.AddrPort) {
	e := d.peers.entry
	e.state.mu.Lock()
	loads := e.state.feed.DomainLoads(e.clock.now())
	e.state.mu.Unlock()
	parts := uint64(1) << bits.Len(uint(max(0, len(loads)-1)/digestPart))
	split := make([]map[uint64]route.Load, parts)
	for i := range split {
		split[i] = make(map[uint64]route.Load)
	}
	for replica, l := range loads {
		split[replica%parts][replica] = l
	}
	d.seq++
	for i, part := range split {
		w := &peerMessage{
			From: e.settings.ID, Epoch: uint64(e.tel.Epoch), Seq: d.seq, PassOn: true,
			Of:         strings.Join([]string{e.settings.FailureDomain, strconv.Itoa(int(parts)), strconv.Itoa(i)}, partsSeparator),
			Placements: d.take(maxWordPlacements),
		}
		w.Loads = telling(part, d.toldTaken, maxWordLoads-len(w.Placements)*placementLoads-digestRoom)
		d.peers.sendTo(w, to...)
	}
}

// digestRoom is what the name of a digest takes of a word's room, in loads.
const digestRoom = 3

// passed takes another domain's word that one there passes digests on.
func (d *digests) passed(domain string) {
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	d.heardAt[domain] = d.peers.entry.clock.now()
}

// heard passes a digest of another domain on in this one, if it came from there, and tells its
// sender so: one that isn't told tries another entry.
func (d *digests) heard(w *peerMessage, from netip.AddrPort) {
	p := d.peers
	if !w.PassOn {
		return
	}
	if strings.HasSuffix(w.Of, partsSeparator+"0") {
		p.sendTo(&peerMessage{From: p.entry.settings.ID, Epoch: uint64(p.entry.tel.Epoch), Passed: p.entry.settings.FailureDomain}, from)
	}
	passed := *w
	passed.From, passed.PassOn = p.entry.settings.ID, false
	p.sendTo(&passed, p.near()...)
}
