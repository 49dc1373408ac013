package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"skylarklead/internal/protocol"
	"skylarklead/internal/wire"
	"skylarklead/test/kit"
)

// Symptom: bad callers cost engine time, or get an error that tells nothing.
// Sequence: each kind of bad request, against an executor that counts what
// reaches it.
// Cause: everything that can be checked is checked before an Ask is sent.
func TestRefusals(t *testing.T) {
	x := newExecutor(t, "ep-1", script{})
	_, c := newTestEntry(t, "llm", x)
	for _, tt := range []struct {
		name, path, body string
		headers          []string
		status           int
		code             protocol.Code
	}{
		{"no key", chatPath, wholeBody, []string{"Authorization", ""}, 401, protocol.CodeUnauthorized},
		{"wrong key", chatPath, wholeBody, []string{"Authorization", "Bearer nope"}, 401, protocol.CodeUnauthorized},
		{"bad JSON", chatPath, `{"model":`, nil, 400, protocol.CodeBadRequest},
		{"too large", chatPath, strings.Repeat(" ", 65<<10), nil, 413, protocol.CodeTooLarge},
		{"unknown model", chatPath, strings.ReplaceAll(wholeBody, "ledger-llm", "none"), nil, 404, protocol.CodeUnknownModel},
		{"unknown version", chatPath, strings.ReplaceAll(wholeBody, "ledger-llm", "ledger-llm@v9"), nil, 404, protocol.CodeUnknownModel},
		{"forbidden version", chatPath, strings.ReplaceAll(wholeBody, "ledger-llm", "ledger-llm@v2"), nil, 403, protocol.CodeForbiddenModel},
		{"another's model", chatPath, strings.ReplaceAll(wholeBody, "ledger-llm", "other-llm"), nil, 403, protocol.CodeForbiddenModel},
		{"bad deadline", chatPath, wholeBody, []string{"X-Deadline-Ms", "soon"}, 400, protocol.CodeBadRequest},
		{"another's service", "/v1/services/foreign/a", "", nil, 404, protocol.CodeUnknownService},
		{"no idempotency key", "/v1/services/portal/payments/7", "", nil, 400, protocol.CodeBadRequest},
		{"dotted path", "/v1/services/portal/balance/%2e%2e/payments", "", nil, 400, protocol.CodeBadRequest},
		{"no endpoint", "/v1/services/portal/balance", "", nil, 503, protocol.CodeNoEndpoint},
		{"no such path", "/v2", "", nil, 404, protocol.CodeBadRequest},
	} {
		t.Run(tt.name, func(t *testing.T) {
			resp := c.post(context.Background(), tt.path, tt.body, tt.headers...)
			got := readError(t, resp)
			if resp.StatusCode != tt.status || got.Code != tt.code || got.Ran != protocol.NotRun {
				t.Errorf("got %d %+v", resp.StatusCode, got)
			}
			if got.RequestID == "" || got.RequestID != resp.Header.Get("X-Request-Id") {
				t.Errorf("request ID %q beside %q", got.RequestID, resp.Header.Get("X-Request-Id"))
			}
			if got.RetryAfterMs > 0 && resp.Header.Get("Retry-After") == "" {
				t.Error("no Retry-After")
			}
		})
	}
	if n := count[protocol.Message](x); n != 0 {
		t.Errorf("%d messages reached the executor", n)
	}
}

// Symptom: an entry runs out of memory under a flood of slow callers.
// Sequence: as many requests as the bound are in flight; one more comes.
// Cause: each holds its body; without a bound the callers decide how much.
func TestInFlightIsBounded(t *testing.T) {
	e, c := newTestEntry(t, "llm")
	for range maxInFlight {
		if refusal := e.drain.enter(); refusal != nil {
			t.Fatal(refusal)
		}
	}
	resp := c.chat(wholeBody)
	if got := readError(t, resp); got.Code != protocol.CodeOverloaded || got.Ran != protocol.NotRun {
		t.Errorf("got %+v", got)
	}
	e.drain.leave()
	resp = c.chat(wholeBody)
	if got := readError(t, resp); got.Code != protocol.CodeNoEndpoint {
		t.Errorf("with room again: %+v", got)
	}
}

