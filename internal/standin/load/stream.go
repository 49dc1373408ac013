package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"skylarklead/internal/prefix"
	"skylarklead/internal/standin/answer"
)

// maxLineBytes bounds one line of an event stream.
const maxLineBytes = 1 << 20

// event is one server-sent event.
type event struct {
	id, name string
	data     []byte
}

type eventReader struct{ lines *bufio.Scanner }

func newEventReader(r io.Reader) *eventReader {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	return &eventReader{lines}
}

// nextEvent returns the next complete event, or io.EOF. An incomplete last event
// is discarded.
func (e *eventReader) nextEvent() (event, error) {
	var ev event
	for e.lines.Scan() {
		line := e.lines.Bytes()
		if len(line) == 0 {
			if ev.data != nil {
				return ev, nil
			}
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "id":
			ev.id = string(value)
		case "event":
			ev.name = string(value)
		case "data":
			ev.data = bytes.Clone(value)
		}
	}
	if err := e.lines.Err(); err != nil {
		return ev, err
	}
	return ev, io.EOF
}

// chunk has the fields of a chat.completion.chunk that are checked.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens        int `json:"prompt_tokens"`
		CompletionTokens    int `json:"completion_tokens"`
		PromptTokensDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

var errSequence = errors.New("event out of order")

// streamChecker checks one streamed answer against the expected text.
type streamChecker struct {
	result   *Result
	start    time.Time // scheduled arrival
	lastText time.Time // the event with text before
	text     strings.Builder
	expected string
	lastSeq  int64 // of the event before, -1 at first
}

func newStreamChecker(r *Result, start time.Time, prompt []prefix.Message, tokens int) *streamChecker {
	return &streamChecker{result: r, start: start, lastSeq: -1, expected: answer.Expected(prompt, tokens)}
}

// read reads the answer to its end or first error and sets the outcome.
func (s *streamChecker) read(body io.Reader) {
	events := newEventReader(body)
	for {
		ev, err := events.nextEvent()
		if err != nil {
			s.checkTruncated(err)
			return
		}
		if ev.name == "error" {
			s.checkError(ev.data)
			return
		}
		if string(ev.data) == "[DONE]" {
			s.checkEnd(events)
			return
		}
		if err := s.checkEvent(ev); err != nil {
			s.result.setOutcome(Wrong, err.Error())
			return
		}
	}
}

func (s *streamChecker) checkEvent(ev event) error {
	if err := s.checkSequence(ev.id); err != nil {
		return err
	}
	var c chunk
	if err := json.Unmarshal(ev.data, &c); err != nil {
		return err
	}
	if c.Usage != nil {
		s.result.PromptTokens = c.Usage.PromptTokens
		s.result.CachedTokens = c.Usage.PromptTokensDetails.CachedTokens
	}
	if len(c.Choices) == 0 || c.Choices[0].Delta.Content == "" {
		return nil
	}
	now := time.Now()
	if s.text.Len() == 0 {
		s.result.FirstToken = now.Sub(s.start)
	} else {
		s.result.tokenGaps = append(s.result.tokenGaps, now.Sub(s.lastText))
	}
	s.lastText = now
	s.text.WriteString(c.Choices[0].Delta.Content)
	s.result.Tokens++
	return nil
}

// checkSequence checks that the sequence numbers of event IDs
// EXECUTOR/EPOCH/ATTEMPT/SEQ increase. An answer that is continued by another
// executor continues the same numbering.
func (s *streamChecker) checkSequence(id string) error {
	if id == "" {
		return nil
	}
	i := strings.LastIndexByte(id, '/')
	seq, err := strconv.ParseInt(id[i+1:], 10, 64)
	if err != nil || i < 0 {
		return fmt.Errorf("event id %q: want EXECUTOR/EPOCH/ATTEMPT/SEQ", id)
	}
	if seq <= s.lastSeq {
		return fmt.Errorf("%w: %d after %d", errSequence, seq, s.lastSeq)
	}
	s.lastSeq = seq
	s.result.Executor, _, _ = strings.Cut(id, "/")
	return nil
}

func (s *streamChecker) checkEnd(events *eventReader) {
	if ev, err := events.nextEvent(); err == nil {
		s.result.setOutcome(Wrong, "event after [DONE]: "+string(ev.data))
		return
	}
	if got := s.text.String(); got != s.expected {
		s.result.setOutcome(Wrong, describeDifference(got, s.expected))
		return
	}
	s.result.setOutcome(OK, "")
}

// checkError handles an error event. The text before it must be correct.
func (s *streamChecker) checkError(data []byte) {
	got := s.text.String()
	if !strings.HasPrefix(s.expected, got) {
		s.result.setOutcome(Wrong, describeDifference(got, s.expected))
		return
	}
	var body errorBody
	if err := json.Unmarshal(data, &body); err != nil {
		s.result.setOutcome(Broken, err.Error())
		return
	}
	outcome := Failed
	if got == "" {
		outcome = Refused
	}
	s.result.setError(outcome, body)
}

func (s *streamChecker) checkTruncated(err error) {
	got := s.text.String()
	if !strings.HasPrefix(s.expected, got) {
		s.result.setOutcome(Wrong, describeDifference(got, s.expected))
		return
	}
	s.result.setOutcome(Cut, fmt.Sprintf("%d of %d bytes: %v", len(got), len(s.expected), err))
}

// describeDifference describes the first difference between got and want.
func describeDifference(got, want string) string {
	i := 0
	for i < len(got) && i < len(want) && got[i] == want[i] {
		i++
	}
	return fmt.Sprintf("%d bytes in place of %d, differing at %d: %.40q, want %.40q", len(got), len(want), i, got[i:], want[i:])
}
