package test

import (
	"context"
	"testing"

	"skylarklead/test/harness"
)

// A caller loses its connection in mid-stream, then the endpoint process is
// restarted, and the caller resumes through another entry. The stream must continue,
// since the engine still runs it: the attempt must be known to the epoch after the
// one that took its Run. Another organisation must not be able to resume the stream.
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
		if events == faultEvent {
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
