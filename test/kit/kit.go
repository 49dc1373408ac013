// Package kit has what the tests of many packages do in the same way.
package kit

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"
)

// Timeout is how long a test waits for what should happen.
const Timeout = 10 * time.Second

// look is the pause between two looks at a condition.
const look = 2 * time.Millisecond

// TB is what a test, a benchmark, a fuzz target and a property have in common.
type TB interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// Must passes on the value of a call that must not fail:
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

// Until waits for a condition.
func Until(t TB, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(Timeout); !condition(); time.Sleep(look) {
		if time.Now().After(deadline) {
			t.Fatalf("waited in vain for: %s", what)
		}
	}
}

// Control sets faults of a stand-in.
func Control(t TB, base, body string) {
	t.Helper()
	resp, err := http.Post(base+"/control", "application/json", strings.NewReader(body))
	if err != nil && strings.Contains(body, `"crash"`) {
		return // the answer to a crash may be lost with the connection
	}
	OK(t, err)
	defer resp.Body.Close()
	if answer, _ := io.ReadAll(resp.Body); resp.StatusCode != http.StatusOK {
		t.Fatalf("control %s: %s %s", body, resp.Status, answer)
	}
}

// Get reads JSON.
func Get[T any](t TB, url string) (into T) {
	t.Helper()
	resp := Must(http.Get(url))(t)
	defer resp.Body.Close()
	OK(t, json.NewDecoder(resp.Body).Decode(&into))
	return into
}
