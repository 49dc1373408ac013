package engine

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	api "skylarklead/internal/engine"
	"skylarklead/internal/prefix"
	"skylarklead/internal/standin/answer"
	"skylarklead/test/kit"
)

// Requests that don't fit into the cache at the same time run one after another.
func TestMemoryBoundsBatch(t *testing.T) {
	settings := fastSettings()
	settings.CacheTokens = 80 * prefix.BlockTokens
	r := newTestEngine(t, settings)
	var streams []*api.Stream
	for i := range 3 {
		s := kit.Must(r.client.Complete(r.context(), completionRequest(fmt.Sprint(i), "huon", prompt(fmt.Sprintf("charter%d", i), "q"), 30)))(t)
		streams = append(streams, s)
	}
	for i, s := range streams {
		want := answer.Expected(prompt(fmt.Sprintf("charter%d", i), "q"), 30)
		if text, _, err := readAll(s); text != want || err != nil {
			t.Errorf("answer %d: %q, %v", i, text, err)
		}
	}
	_, err := r.client.Complete(r.context(), completionRequest("big", "huon", prompt("charter", "q"), 80*prefix.BlockTokens))
	if !errors.Is(err, api.ErrNotRun) {
		t.Errorf("a request larger than the cache: %v", err)
	}
}

// Concurrent requests with the same charter share its prefill.
func TestPrefillIsShared(t *testing.T) {
	settings := fastSettings()
	settings.PrefillChunk = 4 * prefix.BlockTokens
	settings.CacheTokens = 400 * prefix.BlockTokens
	r := newTestEngine(t, settings)
	var streams []*api.Stream
	for i := range 4 {
		s := kit.Must(r.client.Complete(r.context(), completionRequest(fmt.Sprint(i), "huon", prompt("charter", "q"), 1)))(t)
		streams = append(streams, s)
	}
	for _, s := range streams {
		if _, _, err := readAll(s); err != nil {
			t.Fatal(err)
		}
	}
	whole := prefix.EstimateTokens(prompt("charter", "q"))
	if n := r.stats().Totals.ComputedTokens; n > 2*whole {
		t.Errorf("computed %d tokens for 4 prompts of %d", n, whole)
	}
}

// Loading weights waits for the weight store, and a request that was accepted with
// the old weights finishes with them.
func TestLoadWaitsForStoreAndRunningRequest(t *testing.T) {
	release := make(chan struct{})
	store := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/weights/m/v2" {
			<-release
		}
	}))
	defer store.Close()
	r := newTestEngine(t, fastSettings())
	r.engine.options.Platform = store.URL
	s := kit.Must(r.client.Complete(r.context(), completionRequest("long", "huon", prompt("charter", "q"), 20_000)))(t)
	kit.Must(r.client.SendOrder(r.context(), api.Order{Fence: 1, Op: api.OpLoadVersion, Version: "v2"}))(t)
	close(release)
	kit.Until(r, "the weights are fetched", func() bool {
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		return r.engine.orders.fetched
	})
	if state, err := r.client.State(r.context()); err != nil || !state.Loading || state.Version != "v1" {
		t.Errorf("state during a running request: %+v, %v", state, err)
	}
	if event, err := s.Next(); err != nil || event.Text == "" {
		t.Errorf("the running request: %+v, %v", event, err)
	}
	kit.OK(t, r.client.Cancel(r.context(), "long"))
	kit.Until(r, "v2 is loaded", func() bool {
		state, err := r.client.State(r.context())
		return err == nil && !state.Loading && state.Version == "v2"
	})
}

func TestFreeze(t *testing.T) {
	const freeze = 100 * time.Millisecond
	r := newTestEngine(t, fastSettings())
	start := time.Now()
	r.control(`{"freeze_ms": 100}`)
	kit.Must(r.client.Load(r.context()))(t)
	if took := time.Since(start); took < freeze {
		t.Errorf("answered %v after the start of a freeze of %v", took, freeze)
	}
}

// Guards against an imported block that is resident without its parent: it can
// never be hit and takes up space. It comes about if the parent is the next block
// to be evicted, the imported blocks need space, and the import doesn't hold a
// reference to the parent.
func TestImportKeepsParents(t *testing.T) {
	settings := fastSettings()
	settings.CacheTokens = 3 * prefix.BlockTokens
	e := New(Options{Model: "m", Version: "v1", Settings: settings})
	root := prefix.Salt{Organisation: "huon", Model: "m", Weights: "v1"}.Root()
	load := func(blocks ...exportedBlock) {
		t.Helper()
		kit.Must(e.importKV(api.KV{Weights: "v1", CacheSalt: "huon"}, blocks, time.Time{}))(t)
	}
	load(exportedBlock{Hash: 1, Parent: uint64(root)})
	load(exportedBlock{Hash: 11, Parent: uint64(root)}, exportedBlock{Hash: 12, Parent: 11})
	load(exportedBlock{Hash: 2, Parent: 1}, exportedBlock{Hash: 3, Parent: 2})
	if n := e.cache.matchLength([]prefix.Hash{1, 2, 3}); n != 3 || len(e.cache.blocks) != 3 {
		t.Errorf("%d of the chain's 3 blocks are resident, %d in all", n, len(e.cache.blocks))
	}
}
