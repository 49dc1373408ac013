package attempt

import (
	"maps"
	"slices"
	"time"
)

// keyCrashes is what counts against a key: a whole request, or a part of prompts.
type keyCrashes struct {
	// replicas has the lost replicas that count, with the run that counts.
	replicas map[string]lossSpan
	// lost has all replicas that were lost under a run with the key since the last good answer, and
	// when that run ended: also those that don't count, as their runs overlap with others or another
	// key is given up for their loss.
	lost      map[string]time.Duration
	lastCrash time.Duration
	// lastReplica is the one that counted last.
	lastReplica string
	// children is how many keys of requests with this one, each narrower than it, were given up
	// since the last good answer.
	children int
	givenUp  bool
	// lateRuns is how many late runs with the key were lost before it was given up, trials how many
	// requests with it were let through since, nextTrial when the next one may be.
	lateRuns  int
	trials    int
	nextTrial time.Duration
}

// span is the time of a run that was lost with its replica.
type span struct{ began, ended time.Duration }

// lossSpan is a span that is to be counted; together is set if its reporter found that it overlaps with
// one that counts.
type lossSpan struct {
	span
	together bool
	reporter uint64
}

// overlapsAt reports whether two runs were at the same time, as far as is known here: runs of another entry
// that didn't overlap there may seem to, since reports that arrive together are taken for as late as each
// other.
func (s lossSpan) overlapsAt(self uint64, o lossSpan) bool {
	if s.reporter == o.reporter && s.reporter != 0 && s.reporter != self {
		return false
	}
	return s.overlaps(o.span)
}

// overlaps reports whether two runs were at the same time, whichever loss was found first.
func (s span) overlaps(o span) bool { return s.began <= o.ended && o.began <= s.ended }

func (k *keyCrashes) overlaps(self uint64, run lossSpan) bool {
	for _, counted := range k.replicas {
		if run.overlapsAt(self, counted) {
			return true
		}
	}
	return false
}

func (k *keyCrashes) countsFor(replica string) bool {
	_, counted := k.replicas[replica]
	return counted
}

// maxLostReplicas bounds keyCrashes.lost.
const maxLostReplicas = 256

// knows reports whether the loss of a replica was heard of, counted or not.
func (k *keyCrashes) knows(replica string) bool {
	_, lost := k.lost[replica]
	return lost || k.countsFor(replica)
}

// recordLost records that a replica was lost under a run with the key.
func (k *keyCrashes) recordLost(replica string, at time.Duration) {
	if len(k.lost) < maxLostReplicas {
		k.lost[replica] = at
	}
	k.lastCrash = max(k.lastCrash, at)
}

func newKeyCrashes(lastCrash time.Duration) *keyCrashes {
	return &keyCrashes{replicas: make(map[string]lossSpan), lost: make(map[string]time.Duration), lastCrash: lastCrash}
}

// replicaCrash is the loss of a replica.
type replicaCrash struct {
	// runs are those that it counts for.
	runs []lostRun
	// explained is set once it counts for a key that is given up, cause, and no other.
	explained bool
	cause     uint64
	// past is set if the loss was first heard of by MergePast.
	past bool
}

// lostRun is a run that was lost with its replica: its keys, the widest first, and for how long it ran.
type lostRun struct {
	keys []uint64
	ran  time.Duration
}

// maxLostRuns bounds the runs remembered of a replica: more than it runs at once.
const maxLostRuns = 256

func (t *CrashTracker) crashOf(replica string) *replicaCrash {
	crash, known := t.crashes.Get(replica)
	if !known {
		crash = &replicaCrash{}
		t.crashes.Add(replica, crash)
	}
	return crash
}

// count counts the loss of a replica for the keys of a run, widest first, that began at a time. It
// reports whether that is new for any of them. If one of them is given up, it explains the loss. Keys with a
// good answer since aren't counted.
func (t *CrashTracker) count(keys []uint64, replica string, run lossSpan) bool {
	now := run.ended
	if keys = t.withoutSound(keys, run.ended); len(keys) == 0 {
		return false
	}
	crash := t.crashOf(replica)
	if !crash.explained {
		for _, key := range keys {
			if k := t.recent(key, now); k != nil && k.givenUp {
				t.explain(replica, key)
				break
			}
		}
	}
	if crash.explained {
		return t.countExplained(keys, replica, run, crash.cause)
	}
	isNew, ofReplica := false, false
	for _, key := range keys {
		isNew = t.add(key, replica, run) || isNew
		k := t.recent(key, now)
		ofReplica = ofReplica || k != nil && k.countsFor(replica)
	}
	if ofReplica && len(crash.runs) < maxLostRuns {
		crash.runs = append(crash.runs, lostRun{keys, now - run.began})
	}
	return isNew
}

// withoutSound returns those of some keys with which no good answer is known that is later than a time.
func (t *CrashTracker) withoutSound(keys []uint64, ended time.Duration) []uint64 {
	return slices.DeleteFunc(slices.Clone(keys), func(key uint64) bool { return t.soundSince(key, ended) })
}

