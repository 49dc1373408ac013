package test

import (
	"context"
	"testing"

	"skylarklead/test/harness"
)

// The whole path: a charity's request through one entry to one of two endpoint
// processes and its engine, with the platform, as separate processes.
func TestWholePath(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, harness.Options{Engines: 2, Services: 1, Entries: 1})
	caller := c.Caller(c.Entries[0], harness.Foodbank)
	executors := map[string]bool{}
	for _, token := range []string{"one", "two", "three"} {
		chat := harness.Ask(token, 16)
		answer := caller.Chat(context.Background(), chat)
		if err := harness.Foodbank.Check(chat, answer); err != nil {
			t.Errorf("%s: %v", token, err)
		}
		executors[answer.Executor] = true
	}
	if len(executors) != 1 {
		t.Errorf("one prefix was run by %v", executors)
	}
	hits := 0
	for _, n := range c.Endpoints {
		hits += c.Account(n.Engine).Totals.CachedTokens
	}
	if want := 2 * harness.Foodbank.InstructionTokens(); hits < want {
		t.Errorf("%d prompt tokens were served from caches, want %d", hits, want)
	}
	balance := caller.Call(context.Background(), "/balance/7", "balance", "")
	if !balance.Ended || balance.Run != 1 {
		t.Errorf("balance check: %v", balance)
	}
}
