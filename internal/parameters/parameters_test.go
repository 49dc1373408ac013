package parameters

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"skylarklead/test/kit"
)

func TestPick(t *testing.T) {
	for _, tt := range []struct{ name, body, want string }{
		{"ours alone", `{"model":"m","messages":[],"stream":true,"stream_options":{},"max_tokens":1,"max_completion_tokens":1,"priority":0,"n":1}`, ``},
		{"sampling", `{"model":"m","top_p":0.10,"temperature":1e0,"seed":18446744073709551615}`, `{"seed":18446744073709551615,"temperature":1e0,"top_p":0.10}`},
		{"text as it is", `{"stop":["<|a|>","\u00e9&"]}`, `{"stop":["<|a|>","\u00e9&"]}`},
		{"layout", "{ \"logit_bias\" : { \"7\" : -1 } }", `{"logit_bias":{"7":-1}}`},
		{"the last of two", `{"seed":1,"seed":2}`, `{"seed":2}`},
		{"folded letters", `{"me\u017fsages":[],"cache_\u017falt":null,"STREAM":false}`, ``},
		{"asks for nothing", `{"tools":[ ],"tool_choice":"auto","logprobs":false,"top_logprobs":null,"best_of":1,"modalities":[ "text" ],"kv_transfer_params":{},"seed":3}`, `{"seed":3}`},
		{"not UTF-8", "{\"stop\":\"a\xffb\"}", "{\"stop\":\"a\ufffdb\"}"},
		{"null", `null`, ``},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got, err := Pick([]byte(tt.body))
			if err != nil || string(got) != tt.want {
				t.Errorf("got %s, %v; want %s", got, err, tt.want)
			}
		})
	}
}

// Symptom: a caller that gave tools gets an answer made without them, and takes
// it for the model's choice to use none; one that asked for logprobs finds none.
// Sequence: its body has a field that is neither ours nor may go to the engine.
// Cause: such fields were dropped in silence.
func TestPickRefusesWhatIsNotSupported(t *testing.T) {
	for name, body := range map[string]string{
		"cache_salt":             `{"cache_salt":"other"}`,
		"Cache_Salt":             `{"Cache_Salt":"other"}`,
		"cache_salt, escaped":    `{"cache_\u0073alt":"other"}`,
		"cache_\u017falt":        `{"cache_\u017falt":"x"}`,
		"continue_final_message": `{"continue_final_message":true}`,
		"request_id":             `{"request_id":"x"}`,
		"prompt":                 `{"seed":1,"prompt":"x"}`,
		"chat_template":          `{"chat_template":"x"}`,
		"kv_transfer_params":     `{"kv_transfer_params":{"a":1}}`,
		"tools":                  `{"tools":[{}]}`,
		"tool_choice":            `{"tool_choice":"required"}`,
		"logprobs":               `{"logprobs":true,"seed":3}`,
		"top_logprobs":           `{"top_logprobs":2}`,
		"modalities":             `{"modalities":["audio"]}`,
		"best_of":                `{"best_of":2}`,
	} {
		field, _, _ := strings.Cut(name, ",")
		picked, err := Pick([]byte(body))
		if !errors.Is(err, ErrUnsupported) || !strings.Contains(err.Error(), strconv.Quote(field)) || picked != nil {
			t.Errorf("%s: got %s, %v", name, picked, err)
		}
	}
}

func TestPickIsBounded(t *testing.T) {
	nested := func(n int) string { return strings.Repeat("[", n) + strings.Repeat("]", n) }
	for _, tt := range []struct {
		name, body string
		want       error
	}{
		{"large", fmt.Sprintf(`{"stop":%q}`, strings.Repeat("x", MaxBytes)), ErrTooLarge},
		{"large but ours", fmt.Sprintf(`{"messages":%q}`, strings.Repeat("x", MaxBytes)), nil},
		{"deep", `{"x":` + nested(maxNesting) + `}`, ErrTooDeep},
		{"as deep as may be", `{"x":` + nested(maxNesting-1) + `}`, nil},
		{"brackets in text", `{"x":"\"` + strings.Repeat("[", 2*maxNesting) + `"}`, nil},
	} {
		if _, err := Pick([]byte(tt.body)); !errors.Is(err, tt.want) {
			t.Errorf("%s: got %v, want %v", tt.name, err, tt.want)
		}
	}
}

// Symptom: a caller is served another organisation's cached prefix, or an answer
// that isn't a stream.
// Sequence: its body has the endpoint's own fields, in any case or written with
// escapes, and so has the Run of a process with a fault.
// Cause: fields merged without looking at whose they are.
func TestMergeOverridesNothing(t *testing.T) {
	const ours = `{"model":"m","cache_salt":"org","stream":true}`
	names := rapid.OneOf(rapid.SampledFrom(held), rapid.Map(rapid.SampledFrom(held), strings.ToUpper), rapid.StringMatching(`[a-z_]{1,8}`))
	rapid.Check(t, func(t *rapid.T) {
		passed := kit.Must(json.Marshal(rapid.MapOf(names, rapid.Int()).Draw(t, "passed")))(t)
		merged := kit.Must(Merge([]byte(ours), passed))(t)
		var want, got map[string]any
		if json.Unmarshal([]byte(ours), &want) != nil || json.Unmarshal(passed, &got) != nil {
			t.Fatal("not JSON")
		}
		for name, value := range got {
			if !IsReserved(name) {
				want[name] = value
			}
		}
		got = nil
		if err := json.Unmarshal(merged, &got); err != nil || fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("got %s, %v; want %v", merged, err, want)
		}
		for i := range held {
			if n := strings.Count(strings.ToLower(string(merged)), `"`+held[i]+`":`); n > 1 {
				t.Fatalf("%q is there %d times: %s", held[i], n, merged)
			}
		}
	})
}

func TestMergeRefusesWhatIsNoObject(t *testing.T) {
	for _, passed := range []string{`[1]`, `{"a":1}}`, `x`} {
		if merged, err := Merge([]byte(`{}`), []byte(passed)); err == nil {
			t.Errorf("%s merged to %s", passed, merged)
		}
	}
}

func TestStructured(t *testing.T) {
	for passed, want := range map[string]bool{
		``:                                    false,
		`{"seed":1}`:                          false,
		`{"regex":null}`:                      false,
		`{"response_format":{"type":"text"}}`: false,
		`{"response_format":{"type":"json_object"}}`: true,
		`{"guided_json":{}}`:                         true,
		`{"structured_outputs":{"choice":["a"]}}`:    true,
		`{"response_format":7}`:                      true,
	} {
		if got := Structured([]byte(passed)); got != want {
			t.Errorf("%s: %v", passed, got)
		}
	}
}

func BenchmarkPick16KB(b *testing.B) {
	body := fmt.Appendf(nil, `{"model":"m","messages":[{"role":"user","content":%q}],"temperature":0.5}`, strings.Repeat("word ", 3276))
	for b.Loop() {
		if _, err := Pick(body); err != nil {
			b.Fatal(err)
		}
	}
}
