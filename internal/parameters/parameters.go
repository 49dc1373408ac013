// Package parameters carries the fields of a caller's completion body that the
// system itself neither reads nor sets, such as temperature, stop and seed, from
// the entry to the engine. On the way they are one JSON object, without line
// breaks, its fields sorted by name, so that equal requests have equal bytes.
package parameters

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Bounds on what a caller may pass through.
const (
	// MaxBytes bounds the object; schemas of structured answers are the largest.
	MaxBytes = 64 << 10
	// maxNesting bounds the values' depth. Engines read JSON with parsers that
	// recurse; one that gives up on depth answers with a fault that looks like an
	// engine's crash, and would be held against the request as such.
	maxNesting = 64
)

// Errors of Pick; their texts are made for the caller.
var (
	ErrTooLarge = fmt.Errorf("fields beside messages have more than %d bytes", MaxBytes)
	ErrTooDeep  = fmt.Errorf("fields beside messages are nested deeper than %d", maxNesting)
	// ErrUnsupported is wrapped with the field's name.
	ErrUnsupported = errors.New("not supported")
)

// own are the fields that the system reads from the caller.
var own = []string{
	"model", "messages", "stream", "stream_options", "max_tokens", "max_completion_tokens", "priority", "n",
}

// kept are fields that would get round the system at some engines: what the
// endpoint sets, the name of the stream, cache content of another request, or a
// prompt other than the one whose prefixes were hashed.
var kept = []string{
	"cache_salt", "continue_final_message", "add_generation_prompt",
	"request_id", "kv_transfer_params", "prompt", "prompt_embeds", "prompt_token_ids",
	"chat_template", "chat_template_kwargs", "documents", "echo",
}

// unanswerable are fields that make an engine answer with something else than
// text, which wire.Chunk doesn't carry: the caller would get an empty answer.
var unanswerable = []string{
	"tools", "tool_choice", "parallel_tool_calls", "functions", "function_call",
	"logprobs", "top_logprobs", "prompt_logprobs", "modalities", "audio",
	"use_beam_search", "best_of", "return_token_ids", "return_tokens_as_token_ids",
}

// refused are the fields that the caller is told are not supported, unless their
// value asks for nothing. Dropped in silence, a caller that gave tools would take
// an answer made without them for the model's choice not to use any.
var refused = slices.Concat(kept, unanswerable)

// idle are values that ask for nothing, by field; "" has those of every field.
// Client libraries send them unasked.
var idle = map[string][]string{
	"":                      {`null`, `false`, `0`, `""`, `[]`, `{}`},
	"add_generation_prompt": {`true`},
	"parallel_tool_calls":   {`true`},
	"tool_choice":           {`"none"`, `"auto"`},
	"function_call":         {`"none"`, `"auto"`},
	"modalities":            {`["text"]`},
	"best_of":               {`1`},
}

// held are all fields that aren't passed through.
var held = slices.Concat(own, refused)

// IsReserved reports whether a field isn't passed through.
func IsReserved(name string) bool { return find(held, name) != "" }

// find returns the field of a list that a caller's name stands for, "" if none. It
// compares without case: readers that ignore it, Go's among them, would otherwise
// take a caller's "Cache_Salt" for ours.
func find(list []string, name string) string {
	if i := slices.IndexFunc(list, func(h string) bool { return strings.EqualFold(h, name) }); i >= 0 {
		return list[i]
	}
	return ""
}

// Pick returns the fields of a JSON object that are passed through, nil if there
// are none, or tells which field isn't supported. Of a field that is there twice,
// the last one counts.
func Pick(body []byte) ([]byte, error) {
	fields, err := decode(body)
	if err != nil {
		return nil, err
	}
	if err := checkSupported(fields); err != nil {
		return nil, err
	}
	if fields = withoutHeld(fields); len(fields) == 0 {
		return nil, nil
	}
	picked, err := encode(fields)
	if err != nil {
		return nil, err
	}
	if len(picked) > MaxBytes {
		return nil, ErrTooLarge
	}
	if depth(picked) > maxNesting {
		return nil, ErrTooDeep
	}
	return picked, nil
}

// Merge adds passed fields to ours, an object that has held fields only. It drops
// the held ones from passed once more: whoever sent them, they override nothing.
func Merge(ours, passed []byte) ([]byte, error) {
	if len(passed) == 0 {
		return ours, nil
	}
	fields, err := pass(passed)
	if err != nil {
		return nil, err
	}
	if len(fields) == 0 {
		return ours, nil
	}
	merged, err := encode(fields)
	if err != nil {
		return nil, err
	}
	merged[len(merged)-1] = ','
	return append(merged, ours[1:]...), nil
}

// checkSupported names the first field, by name, that can't be served.
func checkSupported(fields map[string]json.RawMessage) error {
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if field := find(refused, name); field != "" && !isIdle(field, fields[name]) {
			return fmt.Errorf("field %q is %w", name, ErrUnsupported)
		}
	}
	return nil
}

func isIdle(field string, value json.RawMessage) bool {
	var compact bytes.Buffer
	if err := json.Compact(&compact, value); err != nil {
		return false
	}
	return slices.Contains(idle[""], compact.String()) || slices.Contains(idle[field], compact.String())
}

// pass returns the fields of an object that aren't held.
func pass(object []byte) (map[string]json.RawMessage, error) {
	fields, err := decode(object)
	return withoutHeld(fields), err
}

func decode(object []byte) (map[string]json.RawMessage, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(object, &fields); err != nil {
		return nil, fmt.Errorf("parameters: %w", err)
	}
	return fields, nil
}

func withoutHeld(fields map[string]json.RawMessage) map[string]json.RawMessage {
	maps.DeleteFunc(fields, func(name string, _ json.RawMessage) bool { return IsReserved(name) })
	return fields
}

func encode(fields map[string]json.RawMessage) ([]byte, error) {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(fields); err != nil {
		return nil, fmt.Errorf("parameters: %w", err)
	}
	// JSON is UTF-8, and not every engine's reader lets other bytes pass as Go's does.
	return bytes.ToValidUTF8(bytes.TrimSuffix(b.Bytes(), []byte("\n")), []byte("\ufffd")), nil
}

// depth is how deep valid JSON is nested.
func depth(data []byte) (deepest int) {
	now, quoted := 0, false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '{' || c == '[':
			now++
			deepest = max(deepest, now)
		case c == '}' || c == ']':
			now--
		}
	}
	return deepest
}

// structured are fields that constrain an answer's form from its first character.
var structured = []string{"structured_outputs", "grammar", "regex", "ebnf", "json_schema"}

// guided begins the names of more of them.
const guided = "guided_"

// Structured reports whether passed fields constrain the form of the whole
// answer, as a JSON schema does. An engine that goes on from the half of such an
// answer begins its form anew, so the two halves don't make a whole.
func Structured(passed []byte) bool {
	if len(passed) == 0 {
		return false
	}
	fields, err := pass(passed)
	if err != nil {
		return true
	}
	for name, value := range fields {
		switch {
		case string(value) == "null":
		case name == "response_format":
			if !isText(value) {
				return true
			}
		case slices.Contains(structured, name), strings.HasPrefix(name, guided):
			return true
		}
	}
	return false
}

func isText(format json.RawMessage) bool {
	var f struct {
		Type string `json:"type"`
	}
	err := json.Unmarshal(format, &f)
	return err == nil && f.Type == "text"
}
