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

// Each kind of invalid request must be refused with a clear error before an Ask is
// sent, so that it uses no engine time. The executor counts the messages that reach
// it.
func TestRefusals(t *testing.T) {
	x := newExecutor(t, "ep-1", script{})
	_, c := newTestEntry(t, "llm", x)
	for _, tt := range []struct {
		name, path, body string
		headers          []string
		status           int
		code             protocol.Code
	}{
		{"no key", chatPath, plainBody, []string{"Authorization", ""}, 401, protocol.CodeUnauthorized},
		{"wrong key", chatPath, plainBody, []string{"Authorization", "Bearer nope"}, 401, protocol.CodeUnauthorized},
		{"bad JSON", chatPath, `{"model":`, nil, 400, protocol.CodeBadRequest},
		{"too large", chatPath, strings.Repeat(" ", 65<<10), nil, 413, protocol.CodeTooLarge},
		{"unknown model", chatPath, strings.ReplaceAll(plainBody, "ledger-llm", "none"), nil, 404, protocol.CodeUnknownModel},
		{"unknown version", chatPath, strings.ReplaceAll(plainBody, "ledger-llm", "ledger-llm@v9"), nil, 404, protocol.CodeUnknownModel},
		{"forbidden version", chatPath, strings.ReplaceAll(plainBody, "ledger-llm", "ledger-llm@v2"), nil, 403, protocol.CodeForbiddenModel},
		{"another's model", chatPath, strings.ReplaceAll(plainBody, "ledger-llm", "other-llm"), nil, 403, protocol.CodeForbiddenModel},
		{"bad deadline", chatPath, plainBody, []string{"X-Deadline-Ms", "soon"}, 400, protocol.CodeBadRequest},
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
				t.Errorf("request ID %q in the body, %q in the header", got.RequestID, resp.Header.Get("X-Request-Id"))
			}
			if got.RetryAfterMs > 0 && resp.Header.Get("Retry-After") == "" {
				t.Error("no Retry-After")
			}
		})
	}
	if n := countMessages[protocol.Message](x); n != 0 {
		t.Errorf("%d messages reached the executor", n)
	}
}

// With maxInFlight requests in flight, one more must be refused. Each holds its
// body, so many slow callers could otherwise exhaust the entry's memory.
func TestInFlightIsBounded(t *testing.T) {
	e, c := newTestEntry(t, "llm")
	for range maxInFlight {
		if refusal := e.drain.requestStarted(); refusal != nil {
			t.Fatal(refusal)
		}
	}
	resp := c.chat(plainBody)
	if got := readError(t, resp); got.Code != protocol.CodeOverloaded || got.Ran != protocol.NotRun {
		t.Errorf("got %+v", got)
	}
	e.drain.requestEnded()
	resp = c.chat(plainBody)
	if got := readError(t, resp); got.Code != protocol.CodeNoEndpoint {
		t.Errorf("after a request ended: %+v", got)
	}
}

// A caller announces 1000 bytes, sends some of them and closes its side. The
// truncated request must be refused, not run, because the body is read completely
// first.
func TestTruncatedUpload(t *testing.T) {
	x := newExecutor(t, "ep-1", script{})
	_, c := newTestEntry(t, "llm", x)
	conn := c.upload(plainBody)
	conn.CloseWrite()
	answer := make([]byte, 4096)
	n, _ := conn.Read(answer)
	if !strings.Contains(string(answer[:n]), "cut off") {
		t.Errorf("answer %q", answer[:n])
	}
	if n := countMessages[protocol.Message](x); n != 0 {
		t.Errorf("%d messages reached the executor", n)
	}
}

