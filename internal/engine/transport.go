package engine

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"
)

// Bounds of the connections to a back end, which stands beside this process.
const (
	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
	// headerTimeout bounds the wait for an answer to a request that may be
	// repeated. A stopped engine still accepts connections, and would otherwise
	// hold up a resume or a look at its load for ever.
	headerTimeout = 2 * time.Second
)

// onceClient returns a client that sends a request at most once.
//
// net/http sends a request again by itself when a kept-alive connection turns
// out to be dead, if the method is idempotent or the request has an
// Idempotency-Key. A service that had run a payment and died before it answered
// would run it twice; one would notice two runs under one key. A fresh
// connection for each request is never retried, and makes a failed dial proof
// that nothing was sent. A redirect would repeat the request too, so none is
// followed.
func onceClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
		CheckRedirect: noRedirect,
	}
}

// sharedClient returns a client for requests that may be repeated freely.
func sharedClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:           (&net.Dialer{Timeout: dialTimeout}).DialContext,
			IdleConnTimeout:       idleTimeout,
			ResponseHeaderTimeout: headerTimeout,
			DisableCompression:    true,
		},
		CheckRedirect: noRedirect,
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// oneShot hides that a body can be read again, so that net/http won't.
type oneShot struct{ io.Reader }

// sendOnce sends a request and tells a failure before sending (ErrNotSent) from
// one after (ErrLost). A request is not sent as long as it has no connection:
// net/http writes to it only after GotConn, which runs before Do returns.
func sendOnce(ctx context.Context, client *http.Client, req *http.Request) (*http.Response, error) {
	sent := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	req = req.WithContext(httptrace.WithClientTrace(ctx, trace))
	req.GetBody = nil
	resp, err := client.Do(req)
	if err == nil {
		return resp, nil
	}
	if sent {
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return nil, fmt.Errorf("%w: %w", ErrNotRun, err)
}
