package test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"sync"
	"testing"
	"time"

	"skylarklead/internal/config"
	"skylarklead/internal/ctl"
	"skylarklead/internal/protocol"
	"skylarklead/internal/settings"
	"skylarklead/test/harness"
)

// changed returns the organisation with another key and other instructions.
func changed(o harness.Organisation, name string) harness.Organisation {
	next := harness.NewOrganisation(o.ID, "the rules of Huon Ledger", "the "+name+" charter of the "+o.ID)
	next.Key = "key-of-" + o.ID + "-" + name
	return next
}

// refusesKey reports whether an entry knows no organisation by o's key.
func refusesKey(c *harness.Cluster, entry *harness.Node, o harness.Organisation) bool {
	a := c.Caller(entry, o).Chat(context.Background(), harness.NewChat("old", 1))
	return a.Failure != nil && a.Failure.Code == protocol.CodeUnauthorized
}

// answersBy reports whether an entry takes o's key and the answer follows o's
// instructions.
func answersBy(c *harness.Cluster, entry *harness.Node, o harness.Organisation) bool {
	chat := harness.NewChat("new", 5)
	a := c.Caller(entry, o).Chat(context.Background(), chat)
	return a.Ended && o.CheckAnswer(chat, a) == nil
}

// awaitInForce waits until next is in force at each of the entries, by what its
// callers see: the new key is taken and the new instructions followed, the old
// key refused.
func awaitInForce(t *testing.T, c *harness.Cluster, old, next harness.Organisation, entries ...*harness.Node) {
	t.Helper()
	began := time.Now()
	for _, entry := range entries {
		harness.Await(t, "the new key and instructions at "+entry.ID, func() bool { return answersBy(c, entry, next) })
		if !refusesKey(c, entry, old) {
			t.Errorf("%s takes the new key and the old one", entry.ID)
		}
		t.Logf("in force at %s within %v", entry.ID, time.Since(began).Round(time.Millisecond))
	}
}

// awaitOffset waits until each daemon says that the offset is in force.
func awaitOffset(t *testing.T, c *harness.Cluster, offset uint64, nodes ...*harness.Node) {
	t.Helper()
	began := time.Now()
	for _, n := range nodes {
		c.AwaitStatus(n, "to have the offset in force", func(s *protocol.Status) bool { return s.ConfigOffset >= offset })
		t.Logf("status of %s: in force within %v", n.ID, time.Since(began).Round(time.Millisecond))
	}
}

// watchOld asks each entry again and again with a key that is over, and fails the
// test when one takes it. The returned function ends it.
func watchOld(t *testing.T, c *harness.Cluster, old harness.Organisation, entries ...*harness.Node) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var watchers sync.WaitGroup
	for _, entry := range entries {
		watchers.Go(func() {
			for ctx.Err() == nil {
				a := c.Caller(entry, old).Chat(ctx, harness.NewChat("old", 1))
				if a.Status != 0 && (a.Failure == nil || a.Failure.Code != protocol.CodeUnauthorized) {
					t.Errorf("%s went back to the old key: %v", entry.ID, a)
					return
				}
				select {
				case <-ctx.Done():
				case <-time.After(20 * time.Millisecond): // bounds the load
				}
			}
		})
	}
	return func() {
		cancel()
		watchers.Wait()
	}
}

