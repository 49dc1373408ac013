package attempt

import (
	"slices"
	"time"
)

// keyCrashes is what counts against a key: a whole request, or a part of prompts.
type keyCrashes struct {
	replicas  map[string]bool
	lastCrash time.Duration
	// children is how many keys of requests with this one, each narrower than it, were given up
	// since the last good answer.
	children int
	givenUp  bool
	// trials is how many requests with the key were let through since it was given up, nextTrial
	// when the next one may be.
	trials    int
	nextTrial time.Duration
}

// replicaCrash is the loss of a replica.
type replicaCrash struct {
	// runs are those that it counts for.
	runs []lostRun
	// explained is set once it counts for a key that is given up, cause, and no other.
	explained bool
	cause     uint64
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
// reports whether it counts for any. If one of them is given up, it explains the loss.
func (t *CrashTracker) count(keys []uint64, replica string, began, now time.Duration) bool {
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
		return slices.Contains(keys, crash.cause) && t.add(crash.cause, replica, began, now)
	}
	counted, ofReplica := false, false
	for _, key := range keys {
		counted = t.add(key, replica, began, now) || counted
		k := t.recent(key, now)
		ofReplica = ofReplica || k != nil && k.replicas[replica]
	}
	if ofReplica && len(crash.runs) < maxLostRuns {
		crash.runs = append(crash.runs, lostRun{keys, now - began})
	}
	return counted
}

// Judge finds out whether the loss of a replica causes a key to be given up, and returns the keys that
// are: the one that explains the most crashes of those that ran there, and wider ones of its run below
// which too many are.
func (t *CrashTracker) Judge(replica string, now time.Duration) []uint64 {
	crash, known := t.crashes.Get(replica)
	if !known || crash.explained {
		return nil
	}
	suspects := make(map[uint64]*suspect)
	for _, run := range crash.runs {
		t.addSuspects(suspects, run, replica, now)
	}
	var wider []uint64
	for _, run := range crash.runs {
		wider = appendWider(wider, suspects, run.keys)
	}
	for _, key := range wider {
		if len(suspects) > 1 {
			delete(suspects, key)
		}
	}
	var worst *suspect
	for _, s := range suspects {
		if worst == nil || s.before(worst) {
			worst = s
		}
	}
	if worst == nil {
		return nil
	}
	return t.giveUp(worst.key, worst.run, now)
}

// suspect is a key that may be given up, with what ranks it among others.
type suspect struct {
	key     uint64
	crashes int
	// sound is set if a good answer with it was given recently.
	sound bool
	// ran is the shortest time that a run with it, run, took until the crash.
	ran time.Duration
	run []uint64
}

// compare is below 0 if a key is more likely the cause than another one, going by what all runs have in
// common: it has more crashes, or of equally many no recent good answer.
func (s *suspect) compare(o *suspect) int {
	if s.crashes != o.crashes {
		return o.crashes - s.crashes
	}
	if s.sound != o.sound {
		if o.sound {
			return -1
		}
		return 1
	}
	return 0
}

// before completes compare by what the runs at one crash say: replicas crash when an answer begins.
func (s *suspect) before(o *suspect) bool {
	if c := s.compare(o); c != 0 {
		return c < 0
	}
	if s.ran != o.ran {
		return s.ran < o.ran
	}
	return s.key < o.key
}

// addSuspects adds the keys of a run that crashed too many replicas.
func (t *CrashTracker) addSuspects(suspects map[uint64]*suspect, run lostRun, replica string, now time.Duration) {
	for _, key := range run.keys {
		k := t.recent(key, now)
		if k == nil || !k.replicas[replica] || len(k.replicas) < t.limit(key, t.params.MaxCrashes, t.params.MaxCrashesSound, now) {
			continue
		}
		if s := suspects[key]; s == nil || run.ran < s.ran || run.ran == s.ran && slices.Compare(run.keys, s.run) < 0 {
			suspects[key] = &suspect{key: key, crashes: len(k.replicas), sound: t.recentlySound(key, now), ran: run.ran, run: run.keys}
		}
	}
}

