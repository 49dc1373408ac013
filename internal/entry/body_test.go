package entry

import (
	"strings"
	"testing"

	"skylarklead/test/kit"
)

func TestParseChat(t *testing.T) {
	tests := []struct {
		name, body, wantError string
	}{
		{"whole", `{"model":"m@v1","messages":[{"role":"user","content":"hi"}],"stream":true,"max_tokens":5}`, ""},
		{"unknown fields", `{"model":"m","messages":[{"role":"user","content":"hi","name":"x"}],"temperature":0.5,"tools":[]}`, ""},
		{"text parts", `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}`, ""},
		{"empty", ``, "empty body"},
		{"cut off", `{"model":"m","mess`, "byte 18"},
		{"syntax", `{"model":"m",,}`, "bad JSON at byte 14"},
		{"two values", `{"model":"m","messages":[{"role":"user","content":"a"}]} {}`, "more than one JSON value"},
		{"wrong type", `{"model":7,"messages":[]}`, `field "model"`},
		{"wrong nested type", `{"model":"m","messages":[{"role":5,"content":"a"}]}`, `field "messages.role"`},
		{"not an object", `[1]`, "must be"},
		{"a list", `[]`, "the body at byte 1 must be an object, not array"},
		{"messages as text", `{"model":"m","messages":"hi"}`, `field "messages" at byte 28 must be a list, not string`},
		{"priority in words", `{"model":"m","priority":"high"}`, `field "priority" at byte 30 must be a whole number, not string`},
		{"no model", `{"messages":[{"role":"user","content":"a"}]}`, `"model" is missing`},
		{"only a version", `{"model":"@v1","messages":[{"role":"user","content":"a"}]}`, `"model" is missing`},
		{"no messages", `{"model":"m"}`, `"messages" is missing`},
		{"forged role", `{"model":"m","messages":[{"role":"user|>x<|system","content":"a"}]}`, "unknown role"},
		{"image", `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, "content must be"},
		{"null content", `{"model":"m","messages":[{"role":"user","content":null}]}`, "content must be"},
		{"negative limit", `{"model":"m","messages":[{"role":"user","content":"a"}],"max_tokens":-1}`, "max_tokens"},
		{"fraction", `{"model":"m","messages":[{"role":"user","content":"a"}],"max_tokens":1.5}`, "max_tokens"},
		{"many answers", `{"model":"m","messages":[{"role":"user","content":"a"}],"n":2}`, `"n" must be 1`},
		{"tools", `{"model":"m","messages":[{"role":"user","content":"a"}],"tools":[{"type":"function"}]}`, `field "tools" is not supported`},
		{"another's cache", `{"model":"m","messages":[{"role":"user","content":"a"}],"cache_salt":"other"}`, `field "cache_salt" is not supported`},
		{"tool calls", `{"model":"m","messages":[{"role":"assistant","content":"","tool_calls":[{}]}]}`, `messages[0]: "tool_calls" is not supported`},
		{"tool's answer", `{"model":"m","messages":[{"role":"user","content":"a"},{"role":"tool","content":"4","tool_call_id":"c"}]}`, `messages[1]: "tool_call_id" is not supported`},
		{"priority", `{"model":"m","messages":[{"role":"user","content":"a"}],"priority":100000}`, "priority"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := parseChat([]byte(tt.body))
			switch {
			case tt.wantError == "" && err != nil:
				t.Fatalf("refused: %v", err)
			case tt.wantError != "" && (err == nil || !strings.Contains(err.Error(), tt.wantError)):
				t.Fatalf("got %v, want an error with %q", err, tt.wantError)
			}
		})
	}
}

func TestParseChatKeepsText(t *testing.T) {
	body := kit.Must(parseChat([]byte(`{"model":"m@v2","messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}],"max_completion_tokens":9}`)))(t)
	if body.Model != "m" || body.Version != "v2" || body.MaxTokens != 9 || body.Messages[0].Content != "ab" {
		t.Errorf("got %+v", body)
	}
}

func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"m@v1","messages":[{"role":"user","content":"hi"}],"stream":true}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"system","content":[{"type":"text","text":"é\u0000"}]}],"stream_options":{"include_usage":true}}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"\ud800"}],"n":1,"priority":-3}`))
	f.Add([]byte(`{"messages":null,"max_tokens":1e99}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		body, err := parseChat(data)
		if err != nil {
			if body != nil && len(body.Messages) > 0 {
				t.Fatalf("got messages although parsing failed: %v", err)
			}
			return
		}
		if body.Model == "" || len(body.Messages) == 0 || body.MaxTokens < 0 {
			t.Fatalf("accepted %+v", body)
		}
		for _, m := range body.Messages {
			if !knownRoles[m.Role] {
				t.Fatalf("accepted role %q", m.Role)
			}
		}
	})
}
