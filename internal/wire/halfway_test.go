package wire

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarklead/internal/protocol"
	"skylarklead/internal/standin/halfway"
	"skylarklead/test/kit"
)

// Guards against a part of a frame that is decoded as a shorter message.
func TestPartsOfFramesAreMalformed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		frame := kit.Must(Encode(rapid.Uint32().Draw(t, "ref"), drawMessage(t)))(t)
		for n := range frame {
			if _, m, err := Decode(frame[:n]); !errors.Is(err, ErrMalformed) {
				t.Fatalf("%d of %d bytes: got %+v, %v", n, len(frame), m, err)
			}
		}
	})
}

// collector records what it receives, and when the session has ended.
type collector struct {
	received chan protocol.Message
	closed   chan struct{}
}

func (c *collector) Handle(_ *Session, _ uint32, m protocol.Message) { c.received <- m }
func (c *collector) Closed(*Session, error)                          { close(c.closed) }

func (c *collector) hasClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// Guards against a session that begins with a part of a handshake, or hands over a part of a message, whatever the
// byte after which its connection ends.
func TestSessionsThatStopHalfway(t *testing.T) {
	sent := []protocol.Message{
		&protocol.Start{Status: http.StatusOK, ContentType: "text/plain"},
		&protocol.Chunk{Data: []byte(strings.Repeat("x", 200))},
		&protocol.End{Seq: 1, Outcome: protocol.Done},
	}
	sender := newNode("sender")
	sender.closed = make(chan error, 1<<14) // nobody reads it
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _ = Accept(w, r, sender.options()) }))
	defer server.Close()
	for _, ending := range halfway.Endings {
		for n, whole := 0, false; !whole; n++ {
			relay := kit.Must(halfway.StartRelay(strings.TrimPrefix(server.URL, "http://"), n, ending))(t)
			c := &collector{received: make(chan protocol.Message, 2*len(sent)), closed: make(chan struct{})}
			receiver := newNode("receiver")
			opts := receiver.options()
			opts.Handler = c
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			session, err := Dial(ctx, relay.Address, opts)
			cancel()
			relay.Close()
			if err != nil {
				continue // the handshake didn't come to its end
			}
			_ = session.Send(&protocol.StatusRequest{})
			kit.Until(t, "the sender has the session, or it has ended", func() bool { return sender.sendAll(sent) || c.hasClosed() })
			select {
			case <-c.closed:
			case <-time.After(50 * time.Millisecond):
				whole = !relay.Cut()
				session.Close(ErrClosed)
				<-c.closed
			}
			close(c.received)
			got := slices.Collect(func(yield func(protocol.Message) bool) {
				for m := range c.received {
					if !yield(m) {
						return
					}
				}
			})
			if len(got) > len(sent) || len(got) > 0 && !reflect.DeepEqual(got, sent[:len(got)]) {
				t.Fatalf("%v after %d bytes: got %+v", ending, n, got)
			}
			if whole && len(got) != len(sent) {
				t.Fatalf("got %d of %d messages of a session that wasn't cut", len(got), len(sent))
			}
		}
	}
}

// sendAll sends messages on the session from which the last message came, and reports whether there was one.
func (e *node) sendAll(messages []protocol.Message) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.sessions) == 0 {
		return false
	}
	s := e.sessions[len(e.sessions)-1]
	e.sessions = nil
	for _, m := range messages {
		_ = s.Send(m) // the connection may have ended
	}
	return true
}
