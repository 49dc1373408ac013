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

// refusesKey reports whether an entry refuses o's key as unauthorized.
func refusesKey(c *harness.Cluster, entry *harness.Node, o harness.Organisation) bool {
	a := c.Caller(entry, o).Chat(context.Background(), harness.NewChat("old", 1))
	return a.Failure != nil && a.Failure.Code == protocol.CodeUnauthorized
}

// answersBy reports whether an entry accepts o's key and the answer follows from o's
// instructions.
func answersBy(c *harness.Cluster, entry *harness.Node, o harness.Organisation) bool {
	chat := harness.NewChat("new", 5)
	a := c.Caller(entry, o).Chat(context.Background(), chat)
	return a.Ended && o.CheckAnswer(chat, a) == nil
}

// awaitInForce waits until next is in force at each of the entries as seen by callers:
// the new key is accepted, the new instructions are followed and the old key is
// refused.
func awaitInForce(t *testing.T, c *harness.Cluster, old, next harness.Organisation, entries ...*harness.Node) {
	t.Helper()
	began := time.Now()
	for _, entry := range entries {
		harness.Await(t, "the new key and instructions at "+entry.ID, func() bool { return answersBy(c, entry, next) })
		if !refusesKey(c, entry, old) {
			t.Errorf("%s accepts both the new key and the old one", entry.ID)
		}
		t.Logf("in force at %s within %v", entry.ID, time.Since(began).Round(time.Millisecond))
	}
}

// awaitOffset waits until each daemon reports that the offset is in force.
func awaitOffset(t *testing.T, c *harness.Cluster, offset uint64, nodes ...*harness.Node) {
	t.Helper()
	began := time.Now()
	for _, n := range nodes {
		c.AwaitStatus(n, "to have the offset in force", func(s *protocol.Status) bool { return s.ConfigOffset >= offset })
		t.Logf("status of %s: in force within %v", n.ID, time.Since(began).Round(time.Millisecond))
	}
}

// watchOldKey sends requests with a revoked key to each entry and fails the test if one
// accepts it, until the returned function is called.
func watchOldKey(t *testing.T, c *harness.Cluster, old harness.Organisation, entries ...*harness.Node) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var watchers sync.WaitGroup
	for _, entry := range entries {
		watchers.Go(func() {
			for ctx.Err() == nil {
				a := c.Caller(entry, old).Chat(ctx, harness.NewChat("old", 1))
				if a.Status != 0 && (a.Failure == nil || a.Failure.Code != protocol.CodeUnauthorized) {
					t.Errorf("%s accepts the old key again: %v", entry.ID, a)
					return
				}
				select {
				case <-ctx.Done():
				case <-time.After(20 * time.Millisecond): // limits the load
				}
			}
		})
	}
	return func() {
		cancel()
		watchers.Wait()
	}
}

// Two operators change one organisation at the same time, on the same base; the
// platform is slow, so that each reads the log before the other's record is on it.
// Only one change may be accepted, the other operator must be told, and all entries
// must accept the same key: neither may the last writer win, nor may a process decide
// by an order other than that of the log.
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
		t.Fatalf("exit codes %d and %d; want one accepted and the other refused:\n%s\n%s", won.Code, lost.Code, won.Stderr, lost.Stderr)
	}
	awaitInForce(t, c, old, winner, c.Entries...)
	for _, entry := range c.Entries {
		if !refusesKey(c, entry, loser) {
			t.Errorf("%s accepts the key of the refused change", entry.ID)
		}
	}
	records := c.LogRecords("config")
	awaitOffset(t, c, records[len(records)-1].Offset, c.Nodes()...)
}

// An append takes effect and its reply is lost. publish must report the change as in
// force: an operator who is told that it failed would publish it again, over a later
// change. A failed append doesn't show that nothing was appended.
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

// An entry and an endpoint process are cut off from the platform when a change is
// accepted, and the log goes down right after. Then another entry and endpoint process
// restart during the outage. The change must reach all of them through their peers,
// and a restarted process must start from what its peers have: otherwise a revoked key
// is still accepted, or again after a restart, and replaced instructions are followed.
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
	stop := watchOldKey(t, c, old, c.Entries...)
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

// Records are published, a snapshot is written, the log's retention removes the
// records, and every daemon is killed and restarted. The state must be recovered from
// the snapshot, with all organisations in their current revisions.
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
	// Retain most of the records after the change, but not the change itself, so that
	// snapshots which are written meanwhile don't displace each other.
	records := c.LogRecords("config")
	keep := records[len(records)-1].Offset - first - 1
	c.Control(c.Platform, map[string]any{"retention_count": keep})
	if oldest := c.LogRecords("config")[0].Offset; oldest <= first {
		t.Fatalf("the log still has offset %d; want it removed up to the change", oldest)
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

// One organisation has a record of schema 1, another of schema 2. A record of the
// unknown schema 3 is published for one of them, every daemon restarts, and a record of
// schema 2 replaces it. Processes must keep the unknown record without applying any
// part of it, and the organisation must stay in service with its previous record.
func TestPromise9MixedSchemas(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, harness.Options{Engines: 2, Entries: 2})
	old := harness.Foodbank
	next := harness.Organisation{ID: old.ID, Key: "key-of-schema-1", Instructions: []string{"the rules by schema 1"}}
	offset := c.Publish(schema1(next, c.Revisions[old.ID]))
	awaitInForce(t, c, old, next, c.Entries...)
	stop := watchOldKey(t, c, old, c.Entries...)
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
	// A change based on the record in force instead of the kept, newer one must be
	// refused, since it would undo the newer one.
	late := changed(old, "late")
	c.Publish(late.Record(offset))
	last := changed(old, "last")
	c.Publish(last.Record(kept))
	awaitInForce(t, c, next, last, c.Entries...)
	for _, entry := range c.Entries {
		if !refusesKey(c, entry, late) {
			t.Errorf("%s accepts the key of a record with an old base", entry.ID)
		}
	}
}

// schema1 returns o's record in schema 1, the format before schema 2.
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
