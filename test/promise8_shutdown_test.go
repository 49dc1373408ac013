package test

import (
	"fmt"
	"sync"
	"testing"

	"skylarklead/test/harness"
)

const (
	rollingCallers = 8
	// rollingTokens makes an answer take about a second, far longer than a process stays
	// after its last stream has ended.
	rollingTokens = 100
)

// Every endpoint process and every entry is stopped gracefully and restarted, one
// after the other, under load; callers use the other entry while one isn't ready, as
// a load balancer would. No answer may be truncated and no caller refused: streams
// must end before their listener closes, and a request that a leaving endpoint refuses
// must be retried elsewhere instead of being refused to the caller.
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
		t.Errorf("%d requests took %d runs: a stop truncated answers that were then run again", total, runs)
	}
	t.Logf("%d requests during the rolling restart", total)
}

// Guards against a SIGHUP that ends a draining entry or endpoint and cuts the stream that runs through both.
func TestPromise8SIGHUPDuringADrainCutsNothing(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, harness.Options{Engines: 1, Entries: 1})
	chat := harness.NewChat("open", 3*rollingTokens)
	started := chat.NotifyAtEvent(1)
	open := make(chan harness.Answer, 1)
	go func() { open <- c.Caller(c.Entries[0], harness.Foodbank).Chat(t.Context(), chat) }()
	<-started
	nodes := []*harness.Node{c.Entries[0], c.Endpoints[0]}
	for _, n := range nodes {
		n.Terminate()
		harness.Await(t, n.ID+" drains", func() bool { return n.CountLog("draining")+n.CountLog("leaving") == 1 })
		n.Hangup()
	}
	if err := harness.Foodbank.CheckComplete(chat, <-open); err != nil {
		t.Errorf("the open stream: %v", err)
	}
	for _, n := range nodes {
		n.AwaitEnd()
		if code := n.ExitCode(); code != 0 {
			t.Errorf("%s ended with code %d", n.ID, code)
		}
	}
}

// engineRuns returns the number of runs of the engines of these endpoints, or of all
// if none is given, by the engines' own accounts.
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

// callUntil sends requests one after the other until done is closed, and returns
// their number.
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