// Symptom: two operators are both told that their change of one organisation is
// accepted, and one of the changes is gone; or a key that was taken back works at
// some entry.
// Sequence: both publish at once, on the same base; the platform is slow, so that
// each has read the log before the other's record is on it.
// Cause: the last writer wins, or processes judge by another order than the
// log's.
func TestPromise9RacingOperators(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, harness.Options{Engines: 2, Entries: 3})
	old := harness.Foodbank
	base := c.Revisions[old.ID]
	rivals := []harness.Organisation{changed(old, "first"), changed(old, "second")}
	c.Control(c.Platform, map[string]any{"slow_ms": 300})
	results := make([]harness.CtlResult, len(rivals))
	var operators sync.WaitGroup
	for i, rival := range rivals {
		file := c.RecordFile(rival.Key+".json", rival.Record(base))
		operators.Go(func() { results[i] = c.Ctl("config", "publish", "--timeout", "40s", file) })
	}
	operators.Wait()
	c.Control(c.Platform, map[string]any{"slow_ms": 0})
	winner, loser := rivals[0], rivals[1]
	won, lost := results[0], results[1]
	if won.Code != ctl.ExitOK {
		winner, loser, won, lost = loser, winner, lost, won
	}
	if won.Code != ctl.ExitOK || lost.Code != ctl.ExitRefused || !strings.Contains(lost.Stderr, "refused") {
		t.Fatalf("exit codes %d and %d; want one winner, the loser told:\n%s\n%s", won.Code, lost.Code, won.Stderr, lost.Stderr)
	}
	awaitInForce(t, c, old, winner, c.Entries...)
	for _, entry := range c.Entries {
		if !refusesKey(c, entry, loser) {
			t.Errorf("%s takes the loser's key", entry.ID)
		}
	}
	records := c.LogRecords("config")
	awaitOffset(t, c, records[len(records)-1].Offset, c.Nodes()...)
}

// Symptom: an operator is told that a change failed though it is in force, and
// publishes it again over a later one.
// Sequence: the append takes effect, its answer is lost.
// Cause: the answer to an append is taken for the append.
func TestPromise9LostAppendAnswer(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, harness.Options{Engines: 1, Entries: 2})
	old, next := harness.Foodbank, changed(harness.Foodbank, "new")
	c.Control(c.Platform, map[string]any{"lose_next_answers": 1})
	r := c.Ctl("config", "publish", "--wait", "--timeout", "40s", c.RecordFile("next.json", next.Record(c.Revisions[old.ID])))
	if r.Code != ctl.ExitOK || !strings.Contains(r.Stdout, string(config.ReasonInForce)) {
		t.Errorf("exit code %d:\n%s%s", r.Code, r.Stdout, r.Stderr)
	}
	awaitInForce(t, c, old, next, c.Entries...)
}

// Symptom: a key that was taken back still works at one entry, or works again
// after a restart; a charter that was replaced is still followed.
// Sequence: an entry and an endpoint process are cut off from the platform; a
// change is accepted; the log goes down right after; another entry and endpoint
// process restart in the outage; the log comes back.
// Cause: the configuration comes from the log alone; a restarted process starts
// from less than its peers have.
func TestPromise9OutageAfterAcceptance(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, harness.Options{Engines: 3, Entries: 3})
	old, next := harness.Foodbank, changed(harness.Foodbank, "new")
	cutEntry, cutEndpoint := c.Entries[0], c.Endpoints[0]
	cutEntry.CutOffPlatform()
	cutEndpoint.CutOffPlatform()
	offset := c.Publish(next.Record(c.Revisions[old.ID]))
	awaitOffset(t, c, offset, c.Endpoints[1])
	c.Control(c.Platform, map[string]any{"log_down": true})
	awaitOffset(t, c, offset, c.Nodes()...)
	awaitInForce(t, c, old, next, c.Entries...)
	stop := watchOld(t, c, old, c.Entries...)
	defer stop()
	for _, n := range []*harness.Node{c.Entries[1], c.Endpoints[1]} {
		harness.KillAndRestart(n)
		c.AwaitUp(n)
		awaitOffset(t, c, offset, n)
	}
	awaitInForce(t, c, old, next, c.Entries...)
	c.Control(c.Platform, map[string]any{"log_down": false})
	cutEntry.ClearFaults()
	cutEndpoint.ClearFaults()
	for _, n := range c.Nodes() {
		c.AwaitStatus(n, "to reach the log", func(s *protocol.Status) bool { return s.LogReachable })
	}
	awaitInForce(t, c, old, next, c.Entries...)
}

