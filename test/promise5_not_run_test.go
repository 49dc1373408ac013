package test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"skylarklead/internal/faultproxy"
	"skylarklead/internal/protocol"
	"skylarklead/internal/settings"
	"skylarklead/test/harness"
)

const (
	confirmCallers = 8
	confirmCalls   = 6
	// confirmDelay, in milliseconds, makes runs overlap the faults.
	confirmDelay = 100
)

// While calls that may not be repeated are in flight to two replicas of a service, a
// process, a connection or one direction of it fails at some step between acceptance,
// dispatch to the service, effect and answer. A caller that is told not_run may send
// the call again, so not_run must be true: a process must not report it when it can't
// know, that is after a lost connection, in a new epoch, or while a late Run can still
// arrive at the executor.
func TestPromise5NotRunIsTrue(t *testing.T) {
	faults := []struct {
		name     string
		settings func(*settings.Settings)
		fault    func(c *harness.Cluster, n *harness.Node)
	}{
		{name: "none", fault: func(*harness.Cluster, *harness.Node) {}},
		{name: "service unreachable", fault: func(_ *harness.Cluster, n *harness.Node) {
			n.BackendProxy.Refuse(true)
			n.BackendProxy.ResetConnections()
		}},
		{name: "process killed before the hand-over", fault: func(_ *harness.Cluster, n *harness.Node) {
			n.PeerProxy.Delay(faultproxy.Upstream, 50*time.Millisecond)
			time.AfterFunc(100*time.Millisecond, n.Kill)
		}},
		{name: "process killed after the hand-over", fault: func(_ *harness.Cluster, n *harness.Node) {
			n.BackendProxy.Delay(faultproxy.Upstream, 50*time.Millisecond)
			time.AfterFunc(100*time.Millisecond, n.Kill)
		}},
		{name: "process killed and restarted", fault: func(_ *harness.Cluster, n *harness.Node) { harness.KillAndRestart(n) }},
		{name: "process killed and restarted twice", fault: func(c *harness.Cluster, n *harness.Node) {
			harness.KillAndRestart(n)
			c.AwaitReady(n)
			harness.KillAndRestart(n)
		}},
		{name: "process killed with a queue", settings: oneAtATime, fault: func(_ *harness.Cluster, n *harness.Node) { n.Kill() }},
		{name: "process drained with a queue", settings: oneAtATime, fault: func(_ *harness.Cluster, n *harness.Node) { n.Terminate() }},
		{name: "process stopped for a while", fault: func(_ *harness.Cluster, n *harness.Node) { n.PauseFor(outage) }},
		{name: "runs arrive late", fault: func(_ *harness.Cluster, n *harness.Node) { n.PeerProxy.FreezeFor(outage) }},
		{name: "runs lost", fault: func(_ *harness.Cluster, n *harness.Node) { n.PeerProxy.Drop(faultproxy.Upstream, true) }},
		{name: "ends lost", fault: func(_ *harness.Cluster, n *harness.Node) { n.PeerProxy.Drop(faultproxy.Downstream, true) }},
		{name: "link cut again and again", fault: func(_ *harness.Cluster, n *harness.Node) {
			for i := range 10 {
				time.AfterFunc(time.Duration(i)*40*time.Millisecond, n.PeerProxy.ResetConnections)
			}
		}},
		{name: "service killed", fault: func(_ *harness.Cluster, n *harness.Node) { n.Backend.Kill() }},
		{name: "service dies after the effect", fault: func(c *harness.Cluster, n *harness.Node) {
			c.Control(n.Backend, map[string]any{"lose_answer": true})
		}},
		{name: "hand-over cut", fault: func(_ *harness.Cluster, n *harness.Node) {
			n.BackendProxy.Delay(faultproxy.Upstream, 20*time.Millisecond)
			for i := range 10 {
				time.AfterFunc(time.Duration(i)*40*time.Millisecond, n.BackendProxy.ResetConnections)
			}
		}},
	}
	for _, tc := range faults {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			notRunUnder(t, tc.settings, tc.fault)
		})
	}
}

// oneAtATime limits an endpoint to one running call, so that others are queued.
func oneAtATime(s *settings.Settings) {
	if s.Endpoint != nil {
		s.Endpoint.MaxRunning = 1
	}
}

func notRunUnder(t *testing.T, change func(*settings.Settings), fault func(*harness.Cluster, *harness.Node)) {
	c := harness.Start(t, harness.Options{Services: 2, Entries: 1, Settings: change})
	for _, n := range c.Services {
		c.Control(n.Backend, map[string]any{"delay_ms": confirmDelay})
	}
	var mu sync.Mutex
	answers := map[string]harness.Answer{}
	var calls sync.WaitGroup
	for i := range confirmCallers {
		calls.Go(func() {
			for j := range confirmCalls {
				id := fmt.Sprintf("confirm-%d-%d", i, j)
				a := c.Caller(c.Entries[0], harness.Foodbank).Call(t.Context(), "/confirm", id, "")
				mu.Lock()
				answers[id] = a
				mu.Unlock()
			}
		})
	}
	harness.Await(t, "the first answers", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(answers) >= confirmCallers
	})
	fault(c, c.Services[0])
	calls.Wait()
	c.ClearFaultsAndDrain()
	checkRuns(t, answers, runsOf(c), false)
}

// runsOf returns how often the services ran each request ID, from their logs, which
// the harness keeps when a service is killed. It kills the services first, so that
// the logs are complete.
func runsOf(c *harness.Cluster) map[string]int {
	runs := map[string]int{}
	for _, n := range c.Services {
		n.Backend.Kill()
		for _, line := range n.Backend.Lines() {
			if id, ok := line["request"].(string); ok && line.Matches("run") {
				runs[id]++
			}
		}
	}
	return runs
}

// checkRuns fails the test if a request ran twice or its reported outcome is false.
// Every request must have an explicit answer unless entries were killed.
func checkRuns(t *testing.T, answers map[string]harness.Answer, runs map[string]int, entriesKilled bool) {
	t.Helper()
	outcomes := map[protocol.Outcome]int{}
	for id, a := range answers {
		ran := runs[id]
		switch {
		case ran > 1:
			t.Errorf("%s ran %d times: %v", id, ran, a)
		case a.TransportErr != nil && !entriesKilled:
			t.Errorf("%s got no explicit answer: %v", id, a)
		case a.Ended && ran != 1:
			t.Errorf("%s was answered but ran %d times", id, ran)
		case a.Failure != nil && a.Failure.Ran == protocol.NotRun && ran != 0:
			t.Errorf("%s was told not_run but ran: %v", id, a)
		}
		if a.Failure != nil {
			outcomes[a.Failure.Ran]++
		} else {
			outcomes[protocol.Done]++
		}
	}
	t.Logf("reported outcomes: %v", outcomes)
}
