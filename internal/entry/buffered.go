package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"skylarklead/internal/protocol"
)

// maxBufferedAnswer bounds an answer that is buffered before it is sent to the
// caller.
const maxBufferedAnswer = 16 << 20

// errAnswerTooLong ends an attempt whose answer exceeds maxBufferedAnswer.
var errAnswerTooLong = errors.New("answer is too long to be buffered")

// bufferedSink buffers an answer, so that its caller gets either all of it or an
// error.
type bufferedSink struct {
	writer
	requestID    string
	executor     string
	startMessage protocol.Start
	body         []byte
}

func (s *bufferedSink) start(executor string, start *protocol.Start) error {
	s.executor = executor
	if start != nil {
		s.startMessage = *start
	}
	return nil
}

func (s *bufferedSink) chunk(id eventID, data []byte) error {
	s.executor = id.executor
	if len(s.body)+len(data) > maxBufferedAnswer {
		return fmt.Errorf("%w: over %d bytes", errAnswerTooLong, maxBufferedAnswer)
	}
	s.body = append(s.body, data...)
	return nil
}

// discarder is a sink that has sent nothing of the answer to its caller yet.
type discarder interface{ discard() }

func (s *bufferedSink) discard() { s.body = nil }

func (s *bufferedSink) fail(e *Error) { e.write(s.w, s.requestID) }

func (s *bufferedSink) respond(status int, contentType string, body []byte) error {
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
	bufferedSink
	chatMeta
}

func newChatSink(w writer, meta chatMeta, requestID string) *chatSink {
	return &chatSink{bufferedSink: bufferedSink{writer: w, requestID: requestID}, chatMeta: meta}
}

type completionChoiceJSON struct {
	Index        int       `json:"index"`
	Message      deltaJSON `json:"message"`
	FinishReason string    `json:"finish_reason"`
}

// completionJSON is OpenAI's chat.completion.
type completionJSON struct {
	ID      string                 `json:"id"`
	Object  string                 `json:"object"`
	Created int64                  `json:"created"`
	Model   string                 `json:"model"`
	Choices []completionChoiceJSON `json:"choices"`
	Usage   *usageJSON             `json:"usage"`
}

func (s *chatSink) end(e *protocol.End) error {
	answer := completionJSON{
		ID: s.id, Object: "chat.completion", Created: s.created, Model: s.model,
		Choices: []completionChoiceJSON{{
			Message:      deltaJSON{Role: "assistant", Content: string(s.body)},
			FinishReason: finishReason(e),
		}},
		Usage: usageOf(e),
	}
	body, err := json.Marshal(answer)
	if err != nil {
		return fmt.Errorf("entry: encode answer: %w", err)
	}
	return s.respond(http.StatusOK, "application/json", body)
}

// serviceSink answers a call to a plain service with the service's status and body.
type serviceSink struct{ bufferedSink }

func newServiceSink(w writer, requestID string) *serviceSink {
	return &serviceSink{bufferedSink{writer: w, requestID: requestID}}
}

func (s *serviceSink) end(*protocol.End) error {
	status := s.startMessage.Status
	if status < http.StatusOK || status > 599 {
		status = http.StatusOK
	}
	return s.respond(status, s.startMessage.ContentType, s.body)
}
