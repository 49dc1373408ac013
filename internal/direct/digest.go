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

// If every entry sent to all others, messages would get rare as a fleet grows, and most of their
// bytes would cross failure domains. In a large fleet an entry therefore sends to its own failure
// domain only, more often. One entry of each domain aggregates the domain's loads into a digest and
// sends it to one entry of each other domain, which forwards it within its own.
const (
	// fullMeshLimit is the largest number of entries at which each sends to all others.
	fullMeshLimit = 32
	// digestInterval is the pause between a domain's digests, about that of load messages within a
	// domain.
	digestInterval = 100 * time.Millisecond
	// replicasPerDigest is the number of replicas in one part of a digest, which leaves room for
	// placements.
	replicasPerDigest = 44
	// digestAckTimeout is how long an acknowledgement may be missing before the digest goes to
	// another entry of the domain.
	digestAckTimeout = 500 * time.Millisecond
	// maxPendingPlacements bounds the placements that wait for the next digest.
	maxPendingPlacements = 256
	// maxSeenPlacements bounds the placements remembered as already queued; each arrives in two
	// messages.
	maxSeenPlacements = 4096
	// digestNameSeparator separates a failure domain's name, the number of parts and the part's
	// index in the name of a digest part.
	digestNameSeparator = "\x00"
)

// digests sends digests of this entry's failure domain to other domains and forwards theirs.
type digests struct {
	peers *peers
	// pending holds placements of this domain for the next digest. The peers' mu guards it, as well
	// as ackedAt, failedAttempts and attemptedAt, which are by other domain.
	pending        []peerPlacement
	seen           *lru.Cache[uint64, struct{}]
	ackedAt        map[string]time.Duration
	failedAttempts map[string]int
	attemptedAt    map[string]time.Duration
	// Only the goroutine of run uses advertisedTokens and seq.
	advertisedTokens map[uint64]uint16
	seq              uint64
}

func newDigests(p *peers) *digests {
	seen, err := lru.New[uint64, struct{}](maxSeenPlacements)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &digests{
		peers: p, seen: seen, ackedAt: make(map[string]time.Duration), failedAttempts: make(map[string]int),
		attemptedAt: make(map[string]time.Duration), advertisedTokens: make(map[uint64]uint16),
	}
}

// hierarchical reports whether entries send to their own failure domain only. The caller holds mu.
func (p *peers) hierarchical() bool { return len(p.known)+1 > fullMeshLimit }

// sameDomain reports whether a peer is in this failure domain or its domain is unknown. The caller
// holds mu.
func (p *peers) sameDomain(a peerAddress) bool {
	return a.domain == "" || a.domain == p.entry.settings.FailureDomain
}

// directPeers returns the addresses that this entry's load messages go to.
func (p *peers) directPeers() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	large := p.hierarchical()
	var list []netip.AddrPort
	for _, a := range p.known {
		if !large || p.sameDomain(a) {
			list = append(list, a.address)
		}
	}
	return list
}

// run sends digests while this entry is the one that sends them to some other domain, until ctx
// ends.
func (d *digests) run(ctx context.Context) {
	for wait.For(ctx, digestInterval) == nil {
		if to := d.targets(d.peers.entry.clock.now()); len(to) > 0 {
			d.send(to)
		} else {
			d.dequeue(maxPendingPlacements) // another entry sends these placements
		}
	}
}

// targets returns the addresses to send a digest to now: one entry of each domain for which this
// entry is the sender.
func (d *digests) targets(now time.Duration) []netip.AddrPort {
	p := d.peers
	window := p.aliveWindow()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.hierarchical() {
		return nil
	}
	own := p.entry.settings.FailureDomain
	members := map[string][]string{own: {p.entry.settings.ID}}
	for id, a := range p.known {
		if a.domain != own || now-p.receivedAt[id] <= window {
			members[a.domain] = append(members[a.domain], id)
		}
	}
	delete(members, "")
	domains := slices.Collect(maps.Keys(members))
	var to []netip.AddrPort
	for _, other := range domains {
		if other != own && spread.Gateway(members[own], own, other, domains) == p.entry.settings.ID {
			to = append(to, p.known[spread.RemoteGateway(members[other], own, other, domains, d.attemptsWithoutAck(other, now))].address)
		}
	}
	return to
}

