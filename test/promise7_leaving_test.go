package test

import (
	"fmt"
	"testing"
	"time"

	"skylarklead/internal/platform"
	"skylarklead/internal/protocol"
	"skylarklead/test/harness"
)

const (
	// listLag is how far the instance list is behind in these proofs.
	listLag = 30 * time.Second
	// leavingPatience is within "a few seconds" of the brief.
	leavingPatience = 3 * time.Second
)

// Symptom: an endpoint that is to be taken away still gets new requests.
// Sequence: it is told to leave, or gets SIGTERM with a stream open; the instance
// list shows it live for half a minute more; its inbound link is frozen for all, or
// for one entry, so that they can't hear of it, and what they sent arrives late.
// Cause: leaving known from the list alone, or refused work that is late.
func TestPromise7LeavingEndpointGetsNoNewWork(t *testing.T) {
	for name, freeze := range map[string]func(c *harness.Cluster, n *harness.Node){
		"reachable":                func(*harness.Cluster, *harness.Node) {},
		"cut off from the entries": func(_ *harness.Cluster, n *harness.Node) { n.PeerProxy.Freeze() },
		"cut off from one entry": func(c *harness.Cluster, n *harness.Node) {
			cutOff := c.Entries[1]
			if n.PeerProxy.FreezeClients(cutOff.OwnsLocalAddress); n.PeerProxy.FrozenConnections() == 0 {
				c.T().Errorf("%s has no connection to %s", cutOff.ID, n.ID)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			leaving(t, freeze)
		})
	}
}

func leaving(t *testing.T, freeze func(*harness.Cluster, *harness.Node)) {
	c := harness.Start(t, harness.Options{Engines: 3, Entries: 2, Lag: listLag})
	caller := c.Caller(c.Entries[0], harness.Foodbank)
	n := c.EndpointOf(caller.Chat(t.Context(), harness.NewChat("warm", 1)))
	open := make(chan harness.Answer, 1)
	chat := harness.NewChat("open", 1200)
	started := chat.NotifyAtEvent(1)
	go func() { open <- caller.Chat(t.Context(), chat) }()
	<-started
	ask(t, c, -1) // so that each entry has a connection to it
	freeze(c, n)
	defer n.PeerProxy.Thaw()
	c.Register(n, platform.StateLeaving)
	n.Terminate()
	deadline := time.Now().Add(leavingPatience)
	for i := 0; time.Now().Before(deadline); i++ {
		ask(t, c, i)
	}
	before := c.Account(n.Backend).Totals.Runs
	for i := range 20 {
		ask(t, c, 1000+i)
	}
	n.PeerProxy.Thaw()
	for i := range 5 {
		ask(t, c, 2000+i)
	}
	if after := c.Account(n.Backend).Totals.Runs; after != before {
		t.Errorf("%s got %d new requests after %v of leaving", n.ID, after-before, leavingPatience)
	}
	if err := harness.Foodbank.CheckComplete(chat, <-open); err != nil {
		t.Errorf("the open stream: %v", err)
	}
}

// ask sends one request through each entry; neither may fail, for other endpoints
// are there.
func ask(t *testing.T, c *harness.Cluster, i int) {
	t.Helper()
	for _, entry := range c.Entries {
		chat := harness.NewChat(fmt.Sprintf("new-%d", i), 2)
		a := c.Caller(entry, harness.Foodbank).Chat(t.Context(), chat)
		if err := harness.Foodbank.CheckAnswer(chat, a); err != nil {
			t.Errorf("%s: %v", entry.ID, err)
		} else if a.Failure != nil && a.Failure.Ran != protocol.NotRun {
			t.Errorf("%s: %v", entry.ID, a)
		}
	}
}
