package endpoint

import (
	"testing"
	"time"

	"skylarklead/internal/protocol"
	"skylarklead/test/kit"
)

// Guards against sending attempts to an engine that has refused one and asked for a backoff.
func TestAnEngineThatAsksForRestGetsIt(t *testing.T) {
	t.Parallel()
	const backoff = 700 * time.Millisecond
	backend := newFakeEngine(t, "a")
	p := startProcess(t, backend.URL, nil)
	n := p.dial("entry-1")
	kit.Until(t, "the engine", func() bool { return n.status().Load.EngineUp })
	backend.withLock(func() { backend.retryAfter = "0.7" })
	started := time.Now()
	for i := byte(1); i <= 4; i++ {
		n.send(chat(i))
		end := n.end()
		if end.Outcome != protocol.NotRun {
			t.Errorf("attempt %d: got %+v", i, end)
		}
		remaining := backoff - time.Since(started)
		if retryAfter := time.Duration(end.RetryAfterMs) * time.Millisecond; retryAfter < remaining-100*time.Millisecond || retryAfter > backoff {
			t.Errorf("attempt %d: retry after %v, %v before the end of the backoff", i, retryAfter, remaining)
		}
	}
	var refused int
	backend.withLock(func() {
		refused = backend.refused
		backend.retryAfter = ""
	})
	if refused != 1 {
		t.Errorf("%d attempts reached the engine, want one", refused)
	}
	time.Sleep(time.Until(started.Add(backoff + 100*time.Millisecond)))
	n.send(chat(5))
	if end := n.end(); end.Outcome != protocol.Done {
		t.Errorf("after the backoff: got %+v", end)
	}
}
