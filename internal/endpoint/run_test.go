package endpoint

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/coder/websocket"

	"skylarklead/internal/protocol"
	"skylarklead/internal/settings"
	"skylarklead/internal/wire"
	"skylarklead/test/kit"
)

func TestRunStreamsTheAnswer(t *testing.T) {
	_, _, n := startWithEngine(t, "one ", "two ", "three")
	n.send(chat(1))
	if end := n.want(0, "one two three", protocol.Done); end.CachedTokens != 16 {
		t.Fatalf("got %+v", end)
	}
}

func TestCreditBoundsWhatIsSent(t *testing.T) {
	_, _, n := startWithEngine(t, "a", "b", "c", "d")
	run := chat(1)
	run.Window = 2
	n.send(run)
	n.skip(3)
	// Another attempt on the same session passes the one that waits for credit.
	n.send(chat(2))
	if text, end := n.answer(0); text != "abcd" || end.Attempt != attemptID(2) {
		t.Fatalf("got %q, %+v", text, end)
	}
	n.send(&protocol.Credit{Attempt: run.Attempt, Seq: 9})
	n.want(2, "cd", protocol.Done)
}

// Guards against a cut answer when the caller's entry died but the stream did not. The
// session is lost after two chunks, and the caller comes back through another entry with
// the last sequence number it had.
func TestResumeOnAnotherSession(t *testing.T) {
	f, p, n := startWithRun(t, "a", "b", "c", "d")
	f.step <- struct{}{}
	f.step <- struct{}{}
	n.skip(2)
	n.session.Close(wire.ErrClosed)
	other := p.dial("entry-2")
	other.send(&protocol.Resume{Attempt: attemptID(1), Epoch: p.tel.Epoch, Seq: 1, Window: 10, Organisation: "org"})
	close(f.step)
	other.want(1, "bcd", protocol.Done)
	f.wantRuns(1, 1)
}

// Guards against an answer that ends early although the engine still generates it: the
// connection to the engine is cut after a word, but the engine is alive.
func TestEngineConnectionLost(t *testing.T) {
	f, _, n := startWithEngine(t, "a", "b", "c")
	f.withLock(func() { f.cutStreams[attemptID(1).String()] = true })
	n.send(chat(1))
	n.want(0, "abc", protocol.Done)
	f.wantRuns(1, 1)
}

// Guards against a stream that ends although its engine still has it, since the connection is cut within an event: the
// part of a line is taken for a malformed one.
func TestEngineConnectionLostWithinAnEvent(t *testing.T) {
	const event = "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n"
	for n := range len(event) + 1 {
		f, _, e := startWithEngine(t, "a", "b", "c")
		f.withLock(func() { f.cutStreams[attemptID(1).String()], f.cutPart = true, event[:n] })
		e.send(chat(1))
		e.want(0, "abc", protocol.Done)
		f.wantRuns(1, 1)
	}
}

// Guards against reporting done, or waiting for ever, after the engine died. It dies
// after a word and comes back as another incarnation, to which the stream doesn't
// belong.
func TestEngineCrash(t *testing.T) {
	f, _, n := startWithRun(t, "a", "b", "c")
	f.withLock(func() { f.cutStreams[attemptID(1).String()], f.incarnation = true, "i2" })
	close(f.step)
	if end := n.want(0, "a", protocol.Unknown); !end.EngineCrashed {
		t.Fatalf("got %+v", end)
	}
}

// Guards against a not_run answer for a payment that runs nevertheless. A session stalls
// with a Run on it; the entry asks on another session for the outcome and is answered
// not_run; then the Run arrives.
func TestResolveFencesAnUnseenAttempt(t *testing.T) {
	f, p, n := startWithEngine(t, "a")
	resolve := &protocol.Resolve{Attempt: attemptID(1), Epoch: p.tel.Epoch}
	if r := n.call(resolve).(*protocol.Resolved); r.Outcome != protocol.NotRun || r.Running {
		t.Fatalf("got %+v", r)
	}
	n.send(chat(1))
	n.refused()
	f.wantRuns(1, 0)
}

