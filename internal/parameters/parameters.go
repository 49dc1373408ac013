// Package parameters passes those fields of a caller's completion body that this system neither
// reads nor sets, such as temperature, stop and seed, from the entry to the engine. In between they
// are one JSON object without line breaks and with fields sorted by name, so that equal requests have
// equal bytes.
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

// Limits of the passed fields.
const (
	// MaxBytes bounds the object; schemas for structured answers are the largest.
	MaxBytes = 64 << 10
	// maxNesting bounds the depth of the values. Engines parse JSON recursively; one that fails
	// on the depth returns an error that looks like a crash of the engine, and would be counted
	// as a crash against the request.
	maxNesting = 64
)

// Errors of Pick. Their texts are shown to the caller.
var (
	ErrTooLarge = fmt.Errorf("fields other than messages exceed %d bytes", MaxBytes)
	ErrTooDeep  = fmt.Errorf("fields other than messages are nested deeper than %d levels", maxNesting)
	// ErrUnsupported is wrapped with the name of the field.
	ErrUnsupported = errors.New("not supported")
)

// systemFields are the fields that this system reads from the caller.
var systemFields = []string{
	"model", "messages", "stream", "stream_options", "max_tokens", "max_completion_tokens", "priority", "n",
}

// endpointFields are fields that would bypass this system at some engines: fields that the endpoint
// sets, the name of the stream, cache content of another request, or a prompt other than the one whose
// prefixes were hashed.
var endpointFields = []string{
	"cache_salt", "continue_final_message", "add_generation_prompt",
	"request_id", "kv_transfer_params", "prompt", "prompt_embeds", "prompt_token_ids",
	"chat_template", "chat_template_kwargs", "documents", "echo",
}

// unsupportedOutputFields are fields that make an engine answer with something other than text, which
// protocol.Chunk can't carry: the caller would get an empty answer.
var unsupportedOutputFields = []string{
	"tools", "tool_choice", "parallel_tool_calls", "functions", "function_call",
	"logprobs", "top_logprobs", "prompt_logprobs", "modalities", "audio",
	"use_beam_search", "best_of", "return_token_ids", "return_tokens_as_token_ids",
}

// unsupportedFields are refused as not supported, unless their value has no effect. If they were
// dropped silently, a caller that sent tools would take an answer generated without them for the
// model's decision not to use any.
var unsupportedFields = slices.Concat(endpointFields, unsupportedOutputFields)

// noopValues are the values that have no effect, by field; those under "" apply to every field. Client
// libraries send them by default.
var noopValues = map[string][]string{
	"":                      {`null`, `false`, `0`, `""`, `[]`, `{}`},
	"add_generation_prompt": {`true`},
	"parallel_tool_calls":   {`true`},
	"tool_choice":           {`"none"`, `"auto"`},
	"function_call":         {`"none"`, `"auto"`},
	"modalities":            {`["text"]`},
	"best_of":               {`1`},
}

// reservedFields are all fields that aren't passed through.
var reservedFields = slices.Concat(systemFields, unsupportedFields)

// IsReserved reports whether a field isn't passed through.
func IsReserved(name string) bool { return matchField(reservedFields, name) != "" }

// matchField returns the field of a list that a caller's name matches, "" if none. It ignores case:
// parsers that do so, such as Go's, would otherwise take a caller's "Cache_Salt" for cache_salt.
func matchField(list []string, name string) string {
	if i := slices.IndexFunc(list, func(h string) bool { return strings.EqualFold(h, name) }); i >= 0 {
		return list[i]
	}
	return ""
}

// Pick returns the fields of a JSON object that are passed through, nil if there are none. It fails if
// a field isn't supported. If a field occurs twice, the last one counts.
func Pick(body []byte) ([]byte, error) {
	fields, err := decode(body)
	if err != nil {
		return nil, err
	}
	if err := checkSupported(fields); err != nil {
		return nil, err
	}
	if fields = dropReserved(fields); len(fields) == 0 {
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

// Merge adds passed fields to base, an object with reserved fields only. It drops reserved fields from
// passed again, so that they override nothing, whoever sent them.
func Merge(base, passed []byte) ([]byte, error) {
	if len(passed) == 0 {
		return base, nil
	}
	fields, err := passedFields(passed)
	if err != nil {
		return nil, err
	}
	if len(fields) == 0 {
		return base, nil
	}
	merged, err := encode(fields)
	if err != nil {
		return nil, err
	}
	merged[len(merged)-1] = ','
	return append(merged, base[1:]...), nil
}

// checkSupported returns an error for the first unsupported field by name.
func checkSupported(fields map[string]json.RawMessage) error {
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if field := matchField(unsupportedFields, name); field != "" && !isNoop(field, fields[name]) {
			return fmt.Errorf("field %q is %w", name, ErrUnsupported)
		}
	}
	return nil
}

func isNoop(field string, value json.RawMessage) bool {
	var compact bytes.Buffer
	if err := json.Compact(&compact, value); err != nil {
		return false
	}
	return slices.Contains(noopValues[""], compact.String()) || slices.Contains(noopValues[field], compact.String())
}

// passedFields returns the fields of an object that aren't reserved.
func passedFields(object []byte) (map[string]json.RawMessage, error) {
	fields, err := decode(object)
	return dropReserved(fields), err
}

func decode(object []byte) (map[string]json.RawMessage, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(object, &fields); err != nil {
		return nil, fmt.Errorf("parameters: %w", err)
	}
	return fields, nil
}

func dropReserved(fields map[string]json.RawMessage) map[string]json.RawMessage {
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
	// JSON is UTF-8, and not every engine's parser accepts other bytes as Go's does.
	return bytes.ToValidUTF8(bytes.TrimSuffix(b.Bytes(), []byte("\n")), []byte("\ufffd")), nil
}

// depth returns the nesting depth of valid JSON.
func depth(data []byte) (deepest int) {
	level, quoted := 0, false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '{' || c == '[':
			level++
			deepest = max(deepest, level)
		case c == '}' || c == ']':
			level--
		}
	}
	return deepest
}

// structuredFields are fields that constrain the form of an answer from its first character.
var structuredFields = []string{"structured_outputs", "grammar", "regex", "ebnf", "json_schema"}

// guidedPrefix is the prefix of further such fields.
const guidedPrefix = "guided_"

// Structured reports whether passed fields constrain the form of the whole answer, as a JSON schema
// does. An engine that continues such an answer starts its form again, so that the two parts don't make
// a valid whole.
func Structured(passed []byte) bool {
	if len(passed) == 0 {
		return false
	}
	fields, err := passedFields(passed)
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
		case slices.Contains(structuredFields, name), strings.HasPrefix(name, guidedPrefix):
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
