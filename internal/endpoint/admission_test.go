package endpoint

import (
	"strings"
	"testing"
	"time"

	"skylarklead/internal/follow"
	"skylarklead/internal/member"
	"skylarklead/internal/prefix"
	"skylarklead/internal/protocol"
	"skylarklead/internal/route"
	"skylarklead/internal/settings"
	"skylarklead/internal/wire"
)

// Guards against a large organisation crowding out a small one at the endpoints that
// hold the small one's prefixes: with a backlog at every endpoint of the group, the
// large one had a full share at each of them.
func TestBacklogsElsewhere(t *testing.T) {
	hash := route.OrganisationHash("large")
	const suspectAfter = 3 * time.Second
	e := &Endpoint{
		started:  time.Now().Add(-time.Minute),
		settings: &settings.Settings{Endpoint: &settings.Endpoint{SuspectAfter: settings.Duration(suspectAfter)}},
	}
	reportedAt := e.now()
	e.group.peers = map[string]*peer{
		"backlog":    {hasLoad: true, loadAt: reportedAt, load: protocol.Load{Heavy: []uint64{1, hash}}},
		"none":       {hasLoad: true, loadAt: reportedAt, load: protocol.Load{Heavy: []uint64{1}}},
		"old report": {hasLoad: true, loadAt: reportedAt - 2*suspectAfter, load: protocol.Load{Heavy: []uint64{hash}}},
		"no report":  {},
	}
	if got := e.backlogsElsewhere("large"); got != 1 {
		t.Errorf("%d backlogs of the large one elsewhere, want 1", got)
	}
	if got := e.backlogsElsewhere("small"); got != 0 {
		t.Errorf("%d backlogs of the small one elsewhere, want 0", got)
	}
}

// Guards against an owner that keeps sending to an endpoint with half a second of
// prompts to compute. Other owners have sent these, and the owner learns of them only
// from the endpoint's next periodic report, due in a second.
func TestRisenBacklogIsToldAtOnce(t *testing.T) {
	e, _ := newTestEndpoint(t)
	e.pool = wire.NewPool(wire.Options{Key: fleetKey, Self: e.identity, Handler: peerHandler{e}})
	defer e.pool.Close()
	e.config = follow.FromSettings(e.settings, e.platformLog, nil, e.pool, e.log)
	e.weights.loading = true // nothing is sent to the engine
	e.group.view.InstancesListed([]member.Instance{{ID: "ep-2", Address: freeAddress(t), Group: "g"}}, e.now())
	for i, tokens := range []int{100, 10000} {
		run := chat(byte(i))
		a := &execution{id: run.Attempt, run: run, messages: []prefix.Message{{
			Role: "user", Content: strings.Repeat("a", tokens*prefix.BytesPerToken),
		}}}
		e.executions[a.id] = a
		e.enqueue(a)
		if sent := e.heartbeatSeq > 0; sent != (tokens > 2000) {
			t.Errorf("heartbeat sent: %v, at %d tokens", sent, tokens)
		}
	}
}
