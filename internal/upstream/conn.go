package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"skylarklead/internal/framing"
)

const (
	// readBuffer fits a typical answer's header and first events.
	readBuffer = 4 << 10
	// DialTimeout is many round trips within a region. A replica that doesn't
	// answer, or whose accept queue is full, is then given up for another one: the
	// kernel would retransmit its SYN only after a second.
	DialTimeout = 400 * time.Millisecond
	// unackedTimeout closes a connection whose data stays unacknowledged. It allows
	// for about three retransmissions, so that the loss of single packets doesn't
	// close it.
	unackedTimeout = 1500 * time.Millisecond
	// The keep-alive probes detect a peer that vanished without closing the
	// connection. With the kernel's smallest intervals, this takes three seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// defaultIdleTimeout is how long a connection is kept if the replica does not
	// say. idleMargin is subtracted from what the replica says, which is in whole
	// seconds: a request that is sent while the replica closes the connection has
	// an unknown outcome.
	defaultIdleTimeout = 2 * time.Second
	idleMargin         = 700 * time.Millisecond
)

// Dialer returns a dialer whose connections detect a peer that stopped answering.
//
// Otherwise, after a machine loses power or a network link is cut, requests hang
// until their deadlines. This shows as a burst of timeouts at one replica although
// others have capacity.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
}

// DiscardingDialer returns a Dialer whose connections discard unsent data when they are closed, so that
// a call that was given up can't arrive later.
func DiscardingDialer() *net.Dialer {
	d := Dialer()
	d.Control = func(network, address string, raw syscall.RawConn) error {
		return errors.Join(setUserTimeout(network, address, raw), setDiscardOnClose(raw))
	}
	return d
}

func setDiscardOnClose(raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
	return errors.Join(err, optErr)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// conn is one connection to a replica.
type conn struct {
	*framing.ResetConn
	reader *bufio.Reader
	// input is what reader reads from.
	input *boundedReader
	// idleTimeout is how long the connection may be kept unused.
	idleTimeout time.Duration
	// idleSince is when the last exchange on the connection ended.
	idleSince time.Time
	// used is set when the connection was reused for another request.
	used bool
}

func dial(ctx context.Context, address string) (*conn, error) {
	c, err := Dialer().DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	stream := framing.NewResetConn(c)
	input := &boundedReader{conn: stream}
	return &conn{ResetConn: stream, input: input, reader: bufio.NewReaderSize(input, readBuffer), idleTimeout: defaultIdleTimeout}, nil
}

// usable reports whether an idle connection can carry another request: it isn't
// near its idle timeout, is still open, and has nothing to read. Unsolicited bytes
// belong to no request, and nothing that follows them can be trusted.
func (c *conn) usable(now time.Time) bool {
	return now.Sub(c.idleSince) < c.idleTimeout && c.reader.Buffered() == 0 && c.hasNoInput()
}

// hasNoInput peeks at the socket without consuming data. It returns false if there
// is data to read or if the peer has closed the connection.
func (c *conn) hasNoInput() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, errno := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errno == unix.EAGAIN
		return true
	})
	return err == nil && empty
}

// applyKeepAlive sets the idle timeout from the replica's Keep-Alive header.
func (c *conn) applyKeepAlive(h http.Header) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			continue
		}
		c.idleTimeout = max(0, time.Duration(seconds)*time.Second-idleMargin)
	}
}
