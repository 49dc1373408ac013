package test

import (
	"testing"

	"skylarklead/test/harness"
)

// TestPath takes requests from caller to engine and back through separate
// processes. The second with the same instructions lands on the same endpoint,
// by way of another entry, and is a cache hit by the engine's own account.
func TestPath(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, harness.Options{Engines: 2, Entries: 2})
	var executors []*harness.Node
	var hits []int
	for i, token := range []string{"first", "second"} {
		chat := harness.Ask(token, 20)
		a := c.Caller(c.Entries[i], harness.Foodbank).Chat(t.Context(), chat)
		if err := harness.Foodbank.Check(chat, a); err != nil || a.Failure != nil {
			t.Fatalf("%s: %v, %v", token, err, a)
		}
		executor := c.EndpointOf(a)
		executors = append(executors, executor)
		hits = append(hits, c.Account(executor.Engine).Totals.HitsBySalt[harness.Foodbank.ID])
	}
	if executors[0] != executors[1] {
		t.Errorf("executors %s and %s", executors[0].ID, executors[1].ID)
	}
	want := harness.Foodbank.InstructionTokens()
	if hits[0] != 0 || hits[1] < want {
		t.Errorf("cached tokens %v; want 0, then at least %d", hits, want)
	}
	routed := 0
	for _, n := range c.Endpoints {
		routed += n.Count("decision", "kind", "route")
	}
	if routed < 2 {
		t.Errorf("%d decision lines of routing", routed)
	}
}
