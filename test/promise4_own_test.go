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

// Symptom: a family reads a sentence of another family's letter.
// Sequence: many callers of two organisations share sessions; replies are late by
// differing times and cross one another; links are cut and their streams resumed.
// Cause: answers matched by connection or by order in place of the attempt's ID.
func TestPromise4CallersGetTheirOwnAnswers(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, harness.Options{Engines: 2, Entries: 2, Settings: retryFreely})
	done := make(chan struct{})
	disturbed := make(chan struct{})
	go func() {
		defer close(disturbed)
		disturb(c, done)
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
			t.Errorf("caller %d request %d, though links only lag and break: %v", caller, i, err)
		}
	}
}

// disturb varies delays and cuts links until done.
func disturb(c *harness.Cluster, done <-chan struct{}) {
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
