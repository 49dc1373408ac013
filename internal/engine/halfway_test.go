package engine

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"strings"
	"testing"

	"skylarklead/internal/prefix"
	"skylarklead/internal/standin/halfway"
)

// eachPart calls fn for each part of each form of an answer, closed and reset.
func eachPart(t *testing.T, header, body string, fn func(t *testing.T, base, where, want string, whole, complete bool)) {
	t.Helper()
	server := halfway.StartFor(t)
	for _, form := range halfway.Forms(http.StatusOK, header, body) {
		for _, ending := range halfway.Endings {
			t.Run(fmt.Sprint(form.Name, "/", ending), func(t *testing.T) {
				for n := range len(form.Bytes) + 1 {
					server.Send(form.Bytes[:n], ending)
					want, whole := form.WholeAt(n, ending)
					where := fmt.Sprintf("stopped after %d bytes, %q", n, form.Bytes[:n])
					fn(t, "http://"+server.Address, where, want, whole, whole && ending == halfway.Closed)
				}
			})
		}
	}
}

// Guards against a part of a service's answer that is taken for the whole one.
func TestServiceAnswersThatStopHalfway(t *testing.T) {
	eachPart(t, "Content-Type: text/plain\r\n", "the whole body", func(t *testing.T, base, where, want string, whole, complete bool) {
		var body []byte
		resp, err := NewService(base).Call(testContext(t), ServiceRequest{Method: http.MethodPost, Path: "/", Body: []byte("x")})
		if err == nil {
			body, err = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
		switch {
		case complete && (err != nil || string(body) != want):
			t.Errorf("%s: %q, %v; want the whole answer %q", where, body, err, want)
		case err == nil && (!whole || string(body) != want):
			t.Errorf("%s: taken for the answer %d %q", where, resp.Status, body)
		case err != nil && !errors.Is(err, ErrOutcomeUnknown):
			t.Errorf("%s: %v; the service may have run it", where, err)
		}
	})
}

// Guards against a part of an engine's stream that is taken for the whole one, and an event that is taken from a
// part of it.
func TestStreamsThatStopHalfway(t *testing.T) {
	eachPart(t, "Content-Type: text/event-stream\r\n", first+second+usage+end, func(t *testing.T, base, where, want string, _, complete bool) {
		stream, err := NewClient(base).Complete(testContext(t), Request{ID: "r"})
		if err != nil {
			if complete || !errors.Is(err, ErrOutcomeUnknown) {
				t.Errorf("%s: %v", where, err)
			}
			return
		}
		defer stream.Close()
		text := ""
		for err == nil {
			var event Event
			event, err = stream.Next()
			text += event.Text
		}
		switch {
		case errors.Is(err, io.EOF):
			if text != "a b " || stream.NextSeq() != 3 {
				t.Errorf("%s: taken for the whole stream %q", where, text)
			}
		case !errors.Is(err, ErrOutcomeUnknown):
			t.Errorf("%s: %v; the engine may still have the stream", where, err)
		case complete && strings.HasSuffix(want, end):
			t.Errorf("%s: %v; the stream is whole", where, err)
		case text != "" && text != "a " && text != "a b ":
			t.Errorf("%s: text %q from a part of an event", where, text)
		}
	})
}

// Guards against an engine's state that is taken from a part of an answer.
func TestControlAnswersThatStopHalfway(t *testing.T) {
	for _, c := range []struct {
		name, body string
		call       func(ctx context.Context, c *Client) (any, error)
		want       any
	}{
		{"load", `{"incarnation":"i1","running":12}` + "\n", func(ctx context.Context, c *Client) (any, error) { return c.Load(ctx) }, Load{Incarnation: "i1", Running: 12}},
		{"order", `{"fence":12,"model":"m"}` + "\n", func(ctx context.Context, c *Client) (any, error) { return c.SendOrder(ctx, Order{Fence: 12}) }, State{Fence: 12, Model: "m"}},
		{"export", `{"incarnation":"i1","blob":"YWJj"}` + "\n", func(ctx context.Context, c *Client) (any, error) {
			return c.ExportKV(ctx, []prefix.Hash{1})
		}, KV{Incarnation: "i1", Blob: []byte("abc")}},
	} {
		t.Run(c.name, func(t *testing.T) {
			eachPart(t, "Content-Type: application/json\r\n", c.body, func(t *testing.T, base, where, want string, whole, complete bool) {
				client := NewClient(base)
				defer client.Close()
				got, err := c.call(testContext(t), client)
				// Only the line feed at the end may be missing where the end of the connection ends the body.
				whole = whole && len(want) >= len(c.body)-1
				switch {
				case complete && whole && (err != nil || !reflect.DeepEqual(got, c.want)):
					t.Errorf("%s: %+v, %v; want %+v", where, got, err, c.want)
				case err == nil && !whole:
					t.Errorf("%s: taken for %+v", where, got)
				}
			})
		})
	}
}

// Guards against a cache event that is taken from a part of it, or a stream of them that ends without an error.
func TestCacheEventsThatStopHalfway(t *testing.T) {
	const event = `data: {"seq":12,"incarnation":"i1","type":"cleared","hashes":[]}` + "\n\n"
	eachPart(t, "Content-Type: text/event-stream\r\n", event, func(t *testing.T, base, where, _ string, _, _ bool) {
		client := NewClient(base)
		defer client.Close()
		err := client.Events(testContext(t), 1, func(e CacheEvent) error {
			if e.Seq != 12 || e.Type != CacheCleared {
				t.Errorf("%s: taken for %+v", where, e)
			}
			return nil
		})
		if err == nil {
			t.Errorf("%s: ended without an error", where)
		}
	})
}

// Guards against text of a part of an event, and an end without the engine's explicit one, whatever the bytes are.
func FuzzStreamIsWholeOrAnError(f *testing.F) {
	f.Add([]byte(first+second+usage+end), uint16(40))
	f.Add([]byte("id: 0\r\ndata: {}\r\n\r\ndata: [DONE]\r\n\r\n"), uint16(9))
	f.Fuzz(func(t *testing.T, data []byte, cut uint16) {
		read := func(data []byte) (events []sseEvent, err error) {
			r := newSSEReader(bytes.NewReader(data), maxAnswerLine)
			for {
				event, err := r.next()
				if err != nil {
					return events, err
				}
				events = append(events, event)
			}
		}
		all, _ := read(data)
		part, err := read(data[:min(int(cut), len(data))])
		if err == nil || len(part) > len(all) || len(part) > 0 && !reflect.DeepEqual(part, all[:len(part)]) {
			t.Errorf("a part gives %+v, %v; the whole gives %+v", part, err, all)
		}
	})
}
