package attempt

import (
	"cmp"
	"slices"
	"time"

	"skylarklead/internal/protocol"
)

// PoisonParams configures a PoisonTracker.
type PoisonParams struct {
	// MaxCrashes is the number of counted crashes at which a request is given up (not run
	// again until TTL has passed), 2 or more. With one crash less it runs exclusively, so
	// that the last crash is conclusive.
	MaxCrashes int
	// MaxClears is how often a completion resets a request's crash count. Without a
	// bound, a request that crashes every other engine would go on for ever.
	MaxClears uint32
	// TTL is how long a request's crashes are remembered after the last one.
	TTL time.Duration
	// ExclusiveWait is how long a waiting suspect blocks other requests. ExclusiveGap
	// is how long others run without restriction after a suspect has ended. A crash
	// makes suspects of all requests that were running; without a gap they would
	// occupy an engine one after another while all others wait.
	ExclusiveWait time.Duration
	ExclusiveGap  time.Duration
	// MaxEntries bounds the fingerprints remembered.
	MaxEntries int
	// MaxPerHeartbeat bounds the crash counts in one heartbeat.
	MaxPerHeartbeat int
}

// DefaultPoisonParams remembers crashes for an hour.
var DefaultPoisonParams = PoisonParams{
	MaxCrashes: 3, MaxClears: 2, TTL: time.Hour,
	ExclusiveWait: 30 * time.Second, ExclusiveGap: 5 * time.Second, MaxEntries: 4096, MaxPerHeartbeat: 32,
}

// ExclusiveFrom is the crash count from which on a request runs exclusively. With
// MaxCrashes at 2, every request that was running during a crash would occupy an
// engine alone, although nearly all crashes have another cause: a restart of half a
// group would then delay all requests for seconds. The price of a higher bound is one
// more crash by a poison request.
func (p PoisonParams) ExclusiveFrom() int { return p.MaxCrashes - 1 }

// VerdictKind says how a request may run.
type VerdictKind uint8

// Values of VerdictKind.
const (
	// VerdictClear: it runs beside others.
	VerdictClear VerdictKind = iota
	// VerdictExclusive: it was running when engines crashed. No other request may run
	// beside it, so that one more crash is conclusive.
	VerdictExclusive
	// VerdictGivenUp: it is not run again for RetryAfter.
	VerdictGivenUp
)

var verdictNames = [...]string{"clear", "alone", "given_up"}

// String returns the verdict's name in decision records.
func (k VerdictKind) String() string { return verdictNames[k] }

// Verdict is the result of Judge.
type Verdict struct {
	Kind       VerdictKind
	RetryAfter time.Duration
}

// Refusal is the final answer to a request that was given up.
func (v Verdict) Refusal() *protocol.Refusal {
	return &protocol.Refusal{
		Code: protocol.CodeGivenUp, Message: "this request crashed the engines that ran it",
		Ran: protocol.NotRun, RetryAfterMs: v.RetryAfter.Milliseconds(),
	}
}

// crashRecord holds the crashes counted against one fingerprint.
//
// Invariant: (generation, count) only grows in lexical order, and givenUp is never
// reset, until the record is removed after PoisonParams.TTL.
type crashRecord struct {
	count      int
	generation uint32
	// lost identifies the engines that were lost under it since its last completion, sorted;
	// lostGeneration counts the completions. Engines lost at the same moment give one count each, of
	// which the group keeps the largest, so that count alone doesn't tell how many they were.
	lost           []uint64
	lostGeneration uint32
	givenUp        bool
	lastCrash      time.Duration
	changedAt      time.Duration
}

// PoisonTracker remembers which requests were running when engines crashed. Every
// endpoint process of a group has one: as an owner it judges requests, as an executor
// it protects its own engine, and it merges the crash counts in its peers' heartbeats.
//
// Bound: if all peers receive the crash counts, a request that crashes every engine it runs
// on crashes MaxCrashes of them within TTL: MaxCrashes-1 in crashes shared with
// whatever ran beside it, and one while running exclusively. Copies that were already
// running on k other engines during one of the shared crashes, and owners that have
// not received it yet, add at most one crash each, for each of the MaxCrashes-1. A
// request that sometimes completes crashes at most MaxClears more.
type PoisonTracker struct {
	params       PoisonParams
	records      map[uint64]*crashRecord
	running      map[uint64]int
	runningTotal int
	// lostRuns counts, by fingerprint, the runs that a crash ended and for which
	// RecordEnd has not been called yet.
	lostRuns map[uint64]int
	// waitingSuspects holds the suspects that asked to run, and since when.
	waitingSuspects map[uint64]time.Duration
	// gapUntil is the end of the gap after a suspect's run.
	gapUntil time.Duration
	cursor   uint64
}

// NewPoisonTracker returns an empty tracker.
func NewPoisonTracker(p PoisonParams) *PoisonTracker {
	return &PoisonTracker{params: p, records: map[uint64]*crashRecord{}, running: map[uint64]int{}, lostRuns: map[uint64]int{}, waitingSuspects: map[uint64]time.Duration{}}
}

