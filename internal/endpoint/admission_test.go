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

// Symptom: a large organisation crowds a small one out at the endpoints that hold
// the small one's prefixes.
// Sequence: it has a backlog at every endpoint of the group.
// Cause: it has a full share at each of them.
func TestBacklogsElsewhere(t *testing.T) {
	hash := route.OrganisationHash("large")
	const suspectAfter = 3 * time.Second
	e := &Endpoint{
		started:  time.Now().Add(-time.Minute),
		settings: &settings.Settings{Endpoint: &settings.Endpoint{SuspectAfter: settings.Duration(suspectAfter)}},
	}
	heard := e.now()
	e.group.peers = map[string]*peer{
		"backlog":      {hasLoad: true, loadAt: heard, load: protocol.Load{Heavy: []uint64{1, hash}}},
		"none":         {hasLoad: true, loadAt: heard, load: protocol.Load{Heavy: []uint64{1}}},
		"long silent":  {hasLoad: true, loadAt: heard - 2*suspectAfter, load: protocol.Load{Heavy: []uint64{hash}}},
		"not heard of": {},
	}
	if got := e.backlogsElsewhere("large"); got != 1 {
		t.Errorf("%d backlogs of the large one elsewhere, want 1", got)
	}
	if got := e.backlogsElsewhere("small"); got != 0 {
		t.Errorf("%d backlogs of the small one elsewhere, want 0", got)
	}
}

// Symptom: an owner goes on sending to an endpoint that has half a second of
// prompts to compute.
// Sequence: other owners have sent them there; its next report is due in a second.
// Cause: only its reports tell of them.
func TestRisenBacklogIsToldAtOnce(t *testing.T) {
	e, _ := newTestEndpoint(t)
	e.pool = wire.NewPool(wire.Options{Key: fleetKey, Self: e.identity, Handler: peerHandler{e}})
	defer e.pool.Close()
	e.config = follow.FromSettings(e.settings, e.platformLog, nil, e.pool, e.log)
	e.placement.loading = true // nothing goes to the engine
	e.group.view.InstancesListed([]member.Instance{{ID: "ep-2", Address: freeAddress(t), Group: "g"}}, e.now())
	for i, tokens := range []int{100, 10000} {
		run := chat(byte(i))
		a := &execution{id: run.Attempt, run: run, messages: []prefix.Message{{
			Role: "user", Content: strings.Repeat("a", tokens*prefix.BytesPerToken),
		}}}
		e.executions[a.id] = a
		e.arrive(a)
		if told := e.beatSeq > 0; told != (tokens > 2000) {
			t.Errorf("told %v of %d tokens", told, tokens)
		}
	}
}
