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

// Guards against taking an engine with new weights for one with the old ones, which
// runs a request for the old ones under the new ones with an unknown outcome, and
// repeats the order to load. On a busy machine a load report is requested, the new
// weights come into force, and the report from before is read late; its age must not be
// counted from when it was read.
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
		e.weights.loadedAt = c.done
		e.onLoad(c.asked, engine.Load{Incarnation: "i1", Model: "m", Version: "v1", AgeMs: c.ageMs}, nil)
		if e.watch.version != c.want {
			t.Errorf("%s: engine is taken for %s, want %s", c.name, e.watch.version, c.want)
		}
	}
}

// Guards against a log that doesn't show why an endpoint got no work: its peer falls
// silent, is reported as unavailable or can't be reached, or its engine goes down; then
// all come back.
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
	receiveHeartbeat := func() {
		seq++
		view.HeartbeatReceived(&protocol.Heartbeat{ID: "ep-2", Epoch: 1, Seq: seq}, e.now())
	}
	receiveHeartbeat()
	e.logPeerChanges()
	logged("first heartbeat")
	for _, c := range []struct {
		why, msg string
		down     func()
	}{
		{"reported_unavailable", "peer suspect", func() { view.UnavailableReported([]string{"ep-2"}, e.now()) }},
		{"connection_failed", "peer dead", func() { view.ConnectionFailed("ep-2", e.now()) }},
		{"silent", "peer suspect", func() { e.started = e.started.Add(-4 * time.Second) }},
	} {
		c.down()
		e.logPeerChanges()
		logged(c.why, c.msg, `"peer":"ep-2"`, `"why":"`+c.why+`"`)
		e.logPeerChanges()
		logged("still down")
		receiveHeartbeat()
		e.logPeerChanges()
		logged("heartbeat again", "peer back", `"peer":"ep-2"`, "down_ms")
	}
	view.ConnectionFailed("ep-2", e.now())
	e.logPeerChanges()
	log.take()
	e.started = e.started.Add(-time.Second) // its backoff is over, but no heartbeat was received
	e.logPeerChanges()
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

// Guards against sending requests to an endpoint that refuses them all, for half a
// second, until load reports are missed: the engine's port is closed, while the
// connection of the load requests is still open.
func TestUnreachableEngineIsDownAtOnce(t *testing.T) {
	f, p, n := startWithEngine(t, "a")
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