func (t *CrashTracker) soundSince(key uint64, at time.Duration) bool {
	answered, known := t.sound.Peek(key)
	return known && answered > at
}

// countExplained counts the loss of a replica that a key explains for that key alone, and records it for the
// others: the verdict may be wrong, and then they begin to be counted again.
func (t *CrashTracker) countExplained(keys []uint64, replica string, run lossSpan, cause uint64) bool {
	isNew := false
	for _, key := range keys {
		loss := run
		loss.together = run.together || key != cause
		isNew = t.add(key, replica, loss) || isNew
	}
	return isNew
}

// add counts the loss of a replica for one key, unless the loss of another one counts already of a run at
// the same time. It reports whether the loss is new for the key, counted or not. What was found
// when the loss was first heard of stays: reports that are read again are later than the loss.
func (t *CrashTracker) add(key uint64, replica string, run lossSpan) bool {
	k := t.recent(key, run.ended)
	if k == nil {
		k = newKeyCrashes(run.ended)
		t.keys.Add(key, k)
	}
	if k.knows(replica) {
		return false
	}
	k.recordLost(replica, run.ended)
	if !run.together && !k.overlaps(t.self, run) {
		k.replicas[replica], k.lastReplica = run, replica
	}
	return true
}

// countedFor reports whether the loss of a replica counts for one of the keys.
func (t *CrashTracker) countedFor(keys []uint64, replica string) bool {
	return slices.ContainsFunc(keys, func(key uint64) bool {
		k, known := t.keys.Peek(key)
		return known && k.countsFor(replica)
	})
}

// giveUp gives a key up, and the wider ones of the same run below which too many are. It returns all of
// them.
func (t *CrashTracker) giveUp(key uint64, keys []uint64, now time.Duration) []uint64 {
	t.adopt(key, t.recent(key, now), now)
	list := []uint64{key}
	for _, wider := range keys[:slices.Index(keys, key)] {
		k := t.recent(wider, now)
		if k == nil {
			k = newKeyCrashes(now)
			t.keys.Add(wider, k)
		}
		k.children++
		if !k.givenUp && k.children >= t.limit(wider, t.params.MaxChildren, t.params.MaxChildrenSound, now) {
			t.adopt(wider, k, now)
			list = append(list, wider)
		}
	}
	return list
}

// adoptTold gives a key up as another entry tells, for a loss at a time, unless a good answer came since.
func (t *CrashTracker) adoptTold(key uint64, replica string, lostAt, now time.Duration) {
	if t.soundSince(key, lostAt) {
		return
	}
	k := t.recent(key, now)
	if k == nil {
		k = newKeyCrashes(lostAt)
		t.keys.Add(key, k)
	}
	if !k.countsFor(replica) {
		k.replicas[replica], k.lastReplica = lossSpan{span: span{lostAt, lostAt}}, replica
	}
	k.lastCrash = max(k.lastCrash, lostAt)
	t.adopt(key, k, now)
}

// adopt gives a key up for the losses counted so far.
func (t *CrashTracker) adopt(key uint64, k *keyCrashes, now time.Duration) {
	if !k.givenUp {
		k.givenUp, k.nextTrial, k.lateRuns = true, now+t.params.TrialAfter, t.lateLosses(k)
	}
	for r := range k.replicas {
		t.explain(r, key)
	}
}

// explain makes the loss of a replica count for one key alone.
func (t *CrashTracker) explain(replica string, cause uint64) {
	crash := t.crashOf(replica)
	if crash.explained {
		return
	}
	for _, run := range crash.runs {
		for _, key := range run.keys {
			if k, ok := t.keys.Peek(key); ok && key != cause {
				delete(k.replicas, replica)
			}
		}
	}
	crash.explained, crash.cause, crash.runs = true, cause, nil
}

// RecordAnswered records that a replica answered a request that was sent to it at a time: runs that broke
// off there before were no crash. An answer to an earlier request may have been under way at the crash.
func (t *CrashTracker) RecordAnswered(replica string, sent time.Duration) {
	runs, _ := t.brokenRuns.Peek(replica)
	runs = slices.DeleteFunc(slices.Clone(runs), func(r brokenRun) bool { return r.endedAt < sent })
	if len(runs) == 0 {
		t.brokenRuns.Remove(replica)
		return
	}
	t.brokenRuns.Add(replica, runs)
}

// RecordSuccess records a good answer to a request: neither the request nor a part of its prompt is the
// cause of crashes. It returns the keys that crashes had counted against, of which the other entries
// are to be told.
func (t *CrashTracker) RecordSuccess(keys RequestKeys, now time.Duration) []uint64 {
	return t.RecordSound(keys.all(), now)
}

// RecordSound is RecordSuccess for some of a request's keys.
func (t *CrashTracker) RecordSound(keys []uint64, now time.Duration) []uint64 {
	var cleared []uint64
	for _, key := range keys {
		t.sound.Add(key, now)
		if t.keys.Remove(key) {
			cleared = append(cleared, key)
		}
	}
	return cleared
}