// Symptom: a request of an upload that broke off runs, or holds its connection.
// Sequence: a caller announces 1000 bytes, sends some of them and closes its side.
// Cause: the body is read whole before anything else is done with it.
func TestTruncatedUpload(t *testing.T) {
	x := newExecutor(t, "ep-1", script{})
	_, c := newTestEntry(t, "llm", x)
	conn := c.upload(wholeBody)
	conn.CloseWrite()
	answer := make([]byte, 4096)
	n, _ := conn.Read(answer)
	if !strings.Contains(string(answer[:n]), "cut off") {
		t.Errorf("answer %q", answer[:n])
	}
	if n := count[protocol.Message](x); n != 0 {
		t.Errorf("%d messages reached the executor", n)
	}
}

// Symptom: an entry has no connections left for honest callers.
// Sequence: a caller sends its header and part of its body, and nothing more.
// Cause: without a bound on the upload's time it keeps its connection for ever.
func TestSlowUploadIsCutOff(t *testing.T) {
	e, c := newTestEntry(t, "llm")
	e.timeouts.body = 20 * time.Millisecond
	conn := c.upload("{")
	answer, err := io.ReadAll(conn) // to the end of the connection
	if err != nil || !strings.Contains(string(answer), "cut off after 1 bytes") {
		t.Errorf("answer %q, %v", answer, err)
	}
}

// Symptom: an engine's place is taken for ever by a caller that reads nothing.
// Sequence: a long answer fills the caller's socket; the caller stays connected.
// Cause: nothing fails until a write has a bound.
func TestStalledCallerIsCutOff(t *testing.T) {
	x := newExecutor(t, "ep-1", script{
		run: func(_ *executor, s *wire.Session, m *protocol.Run) { flood(s, m.Attempt, 0, window, 64<<10) },
		other: func(_ *executor, s *wire.Session, _ uint32, m protocol.Message) {
			if m, ok := m.(*protocol.Credit); ok {
				flood(s, m.Attempt, m.Seq-window/2, m.Seq, 64<<10)
			}
		},
	})
	e, c := newTestEntry(t, "llm", x)
	e.timeouts.stall = 50 * time.Millisecond
	resp := c.chat(streamBody)
	kit.Until(t, "canceled", func() bool { return count[*protocol.Cancel](x) > 0 })
	if _, err := io.Copy(io.Discard, resp.Body); err == nil {
		t.Error("the cut answer looks whole")
	}
}

// Symptom: a payment runs twice, or is reported as not run although it did.
// Sequence: the executor takes the call and is killed before it answers; its next
// epoch can't know.
// Cause: a call that may not be repeated is sent once, and what only a dead
// process knew is "unknown".
func TestCallRunsOnce(t *testing.T) {
	script := runs(func(x *executor, _ *wire.Session, _ *protocol.Run) { x.restart(t) })
	x, y := newExecutor(t, "portal-1", script), newExecutor(t, "portal-2", script)
	_, c := newTestEntry(t, "portal", x, y)
	resp := c.post(context.Background(), "/v1/services/portal/pledges/7", "pay")
	got := readError(t, resp)
	if got.Ran != protocol.Unknown || resp.StatusCode != http.StatusBadGateway {
		t.Errorf("got %d %+v", resp.StatusCode, got)
	}
	if n := count[*protocol.Run](x) + count[*protocol.Run](y); n != 1 {
		t.Errorf("%d runs", n)
	}
}

// Symptom: one stopped process adds seconds to every request that it owns.
// Sequence: the first owner takes the Ask and never answers.
// Cause: without the hedge the entry would wait for the whole of askTimeout.
func TestFrozenOwnerIsHedged(t *testing.T) {
	var frozen atomic.Value
	frozen.Store("")
	script := script{run: answers.run, ask: func(x *executor, s *wire.Session, ref uint32, m *protocol.Ask) {
		if x.id != frozen.Load() {
			x.decide(s, ref, m)
		}
	}}
	a, b := newExecutor(t, "ep-a", script), newExecutor(t, "ep-b", script)
	e, c := newTestEntry(t, "llm", a, b)
	for _, id := range []string{"ep-a", "ep-b"} {
		frozen.Store(id)
		resp := c.chat(wholeBody)
		if resp.StatusCode != http.StatusOK || resp.Header.Get("X-Executor") == id {
			t.Errorf("%s frozen: status %d by %s", id, resp.StatusCode, resp.Header.Get("X-Executor"))
		}
	}
	if n := e.tel.Metrics.Hedges.Count(); n != 1 {
		t.Errorf("%d hedges, want one, for the owner", n)
	}
}
