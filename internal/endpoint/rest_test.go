package endpoint

import (
	"testing"
	"time"

	"skylarklead/internal/protocol"
	"skylarklead/test/kit"
)

// Guards against attempts handed to an engine that has refused one and asked for a time of rest.
func TestAnEngineThatAsksForRestGetsIt(t *testing.T) {
	t.Parallel()
	const rest = 700 * time.Millisecond
	backend := newFakeEngine(t, "a")
	p := startProcess(t, backend.URL, nil)
	n := p.dial("entry-1")
	kit.Until(t, "the engine", func() bool { return n.status().Load.EngineUp })
	backend.change(func() { backend.rest = "0.7" })
	began := time.Now()
	for i := byte(1); i <= 4; i++ {
		n.send(chat(i))
		end := n.end()
		if end.Outcome != protocol.NotRun {
			t.Errorf("attempt %d: got %+v", i, end)
		}
		left := rest - time.Since(began)
		if after := time.Duration(end.RetryAfterMs) * time.Millisecond; after < left-100*time.Millisecond || after > rest {
			t.Errorf("attempt %d: told to come back in %v, %v before the end of the rest", i, after, left)
		}
	}
	var refused int
	backend.change(func() {
		refused = backend.refused
		backend.rest = ""
	})
	if refused != 1 {
		t.Errorf("%d attempts reached the engine, one was to be refused", refused)
	}
	time.Sleep(time.Until(began.Add(rest + 100*time.Millisecond)))
	n.send(chat(5))
	if end := n.end(); end.Outcome != protocol.Done {
		t.Errorf("after the rest: got %+v", end)
	}
}