// attemptsWithoutAck counts the times that an acknowledgement of a domain was overdue, up to now.
// The caller holds mu.
func (d *digests) attemptsWithoutAck(other string, now time.Duration) int {
	if _, begun := d.attemptedAt[other]; !begun {
		d.attemptedAt[other] = now
	}
	if now-max(d.ackedAt[other], d.attemptedAt[other]) > digestAckTimeout {
		d.failedAttempts[other]++
		d.attemptedAt[other] = now
	}
	return d.failedAttempts[other]
}

// enqueue adds placements of this domain that have not been queued before.
func (d *digests) enqueue(list []peerPlacement) {
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	if !d.peers.hierarchical() {
		return
	}
	for _, placement := range list {
		if known, _ := d.seen.ContainsOrAdd(placement.fingerprint(), struct{}{}); !known && len(d.pending) < maxPendingPlacements {
			d.pending = append(d.pending, placement)
		}
	}
}

// fingerprint identifies a placement.
func (p *peerPlacement) fingerprint() uint64 {
	d := xxhash.New()
	for _, n := range append(slices.Clone(p.Levels), p.Replica, p.Saved) {
		_, _ = d.WriteString(strconv.FormatUint(n, 16) + ",") // writing to a hash never fails
	}
	_, _ = d.WriteString(strconv.FormatBool(p.Prefilled))
	return d.Sum64()
}

// dequeue removes and returns at most limit pending placements.
func (d *digests) dequeue(limit int) []peerPlacement {
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	limit = min(limit, len(d.pending))
	removed := slices.Clone(d.pending[:limit])
	d.pending = slices.Delete(d.pending, 0, limit)
	return removed
}

// send sends the domain's loads and placements, in parts. A replica always belongs to the same
// part.
func (d *digests) send(to []netip.AddrPort) {
	e := d.peers.entry
	e.state.mu.Lock()
	loads := e.state.picker.DomainLoads(e.clock.now())
	e.state.mu.Unlock()
	partCount := uint64(1) << bits.Len(uint(max(0, len(loads)-1)/replicasPerDigest))
	parts := make([]map[uint64]route.Load, partCount)
	for i := range parts {
		parts[i] = make(map[uint64]route.Load)
	}
	for replica, l := range loads {
		parts[replica%partCount][replica] = l
	}
	d.seq++
	for i, part := range parts {
		m := &peerMessage{
			From: e.settings.ID, Epoch: uint64(e.tel.Epoch), Seq: d.seq, Forward: true,
			DigestPart: strings.Join([]string{e.settings.FailureDomain, strconv.Itoa(int(partCount)), strconv.Itoa(i)}, digestNameSeparator),
			Placements: d.dequeue(maxMessagePlacements),
		}
		m.Loads = loadsToSend(part, d.advertisedTokens, maxMessageLoads-len(m.Placements)*loadsPerPlacement-digestNameLoads)
		d.peers.sendTo(m, to...)
	}
}

// digestNameLoads is the room that the name of a digest part takes in a message, in loads.
const digestNameLoads = 3

// handleAck records that an entry of another domain forwards digests there.
func (d *digests) handleAck(domain string) {
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	d.ackedAt[domain] = d.peers.entry.clock.now()
}

// forward forwards a digest that came from another domain within this one and acknowledges it. A
// sender without an acknowledgement tries another entry.
func (d *digests) forward(m *peerMessage, from netip.AddrPort) {
	p := d.peers
	if !m.Forward {
		return
	}
	if strings.HasSuffix(m.DigestPart, digestNameSeparator+"0") {
		p.sendTo(&peerMessage{From: p.entry.settings.ID, Epoch: uint64(p.entry.tel.Epoch), DigestAck: p.entry.settings.FailureDomain}, from)
	}
	forwarded := *m
	forwarded.From, forwarded.Forward = p.entry.settings.ID, false
	p.sendTo(&forwarded, p.directPeers()...)
}
