// Package endless is a stand-in of a server whose answers never end. It is for development only.
package endless

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// chunk is how much is written at once, in bytes. maxBytes ends an answer that nobody breaks
	// off: its connection stays open then.
	chunk    = 64 << 10
	maxBytes = 256 << 20
	// slowPause is the pause between the bytes of a slow answer.
	slowPause = 100 * time.Millisecond
)

// Form is a way in which an answer never ends.
type Form struct {
	Name string
	// start is sent once, repeat again and again.
	start, repeat string
	// slow sends a byte at a time.
	slow bool
}

const sound = "HTTP/1.1 200 OK\r\n"

// Heads are answers whose head never ends.
var Heads = []Form{
	{Name: "line of the head", start: sound + "X-Line: ", repeat: "a"},
	{Name: "fields of the head", start: sound, repeat: "X-Field: " + strings.Repeat("a", 100) + "\r\n"},
	{Name: "status line", start: "HTTP/1.1 200 ", repeat: "a"},
	{Name: "informational answers", repeat: "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{Name: "no answer in the protocol", repeat: "\x00\xff"},
	{Name: "slow line of the head", start: sound + "X-Line: ", repeat: "a", slow: true},
}

// Bodies are answers whose body never ends.
var Bodies = []Form{
	{Name: "body to the connection's end", start: sound + "Content-Type: application/json\r\n\r\n[", repeat: " "},
	{Name: "chunks", start: sound + "Transfer-Encoding: chunked\r\n\r\n", repeat: "400\r\n" + strings.Repeat("b", 1024) + "\r\n"},
	{Name: "extension of a chunk", start: sound + "Transfer-Encoding: chunked\r\n\r\n5;", repeat: "a"},
	{Name: "trailer", start: sound + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX-Trailer: ", repeat: "a"},
	{Name: "event", start: sound + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", repeat: "a"},
	{Name: "lines of an event", start: sound + "Content-Type: text/event-stream\r\n\r\nid: 1\n", repeat: "data: " + strings.Repeat("a", 100) + "\n"},
	{Name: "slow body", start: sound + "Content-Type: application/json\r\n\r\n[", repeat: " ", slow: true},
}

// Handler serves requests like another handler until it is set to answer some without end.
type Handler struct {
	sound http.Handler
	// written counts the bytes of endless answers, requests how many of these were begun.
	written, requests atomic.Int64

	mu      sync.Mutex
	form    *Form
	matches func(*http.Request) bool
}

// NewHandler returns a handler that serves like sound.
func NewHandler(sound http.Handler) *Handler { return &Handler{sound: sound} }

// Begin answers the requests that match without end, in a form, from now on.
func (h *Handler) Begin(f Form, matches func(*http.Request) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.form, h.matches = &f, matches
}

// Requests is how many requests were answered without end.
func (h *Handler) Requests() int64 { return h.requests.Load() }

// Written is how many bytes of endless answers were written.
func (h *Handler) Written() int64 { return h.written.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	form, matches := h.form, h.matches
	h.mu.Unlock()
	if form == nil || !matches(r) {
		h.sound.ServeHTTP(w, r)
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	h.requests.Add(1)
	form.write(conn, &h.written)
}

// Serve answers the first request on a connection without end, until the peer closes the connection.
func (f Form) Serve(conn net.Conn) {
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	var written atomic.Int64
	f.write(conn, &written)
}

func (f *Form) write(conn net.Conn, written *atomic.Int64) {
	// Bytes of the request that aren't read would reset the connection.
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		var discard [512]byte
		for {
			if _, err := conn.Read(discard[:]); err != nil {
				return
			}
		}
	}()
	if _, err := conn.Write([]byte(f.start)); err != nil {
		return
	}
	block := bytes.Repeat([]byte(f.repeat), max(1, chunk/len(f.repeat)))
	if f.slow {
		block = []byte(f.repeat)
	}
	for total := int64(0); total < maxBytes; {
		n, err := conn.Write(block)
		written.Add(int64(n))
		total += int64(n)
		if err != nil {
			return
		}
		if f.slow {
			select {
			case <-closed:
				return
			case <-time.After(slowPause):
			}
		}
	}
	<-closed
}
