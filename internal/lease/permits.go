package lease

import (
	"math"
	"math/rand/v2"
	"time"
)

// Permit is one process's wish for one of a group's permits to load weights.
// It claims one free permit at a time and keeps what it gets until Done.
type Permit struct {
	leases *Leases
	rng    *rand.Rand
	count  int
	wanted bool
	name   Name
}

// NewPermit returns a permit out of count, on the leases of the same process.
func NewPermit(leases *Leases, count int, rng *rand.Rand) *Permit {
	return &Permit{leases: leases, rng: rng, count: count}
}

// SetCount takes the group's configured number of permits. A permit held beyond
// it is kept until Done.
func (p *Permit) SetCount(count int) { p.count = count }

// Acquire asks for a permit.
func (p *Permit) Acquire(now time.Duration) []Action {
	p.wanted = true
	return p.Tick(now)
}

// Check reports whether weights may be loaded right now.
func (p *Permit) Check(now time.Duration) bool {
	if !p.wanted || p.name == "" {
		return false
	}
	_, ok := p.leases.Check(p.name, now)
	return ok
}

// MinServing is how many of a group's replicas go on serving at the least while
// others load, whatever the number of permits.
const MinServing = 1

// EnoughServing reports whether the group can do without this replica while it loads.
// Others are the group's other replicas, up or not; serving are those of them that
// take work; share is the part of the group that is to go on serving, 0 to 1. As
// many as that part, rounded up, serve, at least KeepServing; but one may always
// load while all others serve.
//
// Permits alone bound only how many load. With as many permits as replicas all
// would load at once, and each request of those seconds would be refused. Of two
// that hold permits the one with the later grant waits for the earlier, and takes
// it for not serving; the log has one order for all. A group of one has no choice.
func (p *Permit) EnoughServing(others int, serving []string, share float64) bool {
	own, held := p.leases.table.Holder(p.name)
	if !held {
		return false
	}
	left := 0
	for _, id := range serving {
		if !p.leases.table.loadsBefore(id, own.Fence) {
			left++
		}
	}
	keep := max(MinServing, int(math.Ceil(share*float64(others+1))))
	return left >= min(keep, others)
}

// Release gives the permit back.
func (p *Permit) Release(now time.Duration) []Action {
	p.wanted = false
	if p.name == "" {
		return nil
	}
	name := p.name
	p.name = ""
	return p.leases.Release(name, now)
}

// Tick looks for a permit that can be claimed when there is none, or when the
// one that was tried went to another process.
func (p *Permit) Tick(now time.Duration) []Action {
	if !p.wanted || p.leases.Holds(p.name, now) {
		return nil
	}
	if p.name != "" && p.leases.CanClaim(p.name, now) {
		return nil
	}
	var out []Action
	if p.name != "" {
		out = p.leases.Release(p.name, now)
		p.name = ""
	}
	if n, ok := p.free(now); ok {
		p.name = n
		out = append(out, p.leases.Acquire(n, now)...)
	}
	return out
}

// free picks one of the claimable permits at random: a herd that all took the
// first one would need as many rounds as it has members.
func (p *Permit) free(now time.Duration) (Name, bool) {
	var names []Name
	for i := range p.count {
		if n := PermitName(i); p.leases.claimable(n, now) {
			names = append(names, n)
		}
	}
	if len(names) == 0 || !p.leases.caughtUp {
		return "", false
	}
	return names[p.rng.IntN(len(names))], true
}

// Holds reports whether a lease is granted to this process and not over.
func (l *Leases) Holds(n Name, now time.Duration) bool {
	h, ok := l.held[n]
	return ok && h.fence != 0 && now < h.until
}

// CanClaim reports whether this process's claim of a lease is under way or could be
// made now.
func (l *Leases) CanClaim(n Name, now time.Duration) bool {
	h, ok := l.held[n]
	return ok && h.wanted && (h.pending != 0 || l.claimable(n, now))
}
