package harness

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Request is a caller's request.
type Request struct {
	ID, Method, Host, Path, Key string
	Deadline                    time.Duration
	Body                        []byte
	// Chunked sends the body in chunks, without its length.
	Chunked bool
	Header  map[string]string
}

// Answer is how a request ended at its caller.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Begun is set once a byte of the answer has arrived. Err says why the answer isn't complete.
	Begun bool
	Err   error
	// Kept is set if the connection had carried a request before.
	Kept bool
}

// Caller is a client with one connection that it keeps open.
type Caller struct {
	address string
	conn    net.Conn
	in      *bufio.Reader
	used    bool
}

// NewCaller returns a client of a daemon.
func NewCaller(address string) *Caller { return &Caller{address: address} }

// Close closes the connection.
func (c *Caller) Close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// pieceBytes is how much of a body is written at a time, piecePause the pause after it: at most
// 3.2 MB/s for a client, so that 30 of them stay below the 1,000 Mbit/s of a daemon's link.
const (
	pieceBytes = 64 << 10
	piecePause = 20 * time.Millisecond
)

// Do sends a request and returns how it ended. It never sends a request twice.
func (c *Caller) Do(r *Request) Answer {
	a := Answer{Kept: c.conn != nil && c.used}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			a.Err = err
			return a
		}
		c.conn, c.in, c.used = conn, bufio.NewReader(conn), false
	}
	_ = c.conn.SetDeadline(time.Now().Add(r.Deadline))
	sent := make(chan error, 1)
	conn := c.conn
	go func() { sent <- write(conn, r) }()
	a.read(c.in, r)
	if err := <-sent; err != nil && a.Err == nil && a.Status == 0 {
		a.Err = err
	}
	c.used = true
	if a.Err != nil || a.Header.Get("Connection") == "close" {
		c.Close()
	}
	return a
}

func write(conn net.Conn, r *Request) error {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nSkylarklead-Request-Id: %s\r\nSkylarklead-Deadline-Ms: %d\r\n",
		r.Method, r.Path, r.Host, r.ID, r.Deadline.Milliseconds())
	if r.Key != "" {
		fmt.Fprintf(&head, "Api-Key: %s\r\n", r.Key)
	}
	for name, value := range r.Header {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	switch {
	case r.Chunked:
		head.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	case len(r.Body) > 0 || r.Method == http.MethodPost:
		fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n", len(r.Body))
	default:
		head.WriteString("\r\n")
	}
	if _, err := conn.Write(head.Bytes()); err != nil {
		return err
	}
	for body := r.Body; len(body) > 0; {
		piece := body[:min(len(body), pieceBytes)]
		body = body[len(piece):]
		data := piece
		if r.Chunked {
			data = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := conn.Write(data); err != nil {
			return err
		}
		if len(body) > 0 {
			time.Sleep(piecePause)
		}
	}
	if r.Chunked {
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err
	}
	return nil
}

func (a *Answer) read(in *bufio.Reader, r *Request) {
	if _, err := in.Peek(1); err != nil {
		a.Err = err
		return
	}
	a.Begun = true
	resp, err := http.ReadResponse(in, &http.Request{Method: r.Method})
	if err != nil {
		a.Err = err
		return
	}
	a.Status, a.Header = resp.StatusCode, resp.Header
	a.Body, a.Err = io.ReadAll(resp.Body)
}
