package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"

	"skylarklead/internal/parameters"
	"skylarklead/internal/prefix"
)

const (
	maxMessages = 4096
	// maxPriority bounds the absolute value of the priority.
	maxPriority = 1000
)

// knownRoles are the message roles that engines know. Any other text could inject
// the prompt format's own markers into the flattened prompt, and so match the
// cached blocks of another prompt.
var knownRoles = map[string]bool{"system": true, "developer": true, "user": true, "assistant": true, "tool": true}

// chatBody is a parsed and validated chat-completions body.
type chatBody struct {
	// Model and Version are split from "model" or "model@version".
	Model, Version string
	Messages       []prefix.Message
	Stream         bool
	IncludeUsage   bool
	// MaxTokens is 0 if the caller sets no limit.
	MaxTokens int
	Priority  int
	// Parameters are the fields for the engine, as selected by package parameters.
	Parameters []byte
}

// chatJSON is the part of the JSON body that the entry reads.
type chatJSON struct {
	Model               string        `json:"model"`
	Messages            []messageJSON `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	Priority            int           `json:"priority"`
	N                   *int          `json:"n"`
	StreamOptions       *struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type messageJSON struct {
	Role    string      `json:"role"`
	Content contentJSON `json:"content"`
	// These are rejected: tools are not supported, and without them the prompt
	// would not be what the caller means.
	ToolCalls    []json.RawMessage `json:"tool_calls"`
	FunctionCall any               `json:"function_call"`
	ToolCallID   string            `json:"tool_call_id"`
}

// unsupportedField names the first field of the message that is not supported, or
// "".
func (m *messageJSON) unsupportedField() string {
	switch {
	case len(m.ToolCalls) > 0:
		return "tool_calls"
	case m.FunctionCall != nil:
		return "function_call"
	case m.ToolCallID != "":
		return "tool_call_id"
	}
	return ""
}

// contentJSON is a string, or a list of text parts that are concatenated.
type contentJSON string

var errContent = errors.New(`content must be a string or a list of {"type":"text","text":…}`)

// UnmarshalJSON implements json.Unmarshaler.
func (c *contentJSON) UnmarshalJSON(data []byte) error {
	var text string
	if data[0] == '"' {
		if err := json.Unmarshal(data, &text); err != nil {
			return err
		}
		*c = contentJSON(text)
		return nil
	}
	var parts []struct {
		Type string  `json:"type"`
		Text *string `json:"text"`
	}
	if data[0] != '[' || json.Unmarshal(data, &parts) != nil {
		return errContent
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" || p.Text == nil {
			return errContent
		}
		b.WriteString(*p.Text)
	}
	*c = contentJSON(b.String())
	return nil
}

// parseChat parses and validates a chat-completions body. Its errors are shown to
// the caller: they name the field, or the byte where the JSON is invalid.
func parseChat(data []byte) (*chatBody, error) {
	var raw chatJSON
	dec := json.NewDecoder(bytes.NewReader(data))
	if err := dec.Decode(&raw); err != nil {
		return nil, describeJSONError(err, len(data))
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, fmt.Errorf("more than one JSON value, the second after byte %d", dec.InputOffset())
	}
	body, err := raw.validate()
	if err != nil {
		return nil, err
	}
	body.Parameters, err = parameters.Pick(data)
	return body, err
}

func describeJSONError(err error, size int) error {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return fmt.Errorf("bad JSON at byte %d: %w", syntax.Offset, err)
	case errors.As(err, &kind):
		return fmt.Errorf("%s at byte %d must be %s, not %s", fieldName(kind.Field), kind.Offset, jsonTypeName(kind.Type), kind.Value)
	case errors.Is(err, io.EOF):
		return errors.New("empty body")
	case errors.Is(err, io.ErrUnexpectedEOF):
		return fmt.Errorf("JSON ends early at byte %d", size)
	}
	return err
}

func fieldName(field string) string {
	if field == "" {
		return "the body"
	}
	return fmt.Sprintf("field %q", field)
}

// jsonTypeName names the JSON type that decodes into a Go type.
func jsonTypeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Pointer:
		return jsonTypeName(t.Elem())
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice, reflect.Array:
		return "a list"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	}
	return "a " + t.Kind().String()
}

func (c *chatJSON) validate() (*chatBody, error) {
	body := &chatBody{Stream: c.Stream, Priority: c.Priority}
	body.IncludeUsage = c.StreamOptions != nil && c.StreamOptions.IncludeUsage
	body.Model, body.Version, _ = strings.Cut(c.Model, "@")
	if body.Model == "" {
		return nil, errors.New(`field "model" is missing`)
	}
	if c.N != nil && *c.N != 1 {
		return nil, errors.New(`field "n" must be 1`)
	}
	if c.Priority < -maxPriority || c.Priority > maxPriority {
		return nil, fmt.Errorf(`field "priority" must be from %d to %d`, -maxPriority, maxPriority)
	}
	limit := c.MaxTokens
	if limit == nil {
		limit = c.MaxCompletionTokens
	}
	if limit != nil {
		if *limit < 1 {
			return nil, errors.New(`field "max_tokens" must be 1 or more`)
		}
		body.MaxTokens = *limit
	}
	messages, err := validateMessages(c.Messages)
	body.Messages = messages
	return body, err
}

func validateMessages(raw []messageJSON) ([]prefix.Message, error) {
	if len(raw) == 0 {
		return nil, errors.New(`field "messages" is missing or empty`)
	}
	if len(raw) > maxMessages {
		return nil, fmt.Errorf(`field "messages" has more than %d messages`, maxMessages)
	}
	messages := make([]prefix.Message, len(raw))
	for i, m := range raw {
		if !knownRoles[m.Role] {
			return nil, fmt.Errorf("messages[%d]: unknown role %q", i, m.Role)
		}
		if field := m.unsupportedField(); field != "" {
			return nil, fmt.Errorf("messages[%d]: %q is not supported", i, field)
		}
		messages[i] = prefix.Message{Role: m.Role, Content: string(m.Content)}
	}
	return messages, nil
}
