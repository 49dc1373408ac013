package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBuffer holds a typical answer's head and first events.
	readBuffer = 4 << 10
	// DialTimeout is many round trips inside a region. A replica that is dark, or
	// whose queue of connections is full, is left for another one after it: the
	// kernel's own next try comes after a second.
	DialTimeout = 400 * time.Millisecond
	// unackedTimeout ends a connection whose bytes nobody acknowledges: three or so
	// retransmissions, so that single lost packets don't.
	unackedTimeout = 1500 * time.Millisecond
	// keepAlive finds a peer that has gone without a word, at the kernel's finest
	// grain: it is noticed in three seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// defaultIdle is how long a connection is kept where the replica doesn't say.
	// idleMargin is kept off what it says, which is in whole seconds: a request that
	// crosses the replica's close has an unknown outcome.
	defaultIdle = 2 * time.Second
	idleMargin  = 700 * time.Millisecond
)

// Dialer opens connections that notice a silent peer.
//
// Without it a machine that loses power, or a link that is cut, leaves requests
// hanging until their deadlines: it is seen as a burst of timeouts at one replica
// although its neighbours are free.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// conn is one connection to a replica.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idle is how long it may be kept unused.
	idle time.Duration
	// freeSince is when its last exchange ended.
	freeSince time.Time
	used      bool
}

func dial(ctx context.Context, address string) (*conn, error) {
	c, err := Dialer().DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBuffer), idle: defaultIdle}, nil
}

// fresh reports whether an idle connection can carry another request: not near
// the end of its time, still open, and with nothing to read. Bytes that nobody
// asked for belong to no request, and whatever follows them can't be trusted.
func (c *conn) fresh(now time.Time) bool {
	return now.Sub(c.freeSince) < c.idle && c.reader.Buffered() == 0 && c.silent()
}

// silent looks at the socket without taking anything from it.
func (c *conn) silent() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, errno := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errno == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// learnIdle takes the time that the replica keeps idle connections.
func (c *conn) learnIdle(h http.Header) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			continue
		}
		c.idle = max(0, time.Duration(seconds)*time.Second-idleMargin)
	}
}
