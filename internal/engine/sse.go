package engine

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"
)

const (
	// maxCacheEventLine bounds a line of a stream of cache events, in bytes. An event for a whole evicted
	// prompt of 100,000 tokens is smaller.
	maxCacheEventLine = 1 << 20
	// maxAnswerLine bounds a line of an answer's stream, of which many run at a time, in bytes.
	maxAnswerLine = 128 << 10
)

// sseEvent is one server-sent event.
type sseEvent struct {
	id    uint64
	hasID bool
	data  []byte
}

// sseReader parses server-sent events of one data line each.
type sseReader struct{ lines *bufio.Scanner }

// newSSEReader returns a reader of events whose lines have at most maxLine bytes.
func newSSEReader(r io.Reader, maxLine int) *sseReader {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4<<10), maxLine)
	lines.Split(scanWholeLines)
	return &sseReader{lines: lines}
}

// next returns the next complete event. It returns io.ErrUnexpectedEOF if the stream ends before
// an event's empty line, and io.EOF if it ends between events.
func (r *sseReader) next() (sseEvent, error) {
	var event sseEvent
	started := false
	for r.lines.Scan() {
		line := r.lines.Bytes()
		if len(line) == 0 {
			if started {
				return event, nil
			}
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "data":
			event.data = bytes.Clone(value)
			started = true
		case "id":
			id, err := strconv.ParseUint(string(value), 10, 64)
			if err != nil {
				return event, fmt.Errorf("%w: event id: %w", ErrMalformed, err)
			}
			event.id, event.hasID = id, true
			started = true
		}
	}
	if err := r.lines.Err(); err != nil {
		return event, err
	}
	if started {
		return event, io.ErrUnexpectedEOF
	}
	return event, io.EOF
}

// scanWholeLines is bufio.ScanLines without the part of a line at the end: a field of it would be another one.
func scanWholeLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if atEOF && len(data) > 0 && bytes.IndexByte(data, '\n') < 0 {
		return 0, nil, io.ErrUnexpectedEOF
	}
	return bufio.ScanLines(data, atEOF)
}
