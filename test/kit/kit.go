// Package kit has small helpers that the tests of many packages share. It starts no
// processes; package harness does.
package kit

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"
)

// Timeout is how long a test waits for an expected event before it fails.
const Timeout = 10 * time.Second

// pollInterval is the pause between two evaluations of a condition in Until.
const pollInterval = 2 * time.Millisecond

// TB is the interface that tests, benchmarks, fuzz targets and property checks
// share.
type TB interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// Must returns the value of a call that must not fail, and ends the test if it did:
//
//	state := kit.Must(config.DecodeState(data))(t)
func Must[T any](value T, err error) func(TB) T {
	return func(t TB) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
}

// OK ends the test if a call failed.
func OK(t TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// Until polls condition until it holds, and ends the test if it doesn't within
// Timeout. what names the condition in the failure message.
func Until(t TB, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(Timeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// Control posts body, a JSON object of faults, to the control endpoint of a
// stand-in with the base URL base.
func Control(t TB, base, body string) {
	t.Helper()
	resp, err := http.Post(base+"/control", "application/json", strings.NewReader(body))
	if err != nil && strings.Contains(body, `"crash"`) {
		return // a stand-in that crashes may close the connection before it answers
	}
	OK(t, err)
	defer resp.Body.Close()
	if answer, _ := io.ReadAll(resp.Body); resp.StatusCode != http.StatusOK {
		t.Fatalf("control %s: %s %s", body, resp.Status, answer)
	}
}

// Get returns the JSON document at url, decoded.
func Get[T any](t TB, url string) (into T) {
	t.Helper()
	resp := Must(http.Get(url))(t)
	defer resp.Body.Close()
	OK(t, json.NewDecoder(resp.Body).Decode(&into))
	return into
}
