package attempt

import (
	"cmp"
	"slices"
	"time"

	"skylarklead/internal/protocol"
)

// PoisonParams bound what one request may do to the engines.
type PoisonParams struct {
	// MaxCrashes is the strikes at which a request is given up, 2 or more. It runs
	// alone from one strike less on, so that the last crash is conclusive.
	MaxCrashes int
	// Pardons is how often a completion clears a request's strikes. Without a
	// bound, a request that crashes every other engine would go on for ever.
	Pardons uint32
	// Memory is how long a strike is remembered after the last crash.
	Memory time.Duration
	// AloneWait is how long a waiting suspect holds back others, AloneGap how
	// long they run freely after a suspect has ended. A crash makes suspects of
	// all that it cut off; without a gap they would take an engine one after the
	// other while everybody else waits.
	AloneWait time.Duration
	AloneGap  time.Duration
	// Max bounds the fingerprints remembered.
	Max int
	// Beat bounds the strikes in one heartbeat.
	Beat int
}

// DefaultPoisonParams remember for an hour.
var DefaultPoisonParams = PoisonParams{
	MaxCrashes: 3, Pardons: 2, Memory: time.Hour,
	AloneWait: 30 * time.Second, AloneGap: 5 * time.Second, Max: 4096, Beat: 32,
}

// ExclusiveFrom is the strikes from which on a request runs alone. With Limit at 2,
// every request that a crash cut off would take an engine for itself, though
// nearly all crashes have another cause: a restart of half a group then holds up
// everybody for seconds. One strike more costs a deadly request one more crash.
func (p PoisonParams) ExclusiveFrom() int { return p.MaxCrashes - 1 }

// VerdictKind is how a request may run.
type VerdictKind uint8

// The verdicts.
const (
	// VerdictClear: it runs beside others.
	VerdictClear VerdictKind = iota
	// VerdictExclusive: it has been running when engines crashed; nothing may run beside it,
	// so that one more crash is conclusive.
	VerdictExclusive
	// VerdictGivenUp: it is not run again for RetryAfter.
	VerdictGivenUp
)

var verdictNames = [...]string{"clear", "alone", "given_up"}

// String names the verdict as decision records have it.
func (k VerdictKind) String() string { return verdictNames[k] }

// Verdict is what a Poison says of a request.
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

// suspicion is what is held against one fingerprint.
//
// Invariant: (generation, count) only grows in lexical order, and givenUp is
// never unset, until the whole is forgotten after PoisonParams.Memory.
type suspicion struct {
	count      int
	generation uint32
	givenUp    bool
	struck     time.Duration
	changed    time.Duration
}

// PoisonTracker remembers which requests were running when engines crashed. Every
// endpoint process of a group has one: it judges as an owner, guards its own
// engine as an executor, and merges what its peers' heartbeats tell.
//
// Bound: with the strikes heard by all, a request that crashes every engine it
// runs on crashes Limit of them in Memory: Limit-1 crashes shared with whatever
// ran beside it, and one alone. Copies that already ran on k other engines when
// one of the shared crashes happened, and owners that have not heard of it yet,
// add at most one crash each, for each of the Limit-1. A request that sometimes completes crashes at most
// Pardons more.
type PoisonTracker struct {
	params  PoisonParams
	known   map[uint64]*suspicion
	running map[uint64]int
	total   int
	// lost counts the runs that a crash took and that Ended has yet to be told
	// of, by fingerprint.
	lost map[uint64]int
	// waiting has the suspects that asked to run, and since when.
	waiting map[uint64]time.Duration
	// freeUntil is the end of the gap after a suspect's run.
	freeUntil time.Duration
	cursor    uint64
}

// NewPoisonTracker returns an empty memory.
func NewPoisonTracker(p PoisonParams) *PoisonTracker {
	return &PoisonTracker{params: p, known: map[uint64]*suspicion{}, running: map[uint64]int{}, lost: map[uint64]int{}, waiting: map[uint64]time.Duration{}}
}

