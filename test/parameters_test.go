package test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"testing"

	"skylarklead/internal/standin/engine"
	"skylarklead/test/harness"
)

// TestParametersReachTheEngine sends sampling parameters through an entry and an
// endpoint process and compares them with the engine's account. A request that sets
// a field which the endpoint sets itself, above all the cache salt, must be refused.
func TestParametersReachTheEngine(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, harness.Options{Engines: 1, Entries: 1})
	caller := c.Caller(c.Entries[0], harness.Foodbank)
	// post sends a chat completion with additional fields and returns the status code.
	post := func(fields string) int {
		body := `{"model":"` + harness.NewChat("x", 1).Model + `","messages":[{"role":"user","content":"x"}],"max_tokens":2,` + fields + `}`
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, caller.URL+"/v1/chat/completions", bytes.NewBufferString(body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+caller.Key)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: %s", resp.Status, text)
		return resp.StatusCode
	}
	runs := func() int { return len(c.Account(c.Endpoints[0].Backend).Requests) }
	before := runs() // the harness has sent requests of its own
	const sampling = `"temperature":0.25,"seed":11,"stop":["<|"],`
	for _, salt := range []string{`"cache_salt":"other"`, `"Cache_Salt":"other"`} {
		if status := post(sampling + salt); status != http.StatusBadRequest {
			t.Errorf("%s: status %d, want 400", salt, status)
		}
	}
	if n := runs() - before; n != 0 {
		t.Errorf("%d refused requests reached the engine", n)
	}
	if status := post(sampling + `"cache_salt":null,"Cache_Salt":""`); status != http.StatusOK {
		t.Fatalf("status %d, want 200", status)
	}
	var found []engine.RequestStats
	for _, r := range c.Account(c.Endpoints[0].Backend).Requests {
		if len(r.Parameters) > 0 {
			found = append(found, r)
		}
	}
	if len(found) != 1 || len(found[0].Parameters) != 3 || found[0].Salt != harness.Foodbank.ID {
		t.Fatalf("the engine's account has %+v", found)
	}
	var stop []string
	if err := json.Unmarshal(found[0].Parameters["stop"], &stop); err != nil || !slices.Equal(stop, []string{"<|"}) {
		t.Errorf("stop is %q, %v", stop, err)
	}
	if string(found[0].Parameters["seed"]) != "11" || string(found[0].Parameters["temperature"]) != "0.25" {
		t.Errorf("seed is %s, temperature %s; want 11 and 0.25", found[0].Parameters["seed"], found[0].Parameters["temperature"])
	}
}
