package admit

import "time"

const (
	// durationsPeriod is the time after which a duration begins to be forgotten: it counts for one to two of them.
	durationsPeriod = 10 * time.Second
	// minDurations is how many complete requests tell how long one takes at most.
	minDurations = 20
)

// Durations knows how long the requests of one kind took recently. The zero value knows nothing.
type Durations struct {
	began             time.Duration
	current, before   time.Duration
	complete, beforeN int
}

// Record adds a request that took d, or that was ended after d if it isn't complete.
func (l *Durations) Record(d time.Duration, complete bool, now time.Duration) {
	l.forget(now)
	l.current = max(l.current, d)
	if complete {
		l.complete++
	}
}

// Longest returns the longest recent duration, 0 if too few requests are known.
func (l *Durations) Longest(now time.Duration) time.Duration {
	l.forget(now)
	if l.complete+l.beforeN < minDurations {
		return 0
	}
	return max(l.current, l.before)
}

func (l *Durations) forget(now time.Duration) {
	for range 2 {
		if now-l.began < durationsPeriod {
			return
		}
		l.before, l.beforeN = l.current, l.complete
		l.current, l.complete = 0, 0
		l.began += durationsPeriod
	}
	if now-l.began >= durationsPeriod {
		l.before, l.beforeN, l.began = 0, 0, now
	}
}
