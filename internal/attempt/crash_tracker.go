package attempt

import (
	"math"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// CrashTrackerParams configures a CrashTracker.
type CrashTrackerParams struct {
	// MaxCrashes is the number of crashes after which a key is given up, MaxCrashesSound that of a
	// key with which a good answer was given within SoundWindow.
	MaxCrashes, MaxCrashesSound int
	SoundWindow                 time.Duration
	// SoundQuiet is how long after a good answer with a key it isn't given up: what sound requests
	// share has good answers between crashes.
	SoundQuiet time.Duration
	// MaxChildren is the number of keys given up below a key after which it is given up itself,
	// MaxChildrenSound that of a key with a good answer within SoundWindow.
	MaxChildren, MaxChildrenSound int
	// TTL is how long the crashes of a key are remembered after the last one.
	TTL time.Duration
	// TrialAfter is how long after a key was given up one request with it may run to find out
	// whether that still holds. The time doubles with each trial.
	TrialAfter time.Duration
	// MaxLateRuns bounds the runs with a key, trials included, later than LateAfter after the loss that
	// is the MaxCrashes-th of all.
	MaxLateRuns int
	LateAfter   time.Duration
	// CorrelationWindow is how far apart the broken run and the loss of its replica
	// may be detected and still count as one crash.
	CorrelationWindow time.Duration
	// MaxEntries bounds the keys remembered, and the replicas.
	MaxEntries int
}

// DefaultCrashTrackerParams gives a key up after three crashes. A crash resets
// connections at once, while the loss of a whole machine is detected within a second.
var DefaultCrashTrackerParams = CrashTrackerParams{
	MaxCrashes: 3, MaxCrashesSound: 5, SoundWindow: time.Minute, SoundQuiet: 3 * time.Second,
	MaxChildren: 2, MaxChildrenSound: 4,
	TTL: time.Hour, TrialAfter: time.Minute, MaxLateRuns: 3, LateAfter: 3 * time.Second,
	CorrelationWindow: 2 * time.Second, MaxEntries: 4096,
}

// RequestKeys identify what may be the cause of a crash in a request.
type RequestKeys struct {
	// Parts are the shared parts of its prompt, the first one first.
	Parts []uint64
	// Fingerprint identifies the whole request, regardless of how and how often it arrives.
	Fingerprint uint64
}

// all returns the keys, the widest first.
func (k RequestKeys) all() []uint64 {
	return append(slices.Clone(k.Parts), k.Fingerprint)
}

// CrashReport says that a replica was lost while it ran a request.
type CrashReport struct {
	// Fingerprint identifies the request.
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Replica is the incarnation that was lost.
	Replica string `cbor:"2,keyasint"`
	// Parts are the shared parts of the request's prompt that may be the cause.
	Parts []uint64 `cbor:"3,keyasint,omitempty"`
	// RanMs is for how long the request had run, in whole milliseconds; 0 for less, or if unknown.
	RanMs uint32 `cbor:"4,keyasint,omitempty"`
	// GivenUp is set if the key in Fingerprint, of a request or a part, is given up.
	GivenUp bool `cbor:"5,keyasint,omitempty"`
	// Together is set if the loss counts for none of the keys at the entry that reports it, since the
	// run overlaps with one that counts. Entries of older builds don't send it.
	Together bool `cbor:"6,keyasint,omitempty"`
	// Reporter identifies the entry that ran the request, 0 if unknown: entries of older builds don't send
	// it. Which runs of one entry overlapped is known to that entry alone, as reports take a time to
	// arrive.
	Reporter uint64 `cbor:"7,keyasint,omitempty"`
	// AgeMs is how long ago the run ended or, if GivenUp is set, the last run that counts, when the report was made,
	// in whole milliseconds. Entries of older builds don't send it.
	AgeMs uint32 `cbor:"8,keyasint,omitempty"`
}

// maxReportParts bounds the parts of a report.
const maxReportParts = 8

// Valid reports whether a decoded report is complete.
func (r *CrashReport) Valid() bool { return r.Replica != "" && len(r.Parts) <= maxReportParts }

// Aged returns the report as it is some time after it was made.
func (r CrashReport) Aged(by time.Duration) CrashReport {
	r.AgeMs = wholeMs(time.Duration(r.AgeMs)*time.Millisecond + by)
	return r
}

// Age is how long ago the run ended, as far as the report says.
func (r *CrashReport) Age() time.Duration { return time.Duration(r.AgeMs) * time.Millisecond }

// wholeMs returns a time in whole milliseconds, 0 for one below 0.
func wholeMs(d time.Duration) uint32 { return uint32(min(max(0, d.Milliseconds()), math.MaxUint32)) }

func (r *CrashReport) keys() RequestKeys {
	return RequestKeys{Parts: r.Parts, Fingerprint: r.Fingerprint}
}

// CrashTracker finds what crashes replicas among the requests that entries dispatch directly: it
// remembers which requests were running at replicas that were lost, and gives up a whole request, or a
// part of a prompt, with which that happened too often. What crashes whatever runs it arrives again, by
// its caller's retries or in other requests, at any entry, and would take down one replica after
// another; it shows as replicas that restart in turn without another cause.
//
// A run that merely was beside the cause is told from it in three ways. Replicas lost at the same
// moment are one crash: of runs with a key that overlap in time one counts. A
// good answer clears all keys of its request, at all entries. And crashes of runs with a key that is
// given up count for that key alone, also those before. CrashTracker is pure.
//
// Invariant: a replica counts once for a key, regardless of who reports it and how often.
type CrashTracker struct {
	params CrashTrackerParams
	// self identifies the entry in its reports.
	self uint64
	keys *lru.Cache[uint64, *keyCrashes]
	// sound has when the latest good answer with a key was given.
	sound *lru.Cache[uint64, time.Duration]
	// crashes has the keys that each lost replica counts for.
	crashes *lru.Cache[string, *replicaCrash]
	// brokenRuns holds the runs that broke off recently, lostReplicas when replicas
	// were lost. Both are keyed by replica.
	brokenRuns   *lru.Cache[string, []brokenRun]
	lostReplicas *lru.Cache[string, time.Duration]
}

type brokenRun struct {
	keys             RequestKeys
	started, endedAt time.Duration
}

// NewCrashTracker returns an empty tracker of the entry that self identifies.
func NewCrashTracker(p CrashTrackerParams, self uint64) *CrashTracker {
	t := &CrashTracker{params: p, self: self}
	var errs [5]error
	t.keys, errs[0] = lru.New[uint64, *keyCrashes](p.MaxEntries)
	t.sound, errs[1] = lru.New[uint64, time.Duration](p.MaxEntries)
	t.crashes, errs[2] = lru.New[string, *replicaCrash](p.MaxEntries)
	t.brokenRuns, errs[3] = lru.New[string, []brokenRun](p.MaxEntries)
	t.lostReplicas, errs[4] = lru.New[string, time.Duration](p.MaxEntries)
	for _, err := range errs {
		if err != nil {
			panic(err) // the size is a positive constant
		}
	}
	return t
}

// RecordBrokenRun records that a run that started at began broke off at a replica. It
// returns reports if the replica is known to be lost.
func (t *CrashTracker) RecordBrokenRun(keys RequestKeys, replica string, began, now time.Duration) []CrashReport {
	run := brokenRun{keys, began, now}
	if at, lost := t.lostReplicas.Peek(replica); lost && now-at <= t.params.CorrelationWindow {
		return t.appendGivenUp(t.countCrash(nil, run, replica, now), replica, now)
	}
	runs, _ := t.brokenRuns.Peek(replica)
	// A replica that breaks off every run and is never lost would fill the memory.
	runs = slices.DeleteFunc(runs, func(r brokenRun) bool { return now-r.endedAt > t.params.CorrelationWindow })
	t.brokenRuns.Add(replica, append(runs, run))
	return nil
}

// RecordLostReplica records that a replica was lost. It returns the resulting reports,
// which are to be sent to the other entries.
func (t *CrashTracker) RecordLostReplica(replica string, now time.Duration) []CrashReport {
	t.lostReplicas.Add(replica, now)
	runs, _ := t.brokenRuns.Peek(replica)
	t.brokenRuns.Remove(replica)
	var reports []CrashReport
	for _, run := range runs {
		if now-run.endedAt <= t.params.CorrelationWindow {
			reports = t.countCrash(reports, run, replica, now)
		}
	}
	return t.appendGivenUp(reports, replica, now)
}

// countCrash counts a run that was lost with its replica and appends the report to list, unless it
// says nothing new of any key. Parts with a good answer since are no cause.
func (t *CrashTracker) countCrash(list []CrashReport, run brokenRun, replica string, now time.Duration) []CrashReport {
	parts := t.withoutSound(run.keys.Parts, run.endedAt)
	report := CrashReport{Fingerprint: run.keys.Fingerprint, Replica: replica, Parts: parts[:min(len(parts), maxReportParts)], Reporter: t.self}
	report.RanMs, report.AgeMs = wholeMs(run.endedAt-run.started), wholeMs(now-run.endedAt)
	// The crash counts as of the end of the run, so that a run that began between the
	// break and its detection counts as later.
	if !t.count(report.keys().all(), replica, lossSpan{span: span{run.started, run.endedAt}, reporter: t.self}) {
		return list
	}
	t.crashOf(replica).past = false
	report.Together = !t.countedFor(report.keys().all(), replica)
	return append(list, report)
}

// appendGivenUp appends to reports of the loss of a replica what is given up by it.
func (t *CrashTracker) appendGivenUp(list []CrashReport, replica string, now time.Duration) []CrashReport {
	if len(list) == 0 {
		return nil
	}
	for _, key := range t.Judge(replica, now) {
		if verdict, given := t.Verdict(key, now); given {
			verdict.Replica = replica
			list = append(list, verdict)
		}
	}
	return list
}

// Merge counts a report of another entry, or of this one that is read again. Judge says what follows
// once all reports at hand of the loss of a replica are merged.
func (t *CrashTracker) Merge(report CrashReport, now time.Duration) {
	if report.Age() > t.params.TTL {
		return
	}
	if report.GivenUp {
		t.adoptTold(report.Fingerprint, report.Replica, now-report.Age(), now)
		return
	}
	t.count(report.keys().all(), report.Replica, report.span(now))
}

// MergePast counts a report of a loss from before this entry knew of good answers: it is evidence beside later
// losses, and restricts runs, but gives nothing up by itself. A verdict counts as the loss that it names.
func (t *CrashTracker) MergePast(report CrashReport, now time.Duration) {
	if !t.crashes.Contains(report.Replica) {
		t.crashOf(report.Replica).past = true
	}
	report.GivenUp = false
	t.Merge(report, now)
}

// span is the time of the run that a report tells of.
func (r *CrashReport) span(now time.Duration) lossSpan {
	ended := now - r.Age()
	began := ended + 1 // too short to overlap with another run
	if r.RanMs > 0 {
		began = ended - time.Duration(r.RanMs)*time.Millisecond
	}
	return lossSpan{span{began, ended}, r.Together, r.Reporter}
}
