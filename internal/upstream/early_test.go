package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"skylarklead/internal/standin/halfway"
)

const (
	// earlyRounds is how many early answers are read in each case.
	earlyRounds = 60
	// longBody is longer than the kernel's buffers of a connection, in bytes.
	longBody = 32 << 20
	// earlyTimeout is many times what one takes.
	earlyTimeout = 5 * time.Second
	// earlyAnswer is ended by its connection.
	earlyAnswer = "HTTP/1.1 200 OK\r\n\r\npart"
)

// doEarly sends a long request and reads its answer, once the write of the request has ended if afterWrite is set.
func doEarly(t *testing.T, p *Pool, address string, afterWrite bool) (string, error) {
	t.Helper()
	req := &Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: net.Buffers{make([]byte, longBody)}}
	ctx, cancel := context.WithTimeout(t.Context(), earlyTimeout)
	defer cancel()
	x, err := p.Do(ctx, Replica{ID: "r", Address: address}, 0, req, func(http.Header) bool { return true })
	if err != nil {
		return "", err
	}
	defer x.Close()
	for afterWrite && len(x.written) == 0 {
		if ctx.Err() != nil {
			t.Fatal("the write of the request doesn't end")
		}
		time.Sleep(time.Millisecond)
	}
	body, err := io.ReadAll(x.Body)
	return string(body), err
}

// Guards against a part of an answer without a length that is taken for the whole one: the replica resets the connection
// while the request is still written, and the write receives the error of the reset in place of the read.
func TestEarlyAnswerWithoutLengthThatIsReset(t *testing.T) {
	server := halfway.StartFor(t)
	server.SendEarly(earlyAnswer, halfway.ResetConnection)
	pool := NewPool()
	defer pool.Close()
	for _, afterWrite := range []bool{false, true} {
		taken := 0
		for range earlyRounds {
			body, err := doEarly(t, pool, server.Address, afterWrite)
			if err == nil {
				taken++
			} else if errors.Is(err, ErrMalformed) {
				t.Fatalf("%q, %v; the connection was lost", body, err)
			}
		}
		if taken > 0 {
			t.Errorf("read after the write %v: %d of %d parts taken for whole answers", afterWrite, taken, earlyRounds)
		}
	}
	if open := pool.Stats().Open; open != 0 {
		t.Errorf("%d connections left open", open)
	}
}

// Guards against a whole answer that is refused because the rest of its request couldn't be written: the replica ends the
// answer with its side of the connection. It closes without reading on, reads on, or does neither, in which case the write
// doesn't end by itself.
func TestEarlyAnswerWithoutLengthThatEnds(t *testing.T) {
	server := halfway.StartFor(t)
	pool := NewPool()
	defer pool.Close()
	for _, ending := range []halfway.Ending{halfway.Closed, halfway.HalfClosed, halfway.Stalled} {
		server.SendEarly(earlyAnswer, ending)
		for _, afterWrite := range []bool{false, true} {
			if afterWrite && ending == halfway.Stalled {
				continue
			}
			for range earlyRounds {
				if body, err := doEarly(t, pool, server.Address, afterWrite); err != nil || body != "part" {
					t.Fatalf("%v, read after the write %v: %q, %v", ending, afterWrite, body, err)
				}
			}
		}
	}
}
