package engine

import (
	"io"
	"reflect"
	"strings"
	"testing"

	api "skylarklead/internal/engine"
	"skylarklead/internal/parameters"
)

// Symptom: temperature, stop and seed have no effect, whatever the caller sets.
// Sequence: a completion is sent with a caller's further fields, some of which
// name what the endpoint itself sets.
// Cause: a client that sends only its own fields; or one that lets the caller's
// win, which would serve another salt's cached prefixes.
func TestParametersReachTheEngine(t *testing.T) {
	r := newRig(t, fast())
	q := query("a", "salt", prompt("charter", "question"), 3)
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
	got := r.account().Requests["a"]
	if got.Salt != "salt" || got.CompletionTokens != 3 || len(got.Parameters) != 2 ||
		string(got.Parameters["temperature"]) != "0.50" || string(got.Parameters["stop"]) != `["a"]` {
		t.Errorf("got %+v", got)
	}
}

// Merge writes the caller's fields beside ours without reading ours, so each of
// ours has to be one that callers can't pass.
func TestOwnFieldsAreHeld(t *testing.T) {
	body := reflect.TypeFor[api.Completion]()
	for i := range body.NumField() {
		name, _, _ := strings.Cut(body.Field(i).Tag.Get("json"), ",")
		if !parameters.IsReserved(name) {
			t.Errorf("field %q could be there twice", name)
		}
	}
}

// Symptom: an engine is taken for crashed, and the request for deadly.
// Sequence: a Run has parameters that aren't an object.
// Cause: a fault of the request that looks like one of the connection.
func TestUnreadableParametersAreTheRequestsFault(t *testing.T) {
	r := newRig(t, fast())
	q := query("a", "salt", prompt("charter", "question"), 3)
	q.Parameters = []byte(`[`)
	_, err := r.client.Complete(r.context(), q)
	refused, ok := err.(*api.RefusedError)
	if !ok || refused.Code != api.CodeBadRequest {
		t.Errorf("got %v", err)
	}
}
