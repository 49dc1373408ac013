package delivery

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// conn is a connection whose output is delivered before it is closed.
type conn struct {
	*net.TCPConn
	listener *Listener
	closed   atomic.Bool
	// discards is set if the close drops what is undelivered and resets the connection.
	discards atomic.Bool
	// answered is set once the handler of an HTTP/1.0 request has returned.
	answered atomic.Bool
	// unwritten is set during a write, and after one that failed.
	unwritten atomic.Bool

	// left is the output that the peer hadn't taken at the last look, since when it is that much. The listener's
	// lock guards both.
	left  int
	since time.Time
}

// SetLinger is TCPConn.SetLinger. With 0 seconds the close isn't delayed, and resets the connection.
func (c *conn) SetLinger(seconds int) error {
	c.discards.Store(seconds == 0)
	return c.TCPConn.SetLinger(seconds)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return c.TCPConn.Read(p)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.beginWrite(); err != nil {
		return 0, err
	}
	n, err := c.TCPConn.Write(p)
	c.endWrite(err)
	return n, err
}

// ReadFrom implements io.ReaderFrom.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	if err := c.beginWrite(); err != nil {
		return 0, err
	}
	n, err := c.TCPConn.ReadFrom(r)
	c.endWrite(err)
	return n, err
}

// Close implements net.Conn. It returns at once and ends pending reads and writes. The peer sees the end of
// the output at once, too; the connection is closed once the peer has everything.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	if c.answered.Load() && !c.unwritten.Load() {
		_ = c.SetLinger(-1)
	}
	if c.discards.Load() || c.pending() == 0 {
		c.listener.closed(c)
		return c.TCPConn.Close()
	}
	c.listener.closeDelayed(c)
	// Errors mean that the connection is broken, which the wait finds out.
	_ = c.SetDeadline(time.Unix(1, 0))
	_ = c.CloseWrite()
	go func() {
		defer c.listener.closeDone()
		c.awaitDelivery()
		c.TCPConn.Close()
	}()
	return nil
}

// awaitDelivery returns once nothing more can be delivered, or the peer has taken nothing for the listener's
// limit.
func (c *conn) awaitDelivery() {
	limit := time.NewTimer(c.listener.limit)
	defer limit.Stop()
	interval := checkInterval
	for before := 0; ; {
		pending := c.pending()
		switch {
		case pending == 0:
			return
		case pending < before:
			limit.Reset(c.listener.limit)
			interval = checkInterval
		}
		before = pending
		select {
		case <-limit.C:
			return
		case <-time.After(interval):
		}
		interval = min(2*interval, maxCheckInterval)
	}
}

// takesOutput reports whether there is output that the peer hasn't taken, and that it has taken some within the
// listener's limit.
func (c *conn) takesOutput(now time.Time) bool {
	if pending := c.pending(); pending != c.left {
		c.left, c.since = pending, now
	}
	return c.left > 0 && now.Sub(c.since) < c.listener.limit
}

// pending returns how many bytes of output the peer's kernel hasn't acknowledged. It returns 0 once the
// connection has ended, and where the kernel can't tell.
func (c *conn) pending() int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	if err := raw.Control(func(fd uintptr) { n = pendingOutput(int(fd)) }); err != nil {
		return 0
	}
	return n
}

func pendingOutput(fd int) int {
	n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
	if err != nil || n == 0 {
		return 0
	}
	// A reset connection keeps its count.
	if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil && info.State == unix.BPF_TCP_CLOSE {
		return 0
	}
	return n
}
