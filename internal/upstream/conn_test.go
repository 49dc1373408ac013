package upstream_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"skylarklead/internal/upstream"
)

// Guards against an order that arrives after its sender has given it up: the peer didn't take it in time, and the
// kernel goes on sending it after the connection is closed.
func TestDiscardingDialerSendsNothingAfterClose(t *testing.T) {
	for _, tt := range []struct {
		name     string
		dialer   *net.Dialer
		discards bool
	}{
		{"discarding", upstream.DiscardingDialer(), true},
		{"usual", upstream.Dialer(), false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			conn, err := tt.dialer.DialContext(t.Context(), "tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			peer, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			// More than the sockets' buffers hold.
			if err := conn.SetWriteDeadline(time.Now().Add(200 * time.Millisecond)); err != nil {
				t.Fatal(err)
			}
			sent, err := conn.Write(make([]byte, 64<<20))
			if err == nil {
				t.Fatal("all was written though nothing was read")
			}
			conn.Close()
			got, err := io.Copy(io.Discard, peer)
			if reset := errors.Is(err, syscall.ECONNRESET); reset != tt.discards || !reset && got != int64(sent) {
				t.Errorf("%d of %d bytes arrive after the connection was closed, error %v", got, sent, err)
			}
		})
	}
}
