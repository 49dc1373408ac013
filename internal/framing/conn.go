package framing

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport makes a transport that isn't used yet check the heads of answers. Faulty ones fail with ErrFaulty, as any
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

// transport tells its connections where requests begin. An answer may come before its request is written, so that the writes
// don't show it.
type transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok && info.Reused {
			c.heads.requestBegins()
		}
	}}
	return t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}

// conn checks the heads of answers as they are read. A read that would complete a faulty line fails.
type conn struct {
	net.Conn
	heads scanner
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if faulty := c.heads.read(p[:n]); faulty != nil {
		return 0, faulty
	}
	return n, err
}
