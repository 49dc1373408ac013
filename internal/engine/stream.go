package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

const sseDone = "[DONE]"

// Event is one part of an answer. Seq counts from 0 within a stream. The last event before the end
// has Usage and no text.
type Event struct {
	Seq          uint64
	Text         string
	FinishReason string
	Usage        *Usage
}

// Stream is the answer to a completion while it is generated. Only one goroutine may read it.
type Stream struct {
	// Incarnation and Weights are those of the engine when the request began to run.
	Incarnation string
	Weights     string
	// Salt is the cache salt that the request began with, empty if the engine doesn't
	// report it.
	Salt string

	body   io.ReadCloser
	events *sseReader
	next   uint64
}

func newStream(resp *http.Response, from uint64) *Stream {
	return &Stream{
		Incarnation: resp.Header.Get(HeaderIncarnation),
		Weights:     resp.Header.Get(HeaderWeights),
		Salt:        resp.Header.Get(HeaderCacheSalt),
		body:        resp.Body,
		events:      newSSEReader(resp.Body, maxAnswerLine),
		next:        from,
	}
}

// Next returns the next event. Errors: io.EOF after the engine's explicit end, ErrOutcomeUnknown
// if the connection ends before it, ErrMalformed if an event is missing, duplicated or can't be
// parsed.
func (s *Stream) Next() (Event, error) {
	raw, err := s.events.next()
	if errors.Is(err, ErrMalformed) {
		return Event{}, err
	}
	if err != nil {
		return Event{}, fmt.Errorf("%w: stream: %w", ErrOutcomeUnknown, noEOF(err))
	}
	if string(raw.data) == sseDone {
		return Event{}, io.EOF
	}
	if !raw.hasID || raw.id != s.next {
		return Event{}, fmt.Errorf("%w: got event %d, expected %d", ErrMalformed, raw.id, s.next)
	}
	var chunk CompletionChunk
	if err := json.Unmarshal(raw.data, &chunk); err != nil {
		return Event{}, fmt.Errorf("%w: event %d: %w", ErrMalformed, raw.id, err)
	}
	s.next++
	return chunk.event(raw.id), nil
}

// NextSeq is the number of the event that Next returns next, from which to resume.
func (s *Stream) NextSeq() uint64 { return s.next }

// Close closes the connection. The engine continues the stream for its resume time; Client.Cancel
// ends it at once.
func (s *Stream) Close() error { return s.body.Close() }

func (c CompletionChunk) event(seq uint64) Event {
	event := Event{Seq: seq, Usage: c.Usage}
	if len(c.Choices) == 0 {
		return event
	}
	event.Text = c.Choices[0].Delta.Content
	if reason := c.Choices[0].FinishReason; reason != nil {
		event.FinishReason = *reason
	}
	return event
}

// noEOF replaces io.EOF by io.ErrUnexpectedEOF where it doesn't mean the end of the stream.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
