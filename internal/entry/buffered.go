package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"

	"skylarklead/internal/protocol"
)

// bufferedSink buffers an answer, so that its caller gets either all of it or an
// error.
type bufferedSink struct {
	writer
	requestID    string
	executor     string
	startMessage protocol.Start
	answer       *bufferedAnswer
}

func newBufferedSink(w writer, requestID string, memory *answerMemory) bufferedSink {
	return bufferedSink{writer: w, requestID: requestID, answer: &bufferedAnswer{memory: memory}}
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
	return s.answer.append(data)
}

// discarder is a sink that has sent nothing of the answer to its caller yet.
type discarder interface{ discard() }

func (s *bufferedSink) discard() { s.answer.discard() }

func (s *bufferedSink) fail(e *Error) { e.write(s.w, s.requestID) }

// complete returns the whole answer. If that was dropped, it fails the request.
func (s *bufferedSink) complete() (net.Buffers, error) {
	body, err := s.answer.complete()
	if err != nil {
		s.fail(tooLongError(err))
	}
	return body, err
}

// tooLongError is the error of a request whose answer can't be buffered.
func tooLongError(cause error) *Error {
	return &Error{Code: protocol.CodeTooLarge, Message: cause.Error(), Ran: protocol.Unknown}
}

func (s *bufferedSink) respond(status int, contentType string, body ...[]byte) error {
	h := s.w.Header()
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	h.Set("X-Executor", s.executor)
	s.w.WriteHeader(status)
	return s.flush(body...)
}

// chatSink answers a chat request that isn't streamed.
type chatSink struct {
	bufferedSink
	chatMeta
}

func newChatSink(w writer, meta chatMeta, requestID string, memory *answerMemory) *chatSink {
	return &chatSink{bufferedSink: newBufferedSink(w, requestID, memory), chatMeta: meta}
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
	text, err := s.complete()
	if err != nil {
		return err
	}
	answer := completionJSON{
		ID: s.id, Object: "chat.completion", Created: s.created, Model: s.model,
		Choices: []completionChoiceJSON{{
			Message:      deltaJSON{Role: "assistant", Content: string(slices.Concat(text...))},
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

// maxStatus is the highest status that an answer can have.
const maxStatus = 599

// errStatus reports an answer of a service without a valid status.
var errStatus = errors.New("entry: status of the service's response")

// serviceSink answers a call to a plain service with the service's status and body.
type serviceSink struct{ bufferedSink }

func newServiceSink(w writer, requestID string, memory *answerMemory) *serviceSink {
	return &serviceSink{newBufferedSink(w, requestID, memory)}
}

func (s *serviceSink) end(*protocol.End) error {
	body, err := s.complete()
	if err != nil {
		return err
	}
	status := s.startMessage.Status
	if status < http.StatusOK || status > maxStatus {
		s.fail(&Error{Code: protocol.CodeUnknownOutcome, Message: "the service's response has no valid status", Ran: protocol.Unknown})
		return fmt.Errorf("%w: %d", errStatus, status)
	}
	return s.respond(status, s.startMessage.ContentType, body...)
}
