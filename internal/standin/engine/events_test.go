package engine

import (
	"errors"
	"fmt"
	"testing"

	api "skylarklead/internal/engine"
	"skylarklead/internal/prefix"
	"skylarklead/test/kit"
)

var errEnough = errors.New("enough")

// readCacheEvents reads n cache events from a sequence number on.
func (r *testEngine) readCacheEvents(from uint64, n int) []api.CacheEvent {
	r.Helper()
	var events []api.CacheEvent
	err := r.client.Events(r.context(), from, func(event api.CacheEvent) error {
		events = append(events, event)
		if len(events) == n {
			return errEnough
		}
		return nil
	})
	if !errors.Is(err, errEnough) {
		r.Fatalf("%d of %d events: %v", len(events), n, err)
	}
	return events
}

// Applying all events in order gives exactly the resident blocks, with evictions
// among them.
func TestEventsTellResidentBlocks(t *testing.T) {
	settings := fastSettings()
	settings.CacheTokens = 100 * prefix.BlockTokens
	settings.EventBuffer = 100_000
	r := newTestEngine(t, settings)
	for i := range 8 {
		r.complete(completionRequest(fmt.Sprint(i), "huon", prompt(fmt.Sprintf("charter%d", i%4), "q"), 1))
	}
	stats := r.stats()
	r.engine.mu.Lock()
	last := int(r.engine.events.lastSeq)
	r.engine.mu.Unlock()
	resident := map[prefix.Hash]bool{}
	removals := 0
	for i, event := range r.readCacheEvents(1, last) {
		if event.Seq != uint64(i+1) || event.Incarnation != stats.Incarnation || event.Weights != "v1" {
			t.Fatalf("event %d is %+v", i, event)
		}
		for _, h := range event.Hashes {
			if event.Type == api.BlocksStored {
				resident[h] = true
			} else {
				delete(resident, h)
				removals++
			}
		}
	}
	if len(resident) != stats.ResidentBlocks || removals == 0 {
		t.Errorf("%d blocks resident by events, %d in the cache, %d removals", len(resident), stats.ResidentBlocks, removals)
	}
	for _, h := range stats.ResidentHashes {
		if !resident[h] {
			t.Errorf("resident block %016x is missing from the events", h)
		}
	}
}

// A dropped event leaves a gap in the sequence numbers. A reader that starts at a
// number of another incarnation gets the whole buffer.
func TestEventGap(t *testing.T) {
	settings := fastSettings()
	settings.PrefillChunk = prefix.BlockTokens
	r := newTestEngine(t, settings)
	r.control(`{"drop_next_events": 2}`)
	r.complete(completionRequest("a", "huon", prompt("charter", "q"), 1))
	if got := r.readCacheEvents(1, 1)[0].Seq; got != 3 {
		t.Errorf("first event has number %d after two were dropped", got)
	}
	if got := r.readCacheEvents(1_000_000, 1)[0].Seq; got != 3 {
		t.Errorf("first event has number %d when reading from an unknown number", got)
	}
}

func TestEvictionByAge(t *testing.T) {
	r := newTestEngine(t, fastSettings())
	r.complete(completionRequest("a", "huon", prompt("charter", "q"), 1))
	if n := r.stats().ResidentBlocks; n == 0 {
		t.Fatal("nothing is resident")
	}
	r.control(`{"evict_after_ms": 1}`)
	kit.Until(r, "all blocks are evicted", func() bool { return r.stats().ResidentBlocks == 0 })
}

// An event is visible once it is as old as EventDelayMs, and a load report is at
// least LoadLagMs old.
func TestDelays(t *testing.T) {
	settings := fastSettings()
	settings.EventDelayMs, settings.LoadLagMs = 60_000, 1_000
	e := New(Options{Model: "m", Version: "v1", Settings: settings})
	e.publishEvent(api.BlocksStored, []prefix.Hash{1})
	reader := e.newEventReader(1)
	published := e.events.buffer[0].visibleAt.Add(-milliseconds(60_000))
	if ready, _, after := e.pollEvents(reader, published.Add(milliseconds(59_000))); len(ready) != 0 || after != milliseconds(1_000) {
		t.Errorf("%d events visible early, recheck after %v", len(ready), after)
	}
	if ready, _, _ := e.pollEvents(reader, published.Add(milliseconds(60_000))); len(ready) != 1 {
		t.Errorf("%d events visible after the delay", len(ready))
	}
	for second := range 5 {
		now := published.Add(milliseconds(int64(second) * 1_000))
		e.orders.state.Role = fmt.Sprint(second)
		e.sampleLoad(now)
		if load := e.laggedLoad(now); second > 0 && (load.Role != fmt.Sprint(second-1) || load.AgeMs != 1_000) {
			t.Errorf("report in second %d: %+v", second, load)
		}
	}
}
