package upstream_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"skylarklead/internal/standin/halfway"
	"skylarklead/internal/upstream"
)

const (
	// earlyRounds is how many early answers are read in each case.
	earlyRounds = 60
	// longBody is longer than the kernel's buffers of a connection, in bytes.
	longBody = 32 << 20
	// earlyAnswer is ended by its connection.
	earlyAnswer = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart"
	// writeFails is longer than a write under way takes to notice the connection's end.
	writeFails = 10 * time.Millisecond
)

// doEarly sends a long request and reads its answer after a pause.
func doEarly(p *upstream.Pool, r upstream.Replica, pause time.Duration) (string, error) {
	x, err := p.Do(context.Background(), r, 0, request("1", longBody), matchesID("1"))
	if err != nil {
		return "", err
	}
	defer x.Close()
	time.Sleep(pause)
	body, err := io.ReadAll(x.Body)
	return string(body), err
}

// Guards against a part of an answer without a length that is taken for the whole one: the replica resets the connection
// while the request is still written, and the write receives the error of the reset in place of the read.
func TestEarlyAnswerWithoutLengthThatIsReset(t *testing.T) {
	server := startHalfway(t)
	server.SendEarly(earlyAnswer, halfway.ResetConnection)
	r := upstream.Replica{ID: "r", Address: server.Address}
	pool := upstream.NewPool()
	defer pool.Close()
	for _, pause := range []time.Duration{0, writeFails} {
		taken := 0
		for range earlyRounds {
			body, err := doEarly(pool, r, pause)
			if err == nil {
				taken++
			} else if errors.Is(err, upstream.ErrMalformed) {
				t.Fatalf("read after %v: %q, %v; the connection was lost", pause, body, err)
			}
		}
		if taken > 0 {
			t.Errorf("read after %v: %d of %d parts taken for whole answers", pause, taken, earlyRounds)
		}
	}
	if open := pool.Stats().Open; open != 0 {
		t.Errorf("%d connections left open", open)
	}
}

// Guards against a whole answer that is refused because the rest of its request couldn't be written: the replica ends the
// answer with its side of the connection and doesn't read on.
func TestEarlyAnswerWithoutLengthThatEnds(t *testing.T) {
	server := startHalfway(t)
	server.SendEarly(earlyAnswer, halfway.Closed)
	r := upstream.Replica{ID: "r", Address: server.Address}
	pool := upstream.NewPool()
	defer pool.Close()
	for _, pause := range []time.Duration{0, writeFails} {
		for range earlyRounds {
			if body, err := doEarly(pool, r, pause); err != nil || body != "part" {
				t.Fatalf("read after %v: %q, %v", pause, body, err)
			}
		}
	}
}
