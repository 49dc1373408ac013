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

// TestParametersReachTheEngine sends sampling parameters through entry and
// endpoint process, and reads them from the engine's own account. They must not
// set what the endpoint sets, the cache's salt first of all: that is refused.
func TestParametersReachTheEngine(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, harness.Options{Engines: 1, Entries: 1})
	caller := c.Caller(c.Entries[0], harness.Foodbank)
	// post sends the fields beside a message and returns the answer's status.
	post := func(fields string) int {
		body := `{"model":"` + harness.Ask("x", 1).Model + `","messages":[{"role":"user","content":"x"}],"max_tokens":2,` + fields + `}`
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
	runs := func() int { return len(c.Account(c.Endpoints[0].Engine).Requests) }
	before := runs() // the harness has sent its own
	const sampling = `"temperature":0.25,"seed":11,"stop":["<|"],`
	for _, salt := range []string{`"cache_salt":"other"`, `"Cache_Salt":"other"`} {
		if status := post(sampling + salt); status != http.StatusBadRequest {
			t.Errorf("%s is answered by %d", salt, status)
		}
	}
	if n := runs() - before; n != 0 {
		t.Errorf("%d refused requests cost engine time", n)
	}
	if status := post(sampling + `"cache_salt":null,"Cache_Salt":""`); status != http.StatusOK {
		t.Fatalf("answered by %d", status)
	}
	var found []engine.RequestStats
	for _, r := range c.Account(c.Endpoints[0].Engine).Requests {
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
		t.Errorf("got %s and %s", found[0].Parameters["seed"], found[0].Parameters["temperature"])
	}
}
