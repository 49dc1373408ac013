package direct

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Guards against an answer that is ready and dropped with the connection, as the entry was held up until after the
// request's deadline.
func TestAnAnswerOfAnEntryThatWasHeldUpIsDelivered(t *testing.T) {
	const timeout = 10 * time.Millisecond
	for name, answer := range map[string]func(*request){
		"a replica's": func(req *request) {
			req.writeAnswer(&bufferedAnswer{status: http.StatusInternalServerError, body: []byte("failed")})
		},
		"its own": func(req *request) { req.fail(http.StatusInternalServerError, "deadline exceeded", 0) },
		"held back": func(req *request) {
			req.hold()
			req.w.WriteHeader(http.StatusInternalServerError)
			req.releaseHeld()
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := newQueueEntry(t)
			e.platform.Headers = ownHeaders{}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				req := &request{entry: e, w: w, httpRequest: r, started: e.clock.now()}
				req.deadline = req.started + timeout
				req.limitTime(timeout)
				defer req.cancel()
				defer req.freeHeld()
				time.Sleep(timeout + 2*writeMargin) // held up
				answer(req)
			}))
			t.Cleanup(server.Close)
			resp, err := http.Get(server.URL)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.StatusCode != http.StatusInternalServerError {
				t.Errorf("status %d", resp.StatusCode)
			}
		})
	}
}

// ownHeaders adds nothing to answers.
type ownHeaders struct{ plainHeaders }

func (ownHeaders) ToCaller(h http.Header) http.Header { return h }
