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

// follow reads n cache events from a number on.
func (r *rig) follow(from uint64, n int) []api.CacheEvent {
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

// The events tell exactly what is resident, with eviction under way.
func TestEventsTellResidentBlocks(t *testing.T) {
	settings := fast()
	settings.CacheTokens = 100 * prefix.BlockTokens
	settings.EventBuffer = 100_000
	r := newRig(t, settings)
	for i := range 8 {
		r.complete(query(fmt.Sprint(i), "huon", prompt(fmt.Sprintf("charter%d", i%4), "q"), 1))
	}
	account := r.account()
	r.engine.mu.Lock()
	last := int(r.engine.events.last)
	r.engine.mu.Unlock()
	resident := map[prefix.Hash]bool{}
	removals := 0
	for i, event := range r.follow(1, last) {
		if event.Seq != uint64(i+1) || event.Incarnation != account.Incarnation || event.Weights != "v1" {
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
	if len(resident) != account.ResidentBlocks || removals == 0 {
		t.Errorf("%d resident by events, %d in truth, %d removals", len(resident), account.ResidentBlocks, removals)
	}
	for _, h := range account.ResidentHashes {
		if !resident[h] {
			t.Errorf("no event told of %016x", h)
		}
	}
}

// A lost event leaves a gap in the numbers; another incarnation's number gets
// all there is.
func TestEventGap(t *testing.T) {
	settings := fast()
	settings.PrefillChunk = prefix.BlockTokens
	r := newRig(t, settings)
	r.control(`{"drop_next_events": 2}`)
	r.complete(query("a", "huon", prompt("charter", "q"), 1))
	if got := r.follow(1, 1)[0].Seq; got != 3 {
		t.Errorf("first event %d after two were lost", got)
	}
	if got := r.follow(1_000_000, 1)[0].Seq; got != 3 {
		t.Errorf("first event %d from an unknown number", got)
	}
}

func TestEvictionByAge(t *testing.T) {
	r := newRig(t, fast())
	r.complete(query("a", "huon", prompt("charter", "q"), 1))
	if n := r.account().ResidentBlocks; n == 0 {
		t.Fatal("nothing is resident")
	}
	r.control(`{"evict_after_ms": 1}`)
	kit.Until(r, "all is evicted", func() bool { return r.account().ResidentBlocks == 0 })
}

// An event is seen only once it is as old as the delay, and a load report is at
// least as old as the lag.
func TestDelays(t *testing.T) {
	settings := fast()
	settings.EventDelayMs, settings.LoadLagMs = 60_000, 1_000
	e := New(Options{Model: "m", Version: "v1", Settings: settings})
	e.publish(api.BlocksStored, []prefix.Hash{1})
	reader := e.readEvents(1)
	published := e.events.buffer[0].visibleAt.Add(-milliseconds(60_000))
	if ready, _, after := e.poll(reader, published.Add(milliseconds(59_000))); len(ready) != 0 || after != milliseconds(1_000) {
		t.Errorf("%d events early, look again after %v", len(ready), after)
	}
	if ready, _, _ := e.poll(reader, published.Add(milliseconds(60_000))); len(ready) != 1 {
		t.Errorf("%d events once due", len(ready))
	}
	for second := range 5 {
		now := published.Add(milliseconds(int64(second) * 1_000))
		e.orders.state.Role = fmt.Sprint(second)
		e.sample(now)
		if load := e.lagged(now); second > 0 && (load.Role != fmt.Sprint(second-1) || load.AgeMs != 1_000) {
			t.Errorf("report in second %d: %+v", second, load)
		}
	}
}
