package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"

	"skylarklead/internal/framing"
)

// Request is a request to a replica. Its body is complete, so that its length is
// known and a fully written request is not missing anything.
type Request struct {
	Method string
	// Target is the target of the request line, as the caller wrote it.
	Target string
	Host   string
	Header http.Header
	// Body is the body in pieces.
	Body net.Buffers
}

// bodyLength is the length of the body in bytes.
func (r *Request) bodyLength() int {
	n := 0
	for _, piece := range r.Body {
		n += len(piece)
	}
	return n
}

// SendError says how far a failed request got.
type SendError struct {
	// Sent is set once a byte may have been sent: the request may have run.
	Sent bool
	// Reused is set when the connection had carried other requests before.
	Reused bool
	Err    error
}

// Error implements error.
func (e *SendError) Error() string {
	if e.Sent {
		return "upstream: no answer: " + e.Err.Error()
	}
	return "upstream: not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// maxInlineBody is the longest body that is written before the answer is read. A
// longer one may fill the TCP window while the replica, which has already refused
// the request, waits for its answer to be read.
const maxInlineBody = 4 << 10

// maxStrayResponses bounds the answers to earlier requests that are skipped on one
// connection.
const maxStrayResponses = 2

// ErrStrayResponse is an ErrMalformed: only answers to other requests were received.
var ErrStrayResponse = fmt.Errorf("%w: it belongs to another request", ErrMalformed)

// Exchange is one request and its answer. It must be closed.
type Exchange struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only if it is complete.
	Body io.Reader
	// StrayResponses is the number of answers to other requests that were skipped.
	StrayResponses int

	pool    *Pool
	replica Replica
	conn    *conn
	resp    *http.Response
	// written receives the result of writing a request that is longer than
	// maxInlineBody. It is nil for a shorter one, which is written first.
	written chan error
	// writeErr is what written gave.
	writeErr error
	// stop ends the watch of the request's context.
	stop func() bool
	// ended is set once the body was read completely.
	ended bool
}

// Do sends a request and returns once the header of its answer has been read. At
// most limit connections to the replica are open at a time; 0 means no limit. The
// function matches reports whether an answer is for this request: a replica may
// send a second answer to an earlier one. Errors are of type *SendError. When ctx
// ends, the exchange is aborted and its connection closed, which cancels the
// request at the replica.
func (p *Pool) Do(ctx context.Context, r Replica, limit int, req *Request, matches func(http.Header) bool) (*Exchange, error) {
	c, err := p.acquire(ctx, r, limit)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	e := &Exchange{pool: p, replica: r, conn: c}
	e.stop = context.AfterFunc(ctx, func() { c.Close() })
	if err := e.start(req, matches); err != nil {
		e.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &SendError{Sent: true, Reused: c.used, Err: err}
	}
	return e, nil
}

func (e *Exchange) start(req *Request, matches func(http.Header) bool) error {
	head := req.head()
	if req.bodyLength() <= maxInlineBody {
		for _, piece := range req.Body {
			head = append(head, piece...)
		}
		if _, err := e.conn.Write(head); err != nil {
			return err
		}
		return e.readHead(req, matches)
	}
	e.written = make(chan error, 1)
	go func() {
		// The pieces aren't copied: long bodies are most of an entry's memory.
		_, err := e.conn.WriteBuffers(append(net.Buffers{head}, req.Body...))
		e.written <- err
	}()
	return e.readHead(req, matches)
}

// head returns the encoded request line and headers.
func (r *Request) head() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	// Writes to a buffer don't fail.
	_ = r.Header.Write(&b)
	if n := r.bodyLength(); n > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(n) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads answers until one matches the request.
func (e *Exchange) readHead(req *Request, matches func(http.Header) bool) error {
	input := e.conn.input
	input.bounded, input.left = true, MaxHeadBytes
	defer func() { input.bounded = false }()
	for {
		resp, err := e.readResponse(req.Method)
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			if resp.StatusCode == http.StatusSwitchingProtocols {
				return fmt.Errorf("%w: unexpected status %d", ErrMalformed, resp.StatusCode)
			}
			continue
		}
		if matches(resp.Header) {
			e.setResponse(resp)
			return nil
		}
		if e.StrayResponses++; e.StrayResponses > maxStrayResponses || resp.Close {
			return ErrStrayResponse
		}
		input.left += maxStrayBytes
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return input.explain(err)
		}
	}
}

// readResponse reads the head of one answer.
func (e *Exchange) readResponse(method string) (*http.Response, error) {
	whole, err := framing.CheckHead(e.conn.reader)
	if err != nil {
		return nil, markMalformed(err)
	}
	read := http.ReadResponse
	if !whole {
		read = readLongHead
	}
	resp, err := read(e.conn.reader, &http.Request{Method: method})
	if errors.Is(err, framing.ErrFaulty) {
		return nil, markMalformed(err)
	}
	return resp, e.conn.input.explain(err)
}

// readLongHead reads a head that is longer than the buffer of its connection, or that is cut. The connection isn't kept, as bytes
// that follow the answer are read ahead elsewhere.
func readLongHead(r *bufio.Reader, req *http.Request) (*http.Response, error) {
	head, err := framing.ReadHead(r)
	if errors.Is(err, framing.ErrFaulty) {
		return nil, err
	}
	// Another error comes again when the head is parsed.
	resp, err := http.ReadResponse(bufio.NewReader(io.MultiReader(bytes.NewReader(head), r)), req)
	if err == nil {
		resp.Close = true
	}
	return resp, err
}

func (e *Exchange) setResponse(resp *http.Response) {
	e.resp = resp
	e.Status = resp.StatusCode
	e.Header = resp.Header
	e.Body = &bodyReader{exchange: e}
	e.conn.applyKeepAlive(resp.Header)
}

// ContentLength is the body's length, -1 if the header doesn't give it.
func (e *Exchange) ContentLength() int64 { return e.resp.ContentLength }

// CloseDelimited reports whether the end of the body is marked only by the end of
// the connection.
func (e *Exchange) CloseDelimited() bool {
	return e.resp.ContentLength < 0 && len(e.resp.TransferEncoding) == 0
}

// bodyReader records whether all of the body was read.
type bodyReader struct{ exchange *Exchange }

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.exchange.resp.Body.Read(p)
	if err == io.EOF {
		b.exchange.ended = true
	}
	return n, b.exchange.conn.input.explain(err)
}

// Close ends the exchange. The connection is kept only if the answer was read
// completely, nothing follows it, the request had been written completely, and the
// replica keeps the connection open. Otherwise it is closed, which cancels a
// request that is still running.
func (e *Exchange) Close() {
	interrupted := !e.stop()
	if interrupted || !e.reusable() {
		e.conn.Close()
		e.pool.release(e.replica)
		return
	}
	e.pool.putIdle(e.replica, e.conn)
}

func (e *Exchange) reusable() bool {
	if e.resp == nil || !e.ended || e.resp.Close || e.StrayResponses > 0 {
		return false
	}
	return e.RequestWritten() && e.conn.reader.Buffered() == 0
}

// RequestWritten reports whether the request was written completely. An answer may
// come before that, and the replica would read the remainder as the next request.
func (e *Exchange) RequestWritten() bool {
	if e.written == nil {
		return e.writeErr == nil
	}
	select {
	case e.writeErr = <-e.written:
		e.written = nil
		return e.writeErr == nil
	default:
		return false
	}
}
