package direct

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// Symptom: a caller gets half an event, or a stream that looks complete before its
// end. Sequence: an answer without a length ends in the middle of an event, with its
// connection. Cause: the end of the bytes taken for the end of the stream.
func TestEventsAreWhole(t *testing.T) {
	for _, c := range []struct {
		name, in string
		want     []string
		end      error
	}{
		{"whole", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"1", "2"}, io.EOF},
		{"carriage returns", "id:1\r\ndata: a\r\n\r\n", []string{"1"}, io.EOF},
		{"half an event", "id: 1\ndata: a\n\nid: 2\nda", []string{"1"}, io.ErrUnexpectedEOF},
		{"no blank line", "id: 1\ndata: a\n", nil, io.ErrUnexpectedEOF},
		{"long line", "data: " + strings.Repeat("x", 3*streamBuffer) + "\n\n", []string{""}, io.EOF},
		{"too long", "data: " + strings.Repeat("x", maxEvent), nil, errEventTooLong},
		{"nothing", "", nil, io.EOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			in := newEvents(iotest.HalfReader(strings.NewReader(c.in)))
			var raw strings.Builder
			var err error
			for i := 0; ; i++ {
				if err = in.next(); err != nil {
					break
				}
				if i >= len(c.want) || in.id != c.want[i] {
					t.Fatalf("event %d has id %q; want %q", i, in.id, c.want)
				}
				raw.Write(in.raw)
			}
			if !errors.Is(err, c.end) {
				t.Errorf("ended with %v; want %v", err, c.end)
			}
			if !strings.HasPrefix(c.in, raw.String()) {
				t.Errorf("passed on %q of %q", raw.String(), c.in)
			}
		})
	}
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\nda")
	f.Fuzz(func(t *testing.T, text string) {
		in := newEvents(strings.NewReader(text))
		var raw strings.Builder
		for in.next() == nil {
			raw.Write(in.raw)
		}
		if !strings.HasPrefix(text, raw.String()) {
			t.Fatalf("passed on %q of %q", raw.String(), text)
		}
	})
}
