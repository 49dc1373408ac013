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

// Symptom: a caller's temperature, stop and seed have no effect, or only until
// its endpoint dies.
// Sequence: the executor restarts in mid-stream; the answer goes on elsewhere.
// Cause: the entry read the fields it needs and dropped the others.
func TestParametersGoWithEveryRun(t *testing.T) {
	const want = `{"seed":7,"stop":["w7"],"temperature":0.2,"user":"u-1"}`
	pair := newPair(t, func(x *executor, s *wire.Session, m *protocol.Run) {
		words(s, m.Attempt, 0, 10, totalWords)
		x.restart(t)
	})
	_, c := newTestEntry(t, "llm", pair...)
	if got := c.stream(sampledBody); !got.done {
		t.Fatalf("got %+v", got)
	}
	runs := []*protocol.Run{last[*protocol.Run](pair[0]), last[*protocol.Run](pair[1])}
	for i, run := range runs {
		if string(run.Parameters) != want {
			t.Errorf("run %d has %s", i, run.Parameters)
		}
	}
	if runs[1].Partial == "" || runs[0].Fingerprint != runs[1].Fingerprint {
		t.Errorf("went on by %+v", runs[1])
	}
}

// Symptom: a caller that asked for JSON gets two halves that don't fit.
// Sequence: the executor of a structured answer restarts in mid-stream.
// Cause: an engine that goes on from a half begins the asked form anew.
func TestStructuredAnswerIsNotContinued(t *testing.T) {
	x := newExecutor(t, "ep-1", runs(func(x *executor, s *wire.Session, m *protocol.Run) {
		words(s, m.Attempt, m.FirstSeq, m.FirstSeq+10, totalWords)
		if m.FirstSeq == 0 {
			x.restart(t)
		}
	}))
	_, c := newTestEntry(t, "llm", x)
	body := strings.Replace(sampledBody, `"seed":7`, `"response_format":{"type":"json_object"}`, 1)
	got := c.stream(body)
	if got.done || got.failure == nil || got.failure.Ran != protocol.Unknown || count[*protocol.Run](x) != 1 {
		t.Errorf("got %+v, failure %+v, %d runs", got, got.failure, count[*protocol.Run](x))
	}
}

// Symptom: a caller that asked for JSON in one piece is refused, or gets two halves
// that don't fit, though nothing of the answer was given to it.
// Sequence: the executor of a structured answer restarts after ten pieces.
// Cause: pieces that only the entry has, taken for pieces that the caller has.
func TestStructuredWholeAnswerBeginsAgain(t *testing.T) {
	x := newExecutor(t, "ep-1", runs(func(x *executor, s *wire.Session, m *protocol.Run) {
		if m.FirstSeq == 0 {
			words(s, m.Attempt, 0, 10, totalWords)
			x.restart(t)
			return
		}
		_ = s.Send(&protocol.Chunk{Attempt: m.Attempt, Seq: m.FirstSeq, Data: []byte(`{"a":`)})
		_ = s.Send(&protocol.Chunk{Attempt: m.Attempt, Seq: m.FirstSeq + 1, Data: []byte(`1}`)})
		_ = s.Send(&protocol.End{Attempt: m.Attempt, Seq: m.FirstSeq + 2, Outcome: protocol.Done, CompletionTokens: 2})
	}))
	_, c := newTestEntry(t, "llm", x)
	body := strings.Replace(wholeBody, "{", `{"guided_json":{},`, 1)
	resp := c.chat(body)
	var got answerJSON
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil || len(got.Choices) != 1 {
		t.Fatalf("got %d %+v, %v", resp.StatusCode, got, err)
	}
	if text := got.Choices[0].Message.Content; text != `{"a":1}` || got.Usage.CompletionTokens != 2 {
		t.Errorf("got %q, %+v", text, got.Usage)
	}
	if run := last[*protocol.Run](x); run.FirstSeq == 0 || run.Partial != "" || run.MaxTokens != 64 {
		t.Errorf("began again by %+v", run)
	}
}

func TestParametersAreBounded(t *testing.T) {
	body := strings.Replace(wholeBody, "{", `{"stop":"`+strings.Repeat("x", parameters.MaxBytes)+`",`, 1)
	if _, err := parseChat([]byte(body)); err == nil {
		t.Error("accepted")
	}
	_, c := newTestEntry(t, "llm")
	deep := strings.Replace(wholeBody, "{", `{"x":`+strings.Repeat("[", 100)+strings.Repeat("]", 100)+`,`, 1)
	resp := c.chat(deep)
	if e := readError(t, resp); resp.StatusCode != http.StatusBadRequest || !strings.Contains(e.Message, "nested") {
		t.Errorf("got %d %+v", resp.StatusCode, e)
	}
}

// Symptom: a key's second sending with another body gets the first one's answer.
// Sequence: the bodies differ in one field that isn't a message.
// Cause: a fingerprint of the messages alone.
func TestFingerprintCoversTheBody(t *testing.T) {
	state := testState(t)
	req := &request{state: state, organisation: state.Organisations["foodbank"]}
	fingerprint := func(fields string) uint64 {
		body := kit.Must(parseChat([]byte(`{"model":"ledger-llm","messages":[{"role":"user","content":"hi"}]` + fields + `}`)))(t)
		j, refusal := chatJob(req, body)
		if refusal != nil {
			t.Fatal(refusal)
		}
		return j.fingerprint
	}
	seen := map[uint64]string{}
	for _, fields := range []string{``, `,"seed":1`, `,"seed":2`, `,"seed":2,"top_p":1`, `,"max_tokens":5`} {
		f := fingerprint(fields)
		if other, ok := seen[f]; ok {
			t.Errorf("%q and %q have one fingerprint", fields, other)
		}
		seen[f] = fields
	}
	if fingerprint(`,"seed":2,"top_p":1`) != fingerprint(`, "top_p" : 1, "stream":true, "seed":2`) {
		t.Error("the same request in another order has another fingerprint")
	}
}