// Judge tells how a request may run.
func (p *PoisonTracker) Judge(fingerprint uint64, now time.Duration) Verdict {
	s := p.live(fingerprint, now)
	switch {
	case s != nil && s.givenUp:
		return Verdict{Kind: VerdictGivenUp, RetryAfter: s.struck + p.params.Memory - now}
	case s != nil && s.count >= p.params.ExclusiveFrom():
		return Verdict{Kind: VerdictExclusive}
	default:
		return Verdict{Kind: VerdictClear}
	}
}

// StartDecision is whether an executor may hand a request to its engine now.
type StartDecision uint8

// The gate's answers.
const (
	// StartNow: it is counted as running; call Ended when it no longer is.
	StartNow StartDecision = iota
	// StartWait: ask again when something has ended.
	StartWait
	// StartRefused: it was given up.
	StartRefused
)

// Start asks to hand a request to this process's engine. A suspect waits until
// nothing runs, and holds back everything else until it has ended, was withdrawn
// or has waited for AloneWait. Two copies of one request count as two.
func (p *PoisonTracker) Start(fingerprint uint64, now time.Duration) StartDecision {
	switch p.Judge(fingerprint, now).Kind {
	case VerdictGivenUp:
		delete(p.waiting, fingerprint)
		return StartRefused
	case VerdictExclusive:
		if p.total > 0 {
			if _, ok := p.waiting[fingerprint]; !ok {
				p.waiting[fingerprint] = now
			}
			return StartWait
		}
		delete(p.waiting, fingerprint)
	default:
		delete(p.waiting, fingerprint)
		if p.heldBack(now) || p.aloneRuns(now) {
			return StartWait
		}
	}
	p.running[fingerprint]++
	p.total++
	return StartNow
}

// Withdraw says that a request that had to wait waits no longer.
func (p *PoisonTracker) Withdraw(fingerprint uint64) { delete(p.waiting, fingerprint) }

func (p *PoisonTracker) heldBack(now time.Duration) bool {
	if now < p.freeUntil {
		return false
	}
	for f, since := range p.waiting {
		if now-since < p.params.AloneWait {
			return true
		}
		delete(p.waiting, f) // whoever asked for it is gone, or gave up
	}
	return false
}

func (p *PoisonTracker) aloneRuns(now time.Duration) bool {
	if p.total != 1 {
		return false
	}
	for f := range p.running {
		return p.Judge(f, now).Kind != VerdictClear
	}
	return false
}

// RecordEnd says that a request is no longer at the engine; it is called once for
// each GateOpen, also for what a crash took. completed clears the strikes.
func (p *PoisonTracker) RecordEnd(fingerprint uint64, completed bool, now time.Duration) {
	if p.lost[fingerprint] > 0 {
		// The end of a run before the crash. Taken for that of a copy started
		// since, it would let others start beside a suspect.
		if p.lost[fingerprint]--; p.lost[fingerprint] == 0 {
			delete(p.lost, fingerprint)
		}
		return
	}
	if p.running[fingerprint] == 0 {
		return
	}
	if p.aloneRuns(now) {
		p.freeUntil = now + p.params.AloneGap
	}
	p.total--
	if p.running[fingerprint]--; p.running[fingerprint] == 0 {
		delete(p.running, fingerprint)
	}
	s := p.live(fingerprint, now)
	if !completed || s == nil || s.givenUp || s.count == 0 || s.generation >= p.params.Pardons {
		return
	}
	s.generation++
	s.count = 0
	s.changed = now
}

// RecordCrash says that this process's engine was lost with all that it ran. Only a
// request that ran alone gets the last strike: one that happened to run beside
// different culprits must not be given up in their place.
func (p *PoisonTracker) RecordCrash(now time.Duration) []protocol.CrashCount {
	alone := p.total == 1
	strikes := make([]protocol.CrashCount, 0, len(p.running))
	for f, n := range p.running {
		p.lost[f] += n
		s := p.live(f, now)
		if s == nil {
			s = p.remember(f, now)
		}
		if s.count < p.params.ExclusiveFrom() || alone {
			s.count++
		}
		s.givenUp = s.givenUp || s.count >= p.params.MaxCrashes
		s.struck, s.changed = now, now
		strikes = append(strikes, s.strike(f, now))
	}
	clear(p.running)
	p.total = 0
	slices.SortFunc(strikes, func(a, b protocol.CrashCount) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return strikes
}
