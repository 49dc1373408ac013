package runcopy

import (
	"net"
	"time"

	"skylarklead/internal/rendezvous"
)

const (
	// partDelay is how long a part of a copy may take to reach its replica.
	partDelay = 65 * time.Millisecond
	// maxMemoryShare is the part of the memory that running requests leave at a replica that
	// backups may take. The rest is for cached prefixes: what they lose is prefilled again.
	maxMemoryShare = 0.15
	// maxBacklogShare is the part of a run's objective that the prompts ahead at its replica, or at
	// the target, may take. Copies share links and memory with the requests of a replica that is
	// behind, and slow down all of them for the sake of a few.
	maxBacklogShare = 1.0
)

// MinWork returns for how long a replica must have been seen at work on a run before a copy of the run
// surely exists, if parts of copies are sent at this interval and the target has room.
func MinWork(copyInterval time.Duration) time.Duration { return copyInterval + partDelay }

// Run is a run that may get a backup.
type Run struct {
	// RequestID identifies the run; it also spreads equal choices over the candidates.
	RequestID uint64
	// Repeatable runs may start again elsewhere and need no backup.
	Repeatable bool
	// Tokens is the memory that the run takes at its end.
	Tokens int
	// ExpectedTime is how long it is expected to run.
	ExpectedTime time.Duration
	// CopyInterval is the longest pause between two parts of its copy.
	CopyInterval time.Duration
	// Objective is the time to the first event that its caller expects.
	Objective time.Duration
	// Version is the version of the weights that it runs on.
	Version uint64
	// Software is the version of its replica's software, "" if unknown: then it gets no backup.
	Software string
	// Source is the replica that runs it.
	Source Place
}

// Place says where a replica is.
type Place struct {
	ID string
	// Address is "ip:port".
	Address       string
	FailureDomain string
}

// Candidate is a replica of the run's service and model that takes requests.
type Candidate struct {
	Place
	Version uint64
	// Software is the version of its software, "" if unknown.
	Software string
	// FreeTokens is the memory that running requests are expected to leave, Backlog the time until
	// the prompts that were sent there are prefilled.
	FreeTokens float64
	Backlog    time.Duration
	// Faulty is set after recent faults.
	Faulty bool
	// LoadIn is the time until it is to load other weights, valid if LoadPlanned.
	LoadIn      time.Duration
	LoadPlanned bool
}

// SkipReason says why a run gets no backup; "" if it gets one.
type SkipReason string

// Values of SkipReason.
const (
	SkipRepeatable SkipReason = "repeatable"
	SkipShort      SkipReason = "short"
	SkipBusy       SkipReason = "busy"
	SkipNoTarget   SkipReason = "no_target"
)

// Wanted says why a run gets no backup whatever the replicas, "" if it gets one.
func Wanted(run *Run) SkipReason {
	switch {
	case run.Repeatable:
		return SkipRepeatable
	case run.ExpectedTime < MinWork(run.CopyInterval):
		return SkipShort // it ends before its copy may be used
	}
	return ""
}

// Choose returns the index of the candidate that is to keep the backup of a run that wants one; the source is among the
// candidates. Of those with room it
// takes one that doesn't load other weights before the run's expected end if there is one, as the load
// discards the copy; then one in the source's failure domain, as links between domains cost more; then
// the one with the fewest of this entry's backups. sharers is how many entries keep backups at the
// candidates; the others are assumed to keep as many as this one.
func Choose(run *Run, candidates []Candidate, ledger *Ledger, sharers int, now time.Duration) (int, SkipReason) {
	maxBacklog := time.Duration(maxBacklogShare * float64(run.Objective))
	mean := ledger.Total(now) / max(1, len(candidates))
	best, bestRank := -1, rank{}
	for i := range candidates {
		c := &candidates[i]
		if c.ID == run.Source.ID && c.Backlog > maxBacklog {
			return -1, SkipBusy
		}
		if !suits(run, c) || c.Backlog > maxBacklog {
			continue
		}
		held := ledger.Held(c.ID, now)
		if float64(max(held, mean)*sharers+run.Tokens) > maxMemoryShare*c.FreeTokens {
			continue
		}
		r := rank{c.LoadPlanned && c.LoadIn <= run.ExpectedTime, c.FailureDomain != run.Source.FailureDomain, held, rendezvous.Weight(run.RequestID, c.ID)}
		if best < 0 || r.before(bestRank) {
			best, bestRank = i, r
		}
	}
	if best < 0 {
		return -1, SkipNoTarget
	}
	return best, ""
}

// suits reports whether a candidate may keep the run's backup, but for its memory.
func suits(run *Run, c *Candidate) bool {
	if c.ID == run.Source.ID || c.Version != run.Version || c.Faulty || sameMachine(c.Address, run.Source.Address) {
		return false
	}
	if c.Software == "" || c.Software != run.Software {
		return false
	}
	return !c.LoadPlanned || c.LoadIn >= MinWork(run.CopyInterval)
}

// sameMachine reports whether two addresses have the same host: a crash of the machine would take
// the run and its backup.
func sameMachine(a, b string) bool {
	hostA, _, errA := net.SplitHostPort(a)
	hostB, _, errB := net.SplitHostPort(b)
	return errA != nil || errB != nil || hostA == hostB
}

// rank orders candidates, the best first.
type rank struct {
	loadsFirst  bool
	otherDomain bool
	held        int
	weight      uint64
}

func (r rank) before(o rank) bool {
	if r.loadsFirst != o.loadsFirst {
		return o.loadsFirst
	}
	if r.otherDomain != o.otherDomain {
		return o.otherDomain
	}
	if r.held != o.held {
		return r.held < o.held
	}
	return r.weight > o.weight
}
