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

// firstAnswer waits until an entry listens, sends one request at once, and fails
// the test unless it is answered wholly. It returns the times since began.
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
	c.T().Logf("%s: listening after %v, first token %v later, whole answer after %v", entry.ID,
		listening.Round(time.Millisecond), a.FirstByte.Round(time.Millisecond), time.Since(began).Round(time.Millisecond))
	return nil
}

// restartAll kills daemons together, starts them again together, and checks each
// entry's first request, all at the same time.
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

// makeListStale freezes the instance list while it names an endpoint that is no
// more.
func makeListStale(c *harness.Cluster) {
	gone := c.Endpoints[0].Settings
	c.AddInstance(platform.Instance{
		ID: "endpoint-gone", Role: platform.RoleEndpoint, Address: harness.UnusedAddress(c.T(), gone.Listen),
		FailureDomain: gone.FailureDomain, Group: gone.Endpoint.Group, State: platform.StateLive,
	})
	c.Control(c.Platform, map[string]any{"list_frozen": true})
}

// startExported starts a cluster and exports its state to the daemons' bootstrap
// file.
func startExported(t *testing.T) *harness.Cluster {
	dir := t.TempDir()
	c := harness.Start(t, harness.Options{Engines: 3, Entries: 3, Settings: harness.WithBootstrap(dir)})
	if r := c.Ctl("config", "export", "-o", harness.BootstrapFile(dir)); r.Code != ctl.ExitOK {
		t.Fatalf("export: %s", r.Stderr)
	}
	return c
}

// Symptom: after a failure of a whole site, entries listen and refuse their first
// callers; or they don't listen until the log is back.
// Sequence: the log goes down; the instance list stands still and names an
// endpoint that is no more; every entry and endpoint process is killed and
// started again, with nothing but an exported state to start from.
// Cause: an entry listens before it knows a configuration and an endpoint, or
// needs the log to know them.
func TestPromise3AllRestartWithoutLog(t *testing.T) {
	t.Parallel()
	c := startExported(t)
	makeListStale(c)
	c.Control(c.Platform, map[string]any{"log_down": true})
	restartAll(t, c, c.Nodes(), harness.Hospice)
	c.Control(c.Platform, map[string]any{"log_down": false, "list_frozen": false})
}

// Symptom: as above, where no state was exported or the file is old.
// Sequence: as above, but one endpoint process survives, and the configuration
// has changed since the file was written.
// Cause: a process that restarts doesn't ask its peers, or prefers an older file.
func TestPromise3RestartFromPeer(t *testing.T) {
	t.Parallel()
	c := startExported(t)
	old, next := harness.Hospice, changed(harness.Hospice, "new")
	offset := c.Publish(next.Record(c.Revisions[old.ID]))
	survivor := c.Endpoints[0]
	awaitOffset(t, c, offset, survivor)
	makeListStale(c)
	c.Control(c.Platform, map[string]any{"log_down": true})
	restartAll(t, c, append(append([]*harness.Node{}, c.Endpoints[1:]...), c.Entries...), next)
	for _, entry := range c.Entries {
		if !refusesKey(c, entry, old) {
			t.Errorf("%s takes the old key", entry.ID)
		}
	}
}

// Symptom: as above, while neither the log nor the instance list answers.
// Sequence: the whole platform is unreachable; every entry is killed and started
// again; its settings name two endpoint processes as peers.
// Cause: endpoints are known by the list alone.
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
