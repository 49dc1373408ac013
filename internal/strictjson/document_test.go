package strictjson

import (
	"bytes"
	"strings"
	"testing"
)

type inner struct {
	Limit int `json:"limit"`
}

type outer struct {
	Items []inner           `json:"items"`
	Names map[string]string `json:"names"`
	Inner *inner            `json:"inner"`
}

func TestProblems(t *testing.T) {
	for _, tc := range []struct{ name, text, want string }{
		{"path in array", "{\n\"items\": [{},\n{\"limt\": 1}]}", `f:3: items[1].limt: unknown field; want "limit"?`},
		{"line after comment", "{ /* two\nlines { [ \" */ // one\n\"inner\": {\"limit\": \"x\"}}", `f:3: inner.limit: is "x"; want a whole number`},
		{"map key twice", `{"names": {"a": "b", "a": "c"}}`, `f:1: names.a: given twice`},
		{"not an object", `{"inner": [1]}`, `f:1: inner: is an array; want an object {…}`},
		{"null", `{"names": null}`, `f:1: names: is null; want an object {…}`},
		{"out of range", `{"inner": {"limit": 1e99}}`, `inner.limit: is 1e99; want a whole number`},
		{"empty", ``, `f:1: `},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var into outer
			err := Decode([]byte(tc.text), "f", &into).Err()
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("got  %v\nwant %s", err, tc.want)
			}
		})
	}
}

// The parser recurses for each level of nesting. Without a bound, a document of opening
// brackets only ends the process with a stack overflow, which can't be recovered from.
func TestDeepNesting(t *testing.T) {
	text := append([]byte("{\n\"items\": \"[[\","), bytes.Repeat([]byte{'['}, 1<<20)...)
	err := Decode(text, "f", &outer{}).Err()
	if err == nil || !strings.Contains(err.Error(), "f:2: nested too deeply") {
		t.Errorf("got %.200v", err)
	}
}
