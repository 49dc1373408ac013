package entry

import (
	"testing"

	"skylarklead/internal/attempt"
	"skylarklead/internal/config"
	"skylarklead/internal/protocol"
)

// An entry's memory must not grow when a stream whose caller doesn't read is
// resumed again and again: chunks that wait for the caller count against the window
// of each Resume.
func TestResumeCountsWhatWaits(t *testing.T) {
	id := protocol.AttemptID{1}
	j := &job{request: &request{organisation: &config.Organisation{ID: "foodbank"}}, receiver: attempt.NewReceiver(window)}
	j.receiver.Begin(id)
	for round, want := range []uint32{window - 10, window - 20, window - 30} {
		for range 10 {
			m := &protocol.Chunk{Attempt: id, Seq: j.receiver.Next(), Data: []byte("w")}
			if _, dropped := j.receiver.Chunk(m, 0); dropped != attempt.Accepted {
				t.Fatalf("chunk %d dropped: %v", m.Seq, dropped)
			}
		}
		m := j.newResume(id, 7)
		if m.Window != want || m.Seq != uint64(10*(round+1)) || m.Organisation != "foodbank" {
			t.Errorf("resume %d is %+v, want a window of %d", round, m, want)
		}
	}
	j.receiver.Consumed(30)
	if m := j.newResume(id, 7); m.Window != window {
		t.Errorf("window is %d after the caller has read everything", m.Window)
	}
}
