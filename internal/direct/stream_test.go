package direct

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// Guards against forwarding half an event, and against a stream that looks complete before its end: an
// answer without a length that breaks off within an event must not count as complete.
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
		{"long line", "data: " + strings.Repeat("x", 3*sseBuffer) + "\n\n", []string{""}, io.EOF},
		{"too long", "data: " + strings.Repeat("x", maxEventSize), nil, errEventTooLong},
		{"nothing", "", nil, io.EOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			in := newSSEReader(iotest.HalfReader(strings.NewReader(c.in)))
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
				t.Errorf("forwarded %q of %q", raw.String(), c.in)
			}
		})
	}
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\nda")
	f.Fuzz(func(t *testing.T, text string) {
		in := newSSEReader(strings.NewReader(text))
		var raw strings.Builder
		for in.next() == nil {
			raw.Write(in.raw)
		}
		if !strings.HasPrefix(text, raw.String()) {
			t.Fatalf("forwarded %q of %q", raw.String(), text)
		}
	})
}
