package test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"skylarklead/internal/faultproxy"
	"skylarklead/test/harness"
)

const (
	ownCallers  = 40
	ownRequests = 4
	ownSeed     = 4
)

// Many callers of two organisations share sessions; replies are delayed by different
// times and overtake each other; connections are reset and their streams resumed. No
// caller may get any part of another caller's answer: replies must be matched by
// attempt ID, not by connection or order.
func TestPromise4CallersGetTheirOwnAnswers(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, harness.Options{Engines: 2, Entries: 2, Settings: retryFreely})
	done := make(chan struct{})
	disturbed := make(chan struct{})
	go func() {
		defer close(disturbed)
		injectFaults(c, done)
	}()
	var calls sync.WaitGroup
	for i := range ownCallers {
		calls.Go(func() { askRepeatedly(t, c, i) })
	}
	calls.Wait()
	close(done)
	<-disturbed
}

func askRepeatedly(t *testing.T, c *harness.Cluster, caller int) {
	organisation := []harness.Organisation{harness.Foodbank, harness.Hospice}[caller%2]
	for i := range ownRequests {
		chat := harness.NewChat(fmt.Sprintf("caller-%d-request-%d", caller, i), 15)
		a := c.Caller(c.Entries[(caller/2)%2], organisation).Chat(t.Context(), chat)
		if err := organisation.CheckComplete(chat, a); err != nil {
			t.Errorf("caller %d request %d, though links are only delayed or reset: %v", caller, i, err)
		}
	}
}

// injectFaults changes the delays of links and resets links until done is closed.
func injectFaults(c *harness.Cluster, done <-chan struct{}) {
	rng := rand.New(rand.NewPCG(ownSeed, 0))
	ticker := time.NewTicker(150 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		n := c.Endpoints[rng.IntN(len(c.Endpoints))]
		n.PeerProxy.Delay(faultproxy.Direction(rng.IntN(2)), time.Duration(rng.IntN(30))*time.Millisecond)
		if rng.IntN(4) == 0 {
			n.PeerProxy.ResetConnections()
		}
	}
}
