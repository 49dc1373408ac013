package attempt

import (
	"cmp"
	"slices"
	"time"

	"skylarklead/internal/protocol"
)

// Merge merges a peer's crash counts. It is idempotent and independent of order.
func (p *PoisonTracker) Merge(crashCounts []protocol.CrashCount, now time.Duration) {
	for _, received := range crashCounts {
		crashedAt := now - millis(max(received.AgeMs, 0))
		if now-crashedAt >= p.params.TTL {
			continue
		}
		r := p.recent(received.Fingerprint, now)
		if r == nil {
			r = p.addRecord(received.Fingerprint, now)
			r.lastCrash = crashedAt
		}
		r.merge(received, crashedAt, now)
	}
}

func (r *crashRecord) merge(received protocol.CrashCount, crashedAt, now time.Duration) {
	newer := received.Generation > r.generation || received.Generation == r.generation && received.Count > r.count
	if newer {
		r.generation, r.count = received.Generation, received.Count
	}
	if r.mergeLost(received) || newer || received.GivenUp && !r.givenUp {
		r.changedAt = now
		r.lastCrash = max(r.lastCrash, crashedAt)
	}
	r.givenUp = r.givenUp || received.GivenUp
}

// mergeLost merges the engines that were lost. It reports whether they changed.
func (r *crashRecord) mergeLost(received protocol.CrashCount) bool {
	if received.LostGeneration < r.lostGeneration {
		return false
	}
	changed := received.LostGeneration > r.lostGeneration
	if changed {
		r.lost, r.lostGeneration = nil, received.LostGeneration
	}
	for _, engine := range received.Lost[:min(len(received.Lost), protocol.MaxLostEngines)] {
		changed = r.addLost(engine) || changed
	}
	return changed
}

// addLost adds a lost engine, unless it is known or enough others are. It reports whether it did.
func (r *crashRecord) addLost(engine uint64) bool {
	at, known := slices.BinarySearch(r.lost, engine)
	if known || len(r.lost) >= protocol.MaxLostEngines {
		return false
	}
	r.lost = slices.Insert(r.lost, at, engine)
	return true
}

// HeartbeatCrashCounts returns the crash counts for the next heartbeat: the latest changes
// first, then the others in rotation, so that a peer that missed some receives them
// again.
func (p *PoisonTracker) HeartbeatCrashCounts(now time.Duration) []protocol.CrashCount {
	p.sweep(now)
	if len(p.records) == 0 {
		return nil
	}
	fingerprints := make([]uint64, 0, len(p.records))
	for f := range p.records {
		fingerprints = append(fingerprints, f)
	}
	slices.SortFunc(fingerprints, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(p.records[b].changedAt, p.records[a].changedAt), cmp.Compare(a, b))
	})
	if newest := p.params.MaxPerHeartbeat / 2; len(fingerprints) > p.params.MaxPerHeartbeat {
		others := fingerprints[newest:]
		slices.Sort(others)
		at, _ := slices.BinarySearch(others, p.cursor+1)
		others = slices.Concat(others[at:], others[:at])[:p.params.MaxPerHeartbeat-newest]
		p.cursor = others[len(others)-1]
		fingerprints = slices.Concat(fingerprints[:newest], others)
	}
	crashCounts := make([]protocol.CrashCount, len(fingerprints))
	for i, f := range fingerprints {
		crashCounts[i] = p.records[f].toCrashCount(f, now)
	}
	return crashCounts
}

func (r *crashRecord) toCrashCount(fingerprint uint64, now time.Duration) protocol.CrashCount {
	return protocol.CrashCount{
		Fingerprint: fingerprint, Count: r.count, GivenUp: r.givenUp,
		Generation: r.generation, AgeMs: (now - r.lastCrash).Milliseconds(),
		Lost: slices.Clone(r.lost), LostGeneration: r.lostGeneration,
	}
}

// recent returns a record that has not expired.
func (p *PoisonTracker) recent(fingerprint uint64, now time.Duration) *crashRecord {
	r, ok := p.records[fingerprint]
	if !ok || now-r.lastCrash >= p.params.TTL {
		return nil
	}
	return r
}

func (p *PoisonTracker) addRecord(fingerprint uint64, now time.Duration) *crashRecord {
	if len(p.records) >= p.params.MaxEntries {
		p.sweep(now)
		p.evict()
	}
	r := &crashRecord{lastCrash: now, changedAt: now}
	p.records[fingerprint] = r
	return r
}

func (p *PoisonTracker) sweep(now time.Duration) {
	for f, r := range p.records {
		if now-r.lastCrash >= p.params.TTL {
			delete(p.records, f)
		}
	}
}

// evict makes room by removing the oldest record, given-up ones last.
func (p *PoisonTracker) evict() {
	if len(p.records) < p.params.MaxEntries {
		return
	}
	var oldest uint64
	var at *crashRecord
	for f, r := range p.records {
		if at == nil || r.evictBefore(at) {
			oldest, at = f, r
		}
	}
	delete(p.records, oldest)
}

func (r *crashRecord) evictBefore(t *crashRecord) bool {
	if r.givenUp != t.givenUp {
		return t.givenUp
	}
	return r.lastCrash < t.lastCrash
}
