package direct

import (
	"testing"

	"skylarklead/internal/fleet"
	"skylarklead/internal/origin"
)

// Guards against take-ups that nobody can tell apart: those whose holders were lost, those that name no attempt, and what
// became of them.
func TestTakeUpsAreCountedByOriginAndOutcome(t *testing.T) {
	store := &usesStore{}
	e := newPeersEntry(t, store)
	e.peers.origins.announce(origin.StreamOf("told"), useV1.Use().Software)
	e.peers.origins.announce(origin.StreamOf("withdrawn"), origin.Unknown)
	for _, c := range []struct {
		resumes, outcome, want string
		versions               []origin.UseName
		once                   bool
	}{
		{"told", outcomeServed, "take_ups_known_went_on", nil, false},
		{"told", outcomeCut, "take_ups_known_cut", nil, false},
		{"told", outcomeRefused, "take_ups_known_refused", nil, false},
		{"withdrawn", outcomeRefused, "take_ups_known_unknown_origin", []origin.UseName{useV1}, false},
		{"lost", outcomeServed, "take_ups_holders_lost_went_on", []origin.UseName{useV1}, false},
		{"lost", outcomeRefused, "take_ups_holders_lost_unknown_origin", []origin.UseName{useV1, useV2}, false},
		{"", outcomeCallerLeft, "take_ups_unnamed_caller_left", []origin.UseName{useV1}, false},
		{"told", outcomeRefused, "take_ups_once_unknown_origin", []origin.UseName{useV1}, true},
	} {
		store.set(nil, c.versions...)
		e.uses.last = nil
		req := newStreamRequest(e, &fleet.Service{Name: "s"}, nil)
		req.route.Resumable = !c.once
		req.ctx, req.params.Model, req.params.LastEvent, req.params.Resumes = t.Context(), "m", "3", c.resumes
		req.resolveOrigin()
		req.outcome = c.outcome
		count := func() int64 { n, _ := e.tel.Metrics.Snapshot().Metrics[c.want]["count"].(int64); return n }
		before := count()
		req.countTakeUp()
		if got := count(); got != before+1 {
			t.Errorf("%q %s isn't counted as %s: %d after %d", c.resumes, c.outcome, c.want, got, before)
		}
	}
	before := len(e.tel.Metrics.Snapshot().Metrics)
	req := newStreamRequest(e, &fleet.Service{Name: "s"}, nil)
	req.resolveOrigin()
	req.countTakeUp()
	if after := len(e.tel.Metrics.Snapshot().Metrics); after != before {
		t.Errorf("a new stream is counted as a take-up: %d counters after %d", after, before)
	}
}
