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
	// confirmDelay makes runs overlap the faults.
	confirmDelay = 100
)

// Symptom: a caller is told that its payment confirmation did not run, sends it
// again, and it has run twice.
// Sequence: calls that may not be repeated are on their way to two replicas of a
// service; a process, connection or direction fails at some step between accept,
// hand-over, effect and answer.
// Cause: not_run said by one who can't know: on a lost connection, by a new epoch,
// or by an executor that a late Run still reaches.
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

// oneAtATime makes calls wait in the endpoint process's queue.
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

// runsOf sums the services' own counts by request ID. They are taken from the
// logs, which outlive a killed service; its end completes its log.
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

// checkRuns fails the test if a request ran twice, or otherwise than was told. None
// may be left without an answer unless entries were killed.
func checkRuns(t *testing.T, answers map[string]harness.Answer, runs map[string]int, entriesKilled bool) {
	t.Helper()
	said := map[protocol.Outcome]int{}
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
			said[a.Failure.Ran]++
		} else {
			said[protocol.Done]++
		}
	}
	t.Logf("outcomes told: %v", said)
}
