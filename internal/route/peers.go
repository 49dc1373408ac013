package route

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Load is what an entry has at a replica.
type Load struct {
	// PrefillTokens is how many tokens of prompts are not yet read.
	PrefillTokens float64
	// Running is how many requests are there.
	Running int
	// AddedTokens counts the tokens that the entry has sent there to be read and kept, in
	// TakenUnit; it wraps around.
	AddedTokens uint16
}

// AddedTokensUnit is the unit of Load.Taken, in tokens: small against a prompt, and large
// enough that a replica takes minutes to wrap the count around.
const AddedTokensUnit = 64

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
	// sums has what all peers that were heard lately have at each replica, heard how many
	// those are. A choice looks at each replica; adding up the words of all peers for each
	// would cost it entries times replicas.
	sums  map[uint64]Load
	heard int
	// swept is when words were last looked at for their age.
	swept time.Duration
}

type peerWord struct {
	epoch, seq uint64
	at         time.Duration
	loads      map[uint64]Load
	// taken is the latest count of each replica that any word of the epoch had: a word
	// tells only of those at which something has changed.
	taken map[uint64]uint16
	// counted is set while the word is part of the sums, domain where it is a part of another
	// failure domain's digest.
	counted, domain bool
}

// sweepPeers is the least time between looks for words that are no longer fresh: a
// fraction of the pause between words.
const sweepPeers = 20 * time.Millisecond

// NewPeers returns an empty picture; a peer's word counts for as long as fresh.
func NewPeers(fresh time.Duration) *Peers {
	return &Peers{fresh: fresh, known: make(map[string]*peerWord), sums: make(map[uint64]Load)}
}

// Take takes a peer's word on its loads, by ReplicaKey, and reports whether it was news.
// Of one epoch only a later one replaces an earlier one. took is called with the tokens
// that a replica took from the peer since its word before.
func (p *Peers) Take(peer string, epoch, seq uint64, loads map[uint64]Load, now time.Duration, took func(replica uint64, tokens float64)) bool {
	return p.take(peer, &peerWord{epoch: epoch, seq: seq, at: now, loads: loads}, took)
}

// TakeDomain takes a part of another failure domain's digest likewise.
func (p *Peers) TakeDomain(part string, epoch, seq uint64, loads map[uint64]Load, now time.Duration, took func(replica uint64, tokens float64)) bool {
	return p.take(part, &peerWord{epoch: epoch, seq: seq, at: now, loads: loads, domain: true}, took)
}

// direct sums up what the peers heard lately tell of themselves.
func (p *Peers) direct(now time.Duration) map[uint64]Load {
	p.sweep(now)
	sums := make(map[uint64]Load, len(p.sums))
	for _, w := range p.known {
		if !w.counted || w.domain {
			continue
		}
		for replica, l := range w.loads {
			sum := sums[replica]
			sums[replica] = Load{PrefillTokens: sum.PrefillTokens + l.PrefillTokens, Running: sum.Running + l.Running}
		}
	}
	return sums
}

func (p *Peers) take(peer string, news *peerWord, took func(replica uint64, tokens float64)) bool {
	epoch, seq, loads := news.epoch, news.seq, news.loads
	w := p.known[peer]
	if w != nil && w.epoch == epoch && seq <= w.seq {
		return false
	}
	var taken map[uint64]uint16
	if w != nil && w.epoch == epoch {
		taken = w.taken
	} else {
		taken = make(map[uint64]uint16, len(loads))
	}
	for replica, l := range loads {
		if before, known := taken[replica]; known {
			took(replica, float64(l.AddedTokens-before)*AddedTokensUnit)
		}
		taken[replica] = l.AddedTokens
	}
	if w != nil {
		p.discount(w)
	}
	w = news
	w.taken = taken
	p.known[peer] = w
	p.count(w)
	return true
}

func (p *Peers) count(w *peerWord) {
	for replica, l := range w.loads {
		sum := p.sums[replica]
		p.sums[replica] = Load{PrefillTokens: sum.PrefillTokens + l.PrefillTokens, Running: sum.Running + l.Running}
	}
	w.counted = true
	p.heard++
}

func (p *Peers) discount(w *peerWord) {
	if !w.counted {
		return
	}
	w.counted = false
	p.heard--
	for replica, l := range w.loads {
		sum := p.sums[replica]
		sum.Running -= l.Running
		sum.PrefillTokens = max(0, sum.PrefillTokens-l.PrefillTokens)
		if sum.Running <= 0 {
			delete(p.sums, replica) // nothing runs there; what is left is rounding
			continue
		}
		p.sums[replica] = sum
	}
}

// sweep takes words that are no longer fresh out of the sums.
func (p *Peers) sweep(now time.Duration) {
	if now-p.swept < sweepPeers && now >= p.swept {
		return
	}
	p.swept = now
	for _, w := range p.known {
		if now-w.at > p.fresh {
			p.discount(w)
		}
	}
}

// Load is what all peers heard lately have at a replica.
func (p *Peers) Load(replica uint64, now time.Duration) Load {
	p.sweep(now)
	return p.sums[replica]
}

// Heard is how many peers were heard lately.
func (p *Peers) Heard(now time.Duration) int {
	p.sweep(now)
	return p.heard
}

// Forget drops peers that haven't been heard for long.
func (p *Peers) Forget(before time.Duration) {
	for id, w := range p.known {
		if w.at < before {
			p.discount(w)
			delete(p.known, id)
		}
	}
}
