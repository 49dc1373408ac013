package attempt

import (
	"testing"
	"time"
)

// Guards against a part that all prompts share and that is given up for the crashes of one that some have: the first report of the third loss
// is of a sound request.
func TestAPartThatAllShareIsNotGivenUpForADeadlyOne(t *testing.T) {
	const all, deadly, usual = uint64(1), uint64(2), uint64(3)
	ms := func(n int) time.Duration { return time.Second + time.Duration(n)*time.Millisecond }
	s := NewCrashTracker(DefaultCrashTrackerParams, 1)
	dead := func(fingerprint uint64) RequestKeys {
		return RequestKeys{Fingerprint: fingerprint, Parts: []uint64{all, deadly}}
	}
	sound := func(fingerprint uint64) RequestKeys {
		return RequestKeys{Fingerprint: fingerprint, Parts: []uint64{all, usual}}
	}
	s.RecordBrokenRun(dead(11), "r2", ms(0), ms(143))
	s.RecordLostReplica("r2", ms(144))
	s.RecordBrokenRun(dead(12), "r1", ms(145), ms(179))
	s.RecordBrokenRun(sound(13), "r1", ms(150), ms(179))
	s.RecordLostReplica("r1", ms(180))
	s.RecordBrokenRun(sound(14), "r3", ms(181), ms(187))
	s.RecordLostReplica("r3", ms(187))
	s.RecordBrokenRun(dead(15), "r3", ms(145), ms(188))
	if key, _, given := s.GivenUp(sound(16), ms(200)); given {
		t.Errorf("sound prompts are refused for %d", key)
	}
	if _, _, given := s.GivenUp(dead(17), ms(200)); !given {
		t.Error("the deadly part isn't given up")
	}
}
