package entry

import (
	"bufio"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"skylarklead/internal/wire"
)

// Symptom: a rolling restart cuts answers.
// Sequence: SIGTERM comes while a stream is in flight; a new request comes on a
// connection that is still open; the stream then goes on to its end.
// Cause: the server may stop only when the last answer is out.
func TestDrainCutsNothing(t *testing.T) {
	goOn := make(chan struct{})
	x := newExecutor(t, "ep-1", func(x *executor, s *wire.Session, ref uint32, m wire.Message) {
		switch m := m.(type) {
		case *wire.Ask:
			x.decide(s, ref, m)
		case *wire.Run:
			words(s, m.Attempt, 0, 5, totalWords)
			<-goOn
			words(s, m.Attempt, 5, totalWords, totalWords)
		}
	})
	e, server := newTestEntry(t, "llm", x)
	resp := post(t, context.Background(), server.URL+"/v1/chat/completions", streamBody)
	lines := bufio.NewScanner(resp.Body)
	first := readEvents(t, lines, 5)

	drained := make(chan struct{})
	go func() {
		defer close(drained)
		e.shutDown(server.Config)
	}()
	until(t, "refusing", func() bool {
		e.drain.mu.Lock()
		defer e.drain.mu.Unlock()
		return e.drain.refusing
	})
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", nil)
	e.callers().ServeHTTP(w, r)
	if got := readError(t, w.Result()); got.Code != wire.CodeDraining || got.Ran != wire.NotRun || w.Header().Get("Retry-After") == "" {
		t.Errorf("a new request got %d %+v", w.Code, got)
	}
	w = httptest.NewRecorder()
	if e.readyz(w, r); w.Code != http.StatusServiceUnavailable {
		t.Errorf("readyz says %d", w.Code)
	}
	select {
	case <-drained:
		t.Error("drained with a stream in flight")
	default:
	}
	close(goOn)
	second := readEvents(t, lines, 0)
	if !second.done || first.text+second.text != wantWords(totalWords) {
		t.Errorf("got %q and then %q, failure %+v", first.text, second.text, second.failure)
	}
	<-drained
}

// Symptom: an entry that restarts while the platform is down refuses every caller
// until the platform is back.
// Sequence: the instance list can't be read; the settings name an endpoint process
// and another entry.
// Cause: peers know the endpoints as well as the list does.
func TestEndpointsFromPeers(t *testing.T) {
	x := newExecutor(t, "ep-1", func(x *executor, s *wire.Session, ref uint32, m wire.Message) {
		if _, ok := m.(*wire.StatusRequest); ok {
			_ = s.Reply(ref, &wire.Status{Members: []wire.MemberStatus{
				{ID: "ep-2", Address: "127.0.0.1:2", Group: "llm"},
				{ID: "ep-3"}, // an older peer tells no address
			}})
		}
	})
	e, _ := newTestEntry(t, "llm")
	e.settings.Bootstrap.Peers = []string{x.address, "127.0.0.1:1"}
	found := map[string]string{}
	for _, in := range e.askPeers(context.Background()) {
		found[in.ID] = in.Address
	}
	if len(found) != 2 || found["ep-1"] != x.address || found["ep-2"] != "127.0.0.1:2" {
		t.Errorf("found %v", found)
	}
}
