package entry

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"skylarklead/internal/protocol"
	"skylarklead/internal/wire"
	"skylarklead/test/kit"
)

const totalWords = 40

// Symptom: an answer with pieces twice or missing after a short network fault.
// Sequence: the session is cut in mid-stream; the executor has sent pieces that
// the entry hasn't got; on the new session it sends some of them again, and a
// piece of another caller's attempt arrives crossed.
// Cause: without Resume from the next piece and dropping by attempt and number,
// the caller would get what comes as it comes.
func TestStreamSurvivesCutSession(t *testing.T) {
	x := newExecutor(t, "ep-1", script{
		run: func(x *executor, s *wire.Session, m *protocol.Run) {
			words(s, m.Attempt, 0, 10, totalWords)
			x.cut()
		},
		resume: func(x *executor, s *wire.Session, m *protocol.Resume) {
			_ = s.Send(&protocol.Chunk{Attempt: protocol.AttemptID{9}, Seq: m.Seq, Data: []byte("crossed")})
			_ = s.Send(&protocol.Chunk{Attempt: m.Attempt, Seq: m.Seq - 1, Data: []byte("doubled")})
			goesOn(x, s, m)
		},
		other: func(_ *executor, s *wire.Session, ref uint32, m protocol.Message) {
			if m, ok := m.(*protocol.Resolve); ok {
				_ = s.Reply(ref, &protocol.Resolved{Attempt: m.Attempt, Running: true})
			}
		},
	})
	_, c := newTestEntry(t, "llm", x)
	wantWhole(t, c.stream(streamBody))
	if n := count[*protocol.Run](x); n != 1 {
		t.Errorf("%d runs", n)
	}
}

// Symptom: a stream that just stops when its endpoint process dies.
// Sequence: the executor is killed in mid-stream and restarted at once under the
// same ID with a new epoch, which knows nothing of the attempt.
// Cause: only the same epoch can resume; the entry has to go on elsewhere from
// the text that the caller already has.
func TestStreamGoesOnElsewhere(t *testing.T) {
	pair := newPair(t, begins(10))
	_, c := newTestEntry(t, "llm", pair...)
	lines, _ := c.open()
	first := readEvents(t, lines, 10)
	pair[0].restart(t)
	wantWhole(t, first, readEvents(t, lines, 0))
	if run := last[*protocol.Run](pair[1]); run == nil || run.FirstSeq != 10 || run.Partial != first.text || run.MaxTokens != 64-10 {
		t.Errorf("went on by %+v", run)
	}
}

// Symptom: a request waits for many seconds for its first token.
// Sequence: its executor is stopped just after it has taken the Run; the kernel
// keeps the connection open.
// Cause: nothing is lost or refused, so only a question that stays unanswered shows
// that the process is not at work.
func TestStoppedExecutorIsLeft(t *testing.T) {
	_, c := newTestEntry(t, "llm", newPair(t, func(*executor, *wire.Session, *protocol.Run) {})...)
	wantWhole(t, c.stream(streamBody))
}

// Symptom: streams of a busy executor are cut and resumed over and over.
// Sequence: a long prefill: nothing comes for seconds, but the process is at work.
// Cause: silence alone is no sign that it is stopped; it has to be asked, in a way
// that every endpoint process answers.
func TestQuietExecutorIsWaitedFor(t *testing.T) {
	asked := make(chan struct{}, 8)
	x := newExecutor(t, "ep-1", script{
		run: func(x *executor, s *wire.Session, m *protocol.Run) {
			<-asked
			<-asked
			answers.run(x, s, m)
		},
		other: func(_ *executor, s *wire.Session, ref uint32, m protocol.Message) {
			if _, ok := m.(*protocol.StatusRequest); ok {
				_ = s.Reply(ref, &protocol.Status{})
				asked <- struct{}{}
			}
		},
	})
	_, c := newTestEntry(t, "llm", x)
	wantWhole(t, c.stream(streamBody))
	if runs, resolves := count[*protocol.Run](x), count[*protocol.Resolve](x); runs != 1 || resolves != 0 {
		t.Errorf("%d runs, %d resolves", runs, resolves)
	}
}

// Symptom: a caller takes a cut answer for a whole one.
// Sequence: every attempt of a stream dies in the middle until the budget or the
// attempts are used up.
// Cause: a stream that ends without [DONE] and without an error event can't be
// told from a whole one by clients that ignore [DONE].
func TestStreamEndsExplicitly(t *testing.T) {
	_, c := newTestEntry(t, "llm", newExecutor(t, "ep-1", runs(func(_ *executor, s *wire.Session, m *protocol.Run) {
		words(s, m.Attempt, m.FirstSeq, m.FirstSeq+2, totalWords)
		_ = s.Send(&protocol.End{Attempt: m.Attempt, Seq: m.FirstSeq + 2, Outcome: protocol.Unknown})
	})))
	got := c.stream(streamBody)
	if got.done || got.failure == nil || got.failure.Ran != protocol.Unknown {
		t.Errorf("done %v, failure %+v", got.done, got.failure)
	}
	if !strings.HasPrefix(wantWords(totalWords), got.text) {
		t.Errorf("text out of order: %q", got.text)
	}
}

