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
	// minPause and defaultMaxPause bound the pause after a failed read, before jitter.
	minPause          = 100 * time.Millisecond
	defaultMaxBackoff = 3 * time.Second
)

// Pacer spaces the reads of one who follows a stream, and logs one line when its
// log stops answering and one when it answers again, however many reads fail
// between. Its zero value is of a reader that hasn't read yet and logs nothing. It
// belongs to one goroutine.
type Pacer struct {
	// Logger gets the lines; nil for none.
	Logger *slog.Logger
	Stream string
	// MaxBackoff bounds the pause after a failed read, 3 s if 0.
	MaxBackoff time.Duration

	backoff time.Duration
	// failingSince is since when the log doesn't answer, zero while it does.
	failingSince time.Time
	reached      bool
}

// AfterFailure waits before the next read, after one that err says failed: twice as long
// each time, with jitter, and no shorter than a rate limit's own word. Without
// jitter a whole fleet that saw the same outage begin would come back at the same
// moments and keep the log over its limit.
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
	_ = wait.For(ctx, delay) // who waits looks at ctx next
}

// AfterSuccess takes a read that was answered with so many records. One that was to wait for longer and came
// back at once with nothing is followed by a pause: a log that doesn't hold long
// polls would be asked in a tight loop, seen as a busy core on each side.
func (p *Pacer) AfterSuccess(ctx context.Context, records int, requestedWait, took time.Duration) {
	if !p.reached {
		p.log(slog.LevelInfo, "log reached", "after_ms", p.outageDuration().Milliseconds())
	}
	p.reached, p.failingSince, p.backoff = true, time.Time{}, 0
	if records == 0 && requestedWait >= minPause && took < minPause {
		_ = wait.For(ctx, minPause) // who waits looks at ctx next
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
