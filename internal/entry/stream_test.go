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

// The session is cut in mid-stream. On the new session the executor sends some
// chunks again, and a chunk of another caller's attempt arrives. The caller must
// get every chunk exactly once: the entry resumes at the next expected chunk and
// drops messages by attempt ID and sequence number.
func TestStreamSurvivesCutSession(t *testing.T) {
	x := newExecutor(t, "ep-1", script{
		run: func(x *executor, s *wire.Session, m *protocol.Run) {
			sendWords(s, m.Attempt, 0, 10, totalWords)
			x.closeSessions()
		},
		resume: func(x *executor, s *wire.Session, m *protocol.Resume) {
			_ = s.Send(&protocol.Chunk{Attempt: protocol.AttemptID{9}, Seq: m.Seq, Data: []byte("crossed")})
			_ = s.Send(&protocol.Chunk{Attempt: m.Attempt, Seq: m.Seq - 1, Data: []byte("doubled")})
			sendsRest(x, s, m)
		},
		other: func(_ *executor, s *wire.Session, ref uint32, m protocol.Message) {
			if m, ok := m.(*protocol.Resolve); ok {
				_ = s.Reply(ref, &protocol.Resolved{Attempt: m.Attempt, Running: true})
			}
		},
	})
	_, c := newTestEntry(t, "llm", x)
	wantComplete(t, c.stream(streamBody))
	if n := countMessages[*protocol.Run](x); n != 1 {
		t.Errorf("%d runs", n)
	}
}

// The executor is killed in mid-stream and restarted at once with the same ID and a
// new epoch, which doesn't know the attempt. Only the old epoch could resume it, so
// the entry must continue on another executor from the text that the caller has.
func TestStreamGoesOnElsewhere(t *testing.T) {
	pair := newPair(t, sendsFirst(10))
	_, c := newTestEntry(t, "llm", pair...)
	lines, _ := c.openStream()
	first := readEvents(t, lines, 10)
	pair[0].restart(t)
	wantComplete(t, first, readEvents(t, lines, 0))
	if run := lastMessage[*protocol.Run](pair[1]); run == nil || run.FirstSeq != 10 || run.Partial != first.text || run.MaxTokens != 64-10 {
		t.Errorf("continued with %+v", run)
	}
}

// The executor is suspended just after taking the Run, and the kernel keeps the
// connection open. Nothing fails, so only an unanswered liveness check reveals it;
// without one the caller would wait many seconds for the first token.
func TestStoppedExecutorIsLeft(t *testing.T) {
	_, c := newTestEntry(t, "llm", newPair(t, func(*executor, *wire.Session, *protocol.Run) {})...)
	wantComplete(t, c.stream(streamBody))
}

// During a long prefill no message comes for seconds although the process is
// working. Silence alone must not end the session, or streams of a busy executor
// would be cut and resumed repeatedly. Every endpoint process answers the liveness
// check.
func TestQuietExecutorIsWaitedFor(t *testing.T) {
	asked := make(chan struct{}, 8)
	x := newExecutor(t, "ep-1", script{
		run: func(x *executor, s *wire.Session, m *protocol.Run) {
			<-asked
			<-asked
			answersAll.run(x, s, m)
		},
		other: func(_ *executor, s *wire.Session, ref uint32, m protocol.Message) {
			if _, ok := m.(*protocol.StatusRequest); ok {
				_ = s.Reply(ref, &protocol.Status{})
				asked <- struct{}{}
			}
		},
	})
	_, c := newTestEntry(t, "llm", x)
	wantComplete(t, c.stream(streamBody))
	if runs, resolves := countMessages[*protocol.Run](x), countMessages[*protocol.Resolve](x); runs != 1 || resolves != 0 {
		t.Errorf("%d runs, %d resolves", runs, resolves)
	}
}

// Every attempt of a stream dies in the middle until the budget or the attempts are
// exhausted. The stream must end with an error event: clients that ignore [DONE]
// could not otherwise tell the partial answer from a complete one.
func TestStreamEndsExplicitly(t *testing.T) {
	_, c := newTestEntry(t, "llm", newExecutor(t, "ep-1", onRun(func(_ *executor, s *wire.Session, m *protocol.Run) {
		sendWords(s, m.Attempt, m.FirstSeq, m.FirstSeq+2, totalWords)
		_ = s.Send(&protocol.End{Attempt: m.Attempt, Seq: m.FirstSeq + 2, Outcome: protocol.Unknown})
	})))
	got := c.stream(streamBody)
	if got.done || got.failure == nil || got.failure.Ran != protocol.Unknown {
		t.Errorf("done %v, failure %+v", got.done, got.failure)
	}
	if !strings.HasPrefix(allWords(totalWords), got.text) {
		t.Errorf("text out of order: %q", got.text)
	}
}

