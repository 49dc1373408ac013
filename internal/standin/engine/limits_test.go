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

// Requests that don't fit the cache together run one after the other.
func TestMemoryBoundsBatch(t *testing.T) {
	settings := fast()
	settings.CacheTokens = 80 * prefix.BlockTokens
	r := newRig(t, settings)
	var streams []*api.Stream
	for i := range 3 {
		s := kit.Must(r.client.Complete(r.context(), query(fmt.Sprint(i), "huon", prompt(fmt.Sprintf("charter%d", i), "q"), 30)))(t)
		streams = append(streams, s)
	}
	for i, s := range streams {
		want := answer.Expected(prompt(fmt.Sprintf("charter%d", i), "q"), 30)
		if text, _, err := drain(s); text != want || err != nil {
			t.Errorf("answer %d: %q, %v", i, text, err)
		}
	}
	_, err := r.client.Complete(r.context(), query("big", "huon", prompt("charter", "q"), 80*prefix.BlockTokens))
	if !errors.Is(err, api.ErrNotRun) {
		t.Errorf("a request larger than the memory: %v", err)
	}
}

// Callers that come together with one charter share its prefill.
func TestPrefillIsShared(t *testing.T) {
	settings := fast()
	settings.PrefillChunk = 4 * prefix.BlockTokens
	settings.CacheTokens = 400 * prefix.BlockTokens
	r := newRig(t, settings)
	var streams []*api.Stream
	for i := range 4 {
		s := kit.Must(r.client.Complete(r.context(), query(fmt.Sprint(i), "huon", prompt("charter", "q"), 1)))(t)
		streams = append(streams, s)
	}
	for _, s := range streams {
		if _, _, err := drain(s); err != nil {
			t.Fatal(err)
		}
	}
	whole := prefix.EstimateTokens(prompt("charter", "q"))
	if n := r.account().Totals.ComputedTokens; n > 2*whole {
		t.Errorf("computed %d tokens for 4 prompts of %d", n, whole)
	}
}

// Weights load at the pace of the weight store, and a request that was taken
// under the old ones ends under them.
func TestLoadWaitsForStoreAndRunningRequest(t *testing.T) {
	release := make(chan struct{})
	store := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/weights/m/v2" {
			<-release
		}
	}))
	defer store.Close()
	r := newRig(t, fast())
	r.engine.options.Platform = store.URL
	s := kit.Must(r.client.Complete(r.context(), query("long", "huon", prompt("charter", "q"), 20_000)))(t)
	kit.Must(r.client.SendOrder(r.context(), api.Order{Fence: 1, Op: api.OpLoadVersion, Version: "v2"}))(t)
	close(release)
	kit.Until(r, "the weights are fetched", func() bool {
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		return r.engine.orders.fetched
	})
	if state, err := r.client.State(r.context()); err != nil || !state.Loading || state.Version != "v1" {
		t.Errorf("state beside a running request: %+v, %v", state, err)
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
	r := newRig(t, fast())
	start := time.Now()
	r.control(`{"freeze_ms": 100}`)
	kit.Must(r.client.Load(r.context()))(t)
	if took := time.Since(start); took < freeze {
		t.Errorf("answered after %v of a freeze of %v", took, freeze)
	}
}

// Symptom: an imported block is resident though its parent isn't, so it is never
// hit and takes up room.
// Sequence: the import joins on to a block that is the next to be evicted; the
// import's own blocks need its room.
// Cause: the parent isn't in use while its children are stored.
func TestImportKeepsParents(t *testing.T) {
	settings := fast()
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
	if n := e.cache.match([]prefix.Hash{1, 2, 3}); n != 3 || len(e.cache.blocks) != 3 {
		t.Errorf("%d of the chain's 3 blocks are there, %d in all", n, len(e.cache.blocks))
	}
}
