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
	minPause        = 100 * time.Millisecond
	defaultMaxPause = 3 * time.Second
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

	pause time.Duration
	// failing is since when the log doesn't answer, zero while it does.
	failing time.Time
	reached bool
}

// AfterFailure waits before the next read, after one that err says failed: twice as long
// each time, with jitter, and no shorter than a rate limit's own word. Without
// jitter a whole fleet that saw the same outage begin would come back at the same
// moments and keep the log over its limit.
func (p *Pacer) AfterFailure(ctx context.Context, err error) {
	if p.failing.IsZero() {
		p.failing = time.Now()
		p.log(slog.LevelWarn, "log not read", "error", err)
	}
	p.reached = false
	p.pause = min(max(2*p.pause, minPause), cmp.Or(p.MaxBackoff, defaultMaxPause))
	pause := p.pause/2 + rand.N(p.pause)
	var limited *RateLimitedError
	if errors.As(err, &limited) {
		pause += limited.RetryAfter
	}
	_ = wait.For(ctx, pause) // who waits looks at ctx next
}

// AfterSuccess takes a read that was answered with so many records. One that was to wait for longer and came
// back at once with nothing is followed by a pause: a log that doesn't hold long
// polls would be asked in a tight loop, seen as a busy core on each side.
func (p *Pacer) AfterSuccess(ctx context.Context, records int, waited, took time.Duration) {
	if !p.reached {
		p.log(slog.LevelInfo, "log reached", "after_ms", p.outage().Milliseconds())
	}
	p.reached, p.failing, p.pause = true, time.Time{}, 0
	if records == 0 && waited >= minPause && took < minPause {
		_ = wait.For(ctx, minPause) // who waits looks at ctx next
	}
}

func (p *Pacer) outage() time.Duration {
	if p.failing.IsZero() {
		return 0
	}
	return time.Since(p.failing)
}

func (p *Pacer) log(level slog.Level, message string, args ...any) {
	if p.Logger != nil {
		p.Logger.Log(context.Background(), level, message, append([]any{"stream", p.Stream}, args...)...)
	}
}
