package endpoint

import (
	"testing"

	"skylarklead/internal/protocol"
)

// Guards against telling a returning caller that its stream is lost while the engine
// still generates it. The caller and the endpoint process are both gone in mid-stream;
// the process is back under another epoch when the caller resumes, and that epoch never
// received the attempt's Run.
func TestStreamOutlivesItsProcess(t *testing.T) {
	const seen = 5
	base := startCurrentStandinEngine(t)
	first := startProcess(t, base, nil)
	n := first.dial("entry-1")
	run := chat(1)
	n.send(run)
	whole, _ := n.answer(0)
	resume := &protocol.Resume{Attempt: run.Attempt, Epoch: first.tel.Epoch, Seq: seen, Window: 4, Organisation: "org"}

	second := startProcess(t, base, nil)
	back := second.dial("entry-2")
	back.send(resume)
	got := ""
	for seq := uint64(seen); seq < seen+4; seq++ {
		got += back.chunk(seq)
	}
	// The session breaks and the stream is resumed from what the caller has.
	again := second.dial("entry-3")
	resume.Seq, resume.Window = seen+4, 64
	again.send(resume)
	rest, end := again.answer(resume.Seq)
	if end.Outcome != protocol.Done || end.FinishReason == "" || len(got+rest) >= len(whole) || whole[len(whole)-len(got+rest):] != got+rest {
		t.Fatalf("got %q and %q of %q, %+v", got, rest, whole, end)
	}
}

// Guards against delivering a stream to another organisation, or with a gap, because
// the attempt's ID alone is taken as a permission: the Resume comes from another
// organisation, for an attempt that began in the middle, or beyond the stream's end.
func TestStreamsThatAreNotAdopted(t *testing.T) {
	base := startCurrentStandinEngine(t)
	first := startProcess(t, base, nil)
	n := first.dial("entry-1")
	middle := chat(2)
	middle.FirstSeq, middle.Partial = 3, "a b c "
	n.send(chat(1))
	n.answer(0)
	n.send(middle)
	n.answer(3)
	back := startProcess(t, base, nil).dial("entry-2")
	for name, resume := range map[string]protocol.Resume{
		"another organisation": {Attempt: attemptID(1), Organisation: "other"},
		"no organisation":      {Attempt: attemptID(1)},
		"a continuation":       {Attempt: attemptID(2), Seq: 4, Organisation: "org"},
		"beyond the end":       {Attempt: attemptID(1), Seq: 17, Organisation: "org"},
		"unknown":              {Attempt: attemptID(3), Organisation: "org"},
	} {
		resume.Epoch, resume.Window = first.tel.Epoch, 64
		back.send(&resume)
		if end, ok := back.next().(*protocol.End); !ok || end.Outcome != protocol.Unknown || end.Code != protocol.CodeUnknownOutcome {
			t.Errorf("%s: got %+v", name, end)
		}
	}
	// A refused resume must not end the stream for its own organisation.
	own := &protocol.Resume{Attempt: attemptID(1), Epoch: first.tel.Epoch, Window: 64, Organisation: "org"}
	back.send(own)
	if _, end := back.answer(0); end.Outcome != protocol.Done {
		t.Errorf("its own organisation got %+v", end)
	}
}

// chunk returns the next chunk's text, after its Start if that is still to come.
func (n *entry) chunk(seq uint64) string {
	n.t.Helper()
	m := n.next()
	if _, ok := m.(*protocol.Start); ok {
		m = n.next()
	}
	c, ok := m.(*protocol.Chunk)
	if !ok || c.Seq != seq {
		n.t.Fatalf("got %+v, want chunk %d", m, seq)
	}
	return string(c.Data)
}
