package entry

import (
	"testing"

	"skylarklead/internal/attempt"
	"skylarklead/internal/config"
	"skylarklead/internal/protocol"
)

// Symptom: an entry's memory grows with each cut of its sessions.
// Sequence: a caller doesn't read; its stream is resumed again and again.
// Cause: a whole new window at each resume, on top of the pieces that wait.
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
		m := j.resume(id, 7)
		if m.Window != want || m.Seq != uint64(10*(round+1)) || m.Organisation != "foodbank" {
			t.Errorf("resume %d asks by %+v, want a window of %d", round, m, want)
		}
	}
	j.receiver.Consumed(30)
	if m := j.resume(id, 7); m.Window != window {
		t.Errorf("a caller that has read all is given a window of %d", m.Window)
	}
}
