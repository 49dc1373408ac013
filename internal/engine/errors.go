package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"skylarklead/internal/retryafter"
)

// The errors of this package, for errors.Is.
var (
	// ErrNotRun says that the request did not run: it never left this process,
	// or the back end refused it before running it.
	ErrNotRun = errors.New("engine: request did not run")
	// ErrOutcomeUnknown says that the connection was lost, or the back end failed, after
	// the request may have been sent: whether it ran is unknown.
	ErrOutcomeUnknown = errors.New("engine: outcome unknown")
	// ErrLoading is a refusal while weights load; it is an ErrNotSent too.
	ErrLoading = errors.New("engine: weights are loading")
	// ErrStreamGone says that the engine no longer has the stream.
	ErrStreamGone = errors.New("engine: stream is gone")
	// ErrStaleFence says that the engine has seen a higher fencing number.
	ErrStaleFence = errors.New("engine: stale fencing number")
	// ErrWeightsMismatch says that imported blocks are of other weights.
	ErrWeightsMismatch = errors.New("engine: weights differ")
	// ErrMalformed says that the back end sent what can't be read.
	ErrMalformed = errors.New("engine: malformed answer")
)

// IsTimeout tells a back end that didn't answer in time, but kept its connections,
// from one that refused or was lost.
func IsTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// RefusedError is the back end's refusal before it ran the request.
type RefusedError struct {
	Status     int
	Code       string
	Message    string
	RetryAfter time.Duration
}

// Error tells the status and the back end's reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine: refused with %d %s: %s", e.Status, e.Code, e.Message)
}

// Backoff is for how long the back end wants nothing, 0 if it doesn't say.
func (e *RefusedError) Backoff() time.Duration {
	if e.Status != http.StatusServiceUnavailable && e.Status != http.StatusTooManyRequests {
		return 0
	}
	return e.RetryAfter
}

// Is makes every refusal an ErrNotSent, and one for loading an ErrLoading.
func (e *RefusedError) Is(target error) bool {
	return target == ErrNotRun || target == ErrLoading && e.Code == CodeLoading
}

// StaleFenceError is an ErrStaleFence with the highest number that the engine
// has seen.
type StaleFenceError struct{ Fence uint64 }

// Error tells the engine's number.
func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("%v: engine has %d", ErrStaleFence, e.Fence)
}

// Is makes it an ErrStaleFence.
func (e *StaleFenceError) Is(target error) bool { return target == ErrStaleFence }

const maxErrorBody = 64 << 10

// refusal turns an answer other than 200 into an error. A 4xx and a 503 are said
// before the request runs; any other status may come after it has run.
func refusal(resp *http.Response) error {
	var body ErrorBody
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	_ = json.Unmarshal(data, &body)
	before := resp.StatusCode >= 400 && resp.StatusCode < 500 || resp.StatusCode == http.StatusServiceUnavailable
	if !before {
		return fmt.Errorf("%w: status %d: %s", ErrOutcomeUnknown, resp.StatusCode, body.Error.Message)
	}
	return &RefusedError{
		Status:     resp.StatusCode,
		Code:       body.Error.Code,
		Message:    body.Error.Message,
		RetryAfter: retryAfter(resp),
	}
}

func retryAfter(resp *http.Response) time.Duration {
	after, _ := retryafter.Parse(resp.Header.Get("Retry-After")) // 0 for none
	return after
}
