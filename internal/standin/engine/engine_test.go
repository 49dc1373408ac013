package engine

import (
	"context"
	"errors"
	"slices"
	"testing"

	api "skylarklead/internal/engine"
	"skylarklead/internal/prefix"
	"skylarklead/internal/standin/answer"
	"skylarklead/test/kit"
)

func TestCompletion(t *testing.T) {
	r := newTestEngine(t, fastSettings())
	messages := prompt("charter", "echo:q1 what is left?")
	want := answer.Expected(messages, 20)

	text, usage := r.complete(completionRequest("a", "huon", messages, 20))
	if text != want {
		t.Errorf("answer %q, want %q", text, want)
	}
	if usage == nil || usage.PromptTokens != prefix.EstimateTokens(messages) || usage.CompletionTokens != 20 || usage.PromptTokensDetails.CachedTokens != 0 {
		t.Errorf("usage %+v", usage)
	}

	text, usage = r.complete(completionRequest("b", "huon", messages, 20))
	cached := usage.PromptTokensDetails.CachedTokens
	if text != want || cached < 60*prefix.BlockTokens || cached >= usage.PromptTokens {
		t.Errorf("second answer %q, cached %d of %d", text, cached, usage.PromptTokens)
	}

	partial := completionRequest("c", "huon", messages, 13)
	partial.Partial = answer.Expected(messages, 7)
	if text, _ = r.complete(partial); partial.Partial+text != want {
		t.Errorf("continued answer %q, want %q", partial.Partial+text, want)
	}

	a := r.stats()
	if a.Requests["a"].Runs != 1 || a.Requests["b"].CachedTokens != cached || a.Totals.Runs != 3 || a.Totals.HitsBySalt["huon"] < cached {
		t.Errorf("account %+v", a)
	}
}

func TestCacheIsolation(t *testing.T) {
	r := newTestEngine(t, fastSettings())
	messages := prompt("charter", "q")
	r.complete(completionRequest("a", "huon", messages, 1))
	if _, usage := r.complete(completionRequest("b", "nakhla", messages, 1)); usage.PromptTokensDetails.CachedTokens != 0 {
		t.Errorf("another organisation hit %+v", usage)
	}
	kit.Must(r.client.SendOrder(r.context(), api.Order{Fence: 1, Op: api.OpLoadVersion, Version: "v2"}))(t)
	kit.Until(r, "v2 is loaded", func() bool {
		state, err := r.client.State(r.context())
		return err == nil && !state.Loading && state.Version == "v2"
	})
	if n := r.stats().ResidentBlocks; n != 0 {
		t.Errorf("%d blocks of the old weights", n)
	}
	if _, usage := r.complete(completionRequest("c", "huon", messages, 1)); usage.PromptTokensDetails.CachedTokens != 0 {
		t.Errorf("new weights hit %+v", usage)
	}
	if n := r.stats().Totals.ForeignHits; n != 0 {
		t.Errorf("%d foreign hits", n)
	}
}

// Events that were received before the connection is closed can still be read
// afterwards, so the disconnection shows as the first error. The engine is slowed
// down meanwhile so that the answer doesn't end before it.
func TestResumeAndCancel(t *testing.T) {
	const tokens = 600
	settings := fastSettings()
	settings.StepMs = 5
	r := newTestEngine(t, settings)
	messages := prompt("charter", "q")
	ctx, cut := context.WithCancel(r.context())
	s, err := r.client.Complete(ctx, completionRequest("cut/1", "huon", messages, tokens))
	if err != nil {
		t.Fatal(err)
	}
	have := ""
	for range 3 {
		event := kit.Must(s.Next())(t)
		have += event.Text
	}
	r.control(`{"step_ms": 1000}`)
	cut()
	if _, _, err := readAll(s); !errors.Is(err, api.ErrOutcomeUnknown) {
		t.Errorf("cut stream: %v", err)
	}
	r.control(`{"step_ms": 1}`)
	if s, err = r.client.Resume(r.context(), "cut/1", 3); err != nil {
		t.Fatal(err)
	}
	rest, _, err := readAll(s)
	if want := answer.Expected(messages, tokens); err != nil || have+rest != want {
		t.Errorf("resumed %q, %v, want %q", have+rest, err, want)
	}
	if _, err := r.client.Resume(r.context(), "none", 0); !errors.Is(err, api.ErrStreamGone) {
		t.Errorf("resume of nothing: %v", err)
	}

	s = kit.Must(r.client.Complete(r.context(), completionRequest("long", "huon", messages, 5000)))(t)
	for range 2 {
		if err := r.client.Cancel(r.context(), "long"); err != nil {
			t.Errorf("cancel: %v", err)
		}
	}
	if _, _, err := readAll(s); !errors.Is(err, api.ErrOutcomeUnknown) {
		t.Errorf("cancelled stream: %v", err)
	}
	if a := r.stats(); !a.Requests["long"].Cancelled || a.Running != 0 {
		t.Errorf("account %+v, running %d", a.Requests["long"], a.Running)
	}
}

// A stream without a connection is cancelled after ResumeMs.
func TestAbandonedStream(t *testing.T) {
	settings := fastSettings()
	settings.ResumeMs = 1
	r := newTestEngine(t, settings)
	ctx, cut := context.WithCancel(r.context())
	kit.Must(r.client.Complete(ctx, completionRequest("x", "huon", prompt("charter", "q"), 20_000)))(t)
	cut()
	kit.Until(r, "the stream is cancelled", func() bool { return r.stats().Requests["x"].Cancelled })
}