// MergeSound records that another entry saw a good answer with a key at a time. The crashes until then
// don't count against the key any more, and a verdict that rests on them ends.
func (t *CrashTracker) MergeSound(key uint64, at time.Duration) {
	if known, ok := t.sound.Peek(key); !ok || known < at {
		t.sound.Add(key, at)
	}
	k, ok := t.keys.Peek(key)
	if !ok {
		return
	}
	maps.DeleteFunc(k.replicas, func(_ string, run lossSpan) bool { return run.ended < at })
	maps.DeleteFunc(k.lost, func(_ string, lostAt time.Duration) bool { return lostAt < at })
	if len(k.replicas) < t.params.MaxCrashes {
		k.givenUp, k.children = false, 0
	}
}

// MergeStoredSound is MergeSound for a good answer that is read from the store. A verdict with a later crash
// stays: it rests on losses that aren't all known here.
func (t *CrashTracker) MergeStoredSound(key uint64, at time.Duration) {
	if k, ok := t.keys.Peek(key); ok && k.givenUp && at <= k.lastCrash {
		return
	}
	t.MergeSound(key, at)
}

// SoundAt returns when the latest good answer with a key was given; false if none is known that is
// recent.
func (t *CrashTracker) SoundAt(key uint64, now time.Duration) (time.Duration, bool) {
	at, ok := t.sound.Peek(key)
	return at, ok && now-at <= t.params.SoundWindow
}

// CrashCount is the number of crashes counted for a key.
func (t *CrashTracker) CrashCount(key uint64, now time.Duration) int {
	if k := t.recent(key, now); k != nil {
		return len(k.replicas)
	}
	return 0
}

// LostReplicas is the number of replicas that were lost under a key since the last good answer with it,
// counted as crashes or not, up to a bound.
func (t *CrashTracker) LostReplicas(key uint64, now time.Duration) int {
	if k := t.recent(key, now); k != nil {
		return len(k.lost)
	}
	return 0
}

// Restricted returns the keys of a request of which one run at a time may be under way over all entries:
// so many replicas were lost under them since the last good answer that they would be given up if each
// counted, and those that don't count, as they were lost together, may have been crashed by copies
// of one request. A run that ends well lifts the restriction.
func (t *CrashTracker) Restricted(keys RequestKeys, now time.Duration) []uint64 {
	var list []uint64
	for _, key := range keys.all() {
		k := t.recent(key, now)
		if k == nil || k.givenUp || len(k.lost) < t.params.MaxCrashes {
			continue
		}
		if at, sound := t.SoundAt(key, now); sound && now-at < t.params.SoundQuiet {
			continue
		}
		list = append(list, key)
	}
	return list
}

// lateLosses is how many replicas were lost under a key later than LateAfter after the MaxCrashes-th.
func (t *CrashTracker) lateLosses(k *keyCrashes) int {
	if len(k.lost) <= t.params.MaxCrashes {
		return 0
	}
	times := slices.Sorted(maps.Values(k.lost))
	late, _ := slices.BinarySearch(times, times[t.params.MaxCrashes-1]+t.params.LateAfter+1)
	return len(times) - late
}

// Suspect reports whether one more crash causes the request, or a part of its prompt, to be given up.
// After a run of a suspect has broken off, the request isn't run again until it is known whether that
// was a crash.
func (t *CrashTracker) Suspect(keys RequestKeys, now time.Duration) bool {
	return slices.ContainsFunc(keys.all(), func(key uint64) bool {
		k := t.recent(key, now)
		return k != nil && (k.givenUp || len(k.replicas) >= t.limit(key, t.params.MaxCrashes, t.params.MaxCrashesSound, now)-1)
	})
}

// GivenUp returns the key for which a request isn't run any more, and for how long; false if it may run.
func (t *CrashTracker) GivenUp(keys RequestKeys, now time.Duration) (key uint64, wait time.Duration, givenUp bool) {
	for _, key := range keys.all() {
		if k := t.recent(key, now); k != nil && k.givenUp {
			return key, k.lastCrash + t.params.TTL - now, true
		}
	}
	return 0, 0, false
}

// Verdict returns the report that a key is given up; false if it isn't.
func (t *CrashTracker) Verdict(key uint64, now time.Duration) (CrashReport, bool) {
	k := t.recent(key, now)
	if k == nil || !k.givenUp {
		return CrashReport{}, false
	}
	return CrashReport{Fingerprint: key, Replica: k.lastReplica, GivenUp: true, AgeMs: wholeMs(now - k.lastCrash)}, true
}

// BeginTrial reports whether a request with a key that was given up may run now to find out whether
// that still holds, and counts it. Only one entry may ask for a key.
func (t *CrashTracker) BeginTrial(key uint64, now time.Duration) bool {
	k := t.recent(key, now)
	if k == nil || !k.givenUp || k.lateRuns+k.trials >= t.params.MaxLateRuns || now < k.nextTrial {
		return false
	}
	k.trials++
	k.nextTrial = now + t.params.TrialAfter<<k.trials
	return true
}

func (t *CrashTracker) recent(key uint64, now time.Duration) *keyCrashes {
	k, ok := t.keys.Get(key)
	if !ok || now-k.lastCrash > t.params.TTL {
		return nil
	}
	return k
}
