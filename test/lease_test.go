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

// loggedOrder is an order that an engine accepted, from the engine's own log.
type loggedOrder struct {
	at      time.Time
	fence   float64
	version string
}

func loggedOrders(t *testing.T, n *harness.Node) []loggedOrder {
	t.Helper()
	var orders []loggedOrder
	for _, line := range n.Backend.Lines() {
		if !line.Matches("order") {
			continue
		}
		fence, _ := line["fence"].(float64)
		version, _ := line["version"].(string)
		orders = append(orders, loggedOrder{at: lineTime(t, line), fence: fence, version: version})
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

// An endpoint process holds the lease for its engine's orders and can't reach the
// engine when it is paused (SIGSTOP). The platform replaces it; the replacement
// acquires the lease after its expiry and orders a newer version. Then the first
// process resumes, cut off from the log. It must not order the older version: it must
// not rely on a lease check from before its pause, nor on the log for the loss of its
// lease.
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
			harness.Await(t, "the successor to log its lease", func() bool {
				return successor.CountLog("lease granted", "lease", order) > 0
			})
			holder.Resume()
			orders := loggedOrders(t, holder)
			harness.Await(t, "the former holder to notice the loss of its lease, or to order", func() bool {
				return holder.CountLog("lease lost", "lease", order) > 0 || len(loggedOrders(t, holder)) > len(orders)
			})
			c.AwaitStatus(holder, "to read the engine", func(s *protocol.Status) bool { return s.Load.Version == "v3" })
			account := c.Account(holder.Backend)
			if account.Totals.StaleOrders != 0 || account.Totals.RefusedOrders != 0 || account.Weights != "v3" {
				t.Errorf("engine has version %s, accepted %d stale orders and refused %d", account.Weights, account.Totals.StaleOrders, account.Totals.RefusedOrders)
			}
			if orders = loggedOrders(t, holder); !slices.IsSortedFunc(orders, func(a, b loggedOrder) int { return int(a.fence - b.fence) }) {
				t.Errorf("fencing tokens of the engine's orders aren't in order: %v", orders)
			}
		})
	}
}

// publishModel publishes a version of the cluster's model and returns the record's
// offset. Base 0 stands for the model's record from the start of the cluster.
func publishModel(c *harness.Cluster, base uint64, version string) uint64 {
	if base == 0 {
		base = c.Revisions[harness.Model]
	}
	return c.Publish(harness.ModelRecord(base, version))
}

const (
	replicas = 6
	// loadPermits is the value in the group's record, set by the harness.
	loadPermits = 3
)

// span is an upper bound of the time in which an engine was loading: from its own
// log line of the order to its endpoint process's line that the version is in force.
type span struct{ from, until time.Time }

func loadSpans(t *testing.T, nodes []*harness.Node) []span {
	t.Helper()
	var spans []span
	for _, n := range nodes {
		orders := loggedOrders(t, n)
		if len(orders) != 1 {
			t.Fatalf("the engine of %s received %d orders; want 1", n.ID, len(orders))
		}
		for _, line := range n.Lines() {
			if line.Matches("decision", "kind", "placement", "reason", "in_force") {
				spans = append(spans, span{from: orders[0].at, until: lineTime(t, line)})
			}
		}
	}
	return spans
}

// maxOverlap returns the maximum number of spans that overlap.
func maxOverlap(spans []span) int {
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

// A model's version changes in a group of six replicas with three load permits. At
// most three may load at a time. If each process ordered independently, the whole
// group would be out of service at once and share the bandwidth of the weight store.
func TestLeasePermitsBoundLoads(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, harness.Options{Engines: replicas, Entries: 1, EngineArgs: []string{"--load-ms", "500"}, Settings: lenientHeartbeats})
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
	most := maxOverlap(spans)
	t.Logf("at most %d of %d replicas loaded at once", most, len(spans))
	if len(spans) != replicas || most > loadPermits {
		t.Errorf("%d replicas loaded, up to %d at once; want %d, at most %d at once", len(spans), most, replicas, loadPermits)
	}
	chat := harness.NewChat("after", 5)
	if err := harness.Hospice.CheckComplete(chat, c.Caller(c.Entries[0], harness.Hospice).Chat(t.Context(), chat)); err != nil {
		t.Errorf("a request after the rollout: %v", err)
	}
}

// lenientHeartbeats raises SuspectAfter, so that replicas don't become suspect on a
// busy machine.
func lenientHeartbeats(s *settings.Settings) {
	if s.Endpoint != nil {
		s.Endpoint.SuspectAfter = settings.Duration(5 * time.Second)
	}
}
