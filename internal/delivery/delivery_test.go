package delivery

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// answer is more than a peer's receive buffer takes.
var answer = bytes.Repeat([]byte("event "), 8<<10)

// pair returns both ends of a connection; the peer has a small receive buffer.
func pair(t *testing.T, limit time.Duration) (l *Listener, server net.Conn, peer *net.TCPConn) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l = NewListener(inner, limit)
	t.Cleanup(func() { l.Close() })
	c, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer = c.(*net.TCPConn)
	_ = peer.SetReadBuffer(4 << 10)
	t.Cleanup(func() { peer.Close() })
	if server, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	_ = server.(*conn).SetWriteBuffer(4 * len(answer))
	return l, server, peer
}

func write(t *testing.T, c net.Conn, b []byte) {
	t.Helper()
	if _, err := c.Write(b); err != nil {
		t.Fatal(err)
	}
}

// Guards against an answer whose end is dropped because its connection is closed with unread input.
func TestASlowPeerGetsEverythingDespiteUnreadInput(t *testing.T) {
	l, server, peer := pair(t, DefaultLimit)
	write(t, peer, []byte("the next request"))
	write(t, server, answer)
	server.Close()
	if n := l.Closing(); n != 1 {
		t.Fatalf("%d connections are being closed; want 1", n)
	}
	got := make([]byte, len(answer))
	if n, err := io.ReadFull(peer, got); err != nil || !bytes.Equal(got, answer) {
		t.Fatalf("got %d of %d bytes, %v", n, len(answer), err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), DefaultLimit)
	defer cancel()
	if left := l.Wait(ctx); left > 0 {
		t.Errorf("%d connections are left", left)
	}
}

// Guards against a process that waits for peers that are gone, or that take nothing.
func TestTheCloseIsDelayedForPeersThatTakeSomething(t *testing.T) {
	for name, c := range map[string]struct {
		limit time.Duration
		leave func(*net.TCPConn)
	}{
		"reset":         {time.Hour, func(p *net.TCPConn) { _ = p.SetLinger(0); p.Close() }},
		"takes nothing": {20 * time.Millisecond, func(*net.TCPConn) {}},
	} {
		t.Run(name, func(t *testing.T) {
			l, server, peer := pair(t, c.limit)
			write(t, server, answer)
			server.Close()
			c.leave(peer)
			ctx, cancel := context.WithTimeout(t.Context(), DefaultLimit)
			defer cancel()
			if left := l.Wait(ctx); left > 0 {
				t.Errorf("%d connections are left", left)
			}
		})
	}
}

// Guards against a server whose reads and writes on a closed connection don't end.
func TestCloseEndsReadsAndWrites(t *testing.T) {
	_, server, _ := pair(t, DefaultLimit)
	write(t, server, answer)
	read := make(chan error, 1)
	go func() {
		_, err := server.Read(make([]byte, 1))
		read <- err
	}()
	server.Close()
	if err := <-read; err == nil {
		t.Error("a read succeeded")
	}
	if _, err := server.Write(answer); !errors.Is(err, net.ErrClosed) {
		t.Errorf("write: %v", err)
	}
	if err := server.Close(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("second close: %v", err)
	}
}

// Guards against an answer that was broken off and looks complete to a peer for whom the end of the connection
// ends it.
func TestAConnectionThatDiscardsItsOutputIsReset(t *testing.T) {
	l, server, peer := pair(t, DefaultLimit)
	write(t, server, answer)
	_ = server.(*conn).SetLinger(0)
	server.Close()
	if n := l.Closing(); n > 0 {
		t.Errorf("the close of %d connections is delayed", n)
	}
	if _, err := io.Copy(io.Discard, peer); err == nil {
		t.Error("the peer saw an orderly end")
	}
}

// Guards against a process that takes an answer on a connection that it keeps for delivered, or waits for a peer that takes
// nothing.
func TestOutputOnOpenConnectionsIsUndelivered(t *testing.T) {
	const limit = 50 * time.Millisecond
	l, server, peer := pair(t, limit)
	if n := l.Undelivered(); n != 0 {
		t.Errorf("%d connections without output are undelivered", n)
	}
	const answers = 3
	for range answers {
		write(t, server, answer)
	}
	if n := l.Undelivered(); n != 1 {
		t.Errorf("%d connections are undelivered; want 1", n)
	}
	time.Sleep(limit)
	if n := l.Undelivered(); n != 0 {
		t.Errorf("%d connections whose peers take nothing are undelivered", n)
	}
	got := make([]byte, len(answer))
	if _, err := io.ReadFull(peer, got); err != nil {
		t.Fatal(err)
	}
	if n := l.Undelivered(); n != 1 {
		t.Errorf("%d connections whose peers take output again are undelivered; want 1", n)
	}
	server.Close()
	if n := l.Undelivered(); n != 1 {
		t.Errorf("%d connections are undelivered after the close; want 1", n)
	}
	peer.Close()
	ctx, cancel := context.WithTimeout(t.Context(), DefaultLimit)
	defer cancel()
	if l.Wait(ctx) > 0 || l.Undelivered() > 0 {
		t.Error("the connection is left")
	}
}
