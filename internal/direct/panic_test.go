package direct

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"skylarklead/internal/fleet"
)

// panickingHeaders panics for a request that says so.
type panickingHeaders struct{ Headers }

func (panickingHeaders) Request(h http.Header) (fleet.Request, error) {
	panic("decoding " + h.Get("Case"))
}

func (panickingHeaders) Refusal(http.Header, string) {}

// Guards against a caller whose connection is closed without an answer because its request's handler panicked.
func TestARequestWhoseHandlerPanicsIsAnswered(t *testing.T) {
	e := newQueueEntry(t)
	e.platform.Headers = panickingHeaders{}
	server := httptest.NewServer(http.HandlerFunc(e.serveHTTP))
	t.Cleanup(server.Close)
	resp, err := http.Get(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusInternalServerError {
		t.Errorf("status %d", resp.StatusCode)
	}
	if !e.drain.idle() {
		t.Error("the request counts as in flight")
	}
}
