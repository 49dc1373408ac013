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
	// keyedTries is how often a caller sends one key at most, with pauses of keyedPause.
	keyedTries = 30
	keyedPause = 300 * time.Millisecond
	payDelay   = 150 // of a run in the service, in milliseconds
)

// The same idempotency key is sent through two entries at the same time and again
// after each failure, while an entry, an endpoint process, the log or the reply to an
// append fails. The call must run at most once: duplicates can't be detected in one
// process's memory, an append with an unknown outcome must not lead to a second run,
// and a claim must not outlive the epoch that made it.
func TestPromise6RunsAtMostOnce(t *testing.T) {
	faults := []struct {
		name  string
		fault func(c *harness.Cluster)
		// answered requires that every key gets its answer in the end.
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
			logOutage(c, 3*time.Second) // ends before the calls sent during it give up
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

// keyAnswers has the answers to the callers of one key.
type keyAnswers struct {
	answers      []harness.Answer
	settledAfter time.Duration
}

func onceUnder(t *testing.T, fault func(*harness.Cluster), answered bool) {
	c := harness.Start(t, harness.Options{Services: 3, Entries: 2})
	for _, n := range c.Services {
		c.Control(n.Backend, map[string]any{"delay_ms": payDelay})
	}
	var mu sync.Mutex
	byKey := map[string]*keyAnswers{}
	var calls sync.WaitGroup
	send := func(wave int) {
		mu.Lock()
		defer mu.Unlock()
		for i := range keyedCalls {
			id := fmt.Sprintf("pay-%d-%d", wave, i)
			k := &keyAnswers{}
			byKey[id] = k
			for _, entry := range c.Entries {
				calls.Go(func() { sendKey(t, c, entry, id, &mu, k) })
			}
		}
	}
	send(0)
	harness.Await(t, "runs to be in flight", func() bool {
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
		t.Logf("%s: %d replies of the platform were lost", n.ID, n.PlatformProxy.LostReplies())
	}
	c.ClearFaultsAndDrain()
	checkOnce(t, byKey, runsOf(c), answered)
}

// sendKey sends a key until the payment is known to be made, at most keyedTries times.
func sendKey(t *testing.T, c *harness.Cluster, entry *harness.Node, id string, mu *sync.Mutex, k *keyAnswers) {
	began := time.Now()
	for range keyedTries {
		a := c.Caller(entry, harness.Foodbank).Call(t.Context(), "/pay", id, "key-"+id)
		mu.Lock()
		k.answers = append(k.answers, a)
		if paymentSettled(a) && k.settledAfter == 0 {
			k.settledAfter = time.Since(began)
		}
		mu.Unlock()
		if paymentSettled(a) {
			return
		}
		time.Sleep(keyedPause) // as a caller that retries
	}
}

// paymentSettled reports whether a caller knows that its payment is made, by the
// answer or by a refusal with the outcome done.
func paymentSettled(a harness.Answer) bool {
	return a.Ended || a.Failure != nil && a.Failure.Ran == protocol.Done
}

// checkOnce fails the test if a key ran more than once or was answered without a
// run or, where answered is set, got no answer.
func checkOnce(t *testing.T, byKey map[string]*keyAnswers, runs map[string]int, answered bool) {
	t.Helper()
	refusals := map[protocol.Code]int{}
	var slowest time.Duration
	unsettled := 0
	for id, k := range byKey {
		last := k.answers[len(k.answers)-1]
		if runs[id] > 1 {
			t.Errorf("%s ran %d times; last answer %v", id, runs[id], last)
		}
		if k.settledAfter == 0 {
			unsettled++
		}
		if answered && k.settledAfter == 0 {
			t.Errorf("%s got no answer in %d tries; last %v", id, len(k.answers), last)
		}
		if k.settledAfter > 0 && runs[id] != 1 {
			t.Errorf("%s was answered but ran %d times", id, runs[id])
		}
		slowest = max(slowest, k.settledAfter)
		for _, a := range k.answers {
			if a.Failure != nil {
				refusals[a.Failure.Code]++
			}
		}
	}
	t.Logf("refusals before the answers: %v; slowest answer: %v; keys without an answer: %d of %d", refusals, slowest, unsettled, len(byKey))
}
