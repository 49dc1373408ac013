package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"skylarklead/internal/standin/halfway"
	"skylarklead/test/kit"
)

// sessionCutStep is by how many bytes the cuts of a session are apart.
const sessionCutStep = 23

// Guards against a part of an answer that its caller gets as a whole one, since the session with the executor ends in the
// middle of a frame: a stream, a whole answer and a call.
func TestAnswersOfSessionsThatStopHalfway(t *testing.T) {
	words := allWords(totalWords)
	for _, c := range []struct {
		name, group, path, body string
		// whole reports whether a body is the whole answer.
		whole func(body string) bool
	}{
		{"stream", "llm", chatPath, streamBody, func(body string) bool {
			return strings.HasSuffix(body, "data: [DONE]\n\n") && strings.Count(body, "\nid: ")+1 >= totalWords || strings.Contains(body, "event: error")
		}},
		{"chat", "llm", chatPath, plainBody, func(body string) bool { return strings.Contains(body, words) }},
		{"call", "portal", "/v1/services/portal/pledges/7", "pay", func(body string) bool { return body == words }},
	} {
		for _, ending := range halfway.Endings {
			t.Run(fmt.Sprint(c.name, "/", ending), func(t *testing.T) {
				t.Parallel()
				x := newExecutor(t, "ep-1", script{run: answersAll.run, resume: sendsRest})
				direct := x.address
				cuts, whole := 0, 0
				for n, more := 0, true; more; n += sessionCutStep {
					relay := kit.Must(halfway.StartRelay(direct, n, ending))(t)
					x.address = relay.Address
					e, caller := newTestEntry(t, c.group, x)
					resp := caller.post(context.Background(), c.path, c.body)
					body, err := io.ReadAll(resp.Body)
					resp.Body.Close()
					if resp.StatusCode == http.StatusOK && err == nil {
						whole++
						if !c.whole(string(body)) {
							t.Errorf("cut after %d bytes: the caller got 200 %q", n, body)
						}
					}
					if more = relay.Cut(); more {
						cuts++
					}
					e.pool.Close()
					relay.Close()
				}
				t.Logf("%d cuts, %d whole answers", cuts, whole)
			})
		}
	}
}
