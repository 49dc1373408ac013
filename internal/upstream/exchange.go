package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
)

// Request is what goes to a replica. Its body is whole, so that its length is
// known and nothing of it is missing once it is written.
type Request struct {
	Method string
	// Target is the request line's target, as the caller wrote it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// SendError tells how far a failed request got.
type SendError struct {
	// Sent is set once a byte may have left: the request may have run.
	Sent bool
	// Reused is set when it failed on a connection that had carried others.
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

// inlineBody is the longest body written before the answer is read. A longer one
// may fill the link's window while the replica, which has refused it already,
// waits for its answer to be taken.
const inlineBody = 4 << 10

// maxStrays bounds the answers to earlier requests that are skipped on one
// connection.
const maxStrays = 2

// ErrStrayResponse says that only answers to other requests came.
var ErrStrayResponse = errors.New("upstream: answers belong to other requests")

// Exchange is one request with the answer that came for it. Close must be called.
type Exchange struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only if it is complete.
	Body io.Reader
	// StrayResponses is how many answers to other requests were skipped.
	StrayResponses int

	pool    *Pool
	replica Replica
	conn    *conn
	resp    *http.Response
	written chan error
	stop    func() bool
	ended   bool
}

// Do sends a request and returns as soon as the head of its answer is there.
// belongs tells whether an answer is to this request: a replica may send a second
// answer to an earlier one. Errors are a *SendError. Ending ctx breaks the
// exchange off and closes its connection, which cancels the request at the replica.
func (p *Pool) Do(ctx context.Context, r Replica, limit int, req *Request, belongs func(http.Header) bool) (*Exchange, error) {
	c, err := p.take(ctx, r, limit)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	e := &Exchange{pool: p, replica: r, conn: c}
	e.stop = context.AfterFunc(ctx, func() { c.Close() })
	if err := e.start(req, belongs); err != nil {
		e.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &SendError{Sent: true, Reused: c.used, Err: err}
	}
	return e, nil
}

func (e *Exchange) start(req *Request, belongs func(http.Header) bool) error {
	head := req.head()
	if len(req.Body) <= inlineBody {
		if _, err := e.conn.Write(append(head, req.Body...)); err != nil {
			return err
		}
		return e.readHead(req, belongs)
	}
	e.written = make(chan error, 1)
	go func() {
		_, err := e.conn.Write(append(head, req.Body...))
		e.written <- err
	}()
	return e.readHead(req, belongs)
}

// head renders the request line and headers.
func (r *Request) head() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	// A buffer takes all that is written to it.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads answers until one belongs to the request.
func (e *Exchange) readHead(req *Request, belongs func(http.Header) bool) error {
	for {
		resp, err := http.ReadResponse(e.conn.reader, &http.Request{Method: req.Method})
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			if resp.StatusCode == http.StatusSwitchingProtocols {
				return fmt.Errorf("upstream: unasked-for status %d", resp.StatusCode)
			}
			continue
		}
		if belongs(resp.Header) {
			e.take(resp)
			return nil
		}
		if e.StrayResponses++; e.StrayResponses > maxStrays || resp.Close {
			return ErrStrayResponse
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
	}
}

func (e *Exchange) take(resp *http.Response) {
	e.resp = resp
	e.Status = resp.StatusCode
	e.Header = resp.Header
	e.Body = &body{exchange: e}
	e.conn.learnIdle(resp.Header)
}

// ContentLength is the body's length, -1 if the head doesn't say.
func (e *Exchange) ContentLength() int64 { return e.resp.ContentLength }

// CloseDelimited reports that the body ends only with its connection.
func (e *Exchange) CloseDelimited() bool {
	return e.resp.ContentLength < 0 && len(e.resp.TransferEncoding) == 0
}

// body notes when all of it was read.
type body struct{ exchange *Exchange }

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.exchange.resp.Body.Read(p)
	if err == io.EOF {
		b.exchange.ended = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept only if the answer came whole,
// nothing follows it, the request was written whole before, and the replica
// means to go on; anything else closes it, which cancels what still runs.
func (e *Exchange) Close() {
	interrupted := !e.stop()
	if interrupted || !e.reusable() {
		e.conn.Close()
		e.pool.release(e.replica)
		return
	}
	e.pool.put(e.replica, e.conn)
}

func (e *Exchange) reusable() bool {
	if e.resp == nil || !e.ended || e.resp.Close || e.StrayResponses > 0 {
		return false
	}
	return e.wroteAll() && e.conn.reader.Buffered() == 0
}

// wroteAll reports whether the request had left whole. An answer may come before
// it has; the rest would be taken for the next request.
func (e *Exchange) wroteAll() bool {
	if e.written == nil {
		return true
	}
	select {
	case err := <-e.written:
		return err == nil
	default:
		return false
	}
}
