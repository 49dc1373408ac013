package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"skylarklead/internal/config"
	"skylarklead/internal/prefix"
	"skylarklead/internal/standin/answer"
	"skylarklead/test/kit"
)

// fakeEntry responds as the router would with the instructions of testWorkload.
type fakeEntry struct {
	intercept func(w http.ResponseWriter, r *http.Request, n int64) bool // reports whether it wrote the response
	requests  atomic.Int64
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/readyz" {
		return
	}
	if n := f.requests.Add(1); f.intercept != nil && f.intercept(w, r, n) {
		return
	}
	body, _ := io.ReadAll(r.Body)
	if strings.HasPrefix(r.URL.Path, "/v1/services/portal/payments") {
		var call callBody
		json.Unmarshal(body, &call)
		fmt.Fprintf(w, `{"echo":%q,"run":1}`, call.Echo)
		return
	}
	var chat chatBody
	json.Unmarshal(body, &chat)
	messages := chat.Messages
	if r.Header.Get("Authorization") == "Bearer kt" {
		messages = append([]prefix.Message{
			{Role: "system", Content: Text("rules", 40)},
			{Role: "system", Content: Text("tiny", 20)},
		}, messages...)
	}
	a := answer.New(messages)
	for i := range chat.MaxTokens {
		io.WriteString(w, chunkEvent(i, a.Token(i)))
	}
	io.WriteString(w, "data: [DONE]\n\n")
}

func chunkEvent(seq int, text string) string {
	return fmt.Sprintf("id: e1/9/a/%d\ndata: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", seq, text)
}

func TestRunCountsRightAnswers(t *testing.T) {
	server := httptest.NewServer(&fakeEntry{})
	defer server.Close()
	var progress bytes.Buffer
	results := 0
	report, err := Run(t.Context(), testWorkload(), Options{
		Entries:  []string{server.URL, server.URL + "/"},
		Duration: time.Second, Seed: 5, Rate: 200,
		HealthCheckInterval: 10 * time.Millisecond,
		Progress:            &progress,
		OnResult:            func(Result) { results++ },
	})
	if err != nil {
		t.Fatal(err)
	}
	w, o := testWorkload(), Options{Duration: time.Second, Seed: 5, Rate: 200}
	if n := len(plan(&w, &o)); report.All.Outcomes[OK] != n || results != n || !report.OK() {
		t.Errorf("%d correct answers, %d results, %d arrivals: %+v", report.All.Outcomes[OK], results, n, report.All.Faults)
	}
	if report.Organisations["tiny"].FirstToken.Count == 0 || report.Classes[ClassLarge].Calls.Count == 0 {
		t.Error("empty histograms")
	}
	var table bytes.Buffer
	if err := report.Table(&table); err != nil || !strings.Contains(table.String(), "all small") {
		t.Errorf("table: %v\n%s", err, table.String())
	}
}

