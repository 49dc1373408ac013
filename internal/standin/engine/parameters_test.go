package engine

import (
	"io"
	"reflect"
	"strings"
	"testing"

	api "skylarklead/internal/engine"
	"skylarklead/internal/parameters"
)

// Guards against a client that drops a caller's parameters, so that temperature,
// stop or seed have no effect, and against one that lets them override fields set
// by the endpoint: a caller's cache_salt would give access to prefixes cached for
// another salt.
func TestParametersReachTheEngine(t *testing.T) {
	r := newTestEngine(t, fastSettings())
	q := completionRequest("a", "salt", prompt("charter", "question"), 3)
	q.Parameters = []byte(`{"temperature":0.50,"stop":["a"],"Stream":false,"cache_salt":"other","MAX_TOKENS":9,"priority":-9}`)
	s, err := r.client.Complete(r.context(), q)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for err == nil {
		_, err = s.Next()
	}
	if err != io.EOF {
		t.Fatal(err)
	}
	got := r.stats().Requests["a"]
	if got.Salt != "salt" || got.CompletionTokens != 3 || len(got.Parameters) != 2 ||
		string(got.Parameters["temperature"]) != "0.50" || string(got.Parameters["stop"]) != `["a"]` {
		t.Errorf("got %+v", got)
	}
}

// Merge adds the caller's fields to those of Completion without checking for
// duplicates, so each field of Completion must be reserved.
func TestOwnFieldsAreHeld(t *testing.T) {
	body := reflect.TypeFor[api.Completion]()
	for i := range body.NumField() {
		name, _, _ := strings.Cut(body.Field(i).Tag.Get("json"), ",")
		if !parameters.IsReserved(name) {
			t.Errorf("field %q isn't reserved and could occur twice", name)
		}
	}
}

// Parameters that aren't a JSON object must be reported as a bad request. If the
// error looked like a connection failure, the engine would be considered crashed
// and the request a poison request.
func TestUnreadableParametersAreTheRequestsFault(t *testing.T) {
	r := newTestEngine(t, fastSettings())
	q := completionRequest("a", "salt", prompt("charter", "question"), 3)
	q.Parameters = []byte(`[`)
	_, err := r.client.Complete(r.context(), q)
	refused, ok := err.(*api.RefusedError)
	if !ok || refused.Code != api.CodeBadRequest {
		t.Errorf("got %v", err)
	}
}
