// Package platform has clients of the platform's append-only log and instance list
// (docs/INTERFACE.md, section 4). Its errors distinguish an append that had no effect
// from one that may have taken effect.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"skylarklead/internal/framing"
	"skylarklead/internal/retryafter"
)

const (
	// MaxPageRecords is the most records that callers ask for in one read.
	MaxPageRecords = 1000
	// maxResponseBytes bounds a response, maxHeadBytes its head. Some calls may be under way at a time;
	// a read whose records take more asks for fewer.
	maxResponseBytes = 4 << 20
	maxHeadBytes     = 64 << 10
	// pageDivisor is by how much fewer records a read asks for after a response that was too large.
	pageDivisor = 8
	// readTimeoutMargin is how long a long poll's response may take beyond its wait.
	readTimeoutMargin = 5 * time.Second
	// defaultRetryAfter is used for a refusal without a valid Retry-After header.
	defaultRetryAfter = time.Second
)

// Record is one record of a stream.
type Record struct {
	// Offset is the record's position in its stream, counted from 1.
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the result of a read.
type Page struct {
	// Records are in offset order; an empty list means that the reader has caught up.
	Records []Record `json:"records"`
	// Oldest is the lowest retained offset.
	Oldest uint64 `json:"oldest"`
	// Next is the offset that the next read continues from.
	Next uint64 `json:"next"`
}

// Log is a client of the platform's log. It is safe for concurrent use.
type Log struct {
	base    string
	appends *http.Client
	reads   *http.Client
}

// NewLog returns a client of the log at the base URL, "http://ip:port". It makes no
// connection yet.
func NewLog(base string) *Log {
	return &Log{
		base:    strings.TrimSuffix(base, "/"),
		appends: newAppendClient(),
		reads:   newReadClient(),
	}
}

// newAppendClient returns a client that sends each request at most once.
//
// A transport that reuses connections may retry a request by itself when a reused
// connection breaks, and one that follows redirects sends the body again. After a
// lost response the same records would then be on the log twice, at two offsets.
// With a new connection for each append no connection is reused, and "never
// connected" can be told from "response lost". The log takes a few hundred appends
// a second from the whole fleet, so that the handshakes cost little.
func newAppendClient() *http.Client {
	return &http.Client{
		Transport:     framing.Transport(&http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}),
		CheckRedirect: refuseRedirect,
	}
}

func newReadClient() *http.Client {
	return &http.Client{
		Transport:     framing.Transport(&http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxHeadBytes}),
		CheckRedirect: refuseRedirect,
	}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (l *Log) Close() {
	l.appends.CloseIdleConnections()
	l.reads.CloseIdleConnections()
}

type appendRequest struct {
	Records [][]byte `json:"records"`
}

type appendResponse struct {
	First uint64 `json:"first"`
	Last  uint64 `json:"last"`
}

// Append appends records to a stream atomically and returns the offset of the first;
// the others follow it without gaps. Its errors match either ErrNotAppended (which
// includes *RateLimitedError) or ErrAppendUnknown, never both.
func (l *Log) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	if len(records) == 0 {
		return 0, fmt.Errorf("%w: no records", ErrNotAppended)
	}
	body, err := json.Marshal(appendRequest{Records: records})
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNotAppended, err)
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace),
		http.MethodPost, l.streamURL(stream), bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNotAppended, err)
	}
	req.GetBody = nil // without it the transport can't retry the request by itself
	req.Header.Set("Content-Type", "application/json")
	resp, err := l.appends.Do(req)
	if err != nil {
		if connected.Load() {
			return 0, fmt.Errorf("%w: %w", ErrAppendUnknown, err)
		}
		return 0, fmt.Errorf("%w: %w", ErrNotAppended, err)
	}
	defer resp.Body.Close()
	return decodeAppendResult(resp, len(records))
}

func decodeAppendResult(resp *http.Response, n int) (uint64, error) {
	switch {
	case resp.StatusCode == http.StatusOK:
	case resp.StatusCode == http.StatusTooManyRequests:
		return 0, &RateLimitedError{RetryAfter: retryAfter(resp)}
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode/100 == 4:
		return 0, fmt.Errorf("%w: status %s", ErrNotAppended, resp.Status)
	default:
		return 0, fmt.Errorf("%w: status %s", ErrAppendUnknown, resp.Status)
	}
	var response appendResponse
	if err := decode(resp, &response); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrAppendUnknown, err)
	}
	if response.First == 0 || response.Last != response.First+uint64(n)-1 {
		return 0, fmt.Errorf("%w: response has offsets %d to %d for %d records",
			ErrAppendUnknown, response.First, response.Last, n)
	}
	return response.First, nil
}

// Read returns at most limit records of a stream from an offset on. If there are none
// yet it waits up to wait for the first one; zero returns at once. Its errors are an
// *OffsetExpiredError or match ErrUnavailable.
func (l *Log) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
	for {
		page, err := l.readPage(ctx, stream, from, limit, wait)
		if !errors.Is(err, errResponseTooLarge) || limit == 1 {
			return page, err
		}
		limit = max(1, limit/pageDivisor)
	}
}

func (l *Log) readPage(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error) {
	query := url.Values{
		"from":    {strconv.FormatUint(from, 10)},
		"max":     {strconv.Itoa(limit)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var page Page
	if err := getJSON(ctx, l.reads, l.streamURL(stream)+"?"+query.Encode(), &page); err != nil {
		return Page{}, err
	}
	return page, page.validate(from)
}

// validate rejects a page that would make the reader skip or repeat a record. After a
// gap this reader alone would miss a claim or configuration record; an unavailable log
// is the lesser failure.
func (p Page) validate(from uint64) error {
	want := from
	for _, r := range p.Records {
		if r.Offset != want {
			return fmt.Errorf("%w: page has offset %d, want %d", ErrUnavailable, r.Offset, want)
		}
		want++
	}
	if p.Next != want {
		return fmt.Errorf("%w: page continues at offset %d, want %d", ErrUnavailable, p.Next, want)
	}
	return nil
}

func (l *Log) streamURL(stream string) string {
	return l.base + "/v1/streams/" + url.PathEscape(stream) + "/records"
}

// getJSON fetches and decodes a JSON response.
func getJSON(ctx context.Context, client *http.Client, address string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return decodeGone(resp)
	case http.StatusTooManyRequests:
		return &RateLimitedError{RetryAfter: retryAfter(resp)}
	default:
		return fmt.Errorf("%w: %s: status %s", ErrUnavailable, req.URL.Path, resp.Status)
	}
	if err := decode(resp, into); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}

func decodeGone(resp *http.Response) error {
	var body struct {
		Oldest uint64 `json:"oldest"`
	}
	if err := decode(resp, &body); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return &OffsetExpiredError{Oldest: body.Oldest}
}

var errResponseTooLarge = errors.New("response is too large")

func decode(resp *http.Response, into any) error {
	data, err := readBody(resp)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}

func readBody(resp *http.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(data) > maxResponseBytes {
		err = errResponseTooLarge
	}
	return data, err
}

// retryAfter returns how long the log asks to wait before the next call.
func retryAfter(resp *http.Response) time.Duration {
	if after, ok := retryafter.Parse(resp.Header.Get("Retry-After")); ok {
		return after
	}
	return defaultRetryAfter
}
