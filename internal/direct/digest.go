package direct

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"skylarklead/internal/peermessage"
	"skylarklead/internal/route"
	"skylarklead/internal/spread"
	"skylarklead/internal/wait"
)

// If every entry sent to all others, messages would get rare as a fleet grows, and most of their
// bytes would cross failure domains. In a large fleet an entry therefore sends to its own failure
// domain only, more often. One entry of each domain aggregates the domain's loads into a digest and
// sends each part of it to an entry of each other domain, which forwards the part within its own.
const (
	// fullMeshLimit is the largest number of entries at which each sends to all others.
	fullMeshLimit = 32
	// replicasPerDigest is the number of replicas in one part of a digest, which leaves room for
	// placements.
	replicasPerDigest = 32
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
	// as acks.
	pending []peermessage.Placement
	// repeats are placements that went with one digest and go with a later one, the oldest first.
	repeats []sentPlacement
	seen    *lru.Cache[uint64, struct{}]
	acks    map[relayedPart]*relayAck
	// Only the goroutine of run uses advertisedTokens and seq.
	advertisedTokens map[uint64]uint16
	seq              uint64
}

// sentPlacement is a placement that went with the digest with this number.
type sentPlacement struct {
	peermessage.Placement
	digest uint64
}

// relayedPart identifies a part of this domain's digest in another failure domain.
type relayedPart struct {
	domain string
	part   int
}

// relayAck is what is known of a part's relay.
type relayAck struct {
	ackedAt, attemptedAt time.Duration
	failedAttempts       int
}

// digestTarget is a failure domain that this entry sends digests to.
type digestTarget struct {
	domain string
	relays spread.Relays
}

