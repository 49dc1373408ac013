package route

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Load is the load of one or more entries at a replica.
type Load struct {
	// PrefillTokens is the number of prompt tokens not yet prefilled.
	PrefillTokens float64
	// MemoryTokens is the KV memory that the requests in flight need until they end, in tokens.
	MemoryTokens float64
	// Running is the number of requests in flight.
	Running int
	// AddedTokens counts the tokens added to the replica's cache, in AddedTokensUnit; it wraps
	// around.
	AddedTokens uint16
}

// plus returns the sum of two loads, AddedTokens left out.
func (l Load) plus(other Load) Load {
	return Load{
		PrefillTokens: l.PrefillTokens + other.PrefillTokens, MemoryTokens: l.MemoryTokens + other.MemoryTokens,
		Running: l.Running + other.Running,
	}
}

// minus returns the load without another one that is part of it, up to rounding errors.
func (l Load) minus(other Load) Load {
	return Load{
		PrefillTokens: max(0, l.PrefillTokens-other.PrefillTokens), MemoryTokens: max(0, l.MemoryTokens-other.MemoryTokens),
		Running: l.Running - other.Running,
	}
}

// AddedTokensUnit is the unit of Load.AddedTokens, in tokens: small compared with a prompt, and
// large enough that the count of a replica takes minutes to wrap around.
const AddedTokensUnit = 64

// ReplicaKey is the hash that identifies a replica in messages between entries.
func ReplicaKey(id string) uint64 { return xxhash.Sum64String(id) }

// PeerLoads sums up the loads that other direct entries report at the replicas. Each entry
// dispatches by itself: without these reports, two entries that pick the same idle replica at the
// same moment, and all that follow them, would queue there while other replicas are idle.
//
// Invariant: the reports of one peer are applied in the order in which they were sent.
type PeerLoads struct {
	ttl    time.Duration
	byPeer map[string]*peerReport
	// sums is the load of all peers with a fresh report at each replica, freshCount the number of
	// those peers. Each pick looks at every replica; adding up the reports then would cost it
	// entries times replicas.
	sums       map[uint64]Load
	freshCount int
	// sweptAt is when the reports were last checked for their age.
	sweptAt time.Duration
}

// peerReport is the last load report received from a peer.
type peerReport struct {
	epoch, seq uint64
	receivedAt time.Duration
	loads      map[uint64]Load
	// addedTokens is the latest count for each replica in any report of the epoch: a report
	// contains only the replicas at which something has changed.
	addedTokens map[uint64]uint16
	// included is set while the report is part of the sums, isDomain if it is a part of another
	// failure domain's digest.
	included, isDomain bool
}

// sweepInterval is the least time between checks for expired reports: a fraction of the interval
// between a peer's messages.
const sweepInterval = 20 * time.Millisecond

// NewPeerLoads returns an empty PeerLoads. A report counts for as long as ttl.
func NewPeerLoads(ttl time.Duration) *PeerLoads {
	return &PeerLoads{ttl: ttl, byPeer: make(map[string]*peerReport), sums: make(map[uint64]Load)}
}

// Update applies a peer's load report, keyed by ReplicaKey, and reports whether it was newer than
// the one before. Within an epoch only a higher seq replaces a report. onAdded is called with the
// tokens added to each replica since the peer's report before.
func (p *PeerLoads) Update(peer string, epoch, seq uint64, loads map[uint64]Load, now time.Duration, onAdded func(replica uint64, tokens float64)) bool {
	return p.update(peer, &peerReport{epoch: epoch, seq: seq, receivedAt: now, loads: loads}, onAdded)
}

// UpdateDomain applies one part of another failure domain's digest, as Update does.
func (p *PeerLoads) UpdateDomain(part string, epoch, seq uint64, loads map[uint64]Load, now time.Duration, onAdded func(replica uint64, tokens float64)) bool {
	return p.update(part, &peerReport{epoch: epoch, seq: seq, receivedAt: now, loads: loads, isDomain: true}, onAdded)
}

// directSums sums up the fresh reports of peers, digests of other failure domains left out.
func (p *PeerLoads) directSums(now time.Duration) map[uint64]Load {
	p.sweep(now)
	sums := make(map[uint64]Load, len(p.sums))
	for _, report := range p.byPeer {
		if !report.included || report.isDomain {
			continue
		}
		for replica, l := range report.loads {
			sums[replica] = sums[replica].plus(l)
		}
	}
	return sums
}

func (p *PeerLoads) update(peer string, report *peerReport, onAdded func(replica uint64, tokens float64)) bool {
	epoch, seq, loads := report.epoch, report.seq, report.loads
	last := p.byPeer[peer]
	if last != nil && last.epoch == epoch && seq <= last.seq {
		return false
	}
	var addedTokens map[uint64]uint16
	if last != nil && last.epoch == epoch {
		addedTokens = last.addedTokens
	} else {
		addedTokens = make(map[uint64]uint16, len(loads))
	}
	for replica, l := range loads {
		if before, known := addedTokens[replica]; known {
			onAdded(replica, float64(l.AddedTokens-before)*AddedTokensUnit)
		}
		addedTokens[replica] = l.AddedTokens
	}
	if last != nil {
		p.exclude(last)
	}
	last = report
	last.addedTokens = addedTokens
	p.byPeer[peer] = last
	p.include(last)
	return true
}

func (p *PeerLoads) include(report *peerReport) {
	for replica, l := range report.loads {
		p.sums[replica] = p.sums[replica].plus(l)
	}
	report.included = true
	p.freshCount++
}

func (p *PeerLoads) exclude(report *peerReport) {
	if !report.included {
		return
	}
	report.included = false
	p.freshCount--
	for replica, l := range report.loads {
		sum := p.sums[replica].minus(l)
		if sum.Running <= 0 {
			delete(p.sums, replica) // nothing is in flight there; the remainder is a rounding error
			continue
		}
		p.sums[replica] = sum
	}
}

// sweep takes expired reports out of the sums.
func (p *PeerLoads) sweep(now time.Duration) {
	if now-p.sweptAt < sweepInterval && now >= p.sweptAt {
		return
	}
	p.sweptAt = now
	for _, report := range p.byPeer {
		if now-report.receivedAt > p.ttl {
			p.exclude(report)
		}
	}
}

// Load returns the load of all peers with a fresh report at a replica.
func (p *PeerLoads) Load(replica uint64, now time.Duration) Load {
	p.sweep(now)
	return p.sums[replica]
}

// FreshPeers returns the number of peers with a fresh report; each part of a digest counts as one.
func (p *PeerLoads) FreshPeers(now time.Duration) int {
	p.sweep(now)
	return p.freshCount
}

// Forget drops peers whose last report was received before a time.
func (p *PeerLoads) Forget(before time.Duration) {
	for id, report := range p.byPeer {
		if report.receivedAt < before {
			p.exclude(report)
			delete(p.byPeer, id)
		}
	}
}
