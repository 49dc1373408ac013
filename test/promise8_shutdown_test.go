package test

import (
	"fmt"
	"sync"
	"testing"

	"skylarklead/test/harness"
)

const (
	rollingCallers = 8
	// rollingTokens make an answer take about a second, far longer than a process
	// lingers at its exit.
	rollingTokens = 100
)

// Symptom: an upgrade of the fleet cuts answers, or callers get refusals.
// Sequence: every endpoint process and every entry is told to stop and started
// again, one after the other, under load; the callers' balancer is a caller that
// goes to the other entry while one is not ready.
// Cause: a listener closed before its streams have ended; refusals of a leaving
// endpoint passed on to callers in place of a retry.
func TestPromise8GracefulShutdownCutsNothing(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, harness.Options{Engines: 3, Entries: 2})
	before := engineRuns(c)
	done := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	total := 0
	for i := range rollingCallers {
		callers.Go(func() {
			n := callUntil(t, c, i, done)
			mu.Lock()
			total += n
			mu.Unlock()
		})
	}
	for _, n := range c.Nodes() {
		n.Terminate()
		n.AwaitEnd()
		if code := n.ExitCode(); code != 0 {
			t.Errorf("%s ended with code %d", n.ID, code)
		}
		n.Restart()
		c.AwaitReady(n)
	}
	close(done)
	callers.Wait()
	if runs := engineRuns(c) - before; runs != total {
		t.Errorf("%d requests took %d runs: a stop cut answers that then ran again", total, runs)
	}
	t.Logf("%d requests over the rolling restart", total)
}

// engineRuns sums the counts of runs of these endpoints' engines, all if none is
// named, by the engines' own accounts.
func engineRuns(c *harness.Cluster, endpoints ...*harness.Node) int {
	if endpoints == nil {
		endpoints = c.Endpoints
	}
	runs := 0
	for _, n := range endpoints {
		runs += c.Account(n.Backend).Totals.Runs
	}
	return runs
}

// callUntil sends requests one after the other until done, and returns how many.
func callUntil(t *testing.T, c *harness.Cluster, caller int, done <-chan struct{}) int {
	for i := 0; ; i++ {
		select {
		case <-done:
			return i
		default:
		}
		organisation := []harness.Organisation{harness.Foodbank, harness.Hospice}[caller%2]
		chat := harness.NewChat(fmt.Sprintf("rolling-%d-%d", caller, i), rollingTokens)
		a := c.ReadyCaller(organisation, caller+i).Chat(t.Context(), chat)
		if err := organisation.CheckComplete(chat, a); err != nil {
			t.Errorf("caller %d request %d: %v", caller, i, err)
		}
	}
}
