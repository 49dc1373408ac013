package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"skylarklead/internal/parameters"
	"skylarklead/internal/protocol"
	"skylarklead/internal/wire"
	"skylarklead/test/kit"
)

const sampledBody = `{"model":"ledger-llm","stream":true,"messages":[{"role":"user","content":"hi"}],` +
	`"temperature":0.2,"stop":["w7"],"seed":7,"cache_salt":null,"user":"u-1"}`

// A caller's parameters for the engine (temperature, stop, seed) must reach the
// first executor and, after it restarts in mid-stream, the one that continues the
// answer. An entry that kept only the fields that it reads itself would lose them.
func TestParametersGoWithEveryRun(t *testing.T) {
	const want = `{"seed":7,"stop":["w7"],"temperature":0.2,"user":"u-1"}`
	pair := newPair(t, func(x *executor, s *wire.Session, m *protocol.Run) {
		sendWords(s, m.Attempt, 0, 10, totalWords)
		x.restart(t)
	})
	_, c := newTestEntry(t, "llm", pair...)
	if got := c.stream(sampledBody); !got.done {
		t.Fatalf("got %+v", got)
	}
	runs := []*protocol.Run{lastMessage[*protocol.Run](pair[0]), lastMessage[*protocol.Run](pair[1])}
	for i, run := range runs {
		if string(run.Parameters) != want {
			t.Errorf("run %d has %s", i, run.Parameters)
		}
	}
	if runs[1].Partial == "" || runs[0].Fingerprint != runs[1].Fingerprint {
		t.Errorf("continued with %+v", runs[1])
	}
}

// The executor of a structured answer restarts in mid-stream. The answer must not
// be continued: the engine would start the requested format anew, and the two parts
// would not fit together.
func TestStructuredAnswerIsNotContinued(t *testing.T) {
	x := newExecutor(t, "ep-1", onRun(func(x *executor, s *wire.Session, m *protocol.Run) {
		sendWords(s, m.Attempt, m.FirstSeq, m.FirstSeq+10, totalWords)
		if m.FirstSeq == 0 {
			x.restart(t)
		}
	}))
	_, c := newTestEntry(t, "llm", x)
	body := strings.Replace(sampledBody, `"seed":7`, `"response_format":{"type":"json_object"}`, 1)
	got := c.stream(body)
	if got.done || got.failure == nil || got.failure.Ran != protocol.Unknown || countMessages[*protocol.Run](x) != 1 {
		t.Errorf("got %+v, failure %+v, %d runs", got, got.failure, countMessages[*protocol.Run](x))
	}
}

// The executor of a structured answer that isn't streamed restarts after ten
// chunks. Only the entry has those chunks, not the caller, so the answer must start
// again rather than be refused or put together from parts that don't fit.
func TestStructuredWholeAnswerBeginsAgain(t *testing.T) {
	x := newExecutor(t, "ep-1", onRun(func(x *executor, s *wire.Session, m *protocol.Run) {
		if m.FirstSeq == 0 {
			sendWords(s, m.Attempt, 0, 10, totalWords)
			x.restart(t)
			return
		}
		_ = s.Send(&protocol.Chunk{Attempt: m.Attempt, Seq: m.FirstSeq, Data: []byte(`{"a":`)})
		_ = s.Send(&protocol.Chunk{Attempt: m.Attempt, Seq: m.FirstSeq + 1, Data: []byte(`1}`)})
		_ = s.Send(&protocol.End{Attempt: m.Attempt, Seq: m.FirstSeq + 2, Outcome: protocol.Done, CompletionTokens: 2})
	}))
	_, c := newTestEntry(t, "llm", x)
	body := strings.Replace(plainBody, "{", `{"guided_json":{},`, 1)
	resp := c.chat(body)
	var got completionJSON
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil || len(got.Choices) != 1 {
		t.Fatalf("got %d %+v, %v", resp.StatusCode, got, err)
	}
	if text := got.Choices[0].Message.Content; text != `{"a":1}` || got.Usage.CompletionTokens != 2 {
		t.Errorf("got %q, %+v", text, got.Usage)
	}
	if run := lastMessage[*protocol.Run](x); run.FirstSeq == 0 || run.Partial != "" || run.MaxTokens != 64 {
		t.Errorf("restarted with %+v", run)
	}
}

func TestParametersAreBounded(t *testing.T) {
	body := strings.Replace(plainBody, "{", `{"stop":"`+strings.Repeat("x", parameters.MaxBytes)+`",`, 1)
	if _, err := parseChat([]byte(body)); err == nil {
		t.Error("accepted")
	}
	_, c := newTestEntry(t, "llm")
	deep := strings.Replace(plainBody, "{", `{"x":`+strings.Repeat("[", 100)+strings.Repeat("]", 100)+`,`, 1)
	resp := c.chat(deep)
	if e := readError(t, resp); resp.StatusCode != http.StatusBadRequest || !strings.Contains(e.Message, "nested") {
		t.Errorf("got %d %+v", resp.StatusCode, e)
	}
}

// Requests with one idempotency key but different bodies must have different
// fingerprints, else the second would get the first one's answer. The bodies differ
// in one field outside the messages.
func TestFingerprintCoversTheBody(t *testing.T) {
	state := testState(t)
	req := &request{state: state, organisation: state.Organisations["foodbank"]}
	fingerprint := func(fields string) uint64 {
		body := kit.Must(parseChat([]byte(`{"model":"ledger-llm","messages":[{"role":"user","content":"hi"}]` + fields + `}`)))(t)
		j, refusal := newChatJob(req, body)
		if refusal != nil {
			t.Fatal(refusal)
		}
		return j.fingerprint
	}
	seen := map[uint64]string{}
	for _, fields := range []string{``, `,"seed":1`, `,"seed":2`, `,"seed":2,"top_p":1`, `,"max_tokens":5`} {
		f := fingerprint(fields)
		if other, ok := seen[f]; ok {
			t.Errorf("%q and %q have the same fingerprint", fields, other)
		}
		seen[f] = fields
	}
	if fingerprint(`,"seed":2,"top_p":1`) != fingerprint(`, "top_p" : 1, "stream":true, "seed":2`) {
		t.Error("the order of the fields changes the fingerprint")
	}
}