func TestResolveOfAnotherEpoch(t *testing.T) {
	_, p, n := startWithEngine(t, "a")
	r := n.call(&protocol.Resolve{Attempt: attemptID(1), Epoch: p.tel.Epoch + 1}).(*protocol.Resolved)
	if r.Outcome != protocol.Unknown || r.Running {
		t.Fatalf("got %+v", r)
	}
}

func TestDoubledRunIsDropped(t *testing.T) {
	f, _, n := startWithEngine(t, "a")
	n.send(chat(1))
	n.send(chat(1))
	n.answer(0)
	n.send(chat(2))
	n.answer(0)
	f.wantRuns(1, 1)
}

func TestCancelReachesTheEngine(t *testing.T) {
	f, p, n := startWithRun(t, "a", "b")
	p.dial("entry-2").send(&protocol.Cancel{Attempt: attemptID(1)})
	n.send(&protocol.Cancel{Attempt: attemptID(1)})
	if _, end := n.answer(0); end.Code != protocol.CodeCanceled {
		t.Fatalf("got %+v", end)
	}
	kit.Until(t, "the engine's cancel", func() (canceled bool) {
		f.withLock(func() { canceled = f.canceled[attemptID(1).String()] })
		return canceled
	})
}

// Guards against an answer that is kept, and a graceful stop that waits, for an entry that has canceled it and
// takes none of it any more.
func TestCanceledAnswerIsForgotten(t *testing.T) {
	f, p, n := startWithEngine(t, "a", "b", "c", "d")
	run := chat(1)
	run.Window = 1
	n.send(run)
	kit.Until(t, "the answer is made", func() bool { return f.ran(run.Attempt) == 1 && n.status().Load.Running == 0 })
	n.send(&protocol.Cancel{Attempt: run.Attempt})
	began := time.Now()
	p.stop()
	kit.OK(t, <-p.ended)
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("stopped after %v", took)
	}
}

// Guards against a rolling restart that cuts answers: SIGTERM arrives while an answer is
// being generated, and the process must end with its last stream, not with its context.
func TestDrainCutsNothing(t *testing.T) {
	f, p, n := startWithRun(t, "a", "b")
	p.stop()
	kit.Until(t, "the refusal", func() bool { return n.status().Leaving })
	n.send(chat(2))
	n.refused(protocol.CodeDraining)
	close(f.step)
	n.want(0, "ab", protocol.Done)
	kit.OK(t, <-p.ended)
}

// Guards against a graceful stop that cuts the last answer. Its end is written to a peer
// and the process exits at once; the exit resets the connection, and the reset overtakes
// what the peer has not read yet.
func TestExitLingersAfterTheLastEnd(t *testing.T) {
	e, _ := newTestEndpoint(t)
	ended := func() bool {
		e.checkDrained()
		select {
		case <-e.drain.finished:
			return true
		default:
			return false
		}
	}
	e.drain.lastEnd = e.now() + time.Minute // in the future, so that a slow test doesn't use up the linger time
	if e.drain.stopping = true; ended() {
		t.Fatal("ended with its last end just sent")
	}
	e.started = e.started.Add(-time.Minute - exitLinger)
	if !ended() {
		t.Fatal("doesn't end after the linger time")
	}
}

// Guards against running a request at an endpoint of another group or kind: an entry
// with an old list asks, or sends a Run to, a process that has changed its group or kind.
func TestWhatIsNotForThisEndpointIsRefused(t *testing.T) {
	f, _, n := startWithEngine(t, "a")
	for i, change := range []func(*protocol.Run){
		func(r *protocol.Run) { r.Group = "other" },
		func(r *protocol.Run) { r.Call, r.Messages = &protocol.Call{Service: "s"}, nil },
		func(r *protocol.Run) { r.Messages = nil },
	} {
		run := chat(byte(i + 1))
		change(run)
		n.send(run)
		if end := n.end(); end.Outcome != protocol.NotRun || end.Code != protocol.CodeBadRequest || f.ran(run.Attempt) > 0 {
			t.Errorf("run %d: got %+v, %d runs", i, end, f.ran(run.Attempt))
		}
	}
	question := ask(1)
	question.Group = "other"
	if f, ok := n.call(question).(*protocol.Failure); !ok || f.Refusal.Code != protocol.CodeBadRequest {
		t.Errorf("ask: got %+v", f)
	}
}