// Judge returns how a request may run.
func (p *PoisonTracker) Judge(fingerprint uint64, now time.Duration) Verdict {
	r := p.recent(fingerprint, now)
	switch {
	case r != nil && r.givenUp:
		return Verdict{Kind: VerdictGivenUp, RetryAfter: r.lastCrash + p.params.TTL - now}
	case r != nil && (r.count >= p.params.ExclusiveFrom() || len(r.lost) >= protocol.MaxLostEngines):
		return Verdict{Kind: VerdictExclusive}
	default:
		return Verdict{Kind: VerdictClear}
	}
}

// StartDecision says whether an executor may send a request to its engine now.
type StartDecision uint8

// Values of StartDecision.
const (
	// StartNow: it is counted as running; call RecordEnd when it no longer is.
	StartNow StartDecision = iota
	// StartWait: ask again when another request has ended.
	StartWait
	// StartRefused: it was given up.
	StartRefused
)

// Start asks to send a request to this process's engine. A suspect waits until nothing
// runs, and blocks all other requests until it has ended, was withdrawn or has waited
// for ExclusiveWait. Two copies of one request count as two.
func (p *PoisonTracker) Start(fingerprint uint64, now time.Duration) StartDecision {
	switch p.Judge(fingerprint, now).Kind {
	case VerdictGivenUp:
		delete(p.waitingSuspects, fingerprint)
		return StartRefused
	case VerdictExclusive:
		if p.runningTotal > 0 {
			if _, ok := p.waitingSuspects[fingerprint]; !ok {
				p.waitingSuspects[fingerprint] = now
			}
			return StartWait
		}
		delete(p.waitingSuspects, fingerprint)
	default:
		delete(p.waitingSuspects, fingerprint)
		if p.blockedBySuspect(now) || p.suspectRunning(now) {
			return StartWait
		}
	}
	p.running[fingerprint]++
	p.runningTotal++
	return StartNow
}

// Withdraw records that a waiting request no longer waits.
func (p *PoisonTracker) Withdraw(fingerprint uint64) { delete(p.waitingSuspects, fingerprint) }

func (p *PoisonTracker) blockedBySuspect(now time.Duration) bool {
	if now < p.gapUntil {
		return false
	}
	for f, since := range p.waitingSuspects {
		if now-since < p.params.ExclusiveWait {
			return true
		}
		delete(p.waitingSuspects, f) // its caller is gone or has given up
	}
	return false
}

func (p *PoisonTracker) suspectRunning(now time.Duration) bool {
	if p.runningTotal != 1 {
		return false
	}
	for f := range p.running {
		return p.Judge(f, now).Kind != VerdictClear
	}
	return false
}

// RecordEnd records that a request is no longer at the engine. It is called once for
// each StartNow, including runs that a crash ended. completed resets the crash count.
func (p *PoisonTracker) RecordEnd(fingerprint uint64, completed bool, now time.Duration) {
	if p.lostRuns[fingerprint] > 0 {
		// This is the end of a run before the crash. Counted as the end of a copy
		// started since, it would let others start beside a suspect.
		if p.lostRuns[fingerprint]--; p.lostRuns[fingerprint] == 0 {
			delete(p.lostRuns, fingerprint)
		}
		return
	}
	if p.running[fingerprint] == 0 {
		return
	}
	if p.suspectRunning(now) {
		p.gapUntil = now + p.params.ExclusiveGap
	}
	p.runningTotal--
	if p.running[fingerprint]--; p.running[fingerprint] == 0 {
		delete(p.running, fingerprint)
	}
	r := p.recent(fingerprint, now)
	if !completed || r == nil || r.givenUp {
		return
	}
	if len(r.lost) > 0 {
		r.lost, r.changedAt = nil, now
		r.lostGeneration++
	}
	if r.count == 0 || r.generation >= p.params.MaxClears {
		return
	}
	r.generation++
	r.count = 0
	r.changedAt = now
}

// RecordCrash records that this process's engine was lost with all requests that it
// ran; lost identifies the engine's incarnation over the group. Only a request that ran alone is charged
// with the last crash: one that happened to run beside several culprits must not be given up in their
// place.
func (p *PoisonTracker) RecordCrash(lost uint64, now time.Duration) []protocol.CrashCount {
	ranAlone := p.runningTotal == 1
	crashCounts := make([]protocol.CrashCount, 0, len(p.running))
	for f, n := range p.running {
		p.lostRuns[f] += n
		r := p.recent(f, now)
		if r == nil {
			r = p.addRecord(f, now)
		}
		if r.count < p.params.ExclusiveFrom() || ranAlone {
			r.count++
		}
		r.givenUp = r.givenUp || r.count >= p.params.MaxCrashes
		r.addLost(lost)
		r.lastCrash, r.changedAt = now, now
		crashCounts = append(crashCounts, r.toCrashCount(f, now))
	}
	clear(p.running)
	p.runningTotal = 0
	slices.SortFunc(crashCounts, func(a, b protocol.CrashCount) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return crashCounts
}
