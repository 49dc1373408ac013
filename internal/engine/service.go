package engine

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// ServiceRequest is a caller's request, forwarded unchanged.
type ServiceRequest struct {
	ID string
	// Key is the caller's Idempotency-Key, empty for none.
	Key    string
	Method string
	// Path begins with a slash and includes the query string.
	Path        string
	ContentType string
	Body        []byte
}

// ServiceResponse is the service's answer. A failed Read of Body returns an ErrOutcomeUnknown. The
// caller closes Body.
type ServiceResponse struct {
	Status      int
	ContentType string
	// Length is the body's length in bytes, -1 if unknown.
	Length int64
	Body   io.ReadCloser
}

// Service calls one plain service. It is safe for concurrent use.
type Service struct {
	base      string
	singleUse *http.Client
}

// NewService returns a client of the service at a base URL, "http://ip:port".
func NewService(base string) *Service { return &Service{base: base, singleUse: singleUseClient()} }

// Call sends a request once and returns when the headers of the answer are there. Every status is
// the service's answer, so the only errors are ErrNotRun and ErrOutcomeUnknown.
func (s *Service) Call(ctx context.Context, r ServiceRequest) (*ServiceResponse, error) {
	var body io.Reader
	if len(r.Body) > 0 {
		body = unreplayableBody{bytes.NewReader(r.Body)}
	}
	req, err := newRequest(r.Method, s.base+r.Path, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(r.Body))
	setHeader(req, "Content-Type", r.ContentType)
	setHeader(req, HeaderRequestID, r.ID)
	setHeader(req, HeaderIdempotencyKey, r.Key)
	resp, err := sendOnce(ctx, s.singleUse, req)
	if err != nil {
		return nil, err
	}
	return &ServiceResponse{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Length:      resp.ContentLength,
		Body:        responseBody{resp.Body},
	}, nil
}

func setHeader(req *http.Request, name, value string) {
	if value != "" {
		req.Header.Set(name, value)
	}
}

// responseBody converts errors of reading an answer into ErrOutcomeUnknown.
type responseBody struct{ io.ReadCloser }

func (b responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = fmt.Errorf("%w: read answer: %w", ErrOutcomeUnknown, err)
	}
	return n, err
}
