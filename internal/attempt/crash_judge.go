package attempt

import (
	"slices"
	"time"
)

// Judge finds out whether the loss of a replica causes a key to be given up, and returns the keys that
// are: the one that explains the most crashes of those that ran there, and wider ones of its run below
// which too many are.
func (t *CrashTracker) Judge(replica string, now time.Duration) []uint64 {
	crash, known := t.crashes.Get(replica)
	if !known || crash.explained || crash.past {
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
// common: it has no recent good answer, or more crashes. A part that sound requests share has the
// crashes of all deadly parts that come with it.
func (s *suspect) compare(o *suspect) int {
	if s.sound != o.sound {
		if o.sound {
			return -1
		}
		return 1
	}
	return o.crashes - s.crashes
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
		at, sound := t.SoundAt(key, now)
		if sound && now-at < t.params.SoundQuiet {
			continue
		}
		k := t.recent(key, now)
		if k == nil || !k.countsFor(replica) || !t.tooMany(key, k, now) {
			continue
		}
		if s := suspects[key]; s == nil || run.ran < s.ran || run.ran == s.ran && slices.Compare(run.keys, s.run) < 0 {
			suspects[key] = &suspect{key: key, crashes: len(k.replicas), sound: sound, ran: run.ran, run: run.keys}
		}
	}
}

// tooMany reports whether a key has so many crashes that it may be given up.
func (t *CrashTracker) tooMany(key uint64, k *keyCrashes, now time.Duration) bool {
	return len(k.replicas) >= t.limit(key, t.params.MaxCrashes, t.params.MaxCrashesSound, now) || t.lateLosses(k) >= t.params.MaxLateRuns
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

// limit is one of two bounds for a key: of one without, or with a recent good answer.
func (t *CrashTracker) limit(key uint64, unknown, sound int, now time.Duration) int {
	if _, recent := t.SoundAt(key, now); recent {
		return sound
	}
	return unknown
}
