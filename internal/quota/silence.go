package quota

import "time"

const (
	// silenceRest is how long an entry that did not answer isn't asked again: several times as
	// long as an entry takes to start. In a large fleet, nothing else shows that an entry of
	// another failure domain is back, as only those of the own domain send messages regularly.
	silenceRest = time.Second
	// maxLateAnswers is how often in a row an answer that came too late ends a rest: each request would
	// wait in vain for an entry that always answers too late.
	maxLateAnswers = 1
)

// Silence tells which entries aren't asked for units, as they did not answer in time. The zero value is
// ready for use. It is pure.
type Silence struct {
	silent map[string]silentEntry
}

// silentEntry is an entry that did not answer in time. misses counts its rests since it last did.
type silentEntry struct {
	until  time.Duration
	misses int
}

// Missed records that an entry did not answer in time. Questions to it that were under way together count once.
func (s *Silence) Missed(entry string, now time.Duration) {
	e := s.silent[entry]
	if now < e.until {
		return
	}
	if s.silent == nil {
		s.silent = make(map[string]silentEntry)
	}
	s.silent[entry] = silentEntry{until: now + silenceRest, misses: e.misses + 1}
}

// Answered records an answer that came in time.
func (s *Silence) Answered(entry string) { delete(s.silent, entry) }

// AnsweredLate records an answer that came after Missed.
func (s *Silence) AnsweredLate(entry string) {
	if e, silent := s.silent[entry]; silent && e.misses <= maxLateAnswers {
		e.until = 0
		s.silent[entry] = e
	}
}

// Usable reports whether an entry may be asked.
func (s *Silence) Usable(entry string, now time.Duration) bool { return now >= s.silent[entry].until }
