package test

import (
	"context"
	"testing"

	"skylarklead/test/harness"
)

// Symptom: a caller who comes back is told that its stream is lost, while the
// engine goes on with it.
// Sequence: the caller's connection and then the endpoint process are lost in
// mid-stream; the process is started again, and the caller resumes by another
// entry. Another organisation tries to resume the same stream before.
// Cause: an attempt was known to the epoch that took its Run alone.
func TestStreamOutlivesCallerAndProcess(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, harness.Options{Engines: 1, Entries: 2})
	n := c.Endpoints[0]
	c.Control(n.Backend, map[string]any{"step_ms": 20, "resume_ms": 20_000})
	before := c.Account(n.Backend).Totals.Runs
	ctx, hangUp := context.WithCancel(t.Context())
	defer hangUp()
	chat := harness.NewChat("outlives", 150)
	chat.OnEvent = func(events int) {
		if events == faultAt {
			hangUp()
		}
	}
	first := c.Caller(c.Entries[0], harness.Foodbank).Chat(ctx, chat)
	if first.Ended || first.LastEventID == "" {
		t.Fatalf("the first part: %v", first)
	}
	n.Kill()
	n.Restart()
	c.AwaitUp(n)
	if other := c.Caller(c.Entries[1], harness.Hospice).Resume(t.Context(), first.LastEventID); other.Text != "" || other.Failure == nil {
		t.Errorf("another organisation got %v", other)
	}
	rest := c.Caller(c.Entries[1], harness.Foodbank).Resume(t.Context(), first.LastEventID)
	if want := harness.Foodbank.Expected(chat); !rest.Ended || first.Text+rest.Text != want {
		t.Errorf("got %q and then %q, want %q: %v", first.Text, rest.Text, want, rest)
	}
	if runs := c.Account(n.Backend).Totals.Runs - before; runs != 1 {
		t.Errorf("the engine ran %d requests", runs)
	}
}
