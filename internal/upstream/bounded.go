package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
)

const (
	// MaxHeadBytes bounds what a server may send until the end of its answer's head, informational
	// answers before it included.
	MaxHeadBytes = 64 << 10
	// maxStrayBytes bounds an answer to another request that is skipped.
	maxStrayBytes = 256 << 10
)

var (
	// ErrMalformed means that a server sent bytes that are no answer in the protocol. The server is alive:
	// its connection was neither lost nor closed.
	ErrMalformed = errors.New("upstream: malformed answer")
	// ErrHeadTooLong is an ErrMalformed: the head of an answer doesn't end within its bound.
	ErrHeadTooLong = fmt.Errorf("%w: no end of its head within %d bytes", ErrMalformed, MaxHeadBytes)
)

// boundedReader reads from a connection up to a bound.
type boundedReader struct {
	conn net.Conn
	// left is how many bytes may still be read if bounded is set.
	left    int
	bounded bool
	// ended is the error with which the connection ended, nil before that.
	ended error
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.ended != nil {
		// After a reset the kernel reports an orderly end.
		return 0, b.ended
	}
	if b.bounded {
		if b.left == 0 {
			return 0, ErrHeadTooLong
		}
		p = p[:min(len(p), b.left)]
	}
	n, err := b.conn.Read(p)
	if b.bounded {
		b.left -= n
	}
	b.ended = err
	return n, err
}

// explain returns what an error of reading an answer means. A parser reports the part of a line before the
// connection's end as malformed, although only the rest of the answer is lost.
func (b *boundedReader) explain(err error) error {
	switch {
	case err == nil, err == io.EOF, b.ended == nil:
		return markMalformed(err)
	case b.ended == io.EOF:
		return io.ErrUnexpectedEOF
	}
	return b.ended
}

// markMalformed makes an error of parsing an ErrMalformed. Errors of the connection stay as they are.
func markMalformed(err error) error {
	var netErr net.Error
	switch {
	case err == nil, errors.Is(err, ErrMalformed), errors.As(err, &netErr), errors.Is(err, net.ErrClosed):
		return err
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return err
	}
	return fmt.Errorf("%w: %w", ErrMalformed, err)
}
