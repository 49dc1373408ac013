// Package engine has the clients of an endpoint's back ends: model engines with
// the OpenAI-compatible interface of docs/INTERFACE.md section 2, and plain
// services. Each back end stands beside the process that uses the client.
//
// Errors say whether a request ran: ErrNotSent when it surely did not, ErrLost
// when that is unknown.
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

// maxControlBody bounds an answer other than a stream in bytes; an export of KV
// cache is the largest.
const maxControlBody = 64 << 20

// Request is a completion to run.
type Request struct {
	// ID names the stream at the engine.
	ID       string
	Model    string
	Messages []prefix.Message
	// Partial is what is already there of the answer; the engine goes on after
	// it. MaxTokens counts only tokens after it.
	Partial   string
	MaxTokens int
	// Priority is 0 by default; lower runs sooner.
	Priority int
	// CacheSalt isolates cached prefixes: the organisation's ID.
	CacheSalt string
	// Parameters are a caller's further fields, as package parameters picks them.
	Parameters []byte
}

// Client talks to one engine. It may be used by many goroutines.
type Client struct {
	base   string
	once   *http.Client
	shared *http.Client
}

// NewClient returns a client of the engine at a base URL, "http://ip:port".
func NewClient(base string) *Client {
	return &Client{base: base, once: onceClient(), shared: sharedClient()}
}

// Close drops idle connections.
func (c *Client) Close() { c.shared.CloseIdleConnections() }

// Complete hands a request to the engine and returns when its answer's header
// is there. Errors: ErrNotSent (a *RefusedError if the engine said so, which
// may be ErrLoading), ErrLost. The stream's connection ends with ctx.
func (c *Client) Complete(ctx context.Context, r Request) (*Stream, error) {
	body, err := r.body()
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequest(http.MethodPost, c.base+"/v1/chat/completions", oneShot{bytes.NewReader(body)})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequestID, r.ID)
	resp, err := sendOnce(ctx, c.once, req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, refusal(resp)
	}
	return newStream(resp, 0), nil
}

// body is what is sent. Parameters that can't be read are the request's fault,
// not the engine's: no other endpoint would do better with them.
func (r Request) body() ([]byte, error) {
	ours, err := json.Marshal(r.completion())
	if err != nil {
		return nil, fmt.Errorf("%w: encode: %w", ErrNotRun, err)
	}
	body, err := parameters.Merge(ours, r.Parameters)
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

// Resume returns a stream from event number from on. Errors: ErrGone when the
// engine no longer has it, ErrNotSent, ErrLost; it may be tried again freely.
func (c *Client) Resume(ctx context.Context, id string, from uint64) (*Stream, error) {
	path := streamPath(id) + "?from=" + strconv.FormatUint(from, 10)
	req, err := http.NewRequest(http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	resp, err := sendOnce(ctx, c.shared, req)
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

// Cancel ends a stream. It is idempotent: a stream that isn't there is no error.
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

// SendOrder gives an order and returns the state after it. Errors: ErrStaleFence
// (a *StaleFenceError), ErrNotSent, ErrLost.
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

// ExportKV returns what the engine holds of some blocks.
func (c *Client) ExportKV(ctx context.Context, hashes []prefix.Hash) (KV, error) {
	var kv KV
	err := c.call(ctx, http.MethodPost, "/v1/kv/export", KVQuery{Hashes: hashes}, &kv)
	return kv, err
}

// ImportKV gives the engine exported blocks, and returns how many of them it now
// has. It is an ErrConflict when the engine has other weights.
func (c *Client) ImportKV(ctx context.Context, kv KV) (int, error) {
	var imported Imported
	err := c.call(ctx, http.MethodPost, "/v1/kv/import", kv, &imported)
	return imported.Blocks, err
}

// Events calls fn for each cache event from number from on, until ctx or the
// connection ends or fn returns an error. It never returns nil.
func (c *Client) Events(ctx context.Context, from uint64, fn func(CacheEvent) error) error {
	path := "/v1/cache/events?from=" + strconv.FormatUint(from, 10)
	req, err := http.NewRequest(http.MethodGet, c.base+path, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	resp, err := sendOnce(ctx, c.once, req)
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
	events := newSSEReader(body)
	for {
		raw, err := events.next()
		if err != nil {
			return fmt.Errorf("%w: cache events: %w", ErrOutcomeUnknown, unexpected(err))
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
