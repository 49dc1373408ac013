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

// chatMeta holds the fields that every object of a chat answer repeats.
type chatMeta struct {
	id      string
	model   string
	created int64
}

func newChatMeta(requestID, model string) chatMeta {
	return chatMeta{id: "chatcmpl-" + requestID, model: model, created: time.Now().Unix()}
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

func (c chatMeta) newChunk(choices ...chunkChoiceJSON) chunkJSON {
	if choices == nil {
		choices = []chunkChoiceJSON{}
	}
	return chunkJSON{ID: c.id, Object: "chat.completion.chunk", Created: c.created, Model: c.model, Choices: choices}
}

// sseSink streams a chat answer as server-sent events.
type sseSink struct {
	writer
	chatMeta
	requestID    string
	includeUsage bool
	headersSent  bool
}

func newSSESink(w writer, meta chatMeta, requestID string, usage bool) *sseSink {
	return &sseSink{writer: w, chatMeta: meta, requestID: requestID, includeUsage: usage}
}

func (s *sseSink) start(executor string, _ *protocol.Start) error {
	if s.headersSent {
		return nil
	}
	s.headersSent = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("X-Executor", executor)
	s.w.WriteHeader(http.StatusOK)
	return s.flush(nil)
}

func (s *sseSink) chunk(id eventID, data []byte) error {
	if err := s.start(id.executor, nil); err != nil {
		return err
	}
	delta := deltaJSON{Content: string(data)}
	if id.seq == 0 {
		delta.Role = "assistant"
	}
	return s.sendEvent(id.String(), s.chatMeta.newChunk(chunkChoiceJSON{Delta: delta}))
}

func (s *sseSink) end(e *protocol.End) error {
	if err := s.start("", nil); err != nil {
		return err
	}
	reason := finishReason(e)
	if err := s.sendEvent("", s.chatMeta.newChunk(chunkChoiceJSON{FinishReason: &reason})); err != nil {
		return err
	}
	if s.includeUsage {
		last := s.chatMeta.newChunk()
		last.Usage = usageOf(e)
		if err := s.sendEvent("", last); err != nil {
			return err
		}
	}
	return s.flush([]byte("data: [DONE]\n\n"))
}

func (s *sseSink) fail(e *Error) {
	if !s.headersSent {
		e.write(s.w, s.requestID)
		return
	}
	var b bytes.Buffer
	b.WriteString("event: error\n")
	writeData(&b, e.body(s.requestID))
	_ = s.flush(b.Bytes()) // fails only if the caller has disconnected
}

// sendEvent writes one event, with its ID if id isn't empty.
func (s *sseSink) sendEvent(id string, v any) error {
	var b bytes.Buffer
	if id != "" {
		b.WriteString("id: " + id + "\n")
	}
	writeData(&b, v)
	return s.flush(b.Bytes())
}

// writeData appends the data line of an event. JSON as encoded here has no line
// breaks.
func writeData(b *bytes.Buffer, v any) {
	b.WriteString("data: ")
	_ = json.NewEncoder(b).Encode(v) // these structs always encode
	b.WriteString("\n")
}

func finishReason(e *protocol.End) string {
	if e.FinishReason == "" {
		return "stop"
	}
	return e.FinishReason
}
