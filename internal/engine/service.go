package engine

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// ServiceRequest is a caller's call, handed on as it came.
type ServiceRequest struct {
	ID string
	// Key is the caller's Idempotency-Key, empty for none.
	Key    string
	Method string
	// Path has the query string too, and begins with a slash.
	Path        string
	ContentType string
	Body        []byte
}

// ServiceResponse is the service's answer. A Read of Body that fails gives an
// ErrLost; the caller closes Body.
type ServiceResponse struct {
	Status      int
	ContentType string
	// Length is the body's length in bytes, -1 if the service didn't say.
	Length int64
	Body   io.ReadCloser
}

// Service talks to one plain service. It may be used by many goroutines.
type Service struct {
	base string
	once *http.Client
}

// NewService returns a client of the service at a base URL, "http://ip:port".
func NewService(base string) *Service { return &Service{base: base, once: onceClient()} }

// Call sends a call once and returns when the answer's header is there. Every
// status is the service's answer, so only two errors come: ErrNotSent, ErrLost.
func (s *Service) Call(ctx context.Context, r ServiceRequest) (*ServiceResponse, error) {
	var body io.Reader
	if len(r.Body) > 0 {
		body = oneShot{bytes.NewReader(r.Body)}
	}
	req, err := newRequest(r.Method, s.base+r.Path, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(r.Body))
	setHeader(req, "Content-Type", r.ContentType)
	setHeader(req, HeaderRequestID, r.ID)
	setHeader(req, HeaderIdempotencyKey, r.Key)
	resp, err := sendOnce(ctx, s.once, req)
	if err != nil {
		return nil, err
	}
	return &ServiceResponse{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Length:      resp.ContentLength,
		Body:        lostBody{resp.Body},
	}, nil
}

func setHeader(req *http.Request, name, value string) {
	if value != "" {
		req.Header.Set(name, value)
	}
}

// lostBody turns errors of reading an answer into ErrLost.
type lostBody struct{ io.ReadCloser }

func (b lostBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = fmt.Errorf("%w: answer: %w", ErrOutcomeUnknown, err)
	}
	return n, err
}
