package platform

import (
	"errors"
	"fmt"
	"time"
)

var (
	// ErrNotAppended means that an append had no effect: the log refused it, or no
	// connection to the log was made. The caller may retry.
	ErrNotAppended = errors.New("platform: not appended")
	// ErrAppendUnknown means that an append may have taken effect: the request was
	// sent, but its response was lost or invalid. The caller has to read the log
	// before it appends again.
	ErrAppendUnknown = errors.New("platform: append may have taken effect")
	// ErrUnavailable means that a read got no valid response.
	ErrUnavailable = errors.New("platform: unavailable")
)

// RateLimitedError means that the platform refused a call over its rate limit. It
// matches ErrNotAppended, since the log checks its limit before it appends, and
// ErrUnavailable.
type RateLimitedError struct {
	// RetryAfter is how long to wait before the next attempt.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("platform: rate limited, retry after %v", e.RetryAfter)
}

// Is reports whether target is ErrNotAppended or ErrUnavailable.
func (e *RateLimitedError) Is(target error) bool {
	return target == ErrNotAppended || target == ErrUnavailable
}

// OffsetExpiredError means that the record at the requested offset is no longer
// retained; the reader has to start from a snapshot.
type OffsetExpiredError struct {
	// Oldest is the lowest retained offset.
	Oldest uint64
}

// Error implements error.
func (e *OffsetExpiredError) Error() string {
	return fmt.Sprintf("platform: offset is no longer retained, oldest is %d", e.Oldest)
}
