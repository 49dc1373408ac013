package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// call makes one control call. Orders and imports use a new connection, since the caller has to
// know whether they were sent; reads share connections.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	return c.callBounded(ctx, method, path, in, out, maxControlBody)
}

// callBounded is call with another bound on the answer, in bytes.
func (c *Client) callBounded(ctx context.Context, method, path string, in, out any, limit int64) error {
	client := c.keepAlive
	if method == http.MethodPost {
		client = c.singleUse
	}
	req, err := newCall(method, c.base+path, in)
	if err != nil {
		return err
	}
	resp, err := sendOnce(ctx, client, req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusConflict {
		return conflict(path, resp)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return refusal(resp)
	}
	if out == nil {
		return nil
	}
	if err := decodeWhole(resp.Body, limit, out); err != nil {
		return fmt.Errorf("%w: %s %s: %w", ErrOutcomeUnknown, method, path, err)
	}
	return nil
}

// decodeWhole decodes a body of at most limit bytes. Its value counts only if the body has come to its end and has nothing
// else.
func decodeWhole(body io.Reader, limit int64, into any) error {
	data, err := io.ReadAll(io.LimitReader(body, limit))
	if err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}

func newCall(method, url string, in any) (*http.Request, error) {
	if in == nil {
		return newRequest(method, url, nil)
	}
	body, err := json.Marshal(in)
	if err != nil {
		return nil, fmt.Errorf("%w: encode request: %w", ErrNotRun, err)
	}
	req, err := newRequest(method, url, unreplayableBody{bytes.NewReader(body)})
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

func newRequest(method, url string, body io.Reader) (*http.Request, error) {
	req, err := http.NewRequest(method, url, body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	return req, nil
}

// conflict converts a 409 answer into an error: a stale fence for an order, other weights for an
// import.
func conflict(path string, resp *http.Response) error {
	if path != "/v1/orders" {
		return fmt.Errorf("%w: %w", ErrWeightsMismatch, refusal(resp))
	}
	var stale StaleFence
	if err := decodeWhole(resp.Body, maxErrorBody, &stale); err != nil {
		return fmt.Errorf("%w: 409 answer to an order: %w", ErrMalformed, err)
	}
	return &StaleFenceError{Fence: stale.Fence}
}
