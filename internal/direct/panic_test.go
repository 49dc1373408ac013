package direct

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

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

// Guards against a success without a body, or a second failure, for a request whose handler panicked while its
// answer was held back.
func TestAPanicWhileTheAnswerIsHeldBackGivesOneFailure(t *testing.T) {
	for name, firstByte := range map[string]time.Duration{"before the first event": 0, "after it": 1} {
		t.Run(name, func(t *testing.T) {
			e := newQueueEntry(t)
			e.platform.Headers = panickingHeaders{}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				req := &request{entry: e, w: w, httpRequest: r, started: e.clock.now()}
				defer req.recoverPanic()
				defer req.freeHeld()
				if !req.hold() {
					t.Error("no memory")
				}
				req.firstByte = firstByte
				panic("a fault of the handler")
			}))
			t.Cleanup(server.Close)
			resp, err := http.Get(server.URL)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.StatusCode != http.StatusInternalServerError || string(body) != reasonPanic+"\n" || err != nil {
				t.Errorf("status %d, %q, %v", resp.StatusCode, body, err)
			}
		})
	}
}