// A caller disconnects from a stream. If it stays away, the executor must get a
// Cancel after the grace period, so that the engine doesn't compute for nobody. If
// it resumes through this entry within the grace period, the stream must not be
// cancelled.
func TestHangUp(t *testing.T) {
	x := newExecutor(t, "ep-1", script{run: sendsFirst(5), resume: sendsRest})
	_, c := newTestEntry(t, "llm", x)

	t.Run("away", func(t *testing.T) {
		lines, hangUp := c.openStream()
		readEvents(t, lines, 5)
		hangUp()
		kit.Until(t, "canceled", func() bool { return countMessages[*protocol.Cancel](x) == 1 })
		if got, want := lastMessage[*protocol.Cancel](x).Attempt, lastMessage[*protocol.Run](x).Attempt; got != want {
			t.Errorf("canceled %v, want %v", got, want)
		}
	})
	t.Run("back", func(t *testing.T) {
		before := countMessages[*protocol.Cancel](x)
		lines, hangUp := c.openStream()
		first := readEvents(t, lines, 5)
		hangUp()
		wantComplete(t, first, readSSE(t, c.resume(first.lastID)))
		if n := countMessages[*protocol.Cancel](x) - before; n != 0 {
			t.Errorf("%d cancels of a stream that was resumed", n)
		}
	})
	t.Run("still there", func(t *testing.T) {
		lines, _ := c.openStream()
		first := readEvents(t, lines, 5)
		wantComplete(t, first, readSSE(t, c.resume(first.lastID)))
		if left := readEvents(t, lines, 0); left.done || left.failure == nil || left.failure.Code != protocol.CodeCanceled {
			t.Errorf("the first caller's stream ended with %+v", left)
		}
	})
	t.Run("whole answer", func(t *testing.T) {
		before, runs := countMessages[*protocol.Cancel](x), countMessages[*protocol.Run](x)
		ctx, hangUp := context.WithCancel(context.Background())
		go func() {
			kit.Until(t, "run", func() bool { return countMessages[*protocol.Run](x) > runs })
			hangUp()
		}()
		r, _ := http.NewRequestWithContext(ctx, http.MethodPost, c.URL+chatPath, strings.NewReader(plainBody))
		r.Header.Set("Authorization", "Bearer "+testKey)
		if resp, err := http.DefaultClient.Do(r); err == nil {
			resp.Body.Close()
			t.Error("answered")
		}
		kit.Until(t, "canceled", func() bool { return countMessages[*protocol.Cancel](x) > before })
	})
}

// The executor has restarted when the caller resumes. The entry must ask the new
// process too, not only the epoch in Last-Event-ID: the new process may have
// adopted the stream, in which case it continues. If not, the caller gets an error.
func TestResumeAtRestartedExecutor(t *testing.T) {
	for _, adopts := range []bool{true, false} {
		x := newExecutor(t, "ep-1", script{run: sendsFirst(5), resume: func(x *executor, s *wire.Session, m *protocol.Resume) {
			if adopts && m.Epoch == x.epoch-1 && m.Organisation == "foodbank" {
				sendsRest(x, s, m)
				return
			}
			_ = s.Send(&protocol.End{Attempt: m.Attempt, Seq: m.Seq, Outcome: protocol.Unknown, Code: protocol.CodeUnknownOutcome})
		}})
		_, c := newTestEntry(t, "llm", x)
		lines, hangUp := c.openStream()
		first := readEvents(t, lines, 5)
		hangUp()
		x.restart(t)
		resp := c.resume(first.lastID)
		if adopts {
			wantComplete(t, first, readSSE(t, resp))
		} else if e := readError(t, resp); e.Code != protocol.CodeUnknownOutcome || !strings.Contains(e.Message, "restarted") {
			t.Errorf("got %+v", e)
		}
	}
}

// The session of a resumed stream is cut again and again, after some more chunks
// each time. The stream must not fail: maxResumeTries limits how long an executor
// may be unreachable, not how long a stream over a bad network may be.
func TestResumedStreamSurvivesCuts(t *testing.T) {
	const perSession = 3
	x := newExecutor(t, "ep-1", script{run: sendsFirst(5), resume: func(_ *executor, s *wire.Session, m *protocol.Resume) {
		sendWords(s, m.Attempt, m.Seq, min(m.Seq+perSession, totalWords), totalWords)
	}})
	_, c := newTestEntry(t, "llm", x)
	lines, hangUp := c.openStream()
	first := readEvents(t, lines, 5)
	hangUp()
	lines = bufio.NewScanner(c.resume(first.lastID).Body)
	got := first
	for len(got.text) < len(allWords(totalWords)) {
		part := readEvents(t, lines, perSession)
		if got.text += part.text; part.text == "" {
			t.Fatalf("stopped after %q: %+v", got.text, part.failure)
		}
		if len(got.text) < len(allWords(totalWords)) {
			x.closeSessions()
		}
	}
	wantComplete(t, got, readEvents(t, lines, 0))
}

// One caller reads nothing of a long answer, whose executor exceeds its window,
// while another caller's short answers use the same session. The session has one
// reader, which must never block on one stream's mailbox.
func TestSlowCallerStallsNobody(t *testing.T) {
	_, c := newTestEntry(t, "llm", newExecutor(t, "ep-1", onRun(func(x *executor, s *wire.Session, m *protocol.Run) {
		if m.MaxTokens == 1 {
			answersAll.run(x, s, m)
			return
		}
		flood(s, m.Attempt, m.FirstSeq, m.FirstSeq+8*window, 32<<10)
	})))
	kit.Must(io.ReadFull(c.chat(streamBody).Body, make([]byte, 1)))(t)
	for range 5 {
		wantComplete(t, c.stream(strings.Replace(streamBody, "{", `{"max_tokens":1,`, 1)))
	}
}
