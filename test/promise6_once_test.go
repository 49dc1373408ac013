package test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"skylarklead/internal/faultproxy"
	"skylarklead/internal/protocol"
	"skylarklead/test/harness"
)

const (
	keyedCalls = 8
	// keyedTries bounds how often a caller sends one key, keyedPause is between.
	keyedTries = 30
	keyedPause = 300 * time.Millisecond
	payDelay   = 150
)

// Symptom: a pledge letter goes out twice.
// Sequence: the same idempotency key is sent through two entries at once and again
// after each failure; meanwhile an entry, an endpoint process, the log or the
// answer to an append fails.
// Cause: duplicates looked for in one process's memory, an append sent again in
// doubt, or a right to run that outlives its epoch.
func TestPromise6RunsAtMostOnce(t *testing.T) {
	faults := []struct {
		name  string
		fault func(c *harness.Cluster)
		// answered demands that every key gets its answer in the end.
		answered bool
	}{
		{"two entries at once", func(*harness.Cluster) {}, true},
		{"entry killed", func(c *harness.Cluster) { harness.KillAndRestart(c.Entries[0]) }, true},
		{"append answers lost", func(c *harness.Cluster) {
			c.Control(c.Platform, map[string]any{"lose_next_answers": 6})
		}, true},
		{"append answers lost on the way", func(c *harness.Cluster) {
			for _, n := range c.Services {
				n.PlatformProxy.LoseReplies(2, []byte("POST "))
			}
		}, true},
		{"log outage", func(c *harness.Cluster) { logOutage(c, 3*time.Second) }, true},
		{"log outage twice", func(c *harness.Cluster) {
			c.Control(c.Platform, map[string]any{"log_down": true})
			harness.Await(c.T(), "an append to fail", func() bool {
				return c.Services[0].CountLog("claims not appended")+c.Services[1].CountLog("claims not appended") > 0
			})
			c.Control(c.Platform, map[string]any{"log_down": false})
			logOutage(c, 3*time.Second) // ends before the calls that are sent in it
		}, true},
		{"entry killed in a log outage", func(c *harness.Cluster) {
			logOutage(c, 3*time.Second)
			harness.KillAndRestart(c.Entries[0])
		}, true},
		{"log outage and endpoint restart", func(c *harness.Cluster) {
			logOutage(c, 3*time.Second)
			harness.KillAndRestart(c.Services[0])
		}, false},
		{"endpoint processes restart", func(c *harness.Cluster) { harness.KillAndRestart(c.Services...) }, false},
		{"endpoint process stopped past its peers' patience", func(c *harness.Cluster) { c.Services[0].PauseFor(outage) }, false},
		{"one endpoint process cut off from the log", func(c *harness.Cluster) { c.Services[0].PlatformProxy.FreezeFor(3 * time.Second) }, true},
		{"ends lost", func(c *harness.Cluster) {
			p := c.Services[0].PeerProxy
			p.Drop(faultproxy.Downstream, true)
			time.AfterFunc(3*time.Second, func() { p.Drop(faultproxy.Downstream, false) })
		}, true},
	}
	for _, tc := range faults {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			onceUnder(t, tc.fault, tc.answered)
		})
	}
}

func logOutage(c *harness.Cluster, d time.Duration) {
	c.Control(c.Platform, map[string]any{"log_down": true})
	time.AfterFunc(d, func() { c.Control(c.Platform, map[string]any{"log_down": false}) })
}

// keyed is what the callers of one key were told.
type keyed struct {
	answers []harness.Answer
	first   time.Duration
}

func onceUnder(t *testing.T, fault func(*harness.Cluster), answered bool) {
	c := harness.Start(t, harness.Options{Services: 3, Entries: 2})
	for _, n := range c.Services {
		c.Control(n.Backend, map[string]any{"delay_ms": payDelay})
	}
	var mu sync.Mutex
	told := map[string]*keyed{}
	var calls sync.WaitGroup
	send := func(wave int) {
		mu.Lock()
		defer mu.Unlock()
		for i := range keyedCalls {
			id := fmt.Sprintf("pay-%d-%d", wave, i)
			k := &keyed{}
			told[id] = k
			for _, entry := range c.Entries {
				calls.Go(func() { sendKey(t, c, entry, id, &mu, k) })
			}
		}
	}
	send(0)
	harness.Await(t, "runs to be under way", func() bool {
		n := 0
		for _, s := range c.Services {
			n += s.Backend.CountLog("run")
		}
		return n >= keyedCalls/2
	})
	fault(c)
	send(1)
	calls.Wait()
	for _, n := range c.Services {
		t.Logf("%s lost %d answers of the platform", n.ID, n.PlatformProxy.LostReplies())
	}
	c.ClearFaultsAndDrain()
	checkOnce(t, told, runsOf(c), answered)
}

// sendKey sends a key until its answer comes or its refusal is final.
func sendKey(t *testing.T, c *harness.Cluster, entry *harness.Node, id string, mu *sync.Mutex, k *keyed) {
	began := time.Now()
	for range keyedTries {
		a := c.Caller(entry, harness.Foodbank).Call(t.Context(), "/pay", id, "key-"+id)
		mu.Lock()
		k.answers = append(k.answers, a)
		if answeredOnce(a) && k.first == 0 {
			k.first = time.Since(began)
		}
		mu.Unlock()
		if answeredOnce(a) {
			return
		}
		time.Sleep(keyedPause) // the pause of a caller that comes back
	}
}

// answeredOnce reports whether a caller knows that its payment is made: by the
// answer, or by the word that it has run.
func answeredOnce(a harness.Answer) bool {
	return a.Ended || a.Failure != nil && a.Failure.Ran == protocol.Done
}

func checkOnce(t *testing.T, told map[string]*keyed, runs map[string]int, answered bool) {
	t.Helper()
	refusals := map[protocol.Code]int{}
	var slowest time.Duration
	unsettled := 0
	for id, k := range told {
		last := k.answers[len(k.answers)-1]
		if runs[id] > 1 {
			t.Errorf("%s ran %d times; last answer %v", id, runs[id], last)
		}
		if k.first == 0 {
			unsettled++
		}
		if answered && k.first == 0 {
			t.Errorf("%s got no answer in %d tries; last %v", id, len(k.answers), last)
		}
		if k.first > 0 && runs[id] != 1 {
			t.Errorf("%s was answered but ran %d times", id, runs[id])
		}
		slowest = max(slowest, k.first)
		for _, a := range k.answers {
			if a.Failure != nil {
				refusals[a.Failure.Code]++
			}
		}
	}
	t.Logf("refusals on the way %v, slowest answer %v, keys left without one %d of %d", refusals, slowest, unsettled, len(told))
}
