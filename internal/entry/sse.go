package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"skylarklead/internal/protocol"
)

// finishLength is the finish reason of an answer that reached max_tokens.
const finishLength = "length"

// chatShape is what every part of a chat answer repeats.
type chatShape struct {
	id      string
	model   string
	created int64
}

func newChatShape(requestID, model string) chatShape {
	return chatShape{id: "chatcmpl-" + requestID, model: model, created: time.Now().Unix()}
}

// usageJSON is OpenAI's usage object.
type usageJSON struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	PromptDetails    struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func usageOf(e *protocol.End) *usageJSON {
	u := &usageJSON{
		PromptTokens:     e.PromptTokens,
		CompletionTokens: e.CompletionTokens,
		TotalTokens:      e.PromptTokens + e.CompletionTokens,
	}
	u.PromptDetails.CachedTokens = e.CachedTokens
	return u
}

type deltaJSON struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type chunkChoiceJSON struct {
	Index        int       `json:"index"`
	Delta        deltaJSON `json:"delta"`
	FinishReason *string   `json:"finish_reason"`
}

// chunkJSON is OpenAI's chat.completion.chunk.
type chunkJSON struct {
	ID      string            `json:"id"`
	Object  string            `json:"object"`
	Created int64             `json:"created"`
	Model   string            `json:"model"`
	Choices []chunkChoiceJSON `json:"choices"`
	Usage   *usageJSON        `json:"usage,omitempty"`
}

func (c chatShape) event(choices ...chunkChoiceJSON) chunkJSON {
	if choices == nil {
		choices = []chunkChoiceJSON{}
	}
	return chunkJSON{ID: c.id, Object: "chat.completion.chunk", Created: c.created, Model: c.model, Choices: choices}
}

// sseSink streams a chat answer as server-sent events.
type sseSink struct {
	writer
	chatShape
	requestID string
	usage     bool
	begun     bool
}

func newSSESink(w writer, shape chatShape, requestID string, usage bool) *sseSink {
	return &sseSink{writer: w, chatShape: shape, requestID: requestID, usage: usage}
}

func (s *sseSink) start(executor string, _ *protocol.Start) error {
	if s.begun {
		return nil
	}
	s.begun = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("X-Executor", executor)
	s.w.WriteHeader(http.StatusOK)
	return s.flush(nil)
}

func (s *sseSink) chunk(at eventID, data []byte) error {
	if err := s.start(at.executor, nil); err != nil {
		return err
	}
	delta := deltaJSON{Content: string(data)}
	if at.seq == 0 {
		delta.Role = "assistant"
	}
	return s.send(at.String(), s.chatShape.event(chunkChoiceJSON{Delta: delta}))
}

func (s *sseSink) end(e *protocol.End) error {
	if err := s.start("", nil); err != nil {
		return err
	}
	reason := finishReason(e)
	if err := s.send("", s.chatShape.event(chunkChoiceJSON{FinishReason: &reason})); err != nil {
		return err
	}
	if s.usage {
		last := s.chatShape.event()
		last.Usage = usageOf(e)
		if err := s.send("", last); err != nil {
			return err
		}
	}
	return s.flush([]byte("data: [DONE]\n\n"))
}

func (s *sseSink) fail(e *Error) {
	if !s.begun {
		e.write(s.w, s.requestID)
		return
	}
	var b bytes.Buffer
	b.WriteString("event: error\n")
	writeData(&b, e.body(s.requestID))
	_ = s.flush(b.Bytes()) // the caller has gone
}

// event writes one event, its ID first if it has one.
func (s *sseSink) send(id string, v any) error {
	var b bytes.Buffer
	if id != "" {
		b.WriteString("id: " + id + "\n")
	}
	writeData(&b, v)
	return s.flush(b.Bytes())
}

// writeData appends the data line of an event; JSON has no line break in it.
func writeData(b *bytes.Buffer, v any) {
	b.WriteString("data: ")
	_ = json.NewEncoder(b).Encode(v) // plain structs always encode
	b.WriteString("\n")
}

func finishReason(e *protocol.End) string {
	if e.FinishReason == "" {
		return "stop"
	}
	return e.FinishReason
}
