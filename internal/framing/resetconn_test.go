package framing

import (
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
	// writeFails is longer than a write under way takes to notice the connection's end.
	writeFails = 10 * time.Millisecond
)

// postEarly sends a long request and reads its answer after a pause.
func postEarly(client *http.Client, address string, pause time.Duration) (string, error) {
	resp, err := client.Post("http://"+address, "text/plain", strings.NewReader(strings.Repeat(".", longBody)))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	time.Sleep(pause)
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against a part of an answer without a length that is taken for the whole one: the server resets the connection
// while the request is still written, and the write receives the error of the reset in place of the read.
func TestTransportReportsAResetDuringTheRequest(t *testing.T) {
	server := startHalfway(t)
	server.SendEarly(earlyAnswer, halfway.ResetConnection)
	client := &http.Client{Transport: Transport(&http.Transport{})}
	defer client.CloseIdleConnections()
	for _, pause := range []time.Duration{0, writeFails} {
		taken := 0
		for range earlyRounds {
			if _, err := postEarly(client, server.Address, pause); err == nil {
				taken++
			}
		}
		if taken > 0 {
			t.Errorf("read after %v: %d of %d parts taken for whole answers", pause, taken, earlyRounds)
		}
	}
}

// endedConn is a connection that its peer has ended. A write waits for its deadline, as one that notices the end late.
type endedConn struct {
	net.Conn
	writeErr error
	deadline chan struct{}
}

func (c *endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *endedConn) Write([]byte) (int, error) {
	<-c.deadline
	return 0, c.writeErr
}

func (c *endedConn) SetWriteDeadline(time.Time) error {
	close(c.deadline)
	return nil
}

// Guards against a failure of the connection that is lost, and against an orderly end that is taken for one.
func TestReadReportsWhatAWriteReceived(t *testing.T) {
	for _, c := range []struct{ writeErr, want error }{
		{syscall.ECONNRESET, syscall.ECONNRESET},
		{syscall.ETIMEDOUT, syscall.ETIMEDOUT},
		{syscall.EPIPE, io.EOF},
		{net.ErrClosed, io.EOF},
	} {
		conn := NewResetConn(&endedConn{writeErr: &net.OpError{Op: "write", Err: c.writeErr}, deadline: make(chan struct{})})
		begun := make(chan struct{})
		go func() {
			close(begun)
			_, _ = conn.Write([]byte("x"))
		}()
		<-begun
		for conn.writing.TryLock() { // until the write is under way
			conn.writing.Unlock()
		}
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, c.want) {
			t.Errorf("a write received %v: read reports %v", c.writeErr, err)
		}
	}
}