func TestOrders(t *testing.T) {
	for _, checks := range []bool{true, false} {
		settings := fastSettings()
		settings.CheckFencing = checks
		r := newTestEngine(t, settings)
		kit.Must(r.client.SendOrder(r.context(), api.Order{Fence: 7, Op: api.OpSetRole, Role: "decode"}))(t)
		_, err := r.client.SendOrder(r.context(), api.Order{Fence: 6, Op: api.OpSetRole, Role: "prefill"})
		var stale *api.StaleFenceError
		if checks && (!errors.Is(err, api.ErrStaleFence) || !errors.As(err, &stale) || stale.Fence != 7) {
			t.Errorf("engine that checks fencing numbers: %v", err)
		}
		if a := r.stats(); !checks && (err != nil || a.Totals.StaleOrders != 1) {
			t.Errorf("engine that ignores fencing numbers: %v, %+v", err, a.Totals)
		}
	}
}

func TestRefusals(t *testing.T) {
	r := newTestEngine(t, fastSettings())
	wrong := completionRequest("a", "huon", prompt("charter", "q"), 1)
	wrong.Model = "other"
	if _, err := r.client.Complete(r.context(), wrong); !errors.Is(err, api.ErrNotRun) || errors.Is(err, api.ErrLoading) {
		t.Errorf("wrong model: %v", err)
	}
	r.control(`{"load_ms": 60000}`)
	if state, err := r.client.SendOrder(r.context(), api.Order{Fence: 1, Op: api.OpLoadVersion, Version: "v2"}); err != nil || !state.Loading {
		t.Fatalf("order: %+v, %v", state, err)
	}
	_, err := r.client.Complete(r.context(), completionRequest("b", "huon", prompt("charter", "q"), 1))
	if !errors.Is(err, api.ErrLoading) || !errors.Is(err, api.ErrNotRun) {
		t.Errorf("while loading: %v", err)
	}
	if a := r.stats(); a.Totals.Runs != 0 {
		t.Errorf("refused requests ran: %+v", a.Totals)
	}
}

// A prompt that contains the text of crash_on crashes the engine while another
// stream is running: all connections are dropped, streams end without a final
// event, and the engine comes back with a new incarnation and an empty cache.
func TestCrash(t *testing.T) {
	r := newTestEngine(t, fastSettings())
	r.control(`{"crash_on": "fatal"}`)
	before := r.stats().Incarnation
	other := kit.Must(r.client.Complete(r.context(), completionRequest("other", "huon", prompt("charter", "q"), 20_000)))(t)
	kit.Must(other.Next())(t)
	s, err := r.client.Complete(r.context(), completionRequest("poison", "huon", prompt("charter", "fatal"), 1))
	if err == nil {
		_, err = s.Next()
	}
	if !errors.Is(err, api.ErrOutcomeUnknown) {
		t.Errorf("poison: %v", err)
	}
	if _, _, err := readAll(other); !errors.Is(err, api.ErrOutcomeUnknown) {
		t.Errorf("other: %v", err)
	}
	kit.Until(r, "the engine has a new incarnation", func() bool {
		load, err := r.client.Load(r.context())
		return err == nil && load.Incarnation != before
	})
	a := r.stats()
	crashed := a.Crashed[before]
	slices.Sort(crashed)
	if a.ResidentBlocks != 0 || a.Totals.Crashes != 1 || !slices.Equal(crashed, []string{"other", "poison"}) {
		t.Errorf("account %+v", a)
	}
}

func TestPriority(t *testing.T) {
	var queue []*request
	for i, p := range []int{0, 1, -1, 0, -1} {
		queue = enqueue(queue, &request{priority: p, arrival: uint64(i)})
	}
	var got []uint64
	for _, r := range queue {
		got = append(got, r.arrival)
	}
	if want := []uint64{2, 4, 0, 3, 1}; !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
}

func TestExportImport(t *testing.T) {
	from, to := newTestEngine(t, fastSettings()), newTestEngine(t, fastSettings())
	messages := prompt("charter", "q")
	from.complete(completionRequest("a", "huon", messages, 1))
	root := prefix.Salt{Organisation: "huon", Model: "m", Weights: "v1"}.Root()
	chain := prefix.Chain(root, prefix.Flatten(messages))
	kv, err := from.client.ExportKV(from.context(), chain)
	if err != nil || len(kv.Hashes) != len(chain) {
		t.Fatalf("export of %d blocks: %d, %v", len(chain), len(kv.Hashes), err)
	}
	kv.CacheSalt = "nakhla"
	if n, err := to.client.ImportKV(to.context(), kv); err != nil || n != 0 {
		t.Errorf("import under another salt: %d, %v", n, err)
	}
	kv.CacheSalt = "huon"
	if n, err := to.client.ImportKV(to.context(), kv); err != nil || n != len(chain) {
		t.Errorf("import: %d of %d, %v", n, len(chain), err)
	}
	if _, usage := to.complete(completionRequest("b", "huon", messages, 1)); usage.PromptTokensDetails.CachedTokens == 0 {
		t.Error("no cache hit on imported blocks")
	}
	kv.Weights = "v0"
	if _, err := to.client.ImportKV(to.context(), kv); !errors.Is(err, api.ErrWeightsMismatch) {
		t.Errorf("import of other weights: %v", err)
	}
}