// Symptom: after the log's retention the fleet restarts without organisations, or
// with an old revision of one.
// Sequence: records are published, a snapshot is written, retention takes the
// records, every daemon is killed and started again.
// Cause: the state in force is only in records that the log doesn't keep.
func TestPromise9RetentionPasses(t *testing.T) {
	t.Parallel()
	shortRetention := func(s *settings.Settings) { s.Platform.Retention = settings.Duration(6 * time.Second) }
	c := harness.Start(t, harness.Options{Engines: 2, Entries: 2, Settings: shortRetention})
	old, next := harness.Foodbank, changed(harness.Foodbank, "new")
	first := c.Publish(next.Record(c.Revisions[old.ID]))
	revision := c.Revisions[harness.Hospice.ID]
	const later = 10
	for range later {
		revision = c.Publish(harness.Hospice.Record(revision))
	}
	harness.Await(t, "a snapshot of the last change", func() bool { return snapshotAfter(c, revision) })
	// More than what is later than the change, less than reaches back to it:
	// snapshots that are written meanwhile don't push each other out.
	records := c.LogRecords("config")
	keep := records[len(records)-1].Offset - first - 1
	c.Control(c.Platform, map[string]any{"retention_count": keep})
	if oldest := c.LogRecords("config")[0].Offset; oldest <= first {
		t.Fatalf("the log still has offset %d", oldest)
	}
	harness.KillAndRestart(c.Nodes()...)
	for _, n := range c.Nodes() {
		c.AwaitUp(n)
	}
	awaitInForce(t, c, old, next, c.Entries...)
	awaitOffset(t, c, revision, c.Nodes()...)
}

// snapshotAfter reports whether a daemon has written a snapshot as of the offset
// or later.
func snapshotAfter(c *harness.Cluster, offset uint64) bool {
	for _, n := range c.Nodes() {
		for _, line := range n.Lines() {
			if asOf, _ := line["as_of"].(float64); line.Matches("snapshot written") && line["error"] == nil && uint64(asOf) >= offset {
				return true
			}
		}
	}
	return false
}

// Symptom: a record of a newer schema takes an organisation out of service at
// processes that can't read it, or a process applies the half of it that it
// knows.
// Sequence: one organisation has a record of schema 1, another one of schema 2;
// a record of schema 3 is published for one of them, every daemon restarts, a
// record of schema 2 replaces that one.
// Cause: an unknown version is read as if it were known, or dropped.
func TestPromise9MixedSchemas(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, harness.Options{Engines: 2, Entries: 2})
	old := harness.Foodbank
	next := harness.Organisation{ID: old.ID, Key: "key-of-schema-1", Instructions: []string{"the rules by schema 1"}}
	offset := c.Publish(schema1(next, c.Revisions[old.ID]))
	awaitInForce(t, c, old, next, c.Entries...)
	stop := watchOld(t, c, old, c.Entries...)
	defer stop()
	future := changed(old, "future").Record(offset)
	future.Schema = config.MaxSchema + 1
	future.Body = []byte(`{"key_digests": {"sha3": ["not a list of digests"]}, "charters": 7}`)
	kept := c.Publish(future)
	awaitOffset(t, c, kept, c.Nodes()...)
	for _, n := range c.Nodes() {
		harness.KillAndRestart(n)
		c.AwaitUp(n)
	}
	awaitOffset(t, c, kept, c.Nodes()...)
	awaitInForce(t, c, old, next, c.Entries...)
	for _, n := range c.Nodes() {
		if s := c.Status(n); s == nil || s.UnknownSchema != 1 {
			t.Errorf("%s doesn't report the kept record: %+v", n.ID, s)
		}
	}
	// A change on the base of what is in force, not of what was kept, would undo
	// the newer one.
	late := changed(old, "late")
	c.Publish(late.Record(offset))
	last := changed(old, "last")
	c.Publish(last.Record(kept))
	awaitInForce(t, c, next, last, c.Entries...)
	for _, entry := range c.Entries {
		if !refusesKey(c, entry, late) {
			t.Errorf("%s takes the key of a record with an old base", entry.ID)
		}
	}
}

// schema1 returns o's record as operators wrote it before schema 2.
func schema1(o harness.Organisation, base uint64) config.Record {
	digest := sha256.Sum256([]byte(o.Key))
	r := harness.Record(config.KindOrganisation, o.ID, base, map[string]any{
		"key_digests":  []string{hex.EncodeToString(digest[:])},
		"models":       []string{harness.Model},
		"services":     []string{harness.Service},
		"instructions": o.Instructions[0],
	})
	r.Schema = 1
	return r
}
