// Package halfway is a server that stops in the middle of its answers, for tests.
package halfway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Form is one way to encode an answer.
type Form struct {
	Name string
	// Bytes is the whole answer, Body its body.
	Bytes, Body string
	// HeadEnd is the offset at which the body begins, if only the end of the connection ends it; 0 for
	// other forms.
	HeadEnd int
	// Faulty is set if not even the whole answer is one in the protocol.
	Faulty bool
}

// WholeAt returns the body that a reader may take for whole when the answer stops after n bytes and the
// connection ends as given; ok is false if there is none.
func (f Form) WholeAt(n int, ending Ending) (body string, ok bool) {
	switch {
	case f.Faulty:
		return "", false
	case f.HeadEnd > 0 && n >= f.HeadEnd && ending == Closed:
		return f.Bytes[f.HeadEnd:n], true
	case f.HeadEnd > 0:
		return "", false
	}
	return f.Body, n == len(f.Bytes)
}

// Forms returns an answer in each form. The header consists of whole lines.
func Forms(status int, header, body string) []Form {
	begin := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	oldBegin := strings.Replace(begin, "HTTP/1.1", "HTTP/1.0", 1)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	const chunked = "Transfer-Encoding: chunked\r\n"
	code := strconv.Itoa(status)
	half := len(body) / 2
	chunks := fmt.Sprintf("%x\r\n%s\r\n%x;of=2\r\n%s\r\n0\r\n", half, body[:half], len(body)-half, body[half:])
	framed := func(name, bytes string) Form { return Form{Name: name, Bytes: bytes, Body: body} }
	open := func(name, head string) Form {
		return Form{Name: name, Bytes: head + body, Body: body, HeadEnd: len(head)}
	}
	faulty := func(name, bytes string) Form { return Form{Name: name, Bytes: bytes, Faulty: true} }
	return []Form{
		framed("length last", begin+header+length+"\r\n"+body),
		framed("length first", begin+length+header+"\r\n"+body),
		framed("length twice", begin+length+header+length+"\r\n"+body),
		framed("length, connection closed", begin+header+length+"Connection: close\r\n\r\n"+body),
		framed("chunks", begin+header+chunked+"\r\n"+chunks+"\r\n"),
		framed("chunks and trailer", begin+header+chunked+"Trailer: X-Sum\r\n\r\n"+chunks+"X-Sum: 1\r\n\r\n"),
		framed("bare line feeds", strings.ReplaceAll(begin+header+length+"\r\n", "\r\n", "\n")+body),
		framed("HTTP/1.0, length", oldBegin+header+length+"\r\n"+body),
		framed("after an informational answer", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+begin+header+length+"\r\n"+body),
		framed("after two informational answers, chunks", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"+begin+header+chunked+"\r\n"+chunks+"\r\n"),
		open("no length", begin+header+"\r\n"),
		open("no length, HTTP/1.0", oldBegin+header+"\r\n"),
		faulty("two lengths", begin+header+length+"Content-Length: 1\r\n\r\n"+body),
		faulty("length too large", begin+header+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)+1)+body),
		faulty("length without a number", begin+header+"Content-Length: \r\n\r\n"+body),
		faulty("unknown transfer encoding", begin+header+"Transfer-Encoding: zipped\r\n\r\n"+body),
		faulty("HTTP/1.0, chunks", oldBegin+header+chunked+"\r\n"+chunks+"\r\n"),
		faulty("HTTP/1.0, chunks and a length", oldBegin+"transfer-encoding :chunked\r\n"+header+length+"\r\n"+chunks+"\r\n"),
		faulty("HTTP/1.0, chunks, after an informational answer", "HTTP/1.1 103 Early Hints\r\n\r\n"+oldBegin+header+chunked+"\r\n"+chunks+"\r\n"),
		faulty("chunks, space before the colon", begin+header+"Transfer-Encoding : chunked\r\n\r\n"+chunks+"\r\n"),
		faulty("length, space before the colon", begin+header+"Content-Length : 3\r\n\r\n"+body),
		faulty("head without end", begin+header+length),
		faulty("line without end", begin+header+"X-Note: "),
		faulty("chunks without a last one", begin+header+chunked+"\r\n"+strings.TrimSuffix(chunks, "0\r\n")),
		faulty("switched protocol", "HTTP/1.1 101 Switching Protocols\r\n"+header+"Upgrade: x\r\nConnection: Upgrade\r\n\r\n"+body),
		faulty("status 000", strings.Replace(begin, code, "000", 1)+header+length+"\r\n"+body),
		faulty("status 000, no length", strings.Replace(begin, code, "000", 1)+header+"\r\n"+body),
		faulty("status 000 before an answer", "HTTP/1.1 000 None\r\n"+header+"\r\n"+begin+header+length+"\r\n"+body),
		faulty("status 099", strings.Replace(begin, code, "099", 1)+header+length+"\r\n"+body),
		faulty("status 600", strings.Replace(begin, code, "600", 1)+header+length+"\r\n"+body),
		faulty("blank in a name", begin+"X Note: a\r\n"+header+length+"\r\n"+body),
		faulty("blank before a colon", begin+header+length+"X-Note : a\r\n\r\n"+body),
		faulty("blank in the name of the length", begin+header+"Content Length: 3\r\n\r\n"+body),
		faulty("blank in the name of the coding", begin+header+"Transfer -Encoding: chunked\r\n\r\n"+chunks+"\r\n"),
		faulty("blank before the first name", begin+" X-Note: a\r\n"+header+length+"\r\n"+body),
		faulty("tab in a name", begin+header+"X\tNote: a\r\n"+length+"\r\n"+body),
		faulty("control byte in a name", begin+header+"X\x01Note: a\r\n"+length+"\r\n"+body),
		faulty("control byte in the name of the coding", begin+header+"Transfer-Encoding\x0b: chunked\r\n\r\n"+chunks+"\r\n"),
		faulty("carriage return in a name", begin+header+"X\rNote: a\r\n"+length+"\r\n"+body),
		faulty("blank in a name, HTTP/1.0", oldBegin+header+"X Note: a\r\n"+length+"\r\n"+body),
		faulty("control byte in a name, HTTP/1.0", oldBegin+header+"X\x7fNote: a\r\n"+length+"\r\n"+body),
		faulty("no name", begin+header+": a\r\n"+length+"\r\n"+body),
		faulty("no colon", begin+header+"X-Note\r\n"+length+"\r\n"+body),
		faulty("folded line", begin+header+"X-Note: a\r\n b\r\n"+length+"\r\n"+body),
		faulty("folded line of blanks", begin+header+"X-Note: a\r\n \t\r\n"+length+"\r\n"+body),
		faulty("folded coding", begin+header+" Transfer-Encoding: chunked\r\n\r\n"+chunks+"\r\n"),
		faulty("folded line, HTTP/1.0", oldBegin+header+"\tX-Note: a\r\n"+length+"\r\n"+body),
		faulty("folded line of an informational answer", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n y\r\n\r\n"+begin+header+length+"\r\n"+body),
		faulty("blank in a name of an informational answer", "HTTP/1.1 103 Early Hints\r\nA B: x\r\n\r\n"+begin+header+length+"\r\n"+body),
		faulty("only an informational answer", "HTTP/1.1 103 Early Hints\r\n"+header+length+"\r\n"),
	}
}