// The entry holds back all responses until a number of later requests has
// arrived. A closed-loop generator, which waits for responses, would send fewer
// requests during such a stall and report tail latencies that are too low.
func TestRunIsOpenLoop(t *testing.T) {
	const heldRequests = 20
	released := make(chan struct{})
	entry := &fakeEntry{intercept: func(_ http.ResponseWriter, r *http.Request, n int64) bool {
		if n == heldRequests {
			close(released)
		}
		select {
		case <-released:
		case <-r.Context().Done():
		}
		return false
	}}
	server := httptest.NewServer(entry)
	defer server.Close()
	report, err := Run(t.Context(), testWorkload(), Options{
		Entries: []string{server.URL}, Duration: time.Second, Rate: 100, Seed: 5, Timeout: 20 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	if !report.OK() || report.All.Sent < heldRequests {
		t.Errorf("sent %d, faults %v", report.All.Sent, report.All.Faults)
	}
}

func TestRunSendsAgainWhenToldTo(t *testing.T) {
	refuseFirst := func(w http.ResponseWriter, _ *http.Request, n int64) bool {
		if n > 1 {
			return false
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		io.WriteString(w, `{"error":{"code":"overloaded","ran":"not_run","retry_after_ms":5}}`)
		return true
	}
	for _, maxRetries := range []int{0, 2} {
		server := httptest.NewServer(&fakeEntry{intercept: refuseFirst})
		report, err := Run(t.Context(), testWorkload(), Options{
			Entries: []string{server.URL}, Duration: time.Second, Rate: 20, MaxRetries: maxRetries,
		})
		server.Close()
		if err != nil {
			t.Fatal(err)
		}
		refused, resent := report.All.Refusals["overloaded/not_run"], report.All.Resent
		if maxRetries == 0 && (refused != 1 || resent != 0) || maxRetries > 0 && (refused != 0 || resent != 1) {
			t.Errorf("retry-after %d: refused %d, resent %d", maxRetries, refused, resent)
		}
	}
}

func TestBalancerTakesTurns(t *testing.T) {
	b := newBalancer([]string{"a", "b/", "c"})
	nextN := func(n int) (got string) {
		for range n {
			got += b.next()
		}
		return got
	}
	if got := nextN(6); got != "bcabca" {
		t.Errorf("all ready: %s", got)
	}
	b.unready["b"] = true
	if got := nextN(4); got != "caca" {
		t.Errorf("b not ready: %s", got)
	}
	b.unready["a"], b.unready["c"] = true, true
	if got := nextN(3); len(got) != 3 {
		t.Errorf("none ready: %s", got)
	}
}

func TestStreamChecks(t *testing.T) {
	prompt := []prefix.Message{{Role: "user", Content: "echo:t1 how much?"}}
	a := answer.New(prompt)
	e := func(seq, token int) string { return chunkEvent(seq, a.Token(token)) }
	const (
		done    = "data: [DONE]\n\n"
		refusal = "event: error\ndata: {\"error\":{\"code\":\"unknown_outcome\",\"ran\":\"unknown\"}}\n\n"
	)
	tests := []struct {
		name, body string
		want       Outcome
	}{
		{"whole", e(0, 0) + e(1, 1) + e(2, 2) + done, OK},
		{"whole over two events a token", e(0, 0) + e(1, 1) + chunkEvent(2, a.Token(2)[:2]) + chunkEvent(3, a.Token(2)[2:]) + done, OK},
		{"cut between events", e(0, 0) + e(1, 1), Cut},
		{"cut within an event", e(0, 0) + strings.TrimSuffix(e(1, 1), "\n\n"), Cut},
		{"short", e(0, 0) + e(1, 1) + done, Wrong},
		{"long", e(0, 0) + e(1, 1) + e(2, 2) + e(3, 3) + done, Wrong},
		{"lost event", e(0, 0) + e(2, 2) + done, Wrong},
		{"doubled event", e(0, 0) + e(1, 1) + e(1, 1) + e(2, 2) + done, Wrong},
		{"crossed events", e(0, 0) + e(2, 2) + e(1, 1) + done, Wrong},
		{"another's answer", chunkEvent(0, "[t2] ") + e(1, 1) + e(2, 2) + done, Wrong},
		{"event after the end", e(0, 0) + e(1, 1) + e(2, 2) + done + e(3, 3), Wrong},
		{"error at once", refusal, Refused},
		{"error later", e(0, 0) + refusal, Failed},
		{"error after another's text", chunkEvent(0, "[t2] ") + refusal, Wrong},
		{"error without its shape", "event: error\ndata: {}\n\n", Broken},
		{"nothing", "", Cut},
	}
	for _, test := range tests {
		var r Result
		newStreamChecker(&r, time.Now(), prompt, 3).read(strings.NewReader(test.body))
		if r.Outcome != test.want {
			t.Errorf("%s: %s (%s), want %s", test.name, r.Outcome, r.Detail, test.want)
		}
	}
}

func TestCallChecks(t *testing.T) {
	tests := []struct {
		body string
		key  string
		want Outcome
	}{
		{`{"echo":"t1","run":1}`, "k", OK},
		{`{"echo":"t1","run":2}`, "", OK},
		{`{"echo":"t1","run":2}`, "k", Wrong},
		{`{"echo":"t2","run":1}`, "k", Wrong},
		{`{"echo":"t1"`, "", Wrong},
	}
	for _, test := range tests {
		r := Result{IdempotencyKey: test.key}
		checkServiceResponse(&r, strings.NewReader(test.body), "t1")
		if r.Outcome != test.want {
			t.Errorf("%s: %s (%s), want %s", test.body, r.Outcome, r.Detail, test.want)
		}
	}
}

func TestExampleWorkloads(t *testing.T) {
	for _, name := range []string{"huon", "nakhla"} {
		w, err := ReadWorkload("../../../examples/workloads/" + name + ".json")
		if err != nil {
			t.Error(err)
			continue
		}
		records, err := ConfigRecords(w)
		if err != nil || len(records) != len(w.Records)+8 {
			t.Errorf("%s: %d records, %v", name, len(records), err)
		}
		state := config.NewState()
		for i, r := range records {
			data := kit.Must(r.Encode())(t)
			var verdict config.Verdict
			if state, verdict = state.Apply(uint64(i+1), data); !verdict.Accepted {
				t.Errorf("%s: %s: %+v", name, r.Name(), verdict)
			}
		}
	}
}
