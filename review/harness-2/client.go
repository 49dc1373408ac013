package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const apiKey = "ctnfzs989anu6wsjnban"

var requestNumber atomic.Uint64

// call is one attempt of a client.
type call struct {
	id, path, body string
	// deadline is how long the client waits.
	deadline time.Duration
	// header has further headers, each with its line end.
	header string
}

// answer is what a client got. err is set if the connection ended without a complete answer.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
	sentAt time.Time
	took   time.Duration
}

func newCall(path, body string, deadline time.Duration) *call {
	return &call{id: fmt.Sprintf("%016x", 0x9c41d07b00000000+requestNumber.Add(1)), path: path, body: body, deadline: deadline}
}

// connection is a client's connection, kept for several requests.
type connection struct {
	conn net.Conn
	in   *bufio.Reader
	// over is set once the server has announced that it closes the connection, or it broke.
	over bool
}

func dial(address string) (*connection, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{conn: c, in: bufio.NewReader(c)}, nil
}

// do sends a request and waits for its answer, a second longer than its deadline at most.
func (c *connection) do(k *call) answer {
	a := answer{sentAt: time.Now()}
	_ = c.conn.SetDeadline(a.sentAt.Add(k.deadline + time.Second))
	_, a.err = fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: %s\r\nSkylarklead-Request-Id: %s\r\nSkylarklead-Deadline-Ms: %d\r\nApi-Key: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		k.path, host, k.id, k.deadline.Milliseconds(), apiKey, k.header, len(k.body), k.body)
	if a.err == nil {
		c.read(&a)
	}
	a.took = time.Since(a.sentAt)
	c.over = c.over || a.err != nil
	return a
}

func (c *connection) read(a *answer) {
	resp, err := http.ReadResponse(c.in, &http.Request{Method: http.MethodPost})
	if err != nil {
		a.err = err
		return
	}
	body, err := io.ReadAll(resp.Body)
	a.status, a.header, a.body, a.err = resp.StatusCode, resp.Header, string(body), err
	c.over = resp.Close
}

func (c *connection) close() { c.conn.Close() }

// String describes an answer for the record.
func (a *answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no complete answer after %d ms: %v", a.took.Milliseconds(), a.err)
	}
	seal := "no seal"
	if a.header.Get("Skylarklead-Response-Seal") != "" {
		seal = "sealed"
	}
	return fmt.Sprintf("%d (%s) after %d ms, id %q, %d bytes", a.status, seal, a.took.Milliseconds(),
		a.header.Get("Skylarklead-Request-Id"), len(strings.TrimSpace(a.body)))
}
