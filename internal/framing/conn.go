package framing

import (
	"context"
	"net"
	"net/http"
)

// Transport makes a transport that isn't used yet check the framing of answers. Faulty ones fail with ErrFaulty, as any
// failure after the request was sent.
func Transport(t *http.Transport) http.RoundTripper {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: NewResetConn(c)}, nil
	}
	return transport{t}
}

// transport checks the answers; its connections check the bytes of their heads.
type transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// conn checks the heads of answers as they are read. A read that would complete a faulty one fails.
type conn struct {
	net.Conn
	heads scanner
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.heads.requestWritten()
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if faulty := c.heads.read(p[:n]); faulty != nil {
		return 0, faulty
	}
	return n, err
}
