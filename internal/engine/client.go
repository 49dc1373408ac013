// Package engine has the clients of an endpoint's back ends: model engines with the
// OpenAI-compatible interface of docs/INTERFACE.md section 2, and plain services. Each back end
// is co-located with the process that uses the client.
//
// Errors say whether a request ran: ErrNotRun if it surely did not, ErrOutcomeUnknown if that is
// unknown.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"skylarklead/internal/parameters"
	"skylarklead/internal/prefix"
)

const (
	// maxControlBody bounds an answer other than a stream, in bytes.
	maxControlBody = 1 << 20
	// maxExportBody bounds an export of KV cache, in bytes.
	maxExportBody = 64 << 20
)

// Request is a completion to run.
type Request struct {
	// ID identifies the stream at the engine.
	ID       string
	Model    string
	Messages []prefix.Message
	// Partial is the part of the answer that was generated before; the engine continues after
	// it. MaxTokens counts only tokens after it.
	Partial   string
	MaxTokens int
	// Priority is 0 by default; lower values run sooner.
	Priority int
	// CacheSalt isolates cached prefixes. It is the organisation's ID.
	CacheSalt string
	// Parameters are further fields of the caller's body, as returned by parameters.Pick.
	Parameters []byte
}

// Client calls one engine. It is safe for concurrent use.
type Client struct {
	base      string
	singleUse *http.Client
	keepAlive *http.Client
}

// NewClient returns a client of the engine at a base URL, "http://ip:port".
func NewClient(base string) *Client {
	return &Client{base: base, singleUse: singleUseClient(), keepAlive: keepAliveClient()}
}

// Close closes idle connections.
func (c *Client) Close() { c.keepAlive.CloseIdleConnections() }

// Complete sends a request to the engine and returns when the headers of the answer are there.
// Errors: ErrNotRun (a *RefusedError if the engine refused it, which may be ErrLoading),
// ErrOutcomeUnknown. The stream's connection ends with ctx.
func (c *Client) Complete(ctx context.Context, r Request) (*Stream, error) {
	body, err := r.body()
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequest(http.MethodPost, c.base+"/v1/chat/completions", unreplayableBody{bytes.NewReader(body)})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequestID, r.ID)
	resp, err := sendOnce(ctx, c.singleUse, req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, refusal(resp)
	}
	return newStream(resp, 0), nil
}

// body returns the body to send. Malformed Parameters are reported as a refusal of the request,
// not as a failure of the engine: no other endpoint could run it either.
func (r Request) body() ([]byte, error) {
	base, err := json.Marshal(r.completion())
	if err != nil {
		return nil, fmt.Errorf("%w: encode request: %w", ErrNotRun, err)
	}
	body, err := parameters.Merge(base, r.Parameters)
	if err != nil {
		return nil, &RefusedError{Status: http.StatusBadRequest, Code: CodeBadRequest, Message: err.Error()}
	}
	return body, nil
}

func (r Request) completion() Completion {
	body := Completion{
		Model:         r.Model,
		Messages:      r.Messages,
		Stream:        true,
		StreamOptions: StreamOptions{IncludeUsage: true},
		MaxTokens:     r.MaxTokens,
		Priority:      r.Priority,
		CacheSalt:     r.CacheSalt,
	}
	if r.Partial != "" {
		partial := prefix.Message{Role: "assistant", Content: r.Partial}
		body.Messages = append(body.Messages[:len(body.Messages):len(body.Messages)], partial)
		body.ContinueFinalMessage = true
	}
	return body
}

// Resume returns a stream from an event number on. Errors: ErrStreamGone if the engine no longer
// has it, ErrNotRun, ErrOutcomeUnknown. It is safe to repeat.
func (c *Client) Resume(ctx context.Context, id string, from uint64) (*Stream, error) {
	path := streamPath(id) + "?from=" + strconv.FormatUint(from, 10)
	req, err := http.NewRequest(http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	resp, err := sendOnce(ctx, c.keepAlive, req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return newStream(resp, from), nil
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		return nil, fmt.Errorf("%w: %s", ErrStreamGone, id)
	}
	return nil, refusal(resp)
}

// Cancel ends a stream. It is idempotent: an unknown stream is no error.
func (c *Client) Cancel(ctx context.Context, id string) error {
	err := c.call(ctx, http.MethodDelete, streamPath(id), nil, nil)
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound {
		return nil
	}
	return err
}

// Load returns the engine's load report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	err := c.call(ctx, http.MethodGet, "/v1/load", nil, &load)
	return load, err
}

// SendOrder sends an order and returns the state after it. Errors: ErrStaleFence (a
// *StaleFenceError), ErrNotRun, ErrOutcomeUnknown.
func (c *Client) SendOrder(ctx context.Context, o Order) (State, error) {
	var state State
	err := c.call(ctx, http.MethodPost, "/v1/orders", o, &state)
	return state, err
}

// State returns the engine's state.
func (c *Client) State(ctx context.Context) (State, error) {
	var state State
	err := c.call(ctx, http.MethodGet, "/v1/orders", nil, &state)
	return state, err
}

// ExportKV exports those of the given blocks that the engine has.
func (c *Client) ExportKV(ctx context.Context, hashes []prefix.Hash) (KV, error) {
	var kv KV
	err := c.callBounded(ctx, http.MethodPost, "/v1/kv/export", KVQuery{Hashes: hashes}, &kv, maxExportBody)
	return kv, err
}

// ImportKV imports exported blocks and returns how many of them the engine now has. The error is
// ErrWeightsMismatch if the engine has other weights.
func (c *Client) ImportKV(ctx context.Context, kv KV) (int, error) {
	var imported Imported
	err := c.call(ctx, http.MethodPost, "/v1/kv/import", kv, &imported)
	return imported.Blocks, err
}

// Events calls fn for each cache event from a number on, until ctx or the connection ends or fn
// returns an error. It never returns nil.
func (c *Client) Events(ctx context.Context, from uint64, fn func(CacheEvent) error) error {
	path := "/v1/cache/events?from=" + strconv.FormatUint(from, 10)
	req, err := http.NewRequest(http.MethodGet, c.base+path, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	resp, err := sendOnce(ctx, c.singleUse, req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusal(resp)
	}
	return readCacheEvents(resp.Body, fn)
}

func readCacheEvents(body io.Reader, fn func(CacheEvent) error) error {
	events := newSSEReader(body, maxCacheEventLine)
	for {
		raw, err := events.next()
		if err != nil {
			return fmt.Errorf("%w: cache events: %w", ErrOutcomeUnknown, noEOF(err))
		}
		var event CacheEvent
		if err := json.Unmarshal(raw.data, &event); err != nil {
			return fmt.Errorf("%w: cache event: %w", ErrMalformed, err)
		}
		if err := fn(event); err != nil {
			return err
		}
	}
}

func streamPath(id string) string { return "/v1/streams/" + url.PathEscape(id) }
