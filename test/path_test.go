package test

import (
	"testing"

	"skylarklead/test/harness"
)

// TestPath sends requests through separate processes from caller to engine and back.
// Requests with the same instructions must go to the same endpoint, also through
// different entries, and be cache hits by the engine's own account.
func TestPath(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, harness.Options{Engines: 2, Services: 1, Entries: 2})
	executors := map[*harness.Node]bool{}
	var hits []int
	for i, token := range []string{"one", "two", "three"} {
		chat := harness.NewChat(token, 20)
		a := c.Caller(c.Entries[i%2], harness.Foodbank).Chat(t.Context(), chat)
		if err := harness.Foodbank.CheckComplete(chat, a); err != nil {
			t.Fatalf("%s: %v", token, err)
		}
		n := c.EndpointOf(a)
		executors[n] = true
		hits = append(hits, c.Account(n.Backend).Totals.HitsBySalt[harness.Foodbank.ID])
	}
	if len(executors) != 1 {
		t.Errorf("requests with the same prefix were run by several endpoints: %v", executors)
	}
	want := harness.Foodbank.InstructionTokens()
	if hits[0] != 0 || hits[1] < want || hits[2] < 2*want {
		t.Errorf("cached tokens %v; want 0, then at least %d more each time", hits, want)
	}
	harness.Await(t, "a logged routing decision for each request", func() bool {
		routed := 0
		for _, n := range c.Endpoints {
			routed += n.CountLog("decision", "kind", "route")
		}
		return routed >= len(hits)
	})
	balance := c.Caller(c.Entries[0], harness.Foodbank).Call(t.Context(), "/balance/7", "balance", "")
	if !balance.Ended || balance.RunNumber != 1 {
		t.Errorf("balance check: %v", balance)
	}
}
