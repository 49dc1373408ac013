package framing

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"skylarklead/internal/standin/halfway"
)

const (
	// earlyRounds is how many early answers are read in each case.
	earlyRounds = 60
	// longBody is longer than the kernel's buffers of a connection, in bytes.
	longBody = 32 << 20
	// earlyAnswer is ended by its connection.
	earlyAnswer = "HTTP/1.1 200 OK\r\n\r\npart"
)

// postEarly sends a long request and reads its answer.
func postEarly(client *http.Client, address string) (string, error) {
	resp, err := client.Post("http://"+address, "text/plain", strings.NewReader(strings.Repeat(".", longBody)))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against a part of an answer without a length that is taken for the whole one: the server resets the connection
// while the request is still written, and the write receives the error of the reset in place of the read.
func TestTransportReportsAResetDuringTheRequest(t *testing.T) {
	server := halfway.StartFor(t)
	server.SendEarly(earlyAnswer, halfway.ResetConnection)
	client := &http.Client{Transport: Transport(&http.Transport{})}
	defer client.CloseIdleConnections()
	taken := 0
	for range earlyRounds {
		if _, err := postEarly(client, server.Address); err == nil {
			taken++
		}
	}
	if taken > 0 {
		t.Errorf("%d of %d parts taken for whole answers", taken, earlyRounds)
	}
}

// Guards against a whole answer that is refused because its request is still written when the server ends the answer with its
// side of the connection.
func TestTransportTakesAnEarlyAnswerThatEnds(t *testing.T) {
	server := halfway.StartFor(t)
	server.SendEarly(earlyAnswer, halfway.HalfClosed)
	client := &http.Client{Transport: Transport(&http.Transport{})}
	defer client.CloseIdleConnections()
	for range earlyRounds {
		if body, err := postEarly(client, server.Address); err != nil || body != "part" {
			t.Fatalf("%q, %v", body, err)
		}
	}
}

// endedConn is a connection that its peer has ended after an answer. A write notices that late: at its deadline, or when
// the connection is closed.
type endedConn struct {
	net.Conn
	answer   io.Reader
	writing  chan struct{}
	ended    context.Context
	end      context.CancelFunc
	writeErr error
}

func newEndedConn(answer string, writeErr error) *endedConn {
	c := &endedConn{answer: strings.NewReader(answer), writing: make(chan struct{}, 1), writeErr: &net.OpError{Op: "write", Err: writeErr}}
	c.ended, c.end = context.WithCancel(context.Background())
	return c
}

// Read returns the answer once a write is under way, and then the end.
func (c *endedConn) Read(p []byte) (int, error) {
	select {
	case <-c.writing:
		c.writing <- struct{}{}
	case <-c.ended.Done():
	}
	return c.answer.Read(p)
}

func (c *endedConn) Write([]byte) (int, error) {
	c.writing <- struct{}{}
	<-c.ended.Done()
	return 0, c.writeErr
}

func (c *endedConn) SetWriteDeadline(time.Time) error {
	c.end()
	return nil
}

func (c *endedConn) Close() error {
	c.end()
	return nil
}

// ends has what a write received, and what is read then.
var ends = []struct{ writeErr, read error }{
	{syscall.ECONNRESET, syscall.ECONNRESET},
	{syscall.ETIMEDOUT, syscall.ETIMEDOUT},
	{syscall.EPIPE, io.EOF},
	{net.ErrClosed, io.EOF},
}

// Guards against a failure of the connection that is lost, and against an orderly end that is taken for one.
func TestReadReportsWhatAWriteReceived(t *testing.T) {
	for _, c := range ends {
		conn := NewResetConn(newEndedConn("", c.writeErr))
		go func() { _, _ = conn.Write([]byte("x")) }()
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, c.read) {
			t.Errorf("a write received %v: read reports %v", c.writeErr, err)
		}
	}
}

// Guards against the same in an answer of the transport. The write receives the error, and its caller learns of it only
// after the answer has been read.
func TestTransportReportsWhatAWriteReceived(t *testing.T) {
	for _, c := range ends {
		client := &http.Client{Transport: Transport(&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
			return newEndedConn(earlyAnswer, c.writeErr), nil
		}})}
		resp, err := client.Post("http://127.0.0.1", "text/plain", strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if whole := c.read == io.EOF; string(body) != "part" || (err == nil) != whole || !whole && !errors.Is(err, c.read) {
			t.Errorf("a write received %v: read %q, %v", c.writeErr, body, err)
		}
	}
}
