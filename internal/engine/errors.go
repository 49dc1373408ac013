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
	// ErrNotRun says that the request did not run: it never left this process, or the back
	// end refused it before running it.
	ErrNotRun = errors.New("engine: request did not run")
	// ErrOutcomeUnknown says that the connection was lost, or the back end failed, after the
	// request may have been sent: whether it ran is unknown.
	ErrOutcomeUnknown = errors.New("engine: outcome unknown")
	// ErrLoading is a refusal while weights load. It is an ErrNotRun too.
	ErrLoading = errors.New("engine: weights are loading")
	// ErrStreamGone says that the engine no longer has the stream.
	ErrStreamGone = errors.New("engine: stream is gone")
	// ErrStaleFence says that the engine has seen a higher fencing number.
	ErrStaleFence = errors.New("engine: stale fencing number")
	// ErrWeightsMismatch says that imported blocks belong to other weights.
	ErrWeightsMismatch = errors.New("engine: weights differ")
	// ErrMalformed says that an answer of the back end can't be parsed.
	ErrMalformed = errors.New("engine: malformed answer")
)

// IsTimeout reports whether a back end did not answer in time but kept its connections, as opposed
// to one that refused or was lost.
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

// Error returns the status and the back end's reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine: refused with %d %s: %s", e.Status, e.Code, e.Message)
}

// Backoff is how long the back end asks to be sent nothing, 0 if it doesn't say.
func (e *RefusedError) Backoff() time.Duration {
	if e.Status != http.StatusServiceUnavailable && e.Status != http.StatusTooManyRequests {
		return 0
	}
	return e.RetryAfter
}

// Is makes every refusal an ErrNotRun, and one because of loading weights an ErrLoading.
func (e *RefusedError) Is(target error) bool {
	return target == ErrNotRun || target == ErrLoading && e.Code == CodeLoading
}

// StaleFenceError is an ErrStaleFence with the highest fencing number that the engine has seen.
type StaleFenceError struct{ Fence uint64 }

// Error returns the engine's fencing number.
func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("%v: engine has %d", ErrStaleFence, e.Fence)
}

// Is makes it an ErrStaleFence.
func (e *StaleFenceError) Is(target error) bool { return target == ErrStaleFence }

const maxErrorBody = 64 << 10

// refusal converts an answer other than 200 into an error. The status is 4xx or 503 only if the
// request was not run; any other status may come after it has run.
func refusal(resp *http.Response) error {
	var body ErrorBody
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	_ = json.Unmarshal(data, &body)
	notRun := resp.StatusCode >= 400 && resp.StatusCode < 500 || resp.StatusCode == http.StatusServiceUnavailable
	if !notRun {
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