// Symptom: the engine computes for callers who are long gone, or cuts streams of
// callers who come back.
// Sequence: one caller hangs up on a stream and stays away; another comes back
// within the grace through this entry, with Last-Event-ID.
// Cause: Cancel has to wait for the grace, and a resume has to call it off.
func TestHangUp(t *testing.T) {
	x := newExecutor(t, "ep-1", script{run: begins(5), resume: goesOn})
	_, c := newTestEntry(t, "llm", x)

	t.Run("away", func(t *testing.T) {
		lines, hangUp := c.open()
		readEvents(t, lines, 5)
		hangUp()
		kit.Until(t, "canceled", func() bool { return count[*protocol.Cancel](x) == 1 })
		if got, want := last[*protocol.Cancel](x).Attempt, last[*protocol.Run](x).Attempt; got != want {
			t.Errorf("canceled %v, want %v", got, want)
		}
	})
	t.Run("back", func(t *testing.T) {
		before := count[*protocol.Cancel](x)
		lines, hangUp := c.open()
		first := readEvents(t, lines, 5)
		hangUp()
		wantWhole(t, first, readSSE(t, c.resume(first.lastID)))
		if n := count[*protocol.Cancel](x) - before; n != 0 {
			t.Errorf("%d cancels of a stream that was resumed", n)
		}
	})
	t.Run("still there", func(t *testing.T) {
		lines, _ := c.open()
		first := readEvents(t, lines, 5)
		wantWhole(t, first, readSSE(t, c.resume(first.lastID)))
		if left := readEvents(t, lines, 0); left.done || left.failure == nil || left.failure.Code != protocol.CodeCanceled {
			t.Errorf("the first caller's stream ended with %+v", left)
		}
	})
	t.Run("whole answer", func(t *testing.T) {
		before, runs := count[*protocol.Cancel](x), count[*protocol.Run](x)
		ctx, hangUp := context.WithCancel(context.Background())
		go func() {
			kit.Until(t, "run", func() bool { return count[*protocol.Run](x) > runs })
			hangUp()
		}()
		r, _ := http.NewRequestWithContext(ctx, http.MethodPost, c.URL+chatPath, strings.NewReader(wholeBody))
		r.Header.Set("Authorization", "Bearer "+testKey)
		if resp, err := http.DefaultClient.Do(r); err == nil {
			resp.Body.Close()
			t.Error("answered")
		}
		kit.Until(t, "canceled", func() bool { return count[*protocol.Cancel](x) > before })
	})
}

// Symptom: a caller who comes back is told that its stream is lost, while the
// engine goes on with it.
// Sequence: the executor has been restarted when the caller resumes; once the new
// process has adopted the stream, once it has not.
// Cause: an entry that asks no process but that of the epoch in Last-Event-ID.
func TestResumeAtRestartedExecutor(t *testing.T) {
	for _, adopts := range []bool{true, false} {
		x := newExecutor(t, "ep-1", script{run: begins(5), resume: func(x *executor, s *wire.Session, m *protocol.Resume) {
			if adopts && m.Epoch == x.epoch-1 && m.Organisation == "foodbank" {
				goesOn(x, s, m)
				return
			}
			_ = s.Send(&protocol.End{Attempt: m.Attempt, Seq: m.Seq, Outcome: protocol.Unknown, Code: protocol.CodeUnknownOutcome})
		}})
		_, c := newTestEntry(t, "llm", x)
		lines, hangUp := c.open()
		first := readEvents(t, lines, 5)
		hangUp()
		x.restart(t)
		resp := c.resume(first.lastID)
		if adopts {
			wantWhole(t, first, readSSE(t, resp))
		} else if e := readError(t, resp); e.Code != protocol.CodeUnknownOutcome || !strings.Contains(e.Message, "restarted") {
			t.Errorf("got %+v", e)
		}
	}
}

// Symptom: a resumed stream ends with an error though its executor lives.
// Sequence: the session of the resumed stream is cut again and again, and each
// time some more of the stream has come.
// Cause: the bound on tries is for an executor out of reach, not for the length of
// a stream over a bad link.
func TestResumedStreamSurvivesCuts(t *testing.T) {
	const perSession = 3
	x := newExecutor(t, "ep-1", script{run: begins(5), resume: func(_ *executor, s *wire.Session, m *protocol.Resume) {
		words(s, m.Attempt, m.Seq, min(m.Seq+perSession, totalWords), totalWords)
	}})
	_, c := newTestEntry(t, "llm", x)
	lines, hangUp := c.open()
	first := readEvents(t, lines, 5)
	hangUp()
	lines = bufio.NewScanner(c.resume(first.lastID).Body)
	got := first
	for len(got.text) < len(wantWords(totalWords)) {
		part := readEvents(t, lines, perSession)
		if got.text += part.text; part.text == "" {
			t.Fatalf("stopped after %q: %+v", got.text, part.failure)
		}
		if len(got.text) < len(wantWords(totalWords)) {
			x.cut()
		}
	}
	wantWhole(t, got, readEvents(t, lines, 0))
}

// Symptom: all streams of a session stall when one caller stops reading.
// Sequence: one caller reads nothing of a long answer, whose executor doesn't
// even keep to the window; another one's short answers go over the same session.
// Cause: a session has one reader; it must never wait for one stream's mailbox.
func TestSlowCallerStallsNobody(t *testing.T) {
	_, c := newTestEntry(t, "llm", newExecutor(t, "ep-1", runs(func(x *executor, s *wire.Session, m *protocol.Run) {
		if m.MaxTokens == 1 {
			answers.run(x, s, m)
			return
		}
		flood(s, m.Attempt, m.FirstSeq, m.FirstSeq+8*window, 32<<10)
	})))
	kit.Must(io.ReadFull(c.chat(streamBody).Body, make([]byte, 1)))(t)
	for range 5 {
		wantWhole(t, c.stream(strings.Replace(streamBody, "{", `{"max_tokens":1,`, 1)))
	}
}
