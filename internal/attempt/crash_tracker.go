package attempt

import (
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// CrashTrackerParams configures a CrashTracker.
type CrashTrackerParams struct {
	// MaxCrashes is the number of crashes after which a request is given up.
	MaxCrashes int
	// TTL is how long the crashes of a request are remembered after the last one.
	TTL time.Duration
	// CorrelationWindow is how far apart the broken run and the loss of its replica
	// may be detected and still count as one crash.
	CorrelationWindow time.Duration
	// MaxEntries bounds the requests remembered, and the replicas.
	MaxEntries int
}

// DefaultCrashTrackerParams gives a request up after three crashes. A crash resets
// connections at once, while the loss of a whole machine is detected within a second.
var DefaultCrashTrackerParams = CrashTrackerParams{MaxCrashes: 3, TTL: time.Hour, CorrelationWindow: 2 * time.Second, MaxEntries: 4096}

// CrashReport says that a replica was lost while it ran a request.
type CrashReport struct {
	// Fingerprint identifies the request, regardless of how and how often it arrives.
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Replica is the incarnation that was lost.
	Replica string `cbor:"2,keyasint"`
}

// Valid reports whether a decoded report is complete.
func (r *CrashReport) Valid() bool { return r.Replica != "" }

// CrashTracker detects poison requests among those that entries dispatch directly: it
// remembers which requests were running at replicas that were lost, and gives up
// requests for which that happened too often. A request that crashes whatever runs it
// arrives again with its caller's retries, at any entry, and would take down one
// replica after another; it shows as replicas that restart in turn without another
// cause.
//
// Many replicas lost at the same moment are no evidence against a request that ran at
// several of them. So a crash counts only for a run that began after the previous
// crash, and a good answer clears all of them. CrashTracker is pure.
//
// Invariant: a replica counts once for a request, regardless of who reports it and how
// often.
type CrashTracker struct {
	params  CrashTrackerParams
	crashes *lru.Cache[uint64, *requestCrashes]
	// brokenRuns holds the runs that broke off recently, lostReplicas when replicas
	// were lost. Both are keyed by replica.
	brokenRuns   *lru.Cache[string, []brokenRun]
	lostReplicas *lru.Cache[string, time.Duration]
}

type requestCrashes struct {
	replicas  map[string]bool
	lastCrash time.Duration
}

type brokenRun struct {
	fingerprint      uint64
	started, endedAt time.Duration
}

// NewCrashTracker returns an empty tracker.
func NewCrashTracker(p CrashTrackerParams) *CrashTracker {
	t := &CrashTracker{params: p}
	var errs [3]error
	t.crashes, errs[0] = lru.New[uint64, *requestCrashes](p.MaxEntries)
	t.brokenRuns, errs[1] = lru.New[string, []brokenRun](p.MaxEntries)
	t.lostReplicas, errs[2] = lru.New[string, time.Duration](p.MaxEntries)
	for _, err := range errs {
		if err != nil {
			panic(err) // the size is a positive constant
		}
	}
	return t
}

// RecordBrokenRun records that a run that started at began broke off at a replica. It
// returns a report if the replica is known to be lost.
func (t *CrashTracker) RecordBrokenRun(fingerprint uint64, replica string, began, now time.Duration) []CrashReport {
	run := brokenRun{fingerprint, began, now}
	if at, lost := t.lostReplicas.Peek(replica); lost && now-at <= t.params.CorrelationWindow {
		return t.countCrash(nil, run, replica, now)
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
	return reports
}

// countCrash counts a run that was lost with its replica and appends the report to
// list, unless the run began before the last crash that was counted.
func (t *CrashTracker) countCrash(list []CrashReport, run brokenRun, replica string, now time.Duration) []CrashReport {
	if r := t.recent(run.fingerprint, now); r != nil && (run.started <= r.lastCrash || r.replicas[replica]) {
		return list
	}
	report := CrashReport{Fingerprint: run.fingerprint, Replica: replica}
	// The crash counts as of the end of the run, so that a run that began between the
	// break and its detection counts as later.
	t.Merge(report, run.endedAt)
	return append(list, report)
}

// Merge counts a report of this entry or of another one.
func (t *CrashTracker) Merge(report CrashReport, now time.Duration) {
	r := t.recent(report.Fingerprint, now)
	if r == nil {
		r = &requestCrashes{replicas: make(map[string]bool)}
		t.crashes.Add(report.Fingerprint, r)
	}
	if !r.replicas[report.Replica] {
		r.replicas[report.Replica], r.lastCrash = true, now
	}
}

// RecordSuccess records that a replica gave a good answer to a request: the replica
// isn't lost, and the request isn't the cause of crashes.
func (t *CrashTracker) RecordSuccess(fingerprint uint64, replica string) {
	t.crashes.Remove(fingerprint)
	t.brokenRuns.Remove(replica)
}

// CrashCount is the number of crashes counted for a request.
func (t *CrashTracker) CrashCount(fingerprint uint64, now time.Duration) int {
	if r := t.recent(fingerprint, now); r != nil {
		return len(r.replicas)
	}
	return 0
}

// Suspect reports whether one more crash causes the request to be given up. After a
// run of a suspect has broken off, the request isn't run again until it is known
// whether that was a crash.
func (t *CrashTracker) Suspect(fingerprint uint64, now time.Duration) bool {
	return t.CrashCount(fingerprint, now) >= t.params.MaxCrashes-1
}

// GivenUp reports whether a request isn't run any more, and for how long.
func (t *CrashTracker) GivenUp(fingerprint uint64, now time.Duration) (time.Duration, bool) {
	r := t.recent(fingerprint, now)
	if r == nil || len(r.replicas) < t.params.MaxCrashes {
		return 0, false
	}
	return r.lastCrash + t.params.TTL - now, true
}

func (t *CrashTracker) recent(fingerprint uint64, now time.Duration) *requestCrashes {
	r, ok := t.crashes.Get(fingerprint)
	if !ok || now-r.lastCrash > t.params.TTL {
		return nil
	}
	return r
}
