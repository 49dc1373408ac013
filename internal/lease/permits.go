package lease

import (
	"math"
	"math/rand/v2"
	"time"
)

// Permit acquires any one of a group's permits to load weights for one process. It
// claims one free permit at a time and keeps the one it gets until Release.
type Permit struct {
	leases  *Leases
	rng     *rand.Rand
	permits int
	wanted  bool
	name    Name
}

// NewPermit returns a Permit for one of count permits, on the leases of the same process.
func NewPermit(leases *Leases, count int, rng *rand.Rand) *Permit {
	return &Permit{leases: leases, rng: rng, permits: count}
}

// SetCount sets the group's configured number of permits. A permit held beyond it is
// kept until Release.
func (p *Permit) SetCount(count int) { p.permits = count }

// Acquire starts claiming a permit.
func (p *Permit) Acquire(now time.Duration) []Action {
	p.wanted = true
	return p.Tick(now)
}

// Check reports whether a permit is held, with enough time left to start loading.
func (p *Permit) Check(now time.Duration) bool {
	if !p.wanted || p.name == "" {
		return false
	}
	_, ok := p.leases.Check(p.name, now)
	return ok
}

// MinServing is the least number of a group's replicas that continue to serve while
// others load, whatever the number of permits.
const MinServing = 1

// EnoughServing reports whether enough of the group's other replicas serve while this one
// loads. others is the number of the group's other replicas, up or not; serving are those
// of them that accept work; share is the fraction of the group that must continue to serve,
// 0 to 1, rounded up to whole replicas and at least MinServing. One replica may always load
// while all others serve.
//
// Permits alone bound only how many replicas load. With as many permits as replicas all
// would load at once, and every request meanwhile would be refused. Of two permit holders
// the one with the later grant counts the earlier one as not serving and waits for it; the
// order of grants is the same for all readers of the log. In a group of one it is true once
// the permit is held.
func (p *Permit) EnoughServing(others int, serving []string, share float64) bool {
	own, held := p.leases.table.Holder(p.name)
	if !held {
		return false
	}
	remaining := 0
	for _, id := range serving {
		if !p.leases.table.holdsEarlierPermit(id, own.Fence) {
			remaining++
		}
	}
	minimum := max(MinServing, int(math.Ceil(share*float64(others+1))))
	return remaining >= min(minimum, others)
}

// Release releases the permit.
func (p *Permit) Release(now time.Duration) []Action {
	p.wanted = false
	if p.name == "" {
		return nil
	}
	name := p.name
	p.name = ""
	return p.leases.Release(name, now)
}

// Tick claims another permit if none is held or being claimed, for example because the
// last one tried was granted to another process.
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
	if n, ok := p.pickClaimable(now); ok {
		p.name = n
		out = append(out, p.leases.Acquire(n, now)...)
	}
	return out
}

// pickClaimable picks one of the claimable permits at random. If many processes that
// start at once all claimed the first one, they would need as many rounds as there are
// processes.
func (p *Permit) pickClaimable(now time.Duration) (Name, bool) {
	var names []Name
	for i := range p.permits {
		if n := PermitName(i); p.leases.claimable(n, now) {
			names = append(names, n)
		}
	}
	if len(names) == 0 || !p.leases.caughtUp {
		return "", false
	}
	return names[p.rng.IntN(len(names))], true
}

// Holds reports whether this process holds a lease that has not expired.
func (l *Leases) Holds(n Name, now time.Duration) bool {
	s, ok := l.states[n]
	return ok && s.fence != 0 && now < s.expiresAt
}

// CanClaim reports whether this process wants a lease and its claim is in flight or could
// be sent now.
func (l *Leases) CanClaim(n Name, now time.Duration) bool {
	s, ok := l.states[n]
	return ok && s.wanted && (s.pendingSeq != 0 || l.claimable(n, now))
}