func newDigests(p *peers) *digests {
	seen, err := lru.New[uint64, struct{}](maxSeenPlacements)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &digests{
		peers: p, seen: seen, acks: make(map[relayedPart]*relayAck), advertisedTokens: make(map[uint64]uint16),
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
	pause := spread.MinDigestInterval
	for wait.For(ctx, pause) == nil {
		pause = spread.MinDigestInterval
		targets := d.targets(d.peers.entry.clock.now())
		if len(targets) == 0 {
			d.discard() // another entry sends these placements
			continue
		}
		for _, target := range targets {
			pause = max(pause, target.relays.Interval())
		}
		d.send(targets)
	}
}

// targets returns the domains to which this entry sends digests now.
func (d *digests) targets(now time.Duration) []digestTarget {
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
	var targets []digestTarget
	for _, other := range domains {
		if other != own && spread.Gateway(members[own], own, other, domains) == p.entry.settings.ID {
			targets = append(targets, digestTarget{domain: other, relays: spread.NewRelays(members[other], own, other, domains)})
		}
	}
	return targets
}

// relayAddresses returns the addresses to which a part goes now, one for each target.
func (d *digests) relayAddresses(targets []digestTarget, part int, now time.Duration) []netip.AddrPort {
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	var to []netip.AddrPort
	for _, target := range targets {
		tries := d.attemptsWithoutAck(relayedPart{target.domain, part}, now)
		to = append(to, d.peers.known[target.relays.Of(part, tries)].address)
	}
	return to
}

// attemptsWithoutAck counts the times that an acknowledgement of a part was overdue, up to now.
// The caller holds mu.
func (d *digests) attemptsWithoutAck(part relayedPart, now time.Duration) int {
	ack := d.acks[part]
	if ack == nil {
		ack = &relayAck{attemptedAt: now}
		d.acks[part] = ack
	}
	if now-max(ack.ackedAt, ack.attemptedAt) > digestAckTimeout {
		ack.failedAttempts++
		ack.attemptedAt = now
	}
	return ack.failedAttempts
}

// enqueue adds placements of this domain that have not been queued before.
func (d *digests) enqueue(list []peermessage.Placement) {
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	if !d.peers.hierarchical() {
		return
	}
	for _, placement := range list {
		if known, _ := d.seen.ContainsOrAdd(fingerprintOf(&placement), struct{}{}); !known && len(d.pending) < maxPendingPlacements {
			d.pending = append(d.pending, placement)
		}
	}
}

// fingerprintOf identifies a placement.
func fingerprintOf(p *peermessage.Placement) uint64 {
	d := xxhash.New()
	for _, n := range append(slices.Clone(p.Levels), p.Replica, p.Saved) {
		_, _ = d.WriteString(strconv.FormatUint(n, 16) + ",") // writing to a hash never fails
	}
	_, _ = d.WriteString(strconv.FormatBool(p.Prefilled))
	return d.Sum64()
}

// dequeue returns at most limit placements for a part of the digest with the number seq: pending ones, and
// in the room that they leave those which went with an earlier digest. So each placement is sent twice
// unless there are too many, and the loss of one datagram doesn't hide it.
func (d *digests) dequeue(limit int) []peermessage.Placement {
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	first := min(limit, len(d.pending))
	out := slices.Clone(d.pending[:first])
	d.pending = slices.Delete(d.pending, 0, first)
	for len(out) < limit && len(d.repeats) > 0 && d.repeats[0].digest < d.seq {
		out = append(out, d.repeats[0].Placement)
		d.repeats = slices.Delete(d.repeats, 0, 1)
	}
	for _, placement := range out[:first] {
		d.repeats = append(d.repeats, sentPlacement{placement, d.seq})
	}
	d.repeats = slices.Delete(d.repeats, 0, max(0, len(d.repeats)-maxPendingPlacements))
	return out
}

// discard drops all placements.
func (d *digests) discard() {
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	d.pending, d.repeats = nil, nil
}

// send sends the domain's loads and placements, in parts. A replica always belongs to the same
// part.
func (d *digests) send(targets []digestTarget) {
	e := d.peers.entry
	now := e.clock.now()
	e.state.mu.Lock()
	loads := e.state.picker.DomainLoads(now)
	e.state.mu.Unlock()
	partCount := spread.DigestParts(len(loads), replicasPerDigest)
	parts := make([]map[uint64]route.Load, partCount)
	for i := range parts {
		parts[i] = make(map[uint64]route.Load)
	}
	for replica, l := range loads {
		parts[replica%uint64(partCount)][replica] = l
	}
	d.seq++
	for i, part := range parts {
		m := &peermessage.Loads{
			Seq: d.seq, Forward: true,
			DigestPart: strings.Join([]string{e.settings.FailureDomain, strconv.Itoa(partCount), strconv.Itoa(i)}, digestNameSeparator),
		}
		m.SetLoads(loadsToSend(part, d.advertisedTokens, maxMessageLoads-digestNameLoads-reservedPlacements*loadsPerPlacement), part)
		m.Placements = d.dequeue(min(maxMessagePlacements, (maxMessageLoads-digestNameLoads-len(m.Loads))/loadsPerPlacement))
		d.peers.sendTo(m, d.relayAddresses(targets, i, now)...)
	}
}

// reservedPlacements is the number of placements for which a digest part always has room.
const reservedPlacements = 4

// digestNameLoads is the room that the name of a digest part takes in a message, in loads.
const digestNameLoads = 3

// handleAck records that an entry of another domain forwards a part there. Entries of older builds
// acknowledge the first part only and name just their domain.
func (d *digests) handleAck(ack string) {
	domain, index, _ := strings.Cut(ack, digestNameSeparator)
	part, err := strconv.Atoi(cmp.Or(index, "0"))
	if err != nil {
		d.peers.entry.tel.Metrics.Count("peer_words_malformed", 1)
		return
	}
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	// An acknowledgement of what was not sent has no state.
	if state := d.acks[relayedPart{domain, part}]; state != nil {
		state.ackedAt = d.peers.entry.clock.now()
	}
}

// forward forwards a part of a digest that came from another domain within this one and
// acknowledges it. A sender without an acknowledgement tries another entry. The epoch stays that of the
// digest's sender, who numbers its parts.
func (d *digests) forward(epoch uint64, m *peermessage.Loads, from netip.AddrPort) {
	p := d.peers
	if !m.Forward {
		return
	}
	part := m.DigestPart[strings.LastIndex(m.DigestPart, digestNameSeparator)+1:]
	ack := p.entry.settings.FailureDomain + digestNameSeparator + part
	p.sendTo(peermessage.DigestAck(ack), from)
	forwarded := *m
	forwarded.Forward = false
	p.sendAs(peermessage.Sender{ID: p.entry.settings.ID, Epoch: epoch}, &forwarded, p.directPeers()...)
}
