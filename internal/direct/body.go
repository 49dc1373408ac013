package direct

import (
	"context"
	"errors"
	"io"
	"net"
	"time"
)

const (
	// firstBodyPiece is the size in bytes of the first piece of a body of unknown length. Each further
	// piece is as long as all before it, up to maxBodyPiece.
	firstBodyPiece = 4 << 10
	maxBodyPiece   = 256 << 10
)

// errNoBodyMemory means that the entry's memory for bodies is used up.
var errNoBodyMemory = errors.New("direct: no memory for the request body")

// requestBody is the body of a caller's request. It is held in pieces, since a body of unknown length
// that grows by copying takes a multiple of its memory.
type requestBody struct {
	pieces net.Buffers
	// reserved is the memory that the pieces take, in bytes.
	reserved int64
	// dropped is set once the pieces were given up while the request went on.
	dropped bool
}

// read reads a body of a length, -1 if that isn't known, and reserves memory for each piece before it
// is allocated. Without any it leaves the rest unread for at most the time wait. It returns
// errNoBodyMemory or an error of r; what was reserved stays so until it is released.
func (b *requestBody) read(ctx context.Context, r io.Reader, length int64, memory *bodyMemory, wait time.Duration) error {
	size := length
	if length < 0 {
		size = firstBodyPiece
	}
	for {
		began := time.Now()
		if !memory.acquire(ctx, size, wait) {
			return errNoBodyMemory
		}
		wait -= time.Since(began)
		b.reserved += size
		piece := make([]byte, size)
		n, err := fill(piece, r)
		if n > 0 {
			b.pieces = append(b.pieces, piece[:n])
		}
		switch {
		case err == io.EOF && length >= 0:
			return io.ErrUnexpectedEOF
		case err == io.EOF:
			return nil
		case err != nil || length >= 0:
			return err
		}
		size = min(b.reserved, maxBodyPiece)
	}
}

// fill reads until p is full. Its error is that of r, so that the end of a body, io.EOF, isn't taken for
// a body that breaks off, as with io.ReadFull.
func fill(p []byte, r io.Reader) (n int, err error) {
	for n < len(p) && err == nil {
		var read int
		read, err = r.Read(p[n:])
		n += read
	}
	if n == len(p) && err == io.EOF {
		err = nil // the next call finds the end
	}
	return n, err
}
