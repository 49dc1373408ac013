package endpoint

import (
	"strings"
	"testing"

	"skylarklead/internal/follow"
	"skylarklead/internal/member"
	"skylarklead/internal/prefix"
	"skylarklead/internal/wire"
)

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
	e.group.view.Listed([]member.Instance{{ID: "ep-2", Address: freeAddress(t), Group: "g"}}, e.now())
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
