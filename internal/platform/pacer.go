package platform

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"skylarklead/internal/wait"
)

const (
	// minPause and defaultMaxBackoff bound the backoff after a failed read, before jitter.
	minPause          = 100 * time.Millisecond
	defaultMaxBackoff = 3 * time.Second
)

// Pacer spaces the reads of a stream's follower. It logs one line when reads begin to
// fail and one at the first success, at the start and after each outage, however many
// reads fail in between. Its zero value is ready for use and logs nothing. It is not
// safe for concurrent use.
type Pacer struct {
	// Logger is nil for no logging.
	Logger *slog.Logger
	Stream string
	// MaxBackoff bounds the backoff after a failed read, before jitter; 3 s if 0.
	MaxBackoff time.Duration

	backoff time.Duration
	// failingSince is when reads began to fail, zero while they succeed.
	failingSince time.Time
	// reached is whether the last read succeeded.
	reached bool
}

// AfterFailure waits before the next read after one that failed with err: exponential
// backoff with jitter, added to the Retry-After of a rate limit. Without jitter a fleet
// that sees the same outage would retry at the same moments and keep the log over its
// limit.
func (p *Pacer) AfterFailure(ctx context.Context, err error) {
	if p.failingSince.IsZero() {
		p.failingSince = time.Now()
		p.log(slog.LevelWarn, "log not read", "error", err)
	}
	p.reached = false
	p.backoff = min(max(2*p.backoff, minPause), cmp.Or(p.MaxBackoff, defaultMaxBackoff))
	delay := p.backoff/2 + rand.N(p.backoff)
	var limited *RateLimitedError
	if errors.As(err, &limited) {
		delay += limited.RetryAfter
	}
	_ = wait.For(ctx, delay) // the caller checks ctx next
}

// AfterSuccess records a read that returned a number of records. A long poll that
// returned at once without records is followed by a pause: a log that doesn't hold long
// polls would be read in a tight loop, which keeps a core busy on each side.
func (p *Pacer) AfterSuccess(ctx context.Context, records int, requestedWait, took time.Duration) {
	if !p.reached {
		p.log(slog.LevelInfo, "log reached", "after_ms", p.outageDuration().Milliseconds())
	}
	p.reached, p.failingSince, p.backoff = true, time.Time{}, 0
	if records == 0 && requestedWait >= minPause && took < minPause {
		_ = wait.For(ctx, minPause) // the caller checks ctx next
	}
}

func (p *Pacer) outageDuration() time.Duration {
	if p.failingSince.IsZero() {
		return 0
	}
	return time.Since(p.failingSince)
}

func (p *Pacer) log(level slog.Level, message string, args ...any) {
	if p.Logger != nil {
		p.Logger.Log(context.Background(), level, message, append([]any{"stream", p.Stream}, args...)...)
	}
}
