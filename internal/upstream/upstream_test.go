package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"skylarklead/internal/upstream"
)

// replica accepts connections and passes each, with its number, to serve.
func replica(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) upstream.Replica {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return upstream.Replica{ID: "r", Address: l.Addr().String()}
}

func request(id string, body int) *upstream.Request {
	return &upstream.Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{"Id": {id}}, Body: net.Buffers{make([]byte, body/3), make([]byte, body-body/3)}}
}

func matchesID(id string) func(http.Header) bool {
	return func(h http.Header) bool { return h.Get("Id") == id }
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// readRequest reads one request with its body.
func readRequest(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

func do(t *testing.T, p *upstream.Pool, r upstream.Replica, id string) (string, error) {
	t.Helper()
	x, err := p.Do(context.Background(), r, 0, request(id, 10), matchesID(id))
	if err != nil {
		return "", err
	}
	defer x.Close()
	body, err := io.ReadAll(x.Body)
	return string(body), err
}

func TestConnectionIsReused(t *testing.T) {
	r := replica(t, func(n int, c net.Conn, in *bufio.Reader) {
		for i := 1; readRequest(in); i++ {
			io.WriteString(c, answer(fmt.Sprint(i), fmt.Sprint("conn ", n)))
		}
	})
	p := upstream.NewPool()
	defer p.Close()
	for i := 1; i <= 3; i++ {
		if body, err := do(t, p, r, fmt.Sprint(i)); err != nil || body != "conn 1" {
			t.Fatalf("request %d: %q, %v", i, body, err)
		}
	}
	if s := p.Stats(); s.Opened != 1 || s.Reused != 2 {
		t.Fatalf("%+v", s)
	}
}

// A replica sends a second answer to the previous request just before the answer to
// the next one. The first bytes received must not be taken for the answer: the
// caller would get the answer to an earlier request.
func TestStrayAnswerIsSkipped(t *testing.T) {
	r := replica(t, func(_ int, c net.Conn, in *bufio.Reader) {
		if readRequest(in) {
			io.WriteString(c, answer("old", "stray")+answer("2", "mine"))
		}
		readRequest(in)
	})
	p := upstream.NewPool()
	defer p.Close()
	if body, err := do(t, p, r, "2"); err != nil || body != "mine" {
		t.Fatalf("%q, %v", body, err)
	}
	if s := p.Stats(); s.Idle != 0 {
		t.Fatal("a connection with a stray answer was kept")
	}
}

// A replica sends more than it announced. A connection with unread bytes must not
// be reused, or the next answer would begin with them.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	r := replica(t, func(n int, c net.Conn, in *bufio.Reader) {
		for i := 1; readRequest(in); i++ {
			io.WriteString(c, answer(fmt.Sprint(n), "whole"))
			if n == 1 {
				time.Sleep(20 * time.Millisecond)
				io.WriteString(c, "extra")
			}
		}
	})
	p := upstream.NewPool()
	defer p.Close()
	if _, err := do(t, p, r, "1"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(60 * time.Millisecond) // until the extra bytes have arrived
	if body, err := do(t, p, r, "2"); err != nil || body != "whole" {
		t.Fatalf("%q, %v", body, err)
	}
}

// A replica answers a long request before it has read the body, and keeps the
// connection open. The connection must not be reused before the body is written: a
// later request would arrive where the rest of the body is expected.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	r := replica(t, func(_ int, c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err == nil {
			io.WriteString(c, answer("1", "early"))
		}
		time.Sleep(100 * time.Millisecond)
	})
	p := upstream.NewPool()
	defer p.Close()
	x, err := p.Do(context.Background(), r, 0, request("1", 32<<20), matchesID("1"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(x.Body); err != nil {
		t.Fatal(err)
	}
	x.Close()
	if s := p.Stats(); s.Idle != 0 {
		t.Fatal("connection kept although most of the body was not sent")
	}
}

func TestHowFarItGot(t *testing.T) {
	p := upstream.NewPool()
	defer p.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := upstream.Replica{ID: "gone", Address: l.Addr().String()}
	l.Close()
	var send *upstream.SendError
	if _, err := do(t, p, closed, "1"); !errors.As(err, &send) || send.Sent {
		t.Errorf("refused connection: %v", err)
	}
	breaks := replica(t, func(_ int, c net.Conn, in *bufio.Reader) { readRequest(in) })
	if _, err := do(t, p, breaks, "1"); !errors.As(err, &send) || !send.Sent {
		t.Errorf("connection closed after the request: %v", err)
	}
	hangs := replica(t, func(_ int, c net.Conn, in *bufio.Reader) { readRequest(in); in.ReadByte() })
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := p.Do(ctx, hangs, 0, request("1", 1), matchesID("1")); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("no answer: %v", err)
	}
	if s := p.Stats(); s.Open != 0 {
		t.Errorf("%d connections counted as open", s.Open)
	}
}

// A truncated answer must not look complete. The end of the connection does not end
// an answer that has a length, nor one whose connection was reset.
func TestCutAnswerIsAnError(t *testing.T) {
	r := replica(t, func(_ int, c net.Conn, in *bufio.Reader) {
		readRequest(in)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf")
	})
	p := upstream.NewPool()
	defer p.Close()
	if _, err := do(t, p, r, "1"); err == nil {
		t.Error("with a length: accepted as complete")
	}
	reset := replica(t, func(_ int, c net.Conn, in *bufio.Reader) {
		readRequest(in)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf")
		time.Sleep(20 * time.Millisecond)
		c.(*net.TCPConn).SetLinger(0)
	})
	if _, err := do(t, p, reset, "1"); err == nil {
		t.Error("without a length, reset: accepted as complete")
	}
	ends := replica(t, func(_ int, c net.Conn, in *bufio.Reader) {
		readRequest(in)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole")
	})
	if body, err := do(t, p, ends, "1"); err != nil || body != "whole" {
		t.Errorf("without a length, ended cleanly: %q, %v", body, err)
	}
}

func TestShareOfConnections(t *testing.T) {
	r := replica(t, func(_ int, c net.Conn, in *bufio.Reader) { readRequest(in); in.ReadByte() })
	p := upstream.NewPool()
	defer p.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 2 {
		go p.Do(ctx, r, 2, request("1", 1), matchesID("1"))
	}
	for limit := time.Now().Add(5 * time.Second); p.Stats().Open < 2 && time.Now().Before(limit); {
		time.Sleep(time.Millisecond)
	}
	if _, err := p.Do(ctx, r, 2, request("1", 1), matchesID("1")); !errors.Is(err, upstream.ErrConnectionLimit) {
		t.Fatalf("third connection with a limit of two: %v", err)
	}
}

func TestIdleTimeIsTheReplicas(t *testing.T) {
	r := replica(t, func(n int, c net.Conn, in *bufio.Reader) {
		for readRequest(in) {
			io.WriteString(c, strings.Replace(answer("1", fmt.Sprint(n)), "\r\n", "\r\nKeep-Alive: timeout=0\r\n", 1))
		}
	})
	p := upstream.NewPool()
	defer p.Close()
	for want := 1; want <= 2; want++ {
		if body, err := do(t, p, r, "1"); err != nil || body != fmt.Sprint(want) {
			t.Fatalf("%q, %v; want connection %d", body, err, want)
		}
	}
}