func TestQueueOverflowIsRefused(t *testing.T) {
	f, _, n := startWithRunAndSettings(t, func(s *settings.Settings) { s.Endpoint.MaxRunning, s.Endpoint.MaxQueue = 1, 1 }, "a")
	n.send(chat(2))
	n.send(chat(3))
	if _, end := n.answer(0); end.Attempt != attemptID(3) || end.Code != protocol.CodeOverloaded || end.RetryAfterMs == 0 {
		t.Fatalf("got %+v", end)
	}
	close(f.step)
}

// Guards against giving a caller the rest of another organisation's answer: it resumes
// with a Last-Event-ID that isn't its own.
func TestResumeByAnotherOrganisation(t *testing.T) {
	f, p, n := startWithRun(t, "a", "b")
	other := p.dial("entry-2")
	other.send(&protocol.Resume{Attempt: attemptID(1), Epoch: p.tel.Epoch, Window: 10, Organisation: "other"})
	other.want(0, "", protocol.Unknown)
	close(f.step)
	n.want(0, "ab", protocol.Done)
}

// Guards against one bad peer that breaks the streams of others. Peers without the key,
// with malformed frames, and with messages that match nothing come while an answer is
// streamed.
func TestBadPeersHarmNoOther(t *testing.T) {
	f, p, n := startWithRun(t, "a", "b")
	wrongKey := wire.Options{Key: []byte("another key"), Self: func() protocol.Identity { return protocol.Identity{} }, Handler: n}
	if _, err := wire.Dial(context.Background(), p.address, wrongKey); err == nil {
		t.Fatal("a peer without the key was accepted")
	}
	conn, _, err := websocket.Dial(context.Background(), "ws://"+p.address+wire.SessionPath, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.CloseNow()
	conn.Read(context.Background())
	conn.Write(context.Background(), websocket.MessageBinary, []byte{0xff, 0x00})
	if _, _, err := conn.Read(context.Background()); err == nil {
		t.Fatal("a peer that sends garbage was not cut off")
	}
	badPeer := p.dial("entry-2")
	badPeer.send(&protocol.Credit{Attempt: attemptID(1), Seq: 1 << 40})
	badPeer.send(&protocol.End{Attempt: attemptID(1)})
	badPeer.send(&protocol.Heartbeat{ID: "ep-9"})
	badPeer.send(&protocol.Run{Attempt: attemptID(9)})
	badPeer.refused(protocol.CodeBadRequest)
	close(f.step)
	n.want(0, "ab", protocol.Done)
	if dropped := p.tel.Metrics.Dropped.Count(); dropped != 3 {
		t.Fatalf("%d messages dropped and counted", dropped)
	}
}

// Guards against memory that grows to gigabytes beside a busy service: many calls with
// large answers end within half a minute, the time for which the chunks of an ended
// attempt are kept.
func TestReplaysAreBounded(t *testing.T) {
	large := bytes.Repeat([]byte("x"), 4<<20)
	f := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body) // otherwise the server resets the connection
		w.Write(large)
	}))
	t.Cleanup(f.Close)
	p := startProcess(t, f.URL, func(s *settings.Settings) { s.Endpoint.Kind = kindService })
	n := p.dial("entry-1")
	const calls = 12
	for i := range byte(calls) {
		run := payment(i+1, 0)
		run.Key = nil
		run.Window = 1 << 20
		n.send(run)
		if text, end := n.answer(0); len(text) != len(large) || end.Outcome != protocol.Done {
			t.Fatalf("%d bytes, %+v", len(text), end)
		}
	}
	resumable := func(i byte) bool {
		n.send(&protocol.Resume{Attempt: attemptID(i), Epoch: p.tel.Epoch, Window: 1 << 20, Organisation: "org"})
		_, end := n.answer(0)
		return end.Outcome == protocol.Done
	}
	if !resumable(calls) {
		t.Fatal("the last answer can't be resumed")
	}
	kit.Until(t, "the oldest to be dropped", func() bool { return !resumable(1) })
}
