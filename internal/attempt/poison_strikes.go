package attempt

import (
	"cmp"
	"slices"
	"time"

	"skylarklead/internal/protocol"
)

// Merge merges a peer's strikes. Merging is idempotent and in any order.
func (p *PoisonTracker) Merge(strikes []protocol.CrashCount, now time.Duration) {
	for _, h := range strikes {
		struck := now - millis(max(h.AgeMs, 0))
		if now-struck >= p.params.Memory {
			continue
		}
		s := p.live(h.Fingerprint, now)
		if s == nil {
			s = p.remember(h.Fingerprint, now)
			s.struck = struck
		}
		s.merge(h, struck, now)
	}
}

func (s *suspicion) merge(h protocol.CrashCount, struck, now time.Duration) {
	newer := h.Generation > s.generation || h.Generation == s.generation && h.Count > s.count
	if newer {
		s.generation, s.count = h.Generation, h.Count
	}
	if newer || h.GivenUp && !s.givenUp {
		s.changed = now
		s.struck = max(s.struck, struck)
	}
	s.givenUp = s.givenUp || h.GivenUp
}

// HeartbeatStrikes returns what to put into the next heartbeat: the latest changes first,
// then the others in turn, so that a peer that missed some gets them again.
func (p *PoisonTracker) HeartbeatStrikes(now time.Duration) []protocol.CrashCount {
	p.sweep(now)
	if len(p.known) == 0 {
		return nil
	}
	fingerprints := make([]uint64, 0, len(p.known))
	for f := range p.known {
		fingerprints = append(fingerprints, f)
	}
	slices.SortFunc(fingerprints, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(p.known[b].changed, p.known[a].changed), cmp.Compare(a, b))
	})
	if fresh := p.params.Beat / 2; len(fingerprints) > p.params.Beat {
		rest := fingerprints[fresh:]
		slices.Sort(rest)
		at, _ := slices.BinarySearch(rest, p.cursor+1)
		rest = slices.Concat(rest[at:], rest[:at])[:p.params.Beat-fresh]
		p.cursor = rest[len(rest)-1]
		fingerprints = slices.Concat(fingerprints[:fresh], rest)
	}
	strikes := make([]protocol.CrashCount, len(fingerprints))
	for i, f := range fingerprints {
		strikes[i] = p.known[f].strike(f, now)
	}
	return strikes
}

func (s *suspicion) strike(fingerprint uint64, now time.Duration) protocol.CrashCount {
	return protocol.CrashCount{
		Fingerprint: fingerprint, Count: s.count, GivenUp: s.givenUp,
		Generation: s.generation, AgeMs: (now - s.struck).Milliseconds(),
	}
}

// live returns a suspicion that is not too old.
func (p *PoisonTracker) live(fingerprint uint64, now time.Duration) *suspicion {
	s, ok := p.known[fingerprint]
	if !ok || now-s.struck >= p.params.Memory {
		return nil
	}
	return s
}

func (p *PoisonTracker) remember(fingerprint uint64, now time.Duration) *suspicion {
	if len(p.known) >= p.params.Max {
		p.sweep(now)
		p.evict()
	}
	s := &suspicion{struck: now, changed: now}
	p.known[fingerprint] = s
	return s
}

func (p *PoisonTracker) sweep(now time.Duration) {
	for f, s := range p.known {
		if now-s.struck >= p.params.Memory {
			delete(p.known, f)
		}
	}
}

// evict makes room by forgetting the oldest suspicion, given-up ones last.
func (p *PoisonTracker) evict() {
	if len(p.known) < p.params.Max {
		return
	}
	var oldest uint64
	var at *suspicion
	for f, s := range p.known {
		if at == nil || s.before(at) {
			oldest, at = f, s
		}
	}
	delete(p.known, oldest)
}

func (s *suspicion) before(t *suspicion) bool {
	if s.givenUp != t.givenUp {
		return t.givenUp
	}
	return s.struck < t.struck
}
