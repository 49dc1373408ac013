package engine

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"skylarklead/internal/framing"
)

// Timeouts of the connections to a back end, which is co-located with this process.
const (
	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
	// headerTimeout bounds the wait for the answer to a request that may be repeated. A
	// paused engine still accepts connections, and would otherwise block a resume or a load
	// query for ever.
	headerTimeout = 2 * time.Second
	// maxHeadBytes bounds the head of an answer, informational answers included.
	maxHeadBytes = 64 << 10
)

// singleUseClient returns a client that sends a request at most once.
//
// net/http retries a request when a kept-alive connection turns out to be dead, if the method is
// idempotent or the request has an Idempotency-Key. A service that had run a payment and crashed
// before it answered would then run it twice under one key. A request on a new connection is never
// retried, and a failed dial proves that nothing was sent. A redirect would repeat the request
// too, so redirects are not followed.
func singleUseClient() *http.Client {
	return &http.Client{
		Transport: framing.Transport(&http.Transport{
			DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableKeepAlives:  true,
			DisableCompression: true,

			MaxResponseHeaderBytes: maxHeadBytes,
		}),
		CheckRedirect: noRedirect,
	}
}

// keepAliveClient returns a client for requests that may be repeated.
func keepAliveClient() *http.Client {
	return &http.Client{
		Transport: framing.Transport(&http.Transport{
			DialContext:           (&net.Dialer{Timeout: dialTimeout}).DialContext,
			IdleConnTimeout:       idleTimeout,
			ResponseHeaderTimeout: headerTimeout,
			DisableCompression:    true,

			MaxResponseHeaderBytes: maxHeadBytes,
		}),
		CheckRedirect: noRedirect,
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// unreplayableBody hides that a body can be read again, so that net/http does not retry.
type unreplayableBody struct{ io.Reader }

// sendOnce sends a request and distinguishes a failure before sending (ErrNotRun) from one after
// (ErrOutcomeUnknown). A request is not sent as long as it has no connection: net/http writes it
// only after GotConn, which is called before Do returns.
func sendOnce(ctx context.Context, client *http.Client, req *http.Request) (*http.Response, error) {
	sent := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	req = req.WithContext(httptrace.WithClientTrace(ctx, trace))
	req.GetBody = nil
	resp, err := client.Do(req)
	// net/http also returns 101, with whatever follows as the body.
	if err == nil && resp.StatusCode < http.StatusOK {
		resp.Body.Close()
		err = fmt.Errorf("%w: status %d", ErrMalformed, resp.StatusCode)
	}
	if err == nil {
		return resp, nil
	}
	if sent {
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return nil, fmt.Errorf("%w: %w", ErrNotRun, err)
}
