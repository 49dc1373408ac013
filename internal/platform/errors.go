package platform

import (
	"errors"
	"fmt"
	"time"
)

var (
	// ErrNotAppended means that an append definitely had no effect: the log
	// refused it, or no connection to the log was made. It may be sent again.
	ErrNotAppended = errors.New("platform: not appended")
	// ErrAppendUnknown means that an append may have taken effect: the request
	// was sent, but its answer was lost or makes no sense. Whoever gets it reads
	// the log back before it appends again.
	ErrAppendUnknown = errors.New("platform: append may have taken effect")
	// ErrUnavailable means that the platform gave no usable answer to a read.
	ErrUnavailable = errors.New("platform: unavailable")
)

// RateLimitedError is the platform's refusal over its rate limit. It matches
// ErrNotAppended: the log checks its limit before the effect.
type RateLimitedError struct {
	// RetryAfter is how long to wait before the next try.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("platform: rate limited, retry after %v", e.RetryAfter)
}

// Is makes errors.Is(err, ErrNotAppended) true.
func (e *RateLimitedError) Is(target error) bool {
	return target == ErrNotAppended || target == ErrUnavailable
}

// OffsetExpiredError means that the offset asked for is past retention: its record
// is gone, and the reader has to start from a snapshot.
type OffsetExpiredError struct {
	// Oldest is the lowest offset that the log still keeps.
	Oldest uint64
}

// Error implements error.
func (e *OffsetExpiredError) Error() string {
	return fmt.Sprintf("platform: past retention, oldest offset is %d", e.Oldest)
}
