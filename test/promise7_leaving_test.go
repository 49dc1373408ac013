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
	// listLag is the delay of changes to the instance list in these tests.
	listLag = 30 * time.Second
	// leavingLimit is the time after which a leaving endpoint must get no new requests;
	// the requirement is "a few seconds".
	leavingLimit = 3 * time.Second
)

// An endpoint gets SIGTERM with a stream open, while the instance list shows it as
// live for another half minute. In two cases its inbound link is frozen, for all
// entries or for one, so that they get no notice and what they sent arrives late. The
// endpoint must get no new requests after a few seconds: entries must not rely on the
// instance list alone, and late work must not be run.
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
			checkLeaving(t, freeze)
		})
	}
}

func checkLeaving(t *testing.T, freeze func(*harness.Cluster, *harness.Node)) {
	c := harness.Start(t, harness.Options{Engines: 3, Entries: 2, Lag: listLag})
	caller := c.Caller(c.Entries[0], harness.Foodbank)
	n := c.EndpointOf(caller.Chat(t.Context(), harness.NewChat("warm", 1)))
	open := make(chan harness.Answer, 1)
	chat := harness.NewChat("open", 1200)
	started := chat.NotifyAtEvent(1)
	go func() { open <- caller.Chat(t.Context(), chat) }()
	<-started
	chatAtEachEntry(t, c, -1) // so that each entry has a connection to the endpoint
	freeze(c, n)
	defer n.PeerProxy.Thaw()
	c.Register(n, platform.StateLeaving)
	n.Terminate()
	deadline := time.Now().Add(leavingLimit)
	for i := 0; time.Now().Before(deadline); i++ {
		chatAtEachEntry(t, c, i)
	}
	before := c.Account(n.Backend).Totals.Runs
	for i := range 20 {
		chatAtEachEntry(t, c, 1000+i)
	}
	n.PeerProxy.Thaw()
	for i := range 5 {
		chatAtEachEntry(t, c, 2000+i)
	}
	if after := c.Account(n.Backend).Totals.Runs; after != before {
		t.Errorf("%s got %d new requests more than %v after it began to leave", n.ID, after-before, leavingLimit)
	}
	if err := harness.Foodbank.CheckComplete(chat, <-open); err != nil {
		t.Errorf("the open stream: %v", err)
	}
}

// chatAtEachEntry sends one request through each entry. Since other endpoints are
// available, each must be answered or refused before it ran.
func chatAtEachEntry(t *testing.T, c *harness.Cluster, i int) {
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
