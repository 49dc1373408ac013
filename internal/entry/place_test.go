package entry

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/platform"
	"skylarklead/internal/protocol"
	"skylarklead/internal/route"
	"skylarklead/internal/wire"
)

func TestPolicies(t *testing.T) {
	a, b := newExecutor(t, "ep-a", answersAll), newExecutor(t, "ep-b", answersAll)
	for _, policy := range []route.Policy{
		route.PolicyOwner, route.PolicyRandom, route.PolicyRoundRobin, route.PolicyLeastLoaded,
		route.PolicyWholePrompt, route.PolicyBoundedLoad, route.PolicyPrefixTables,
	} {
		e, c := newTestEntry(t, "llm", a, b)
		var err error
		if e.chooser, err = newChooser(string(policy), e.now); err != nil {
			t.Fatal(err)
		}
		asks := countMessages[*protocol.Ask](a) + countMessages[*protocol.Ask](b)
		resp := c.chat(plainBody)
		if resp.StatusCode != http.StatusOK {
			t.Errorf("%s: status %d", policy, resp.StatusCode)
		}
		asked := countMessages[*protocol.Ask](a)+countMessages[*protocol.Ask](b) > asks
		if want := policy == route.PolicyOwner; asked != want {
			t.Errorf("%s: an owner was asked: %v", policy, asked)
		}
	}
	if _, err := newChooser("fastest", func() time.Duration { return 0 }); err == nil {
		t.Error("an unknown policy was accepted")
	}
}

// Each of two executors redirects to the other. Only one redirect may be followed,
// or the request would travel back and forth between endpoints that disagree.
func TestRedirectIsFollowedOnce(t *testing.T) {
	var executors []*executor
	script := onRun(func(x *executor, s *wire.Session, run *protocol.Run) {
		other := executors[0]
		if x == other {
			other = executors[1]
		}
		target := &protocol.Target{Endpoint: other.id, Address: other.address}
		_ = s.Send(&protocol.End{Attempt: run.Attempt, Outcome: protocol.NotRun, Redirect: target})
	})
	executors = append(executors, newExecutor(t, "portal-1", script), newExecutor(t, "portal-2", script))
	_, c := newTestEntry(t, "portal", executors...)
	got := readError(t, c.post(context.Background(), "/v1/services/portal/pledges", ""))
	if got.Ran != protocol.NotRun {
		t.Errorf("got %+v", got)
	}
	runs := countMessages[*protocol.Run](executors[0]) + countMessages[*protocol.Run](executors[1])
	redirected := 0
	for _, x := range executors {
		if run := lastMessage[*protocol.Run](x); run != nil && run.Redirected {
			redirected++
		}
	}
	if runs != 2 || redirected != 1 {
		t.Errorf("%d runs, %d of them redirected", runs, redirected)
	}
}

// Calls with one idempotency key must go to one endpoint, whichever entry receives
// them. Otherwise a payment sent through two entries at once is claimed twice, and
// one of its callers waits for the log.
func TestOneKeyOneEndpoint(t *testing.T) {
	x, y := newExecutor(t, "portal-1", answersAll), newExecutor(t, "portal-2", answersAll)
	_, one := newTestEntry(t, "portal", x, y)
	_, two := newTestEntry(t, "portal", y, x)
	for _, key := range []string{"a", "b", "c", "d", "e", "f"} {
		first := one.post(context.Background(), paymentsPath, "pay", "Idempotency-Key", key)
		second := two.post(context.Background(), paymentsPath, "pay", "Idempotency-Key", key)
		if a, b := first.Header.Get("X-Executor"), second.Header.Get("X-Executor"); a == "" || a != b {
			t.Errorf("key %s went to %q and %q", key, a, b)
		}
	}
}

// In a rolling restart, an owner keeps choosing an endpoint that has just exited,
// while the retry budget is exhausted. Only the entry that dials the endpoint knows
// at once that it is gone. It must exclude it when asking again without using the
// budget; otherwise requests are refused as "not_run" although other endpoints have
// capacity.
func TestDeadExecutorCostsNoBudget(t *testing.T) {
	var dead *executor
	script := script{run: answersAll.run, ask: func(x *executor, s *wire.Session, ref uint32, m *protocol.Ask) {
		if !slices.Contains(m.Exclude, dead.id) {
			x = dead
		}
		x.decide(s, ref, m)
	}}
	dead = newExecutor(t, "ep-dead", script)
	live := newExecutor(t, "ep-live", script)
	e, c := newTestEntry(t, "llm", live)
	e.directory.setInstances([]platform.Instance{
		endpointInstance(live.id, live.address, "llm", ""),
		endpointInstance(dead.id, dead.address, "llm", ""),
	})
	// The directory's clock is stopped, so that no backoff expires during the test.
	now := e.now()
	e.directory.now = func() time.Duration { return now }
	dead.server.Close()
	for e.budget.Allow(attempt.ExtraRetry, "", e.now()) {
	}
	for range 3 {
		resp := c.chat(plainBody)
		if resp.StatusCode != http.StatusOK {
			t.Errorf("got %d %+v", resp.StatusCode, readError(t, resp))
		}
	}
	// Later requests exclude the endpoint in their first Ask.
	if n := countMessages[*protocol.Ask](live); n > 5 {
		t.Errorf("%d Asks for three requests", n)
	}
}
