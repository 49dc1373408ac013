package test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"skylarklead/internal/lease"
	"skylarklead/internal/protocol"
	"skylarklead/internal/settings"
	"skylarklead/test/harness"
)

// orderLine is what an engine's own log says of an order that it took.
type orderLine struct {
	at      time.Time
	fence   float64
	version string
}

func orderLines(t *testing.T, n *harness.Node) []orderLine {
	t.Helper()
	var orders []orderLine
	for _, line := range n.Backend.Lines() {
		if !line.Matches("order") {
			continue
		}
		fence, _ := line["fence"].(float64)
		version, _ := line["version"].(string)
		orders = append(orders, orderLine{at: lineTime(t, line), fence: fence, version: version})
	}
	return orders
}

func lineTime(t *testing.T, line harness.LogLine) time.Time {
	t.Helper()
	text, _ := line["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		t.Fatalf("log line %v: %v", line, err)
	}
	return at
}

// Symptom: after a roll-out is over an engine goes back to an older version.
// Sequence: an endpoint process holds the lease on its engine's orders and can't
// reach the engine; it is stopped (SIGSTOP) while it holds; the platform puts
// another process in its place, which takes the lease after its end and orders a
// newer version; the first goes on, cut off from the log, and still believes.
// Cause: the holder trusts a check of its lease that is older than its pause, or
// waits for the log to tell it.
func TestLeaseStoppedHolderStillBelieves(t *testing.T) {
	t.Parallel()
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks fencing %v", checks), func(t *testing.T) {
			t.Parallel()
			var args []string
			if checks {
				args = append(args, "--check-fencing")
			}
			c := harness.Start(t, harness.Options{Engines: 1, Entries: 1, EngineArgs: args})
			holder := c.Endpoints[0]
			order := string(lease.OrderName(holder.ID))
			holder.BackendProxy.Freeze()
			revision := publishModel(c, 0, "v2")
			harness.Await(t, "the holder to hold the lease", func() bool {
				return holder.CountLog("lease granted", "lease", order) > 0
			})
			holder.Pause()
			holder.CutOffPlatform()
			holder.BackendProxy.Thaw()
			publishModel(c, revision, "v3")
			successor := c.Replace(holder)
			harness.Await(t, "the successor's version", func() bool { return c.EngineState(holder.Backend).Version == "v3" })
			harness.Await(t, "the successor's line of the lease that it ordered with", func() bool {
				return successor.CountLog("lease granted", "lease", order) > 0
			})
			holder.Resume()
			orders := orderLines(t, holder)
			harness.Await(t, "the holder to find out, or to order", func() bool {
				return holder.CountLog("lease lost", "lease", order) > 0 || len(orderLines(t, holder)) > len(orders)
			})
			c.AwaitStatus(holder, "to read the engine", func(s *protocol.Status) bool { return s.Load.Version == "v3" })
			account := c.Account(holder.Backend)
			if account.Totals.StaleOrders != 0 || account.Totals.RefusedOrders != 0 || account.Weights != "v3" {
				t.Errorf("engine has %s, took %d old orders and refused %d", account.Weights, account.Totals.StaleOrders, account.Totals.RefusedOrders)
			}
			if orders = orderLines(t, holder); !slices.IsSortedFunc(orders, func(a, b orderLine) int { return int(a.fence - b.fence) }) {
				t.Errorf("fencing numbers of the engine's orders: %v", orders)
			}
		})
	}
}

// publishModel publishes a version of the cluster's model and returns the
// record's offset. A base of 0 stands for the record of the cluster's start.
func publishModel(c *harness.Cluster, base uint64, version string) uint64 {
	if base == 0 {
		base = c.Revisions[harness.Model]
	}
	return c.Publish(harness.ModelRecord(base, version))
}

const (
	replicas = 6
	// loadPermits is what the group's record says.
	loadPermits = 3
)

// span is when an engine was loading, at most: from its own line of the order to
// its process's line that it was read back.
type span struct{ from, until time.Time }

func loadSpans(t *testing.T, nodes []*harness.Node) []span {
	t.Helper()
	var spans []span
	for _, n := range nodes {
		orders := orderLines(t, n)
		if len(orders) != 1 {
			t.Fatalf("%s got %d orders; want 1", n.ID, len(orders))
		}
		for _, line := range n.Lines() {
			if line.Matches("decision", "kind", "placement", "reason", "in_force") {
				spans = append(spans, span{from: orders[0].at, until: lineTime(t, line)})
			}
		}
	}
	return spans
}

// mostAtOnce returns how many spans overlap at most.
func mostAtOnce(spans []span) int {
	most := 0
	for _, s := range spans {
		at := 0
		for _, other := range spans {
			if !other.from.After(s.from) && other.until.After(s.from) {
				at++
			}
		}
		most = max(most, at)
	}
	return most
}

// Symptom: a new version takes the whole group out of service at once, and the
// weight store's speed is shared among all of it.
// Sequence: a model's version changes; six replicas want to load, three may.
// Cause: each process orders by itself.
func TestLeasePermitsBoundLoads(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, harness.Options{Engines: replicas, Entries: 1, EngineArgs: []string{"--load-ms", "500"}, Settings: calmHeartbeats})
	publishModel(c, 0, "v2")
	harness.Await(t, "every replica's new version", func() bool {
		for _, n := range c.Endpoints {
			if n.CountLog("decision", "kind", "placement", "reason", "in_force") == 0 {
				return false
			}
		}
		return true
	})
	spans := loadSpans(t, c.Endpoints)
	most := mostAtOnce(spans)
	t.Logf("at most %d of %d replicas loaded at once", most, len(spans))
	if len(spans) != replicas || most > loadPermits {
		t.Errorf("%d replicas loaded, %d at once; want %d, at most %d", len(spans), most, replicas, loadPermits)
	}
	chat := harness.NewChat("after", 5)
	if err := harness.Hospice.CheckComplete(chat, c.Caller(c.Entries[0], harness.Hospice).Chat(t.Context(), chat)); err != nil {
		t.Errorf("a request after the roll-out: %v", err)
	}
}

// calmHeartbeats keeps a busy machine from making replicas suspect.
func calmHeartbeats(s *settings.Settings) {
	if s.Endpoint != nil {
		s.Endpoint.SuspectAfter = settings.Duration(5 * time.Second)
	}
}
