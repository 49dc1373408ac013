package route

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Load is what an entry has at a replica.
type Load struct {
	// Reading is the engine time, in milliseconds, of the prompts not yet read.
	Reading float64
	// Running is how many requests are there.
	Running int
	// Taken counts the tokens that the entry has sent there to be read and kept, in
	// TakenUnit; it wraps around.
	Taken uint16
}

// TakenUnit is the unit of Load.Taken, in tokens: small against a prompt, and large
// enough that a replica takes minutes to wrap the count around.
const TakenUnit = 64

// ReplicaKey stands for a replica's ID where entries tell each other of it.
func ReplicaKey(id string) uint64 { return xxhash.Sum64String(id) }

// Peers is what other direct entries say that they have at the replicas. Each of
// them places requests by itself; without their word two that pick the same idle
// replica at the same moment, and all that follow them, queue there while others
// stand idle. It is pure.
//
// Invariant: words of one peer are taken in the order in which they were sent.
type Peers struct {
	fresh time.Duration
	known map[string]*peerWord
}

type peerWord struct {
	epoch, seq uint64
	at         time.Duration
	loads      map[uint64]Load
}

// NewPeers returns an empty picture; a peer's word counts for as long as fresh.
func NewPeers(fresh time.Duration) *Peers {
	return &Peers{fresh: fresh, known: make(map[string]*peerWord)}
}

// Take takes a peer's word on its loads, by ReplicaKey, and reports whether it was news.
// Of one epoch only a later one replaces an earlier one. took is called with the tokens
// that a replica took from the peer since its word before.
func (p *Peers) Take(peer string, epoch, seq uint64, loads map[uint64]Load, now time.Duration, took func(replica uint64, tokens float64)) bool {
	w := p.known[peer]
	if w != nil && w.epoch == epoch && seq <= w.seq {
		return false
	}
	if w != nil && w.epoch == epoch {
		for replica, l := range loads {
			if before, known := w.loads[replica]; known {
				took(replica, float64(l.Taken-before.Taken)*TakenUnit)
			}
		}
	}
	p.known[peer] = &peerWord{epoch: epoch, seq: seq, at: now, loads: loads}
	return true
}

// Load is what all peers heard lately have at a replica.
func (p *Peers) Load(replica uint64, now time.Duration) Load {
	var sum Load
	for _, w := range p.known {
		if now-w.at > p.fresh {
			continue
		}
		l := w.loads[replica]
		sum.Reading += l.Reading
		sum.Running += l.Running
	}
	return sum
}

// Heard is how many peers were heard lately.
func (p *Peers) Heard(now time.Duration) int {
	n := 0
	for _, w := range p.known {
		if now-w.at <= p.fresh {
			n++
		}
	}
	return n
}

// Forget drops peers that haven't been heard for long.
func (p *Peers) Forget(before time.Duration) {
	for id, w := range p.known {
		if w.at < before {
			delete(p.known, id)
		}
	}
}
