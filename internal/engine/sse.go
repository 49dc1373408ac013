package engine

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"
)

// maxSSELine bounds one line of an event stream in bytes. A cache event for a whole evicted prompt
// of 100,000 tokens is smaller.
const maxSSELine = 1 << 20

// sseEvent is one server-sent event.
type sseEvent struct {
	id    uint64
	hasID bool
	data  []byte
}

// sseReader parses server-sent events of one data line each.
type sseReader struct{ lines *bufio.Scanner }

func newSSEReader(r io.Reader) *sseReader {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4<<10), maxSSELine)
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
