package endpoint

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"

	standin "skylarklead/internal/standin/engine"
	"skylarklead/internal/wire"
)

// Symptom: temperature and stop have no effect.
// Sequence: a Run with a caller's parameters goes to an engine.
// Cause: an endpoint that makes the engine's request of the fields it knows.
func TestParametersReachTheEngine(t *testing.T) {
	base := startStandin(t)
	n := startProcess(t, base, nil).dial("entry-1")
	run := chat(1)
	run.Parameters = []byte(`{"cache_salt":"other","temperature":0.2,"stop":["x"]}`)
	n.send(run)
	if _, end := n.answer(0); end.Outcome != wire.Done {
		t.Fatalf("ended with %+v", end)
	}
	resp, err := http.Get(base + "/control/account")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var account standin.Account
	if err := json.NewDecoder(resp.Body).Decode(&account); err != nil {
		t.Fatal(err)
	}
	got := account.Requests[run.Attempt.String()]
	if got.Salt != "org" || len(got.Parameters) != 2 || string(got.Parameters["temperature"]) != "0.2" {
		t.Errorf("got %+v", got)
	}
}

// startStandin returns the base URL of a stand-in engine.
func startStandin(t *testing.T) string {
	t.Helper()
	settings := standin.Defaults()
	settings.LoadLagMs = 0
	e := standin.New(standin.Options{Model: "m", Version: "v1", Role: "mixed", Seed: 1, Settings: settings})
	ctx, stop := context.WithCancel(context.Background())
	address, served := make(chan string, 1), make(chan error, 1)
	go func() { served <- e.Serve(ctx, "127.0.0.1:0", func(a string) { address <- a }) }()
	t.Cleanup(func() {
		stop()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return "http://" + <-address
}