// Ending is how the server ends the connection after the part that it sends.
type Ending int

const (
	Closed Ending = iota
	ResetConnection
	// HalfClosed ends the server's side and reads on until the client has ended its own.
	HalfClosed
	// Stalled ends the server's side, and neither reads on nor closes until the server ends.
	Stalled
)

// Endings are the endings of answers that stop halfway.
var Endings = []Ending{Closed, ResetConnection}

// String returns the ending's name in the names of tests.
func (e Ending) String() string {
	return [...]string{Closed: "closed", ResetConnection: "reset", HalfClosed: "half-closed", Stalled: "stalled"}[e]
}

// Server answers each connection's first request with a part of an answer, and then ends the connection.
type Server struct {
	// Address is "ip:port".
	Address  string
	listener net.Listener
	requests atomic.Int64
	// closed is closed when the server ends.
	closed chan struct{}

	mu     sync.Mutex
	part   string
	ending Ending
	// early is what is sent before a request's body is read, with a pause after each; nil for the part after it.
	early []string
	// other serves requests in place of the part where it returns an answer.
	other func(*http.Request) string
}

// Start starts a server on a loopback address.
func Start() (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Address: l.Addr().String(), listener: l, closed: make(chan struct{})}
	go s.accept()
	return s, nil
}

// StartFor starts a server that ends with a test.
func StartFor(t testing.TB) *Server {
	t.Helper()
	s, err := Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// Close ends the server.
func (s *Server) Close() {
	_ = s.listener.Close()
	close(s.closed)
}

// Send sets the part that is sent from now on.
func (s *Server) Send(part string, ending Ending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part, s.ending, s.early = part, ending, nil
}

// SendEarly sets the part that is sent from now on once the head of a request was read. The connection ends while the
// request's body, which isn't read, is on its way.
func (s *Server) SendEarly(part string, ending Ending) { s.SendEarlyInParts(ending, part) }

// SendEarlyInParts is SendEarly of parts with pauses between them.
func (s *Server) SendEarlyInParts(ending Ending, parts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending, s.early = ending, parts
}

// SendElse has the server answer with what other returns, where that isn't "". Connections are kept after it.
func (s *Server) SendElse(other func(*http.Request) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.other = other
}

// Requests is how many requests were answered in part.
func (s *Server) Requests() int64 { return s.requests.Load() }

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c.(*net.TCPConn))
	}
}

const (
	// earlyPause is the time after each part that is sent early.
	earlyPause = 2 * time.Millisecond
	// readBuffer is the kernel's buffer for what wasn't read of a request, in bytes.
	readBuffer = 64 << 10
)

// answerEarly sends the part if it is due before the request's body.
func (s *Server) answerEarly(c *net.TCPConn) bool {
	s.mu.Lock()
	parts, ending := s.early, s.ending
	s.mu.Unlock()
	if parts == nil {
		return false
	}
	s.requests.Add(1)
	for _, part := range parts {
		_, _ = io.WriteString(c, part) // a reader may have left
		time.Sleep(earlyPause)
	}
	switch ending {
	case ResetConnection:
		_ = c.SetLinger(0)
	case Closed:
		_ = c.CloseWrite()
		time.Sleep(earlyPause) // a close with unread bytes resets the connection
	case HalfClosed:
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	case Stalled:
		_ = c.CloseWrite()
		<-s.closed
	}
	return true
}

func (s *Server) serve(c *net.TCPConn) {
	defer c.Close()
	_ = c.SetReadBuffer(readBuffer) // unread bodies then wait in their sender
	for in := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if s.answerEarly(c) {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		s.mu.Lock()
		other := s.other
		s.mu.Unlock()
		if other != nil {
			if answer := other(req); answer != "" {
				_, _ = io.WriteString(c, answer)
				continue
			}
		}
		s.mu.Lock()
		part, ending := s.part, s.ending
		s.mu.Unlock()
		s.requests.Add(1)
		_, _ = io.WriteString(c, part) // a reader may have left
		if ending == ResetConnection {
			_ = c.SetLinger(0)
		}
		return
	}
}
