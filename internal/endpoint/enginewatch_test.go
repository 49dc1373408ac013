package endpoint

import (
	"errors"
	"strings"
	"testing"
	"time"

	"skylarklead/internal/engine"
	"skylarklead/internal/protocol"
	"skylarklead/test/kit"
)

// Symptom: on a busy machine an engine with new weights is taken for one with the
// old ones: a request for those runs under the new ones and ends unknown, and the
// order to load is given once more.
// Sequence: a load report is asked for; the new weights come into force; the
// report's answer, from before, is read late.
// Cause: a report's age was counted from when it was read.
func TestLateLoadReportNamesOldWeights(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name        string
		asked, done time.Duration
		ageMs       int64
		want        string
	}{
		{"asked before, answered late", 1 * second, 2 * second, 0, "v2"},
		{"asked after, but as of before", 3 * second, 2 * second, 1500, "v2"},
		{"asked after, as of after", 3 * second, 2 * second, 200, "v1"},
	} {
		e, _ := newTestEndpoint(t)
		e.watch.model, e.watch.version = "m", "v2"
		e.placement.doneAt = c.done
		e.onLoad(c.asked, engine.Load{Incarnation: "i1", Model: "m", Version: "v1", AgeMs: c.ageMs}, nil)
		if e.watch.version != c.want {
			t.Errorf("%s: engine is taken for %s, want %s", c.name, e.watch.version, c.want)
		}
	}
}

// Symptom: an operator finds nothing in the log of why an endpoint got no work.
// Sequence: its peer falls silent, is reported or can't be reached, or its engine
// goes down; all come back.
// Cause: only the states were kept.
func TestDownAndUpAreLogged(t *testing.T) {
	e, log := newTestEndpoint(t)
	logged := func(what string, words ...string) {
		t.Helper()
		lines := log.take()
		if len(words) == 0 && lines == "" {
			return
		}
		for _, w := range append(words, `"level":"WARN"`) {
			if len(words) == 0 || strings.Count(lines, w) != 1 {
				t.Errorf("%s: want one line with %q, got %q", what, words, lines)
				return
			}
		}
	}
	view := e.group.view
	seq := uint64(0)
	heard := func() {
		seq++
		view.HeartbeatReceived(&protocol.Heartbeat{ID: "ep-2", Epoch: 1, Seq: seq}, e.now())
	}
	heard()
	e.logPeers()
	logged("first heard")
	for _, c := range []struct {
		why, msg string
		down     func()
	}{
		{"reported_unavailable", "peer suspect", func() { view.UnavailableReported([]string{"ep-2"}, e.now()) }},
		{"connection_failed", "peer dead", func() { view.ConnectionFailed("ep-2", e.now()) }},
		{"silent", "peer suspect", func() { e.started = e.started.Add(-4 * time.Second) }},
	} {
		c.down()
		e.logPeers()
		logged(c.why, c.msg, `"peer":"ep-2"`, `"why":"`+c.why+`"`)
		e.logPeers()
		logged("still down")
		heard()
		e.logPeers()
		logged("heard again", "peer back", `"peer":"ep-2"`, "down_ms")
	}
	view.ConnectionFailed("ep-2", e.now())
	e.logPeers()
	log.take()
	e.started = e.started.Add(-time.Second) // its backoff is over, but it wasn't heard
	e.logPeers()
	logged("only tried again")

	load := engine.Load{Incarnation: "i1", Model: "m", Version: "v1"}
	e.onLoad(e.now(), load, nil)
	logged("first answer")
	for range 3 {
		e.onLoad(e.now(), load, errors.New("refused"))
	}
	logged("engine down", "engine down", "refused")
	e.onLoad(e.now(), load, nil)
	logged("engine up", "engine up", "down_ms")
}

// Symptom: requests go to an endpoint for half a second only to be refused.
// Sequence: its engine's port is closed while a connection that the looks at the
// load go over is still there.
// Cause: the engine went by its load reports alone.
func TestUnreachableEngineIsDownAtOnce(t *testing.T) {
	f, p, n := beside(t, "a")
	kit.Until(t, "the engine", func() bool { return n.status().Load.EngineUp })
	f.Listener.Close()
	n.send(chat(1))
	if end := n.end(); end.Outcome != protocol.NotRun {
		t.Fatalf("got %+v", end)
	}
	if log := p.log.take(); !strings.Contains(log, "engine down") {
		t.Fatalf("not noticed: %s", log)
	}
}
