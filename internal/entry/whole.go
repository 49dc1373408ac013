package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"skylarklead/internal/protocol"
)

// maxAnswer bounds an answer that is put together before it is sent on.
const maxAnswer = 16 << 20

// errTooLong ends an attempt whose answer can't be kept whole.
var errTooLong = errors.New("answer is too long to be kept whole")

// wholeSink collects an answer, so that its caller gets all of it or an error.
type wholeSink struct {
	writer
	requestID string
	executor  string
	started   protocol.Start
	body      []byte
}

func (s *wholeSink) start(executor string, start *protocol.Start) error {
	s.executor = executor
	if start != nil {
		s.started = *start
	}
	return nil
}

func (s *wholeSink) chunk(at eventID, data []byte) error {
	s.executor = at.executor
	if len(s.body)+len(data) > maxAnswer {
		return fmt.Errorf("%w: over %d bytes", errTooLong, maxAnswer)
	}
	s.body = append(s.body, data...)
	return nil
}

// discarder is a sink whose caller has nothing of the answer yet.
type discarder interface{ discard() }

func (s *wholeSink) discard() { s.body = nil }

func (s *wholeSink) fail(e *Error) { e.write(s.w, s.requestID) }

func (s *wholeSink) send(status int, contentType string, body []byte) error {
	h := s.w.Header()
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	h.Set("X-Executor", s.executor)
	s.w.WriteHeader(status)
	return s.flush(body)
}

// chatSink answers a chat request that isn't streamed.
type chatSink struct {
	wholeSink
	chatShape
}

func newChatSink(w writer, shape chatShape, requestID string) *chatSink {
	return &chatSink{wholeSink: wholeSink{writer: w, requestID: requestID}, chatShape: shape}
}

type answerChoiceJSON struct {
	Index        int       `json:"index"`
	Message      deltaJSON `json:"message"`
	FinishReason string    `json:"finish_reason"`
}

// answerJSON is OpenAI's chat.completion.
type answerJSON struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []answerChoiceJSON `json:"choices"`
	Usage   *usageJSON         `json:"usage"`
}

func (s *chatSink) end(e *protocol.End) error {
	answer := answerJSON{
		ID: s.id, Object: "chat.completion", Created: s.created, Model: s.model,
		Choices: []answerChoiceJSON{{
			Message:      deltaJSON{Role: "assistant", Content: string(s.body)},
			FinishReason: finishReason(e),
		}},
		Usage: usageOf(e),
	}
	body, err := json.Marshal(answer)
	if err != nil {
		return fmt.Errorf("entry: encode answer: %w", err)
	}
	return s.send(http.StatusOK, "application/json", body)
}

// serviceSink answers a call to a plain service with what the service said.
type serviceSink struct{ wholeSink }

func newServiceSink(w writer, requestID string) *serviceSink {
	return &serviceSink{wholeSink{writer: w, requestID: requestID}}
}

func (s *serviceSink) end(*protocol.End) error {
	status := s.started.Status
	if status < http.StatusOK || status > 599 {
		status = http.StatusOK
	}
	return s.send(status, s.started.ContentType, s.body)
}
