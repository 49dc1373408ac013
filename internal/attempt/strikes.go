package attempt

import (
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// CrashTrackerParams bound what one request may do to replicas that entries feed
// directly.
type CrashTrackerParams struct {
	// MaxCrashes is the crashes after which a request is given up.
	MaxCrashes int
	// Memory is how long that is remembered after the last crash.
	Memory time.Duration
	// Apart is how far apart the end of a run and the loss of its replica may be
	// noticed and still be one crash.
	Apart time.Duration
	// Max bounds the requests remembered, and the replicas.
	Max int
}

// DefaultCrashTrackerParams allow three crashes. A crash resets connections at once; a
// machine that goes dark is noticed within a second.
var DefaultCrashTrackerParams = CrashTrackerParams{MaxCrashes: 3, Memory: time.Hour, Apart: 2 * time.Second, Max: 4096}

// CrashReport says that a replica was lost with a request on it.
type CrashReport struct {
	// Fingerprint stands for the request, whichever way and how often it comes.
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Replica is the incarnation that was lost.
	Replica string `cbor:"2,keyasint"`
}

// Valid reports whether a strike that was read makes sense.
func (s *CrashReport) Valid() bool { return s.Replica != "" }

// CrashTracker remembers which requests were running at replicas that were lost, and
// gives up those that were at too many: a request that crashes whatever runs it
// comes again with its caller's retries, at any entry, and would take one replica
// after the other. It is seen as replicas that restart in turn with no other cause.
//
// Many replicas that are lost at the same moment are no sign against a request that
// ran at several of them. So a strike counts only for a run that began after the
// strike before, and a good answer takes all of them back. It is pure.
//
// Invariant: a replica counts once for a request, whoever tells of it and how often.
type CrashTracker struct {
	params CrashTrackerParams
	struck *lru.Cache[uint64, *struckRequest]
	// broken has the runs that broke off lately, lost when a replica was lost, both
	// by replica.
	broken *lru.Cache[string, []brokenRun]
	lost   *lru.Cache[string, time.Duration]
}

type struckRequest struct {
	replicas map[string]bool
	at       time.Duration
}

type brokenRun struct {
	fingerprint uint64
	began, at   time.Duration
}

// NewCrashTracker returns an empty memory.
func NewCrashTracker(p CrashTrackerParams) *CrashTracker {
	s := &CrashTracker{params: p}
	var errs [3]error
	s.struck, errs[0] = lru.New[uint64, *struckRequest](p.Max)
	s.broken, errs[1] = lru.New[string, []brokenRun](p.Max)
	s.lost, errs[2] = lru.New[string, time.Duration](p.Max)
	for _, err := range errs {
		if err != nil {
			panic(err) // the size is a positive constant
		}
	}
	return s
}

// RecordBrokenRun says that a run that began at a time broke off at a replica. It returns
// the strike if the replica is known to be lost.
func (s *CrashTracker) RecordBrokenRun(fingerprint uint64, replica string, began, now time.Duration) []CrashReport {
	run := brokenRun{fingerprint, began, now}
	if at, lost := s.lost.Peek(replica); lost && now-at <= s.params.Apart {
		return s.strike(nil, run, replica, now)
	}
	runs, _ := s.broken.Peek(replica)
	// One that breaks off all it gets and is never lost would fill the memory.
	runs = slices.DeleteFunc(runs, func(r brokenRun) bool { return now-r.at > s.params.Apart })
	s.broken.Add(replica, append(runs, run))
	return nil
}

// RecordLostReplica says that a replica was lost. It returns the strikes that follow, for the
// other entries to be told.
func (s *CrashTracker) RecordLostReplica(replica string, now time.Duration) []CrashReport {
	s.lost.Add(replica, now)
	runs, _ := s.broken.Peek(replica)
	s.broken.Remove(replica)
	var strikes []CrashReport
	for _, run := range runs {
		if now-run.at <= s.params.Apart {
			strikes = s.strike(strikes, run, replica, now)
		}
	}
	return strikes
}

// strike counts a run that was lost with its replica, unless it began before what
// is already counted, and appends it to list.
func (s *CrashTracker) strike(list []CrashReport, run brokenRun, replica string, now time.Duration) []CrashReport {
	if r := s.live(run.fingerprint, now); r != nil && (run.began <= r.at || r.replicas[replica]) {
		return list
	}
	strike := CrashReport{Fingerprint: run.fingerprint, Replica: replica}
	// What began between the break and its being noticed came after this strike.
	s.Merge(strike, run.at)
	return append(list, strike)
}

// Merge takes a strike, of this entry or another.
func (s *CrashTracker) Merge(strike CrashReport, now time.Duration) {
	r := s.live(strike.Fingerprint, now)
	if r == nil {
		r = &struckRequest{replicas: make(map[string]bool)}
		s.struck.Add(strike.Fingerprint, r)
	}
	if !r.replicas[strike.Replica] {
		r.replicas[strike.Replica], r.at = true, now
	}
}

// RecordSuccess says that a replica gave a good answer to a request: it isn't lost, and the
// request isn't to blame.
func (s *CrashTracker) RecordSuccess(fingerprint uint64, replica string) {
	s.struck.Remove(fingerprint)
	s.broken.Remove(replica)
}

// CrashCount is how many strikes a request has.
func (s *CrashTracker) CrashCount(fingerprint uint64, now time.Duration) int {
	if r := s.live(fingerprint, now); r != nil {
		return len(r.replicas)
	}
	return 0
}

// Suspect reports whether one more crash has a request given up. After a run of it
// has broken off it isn't run again until it is known whether that was one.
func (s *CrashTracker) Suspect(fingerprint uint64, now time.Duration) bool {
	return s.CrashCount(fingerprint, now) >= s.params.MaxCrashes-1
}

// GivenUp reports whether a request isn't run any more, and for how long.
func (s *CrashTracker) GivenUp(fingerprint uint64, now time.Duration) (time.Duration, bool) {
	r := s.live(fingerprint, now)
	if r == nil || len(r.replicas) < s.params.MaxCrashes {
		return 0, false
	}
	return r.at + s.params.Memory - now, true
}

func (s *CrashTracker) live(fingerprint uint64, now time.Duration) *struckRequest {
	r, ok := s.struck.Get(fingerprint)
	if !ok || now-r.at > s.params.Memory {
		return nil
	}
	return r
}
