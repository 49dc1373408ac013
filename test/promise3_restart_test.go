package test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"skylarklead/internal/ctl"
	"skylarklead/internal/platform"
	"skylarklead/internal/settings"
	"skylarklead/test/harness"
)

// firstAnswer waits until an entry listens, sends one request at once, and returns an
// error unless the answer is complete. It logs the times since began.
func firstAnswer(c *harness.Cluster, entry *harness.Node, o harness.Organisation, began time.Time) error {
	var listening time.Duration
	for {
		conn, err := net.DialTimeout("tcp", entry.Settings.Entry.Listen, time.Second)
		if err == nil {
			conn.Close()
			listening = time.Since(began)
			break
		}
		if time.Since(began) > harness.Timeout {
			return fmt.Errorf("%s doesn't listen after %v", entry.ID, harness.Timeout)
		}
		time.Sleep(time.Millisecond) // between two polls
	}
	chat := harness.NewChat("first-at-"+entry.ID, 5)
	a := c.Caller(entry, o).Chat(context.Background(), chat)
	if err := o.CheckComplete(chat, a); err != nil {
		return fmt.Errorf("the first request at %s: %w", entry.ID, err)
	}
	c.T().Logf("%s: listening after %v, first token %v after the request, complete answer after %v", entry.ID,
		listening.Round(time.Millisecond), a.FirstByte.Round(time.Millisecond), time.Since(began).Round(time.Millisecond))
	return nil
}

// restartAll kills all nodes, restarts them, and checks the first request at each
// entry, at all entries concurrently.
func restartAll(t *testing.T, c *harness.Cluster, nodes []*harness.Node, o harness.Organisation) {
	t.Helper()
	began := time.Now()
	harness.KillAndRestart(nodes...)
	verdicts := make(chan error, len(c.Entries))
	for _, entry := range c.Entries {
		go func() { verdicts <- firstAnswer(c, entry, o, began) }()
	}
	for range c.Entries {
		if err := <-verdicts; err != nil {
			t.Error(err)
		}
	}
}

// makeListStale adds an endpoint that doesn't exist to the instance list and freezes
// the list.
func makeListStale(c *harness.Cluster) {
	gone := c.Endpoints[0].Settings
	c.AddInstance(platform.Instance{
		ID: "endpoint-gone", Role: platform.RoleEndpoint, Address: harness.UnusedAddress(c.T(), gone.Listen),
		FailureDomain: gone.FailureDomain, Group: gone.Endpoint.Group, State: platform.StateLive,
	})
	c.Control(c.Platform, map[string]any{"list_frozen": true})
}

// startWithExportedState starts a cluster and exports its state to the bootstrap file of
// its daemons.
func startWithExportedState(t *testing.T) *harness.Cluster {
	dir := t.TempDir()
	c := harness.Start(t, harness.Options{Engines: 3, Entries: 3, Settings: harness.WithBootstrap(dir)})
	if r := c.Ctl("config", "export", "-o", harness.BootstrapFile(dir)); r.Code != ctl.ExitOK {
		t.Fatalf("export: %s", r.Stderr)
	}
	return c
}

// A whole site restarts while the log is down and the instance list is frozen with an
// endpoint that no longer exists; every process has only an exported state to start
// from. Entries must start to listen without the log, but not before they have a
// configuration and an endpoint, or they would refuse their first callers.
func TestPromise3AllRestartWithoutLog(t *testing.T) {
	t.Parallel()
	c := startWithExportedState(t)
	makeListStale(c)
	c.Control(c.Platform, map[string]any{"log_down": true})
	restartAll(t, c, c.Nodes(), harness.Hospice)
	c.Control(c.Platform, map[string]any{"log_down": false, "list_frozen": false})
}

// As above, but the exported state is outdated and one endpoint process survives with
// the current configuration. Restarted processes must fetch it from their peer and
// prefer it to the older file.
func TestPromise3RestartFromPeer(t *testing.T) {
	t.Parallel()
	c := startWithExportedState(t)
	old, next := harness.Hospice, changed(harness.Hospice, "new")
	offset := c.Publish(next.Record(c.Revisions[old.ID]))
	survivor := c.Endpoints[0]
	awaitOffset(t, c, offset, survivor)
	makeListStale(c)
	c.Control(c.Platform, map[string]any{"log_down": true})
	restartAll(t, c, append(append([]*harness.Node{}, c.Endpoints[1:]...), c.Entries...), next)
	for _, entry := range c.Entries {
		if !refusesKey(c, entry, old) {
			t.Errorf("%s accepts the old key", entry.ID)
		}
	}
}

// The whole platform is unreachable, log and instance list, when all entries restart;
// their settings name two endpoint processes as peers. Entries must learn of the
// endpoints from these peers, not from the instance list alone.
func TestPromise3EntriesRestartWithoutPlatform(t *testing.T) {
	t.Parallel()
	var peers []string
	withPeers := func(s *settings.Settings) {
		switch s.Role {
		case "endpoint":
			peers = append(peers, s.Advertise)
		default:
			s.Bootstrap.Peers = peers
		}
	}
	c := harness.Start(t, harness.Options{Engines: 2, Entries: 2, Settings: withPeers})
	for _, n := range c.Nodes() {
		n.CutOffPlatform()
	}
	restartAll(t, c, c.Entries, harness.Hospice)
}
