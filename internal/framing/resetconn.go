package framing

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// ResetConn is a connection whose reads report its failure also if a write received the error.
//
// The kernel reports the failure of a connection, such as a reset, to one call only. After a write has received it, reads report
// an orderly end. That would complete an answer which the end of its connection ends.
type ResetConn struct {
	net.Conn

	// writing is held during writes.
	writing sync.Mutex
	// failure is what a write reported about the connection, nil if nothing.
	failure error
}

// NewResetConn returns a ResetConn for a connection that isn't used yet.
func NewResetConn(c net.Conn) *ResetConn { return &ResetConn{Conn: c} }

// Write implements net.Conn.
func (c *ResetConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.keep(err)
	return n, err
}

// WriteBuffers writes buffers without copying them, and consumes them.
func (c *ResetConn) WriteBuffers(b net.Buffers) (int64, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := b.WriteTo(c.Conn)
	c.keep(err)
	return n, err
}

// keep keeps an error of a write if reads don't report it. EPIPE follows an end that reads report by themselves.
func (c *ResetConn) keep(err error) {
	var errno syscall.Errno
	if errors.As(err, &errno) && errno != syscall.EPIPE {
		c.failure = err
	}
}

// Read implements net.Conn. At the peer's end it ends a write that is under way.
func (c *ResetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	if failure := c.endWrites(); failure != nil {
		return n, failure
	}
	return n, err
}

// endWrites ends the writes and returns what they reported about the connection. A write may have received the error, and not
// kept it yet, when a read reports the end.
func (c *ResetConn) endWrites() error {
	_ = c.SetWriteDeadline(time.Unix(0, 1)) // fails only on a closed connection, whose writes end by themselves
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.failure
}

// SyscallConn implements syscall.Conn.
func (c *ResetConn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
