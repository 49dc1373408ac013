package entry

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"skylarklead/internal/delivery"
	"skylarklead/internal/protocol"
	"skylarklead/internal/standin/halfway"
	"skylarklead/internal/wire"
	"skylarklead/test/kit"
)

// smallBuffers accepts connections whose kernel buffers hold a few kilobytes.
type smallBuffers struct{ net.Listener }

func (l smallBuffers) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		_ = c.(*net.TCPConn).SetWriteBuffer(4 << 10)
	}
	return c, err
}

// serveAsProcess serves the entry's callers as its process does, and returns the address.
func (c *caller) serveAsProcess(e *Entry) string {
	c.Helper()
	server := kit.Must(e.newCallerServer())(c)
	l := kit.Must(net.Listen("tcp", "127.0.0.1:0"))(c)
	go e.serve(server, delivery.NewListener(smallBuffers{l}, delivery.DefaultLimit))
	c.Cleanup(func() { server.Close() })
	return l.Addr().String()
}

// sendHTTP10 sends a request of HTTP/1.0.
func (c *caller) sendHTTP10(address, path, body string) net.Conn {
	c.Helper()
	conn := kit.Must(net.Dial("tcp", address))(c)
	c.Cleanup(func() { conn.Close() })
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	_ = conn.SetDeadline(time.Now().Add(kit.Timeout))
	kit.Must(fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", path, testKey, len(body), body))(c)
	return conn
}

// readHTTP10 reads an answer that nothing but the end of its connection needs to end.
func readHTTP10(conn net.Conn) (status int, body string, err error) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// answerPaths are requests for a stream, a whole answer and a call.
var answerPaths = []struct {
	name, group, path, body string
	// whole reports whether a body is the whole answer, given all of its text.
	whole func(body, text string) bool
}{
	{"stream", "llm", chatPath, streamBody, func(body, _ string) bool { return strings.HasSuffix(body, "data: [DONE]\n\n") }},
	{"chat", "llm", chatPath, plainBody, func(body, text string) bool {
		return strings.Contains(body, text) && strings.HasSuffix(body, "}")
	}},
	{"call", "portal", "/v1/services/portal/pledges/7", "pay", func(body, text string) bool { return body == text }},
}

// Guards against an HTTP/1.0 caller that takes a part of an answer for all of it, as its connection ends in order when
// it stopped reading.
func TestHTTP10CallerThatStopsReadingSeesThatItsAnswerWasCut(t *testing.T) {
	const chunks, size = 64, 16 << 10 // more than the buffers on the way hold
	for _, p := range answerPaths {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			x := newExecutor(t, "ep-1", onRun(func(_ *executor, s *wire.Session, m *protocol.Run) {
				_ = s.Send(&protocol.Start{Attempt: m.Attempt, Status: http.StatusOK})
				flood(s, m.Attempt, 0, chunks, size)
				_ = s.Send(&protocol.End{Attempt: m.Attempt, Seq: chunks, Outcome: protocol.Done, CompletionTokens: chunks})
			}))
			e, c := newTestEntry(t, p.group, x)
			e.timeouts.stall = 100 * time.Millisecond
			conn := c.sendHTTP10(c.serveAsProcess(e), p.path, p.body)
			kit.Until(t, "the executor has the request", func() bool { return countMessages[*protocol.Run](x) == 1 })
			kit.Until(t, "the request has ended", func() bool { return e.drain.count() == 0 })
			if status, body, err := readHTTP10(conn); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("status %d, %d bytes, then %v; want a reset", status, len(body), err)
			}
		})
	}
}

// Guards against an HTTP/1.0 caller that gets a broken answer as a whole one: the session with the executor is cut in the
// middle of a frame.
func TestHTTP10CallerOfASessionThatStopsHalfway(t *testing.T) {
	words := allWords(totalWords)
	for _, p := range answerPaths {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			x := newExecutor(t, "ep-1", script{run: answersAll.run, resume: sendsRest})
			direct := x.address
			cuts, whole := 0, 0
			for n, more := 0, true; more; n += sessionCutStep {
				relay := kit.Must(halfway.StartRelay(direct, n, halfway.Closed))(t)
				x.address = relay.Address
				e, c := newTestEntry(t, p.group, x)
				status, body, err := readHTTP10(c.sendHTTP10(c.serveAsProcess(e), p.path, p.body))
				if status == http.StatusOK && err == nil {
					whole++
					if !p.whole(body, words) && !strings.Contains(body, "event: error") {
						t.Errorf("cut after %d bytes: the caller got 200 %q", n, body)
					}
				}
				if more = relay.Cut(); more {
					cuts++
				}
				e.pool.Close()
				relay.Close()
			}
			t.Logf("%d cuts, %d whole answers", cuts, whole)
		})
	}
}

// Guards against an HTTP/1.0 caller that takes a part of a stream for all of it, as its connection ends in order when the
// process does.
func TestHTTP10CallerSeesThatItsStreamEndedWithTheProcess(t *testing.T) {
	x := newExecutor(t, "ep-1", script{run: sendsFirst(5)})
	e, c := newTestEntry(t, "llm", x)
	server := kit.Must(e.newCallerServer())(t)
	l := kit.Must(net.Listen("tcp", "127.0.0.1:0"))(t)
	accepted := make(chan *net.TCPConn, 1)
	go e.serve(server, delivery.NewListener(recorder{l, accepted}, delivery.DefaultLimit))
	t.Cleanup(func() { server.Close() })
	conn := c.sendHTTP10(l.Addr().String(), chatPath, streamBody)
	in := bufio.NewReader(conn)
	kit.Until(t, "the caller has a part", func() bool {
		line, err := in.ReadString('\n')
		return err != nil || strings.HasPrefix(line, "id: ")
	})
	_ = (<-accepted).Close() // as the kernel does
	if _, err := io.Copy(io.Discard, in); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the stream ended with %v; want a reset", err)
	}
}

// recorder hands out the connections that it accepts.
type recorder struct {
	net.Listener
	accepted chan<- *net.TCPConn
}

func (l recorder) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- c.(*net.TCPConn)
	}
	return c, err
}
