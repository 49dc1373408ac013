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

// maxLine bounds one line of an event stream in bytes.
const maxLine = 1 << 20

// event is one server-sent event.
type event struct {
	id, name string
	data     []byte
}

type eventReader struct{ lines *bufio.Scanner }

func newEventReader(r io.Reader) *eventReader {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	return &eventReader{lines}
}

// next returns the next whole event.
func (e *eventReader) next() (event, error) {
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

// chunk is the part of a chat.completion.chunk that is checked.
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

// stream checks one streamed answer against what it has to be.
type stream struct {
	result *Result
	start  time.Time // scheduled arrival
	last   time.Time // the event with text before
	text   strings.Builder
	want   string
	seq    int64 // of the event before, -1 at first
}

func newStream(r *Result, start time.Time, prompt []prefix.Message, tokens int) *stream {
	return &stream{result: r, start: start, seq: -1, want: answer.Expected(prompt, tokens)}
}

// read reads the answer to its end and sets the result.
func (s *stream) read(body io.Reader) {
	events := newEventReader(body)
	for {
		ev, err := events.next()
		if err != nil {
			s.cut(err)
			return
		}
		if ev.name == "error" {
			s.failed(ev.data)
			return
		}
		if string(ev.data) == "[DONE]" {
			s.done(events)
			return
		}
		if err := s.take(ev); err != nil {
			s.result.end(Wrong, err.Error())
			return
		}
	}
}

func (s *stream) take(ev event) error {
	if err := s.sequence(ev.id); err != nil {
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
		s.result.gaps = append(s.result.gaps, now.Sub(s.last))
	}
	s.last = now
	s.text.WriteString(c.Choices[0].Delta.Content)
	s.result.Tokens++
	return nil
}

// sequence checks that event IDs EXECUTOR/EPOCH/ATTEMPT/SEQ grow. An answer that
// goes on elsewhere has another executor, but the same count.
func (s *stream) sequence(id string) error {
	if id == "" {
		return nil
	}
	i := strings.LastIndexByte(id, '/')
	seq, err := strconv.ParseInt(id[i+1:], 10, 64)
	if err != nil || i < 0 {
		return fmt.Errorf("event id %q: want EXECUTOR/EPOCH/ATTEMPT/SEQ", id)
	}
	if seq <= s.seq {
		return fmt.Errorf("%w: %d after %d", errSequence, seq, s.seq)
	}
	s.seq = seq
	s.result.Executor, _, _ = strings.Cut(id, "/")
	return nil
}

func (s *stream) done(events *eventReader) {
	if ev, err := events.next(); err == nil {
		s.result.end(Wrong, "event after [DONE]: "+string(ev.data))
		return
	}
	if got := s.text.String(); got != s.want {
		s.result.end(Wrong, difference(got, s.want))
		return
	}
	s.result.end(OK, "")
}

// failed takes an explicit error: what came before it has to be right.
func (s *stream) failed(data []byte) {
	got := s.text.String()
	if !strings.HasPrefix(s.want, got) {
		s.result.end(Wrong, difference(got, s.want))
		return
	}
	var body errorBody
	if err := json.Unmarshal(data, &body); err != nil {
		s.result.end(Broken, err.Error())
		return
	}
	outcome := Failed
	if got == "" {
		outcome = Refused
	}
	s.result.refuse(outcome, body)
}

func (s *stream) cut(err error) {
	got := s.text.String()
	if !strings.HasPrefix(s.want, got) {
		s.result.end(Wrong, difference(got, s.want))
		return
	}
	s.result.end(Cut, fmt.Sprintf("%d of %d bytes: %v", len(got), len(s.want), err))
}

// difference tells where got leaves want.
func difference(got, want string) string {
	i := 0
	for i < len(got) && i < len(want) && got[i] == want[i] {
		i++
	}
	return fmt.Sprintf("%d bytes in place of %d, differing at %d: %.40q, want %.40q", len(got), len(want), i, got[i:], want[i:])
}