// appendWider appends the suspects of a run, widest first, that explain no more than a narrower one of
// it: all crashes of that one had them too.
func appendWider(list []uint64, suspects map[uint64]*suspect, keys []uint64) []uint64 {
	var narrower *suspect
	for _, key := range slices.Backward(keys) {
		s := suspects[key]
		if s == nil {
			continue
		}
		if narrower != nil && narrower.compare(s) == 0 {
			list = append(list, key)
			continue
		}
		narrower = s
	}
	return list
}

// add counts the loss of a replica for one key, unless the run began before the key's last crash.
func (t *CrashTracker) add(key uint64, replica string, began, now time.Duration) bool {
	k := t.recent(key, now)
	if k == nil {
		k = &keyCrashes{replicas: make(map[string]bool)}
		t.keys.Add(key, k)
	} else if k.replicas[replica] || len(k.replicas) > 0 && began <= k.lastCrash {
		return false
	}
	k.replicas[replica], k.lastCrash = true, now
	return true
}

// limit is one of two bounds for a key: of one without, or with a recent good answer.
func (t *CrashTracker) limit(key uint64, unknown, sound int, now time.Duration) int {
	if t.recentlySound(key, now) {
		return sound
	}
	return unknown
}

// recentlySound reports whether a good answer with a key was given within the window.
func (t *CrashTracker) recentlySound(key uint64, now time.Duration) bool {
	at, ok := t.sound.Peek(key)
	return ok && now-at <= t.params.SoundWindow
}

// giveUp gives a key up, and the wider ones of the same run below which too many are. It returns all of
// them.
func (t *CrashTracker) giveUp(key uint64, keys []uint64, now time.Duration) []uint64 {
	t.adopt(key, "", now)
	list := []uint64{key}
	for _, wider := range keys[:slices.Index(keys, key)] {
		k := t.recent(wider, now)
		if k == nil {
			k = &keyCrashes{replicas: make(map[string]bool), lastCrash: now}
			t.keys.Add(wider, k)
		}
		k.children++
		if !k.givenUp && k.children >= t.limit(wider, t.params.MaxChildren, t.params.MaxChildrenSound, now) {
			t.adopt(wider, "", now)
			list = append(list, wider)
		}
	}
	return list
}

// adopt gives a key up; replica is one that counts for it, "" for those counted so far.
func (t *CrashTracker) adopt(key uint64, replica string, now time.Duration) {
	k := t.recent(key, now)
	if k == nil {
		k = &keyCrashes{replicas: make(map[string]bool)}
		t.keys.Add(key, k)
	}
	if replica != "" && !k.replicas[replica] {
		k.replicas[replica], k.lastCrash = true, now
	}
	if !k.givenUp {
		k.givenUp, k.nextTrial = true, now+t.params.TrialAfter
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

// RecordSuccess records that a replica gave a good answer to a request: the replica isn't lost, and
// neither the request nor a part of its prompt is the cause of crashes. It returns the keys that
// crashes had counted against, of which the other entries are to be told.
func (t *CrashTracker) RecordSuccess(keys RequestKeys, replica string, now time.Duration) []uint64 {
	t.brokenRuns.Remove(replica)
	var cleared []uint64
	for _, key := range keys.all() {
		t.sound.Add(key, now)
		if t.keys.Remove(key) {
			cleared = append(cleared, key)
		}
	}
	return cleared
}

// MergeSound records that another entry saw a good answer with a key at a time. What was counted
// against the key before is cleared.
func (t *CrashTracker) MergeSound(key uint64, at time.Duration) {
	if known, ok := t.sound.Peek(key); !ok || known < at {
		t.sound.Add(key, at)
	}
	if k, ok := t.keys.Peek(key); ok && k.lastCrash < at {
		t.keys.Remove(key)
	}
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

// BeginTrial reports whether a request with a key that was given up may run now to find out whether
// that still holds, and counts it. Only one entry may ask for a key.
func (t *CrashTracker) BeginTrial(key uint64, now time.Duration) bool {
	k := t.recent(key, now)
	if k == nil || !k.givenUp || k.trials >= t.params.MaxTrials || now < k.nextTrial {
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
