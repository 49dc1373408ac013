package spread

import (
	"math/bits"
	"time"
)

const (
	// MinDigestInterval is the least pause between a domain's digests, about that of load messages
	// within a domain.
	MinDigestInterval = 100 * time.Millisecond
	// maxForwardsPerSecond bounds the datagrams that a relay forwards for one part of a digest.
	maxForwardsPerSecond = 400
)

// Gateway returns the entry of the local failure domain that sends digests of the replicas'
// state to a remote one; a different entry for each remote domain as far as there are enough.
// members are the local entries that count as alive, domains all failure domains.
func Gateway(members []string, local, remote string, domains []string) string {
	if len(members) == 0 {
		return ""
	}
	return sharedOrderIDs(members)[domainIndex(local, remote, domains)%len(members)]
}

// Relays are the entries of a remote failure domain that forward the parts of a local digest
// within their domain. Each part has a relay of its own as far as there are enough entries, so
// that forwarding costs no entry more than the others.
type Relays struct {
	ordered       []string
	first, stride int
}

// NewRelays returns the relays for digests from local to remote. members are the entries of the
// remote domain, domains all failure domains.
func NewRelays(members []string, local, remote string, domains []string) Relays {
	return Relays{ordered: sharedOrderIDs(members), first: domainIndex(remote, local, domains), stride: max(1, len(domains)-1)}
}

// Of returns the relay of a part, "" if the domain has no entry. Part 0 goes to the remote
// domain's gateway. After a number of tries without an acknowledgement it is a later entry.
func (r Relays) Of(part, tries int) string {
	if len(r.ordered) == 0 {
		return ""
	}
	return r.ordered[(r.first+part*r.stride+tries)%len(r.ordered)]
}

// Interval is the pause between digests, which grows with the number of entries to forward to.
func (r Relays) Interval() time.Duration {
	return max(MinDigestInterval, time.Duration(len(r.ordered))*time.Second/maxForwardsPerSecond)
}

// DigestParts returns the number of parts of a digest of some replicas' loads, a power of two:
// a replica stays in its part while the number doesn't change.
func DigestParts(replicas, replicasPerPart int) int {
	return 1 << bits.Len(uint(max(0, replicas-1)/replicasPerPart))
}

// domainIndex returns the index of the domain other among the other domains of own.
func domainIndex(own, other string, domains []string) int {
	at := 0
	for _, d := range domains {
		if d < other && d != own {
			at++
		}
	}
	return at
}

// sharedOrderIDs returns entries in the shared order.
func sharedOrderIDs(members []string) []string {
	peers := make([]Peer, len(members))
	for i, id := range members {
		peers[i].ID = id
	}
	return ids(sharedOrder(peers))
}