// A caller sends its header and part of its body, then nothing more. Without a
// limit on the upload's time it would hold its connection indefinitely.
func TestSlowUploadIsCutOff(t *testing.T) {
	e, c := newTestEntry(t, "llm")
	e.timeouts.body = 20 * time.Millisecond
	conn := c.upload("{")
	answer, err := io.ReadAll(conn) // until the connection is closed
	if err != nil || !strings.Contains(string(answer), "cut off after 1 bytes") {
		t.Errorf("answer %q, %v", answer, err)
	}
}

// A long answer fills the socket of a caller that stays connected but doesn't read.
// Only the write timeout ends this; otherwise the caller would hold a slot of the
// engine indefinitely.
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
	kit.Until(t, "canceled", func() bool { return countMessages[*protocol.Cancel](x) > 0 })
	if _, err := io.Copy(io.Discard, resp.Body); err == nil {
		t.Error("the truncated answer looks complete")
	}
}

// The executor takes a call and is killed before it answers; its next epoch can't
// know the outcome. A call that may not be repeated must be sent only once, and its
// outcome must be reported as unknown, not as "not_run".
func TestCallRunsOnce(t *testing.T) {
	script := onRun(func(x *executor, _ *wire.Session, _ *protocol.Run) { x.restart(t) })
	x, y := newExecutor(t, "portal-1", script), newExecutor(t, "portal-2", script)
	_, c := newTestEntry(t, "portal", x, y)
	resp := c.post(context.Background(), "/v1/services/portal/pledges/7", "pay")
	got := readError(t, resp)
	if got.Ran != protocol.Unknown || resp.StatusCode != http.StatusBadGateway {
		t.Errorf("got %d %+v", resp.StatusCode, got)
	}
	if n := countMessages[*protocol.Run](x) + countMessages[*protocol.Run](y); n != 1 {
		t.Errorf("%d runs", n)
	}
}

// The first owner takes the Ask and never answers. Without the hedge the entry
// would wait for the whole askTimeout on every request of that owner.
func TestFrozenOwnerIsHedged(t *testing.T) {
	var unresponsive atomic.Value
	unresponsive.Store("")
	script := script{run: answersAll.run, ask: func(x *executor, s *wire.Session, ref uint32, m *protocol.Ask) {
		if x.id != unresponsive.Load() {
			x.decide(s, ref, m)
		}
	}}
	a, b := newExecutor(t, "ep-a", script), newExecutor(t, "ep-b", script)
	e, c := newTestEntry(t, "llm", a, b)
	for _, id := range []string{"ep-a", "ep-b"} {
		unresponsive.Store(id)
		resp := c.chat(plainBody)
		if resp.StatusCode != http.StatusOK || resp.Header.Get("X-Executor") == id {
			t.Errorf("%s not answering: status %d from %s", id, resp.StatusCode, resp.Header.Get("X-Executor"))
		}
	}
	if n := e.tel.Metrics.Hedges.Count(); n != 1 {
		t.Errorf("%d hedges, want one, for the owner", n)
	}
}

// Guards against a success made from an answer whose status is none, such as that of a service that switched its
// protocol and closed: it may have run, and there is no answer.
func TestCallWithoutAStatusIsNoSuccess(t *testing.T) {
	for _, status := range []int{0, http.StatusSwitchingProtocols, 999} {
		x := newExecutor(t, "portal-1", onRun(func(_ *executor, s *wire.Session, m *protocol.Run) {
			_ = s.Send(&protocol.Start{Attempt: m.Attempt, Status: status})
			_ = s.Send(&protocol.End{Attempt: m.Attempt, Outcome: protocol.Done})
		}))
		_, c := newTestEntry(t, "portal", x)
		resp := c.post(context.Background(), "/v1/services/portal/pledges/7", "pay")
		if resp.StatusCode != http.StatusBadGateway {
			t.Errorf("status %d of the service: the caller got %d", status, resp.StatusCode)
			continue
		}
		if got := readError(t, resp); got.Ran != protocol.Unknown || got.Code != protocol.CodeUnknownOutcome {
			t.Errorf("status %d of the service: got %+v", status, got)
		}
	}
}
