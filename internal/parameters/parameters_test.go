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
		{"reserved fields only", `{"model":"m","messages":[],"stream":true,"stream_options":{},"max_tokens":1,"max_completion_tokens":1,"priority":0,"n":1}`, ``},
		{"sampling", `{"model":"m","top_p":0.10,"temperature":1e0,"seed":18446744073709551615}`, `{"seed":18446744073709551615,"temperature":1e0,"top_p":0.10}`},
		{"text unchanged", `{"stop":["<|a|>","\u00e9&"]}`, `{"stop":["<|a|>","\u00e9&"]}`},
		{"layout", "{ \"logit_bias\" : { \"7\" : -1 } }", `{"logit_bias":{"7":-1}}`},
		{"duplicate field", `{"seed":1,"seed":2}`, `{"seed":2}`},
		{"Unicode case folding", `{"me\u017fsages":[],"cache_\u017falt":null,"STREAM":false}`, ``},
		{"values without effect", `{"tools":[ ],"tool_choice":"auto","logprobs":false,"top_logprobs":null,"best_of":1,"modalities":[ "text" ],"kv_transfer_params":{},"seed":3}`, `{"seed":3}`},
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

// Guards against silently dropped fields that are neither read here nor passed to the engine: a caller
// that sent tools would take an answer generated without them for the model's decision to use none, and
// one that asked for logprobs would find none.
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
		{"large but reserved", fmt.Sprintf(`{"messages":%q}`, strings.Repeat("x", MaxBytes)), nil},
		{"deep", `{"x":` + nested(maxNesting) + `}`, ErrTooDeep},
		{"deepest allowed", `{"x":` + nested(maxNesting-1) + `}`, nil},
		{"brackets in text", `{"x":"\"` + strings.Repeat("[", 2*maxNesting) + `"}`, nil},
	} {
		if _, err := Pick([]byte(tt.body)); !errors.Is(err, tt.want) {
			t.Errorf("%s: got %v, want %v", tt.name, err, tt.want)
		}
	}
}

// Guards against a caller that is served another organisation's cached prefix, or an answer that isn't a
// stream, because its body has fields that the endpoint sets, in any case or escaped. A faulty process
// may send such fields too.
func TestMergeOverridesNothing(t *testing.T) {
	const base = `{"model":"m","cache_salt":"org","stream":true}`
	names := rapid.OneOf(rapid.SampledFrom(reservedFields), rapid.Map(rapid.SampledFrom(reservedFields), strings.ToUpper), rapid.StringMatching(`[a-z_]{1,8}`))
	rapid.Check(t, func(t *rapid.T) {
		passed := kit.Must(json.Marshal(rapid.MapOf(names, rapid.Int()).Draw(t, "passed")))(t)
		merged := kit.Must(Merge([]byte(base), passed))(t)
		var want, got map[string]any
		if json.Unmarshal([]byte(base), &want) != nil || json.Unmarshal(passed, &got) != nil {
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
		for i := range reservedFields {
			if n := strings.Count(strings.ToLower(string(merged)), `"`+reservedFields[i]+`":`); n > 1 {
				t.Fatalf("%q occurs %d times: %s", reservedFields[i], n, merged)
			}
		}
	})
}

func TestMergeRefusesWhatIsNoObject(t *testing.T) {
	for _, passed := range []string{`[1]`, `{"a":1}}`, `x`} {
		if merged, err := Merge([]byte(`{}`), []byte(passed)); err == nil {
			t.Errorf("%s was merged to %s, want an error", passed, merged)
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
