package platform

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"skylarklead/internal/wait"
)

const (
	// tailWait is how long one poll of Tail waits for a record.
	tailWait = 20 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed poll.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// Tail calls f with every record of a stream from an offset on, in order and
// once each, until ctx ends, f fails, or the offset is past retention. It
// returns ctx's error, f's error or a *RetainedError. An outage of the log is
// waited out.
func (l *Log) Tail(ctx context.Context, stream string, from uint64, f func(Record) error) error {
	var pause backoff
	outage := outageLog{logger: l.Logger, stream: stream}
	for {
		asked := time.Now()
		page, err := l.Read(ctx, stream, from, MaxPage, tailWait)
		var retained *RetainedError
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.As(err, &retained):
			return err
		case err != nil:
			outage.failed(from, err)
			if err := pause.wait(ctx, err); err != nil {
				return err
			}
			continue
		}
		outage.over(from)
		if len(page.Records) == 0 && time.Since(asked) < minBackoff {
			// A log that doesn't hold long polls would be asked in a tight loop,
			// seen as a busy core on each side.
			if err := pause.wait(ctx, nil); err != nil {
				return err
			}
			continue
		}
		pause.reset()
		for _, r := range page.Records {
			if err := f(r); err != nil {
				return err
			}
		}
		from = page.Next
	}
}

// outageLog writes one line at an outage's start and one at its end, however
// many polls fail between.
type outageLog struct {
	logger *slog.Logger
	stream string
	since  time.Time // zero while the log answers
}

func (o *outageLog) failed(from uint64, err error) {
	if !o.since.IsZero() {
		return
	}
	o.since = time.Now()
	if o.logger != nil {
		o.logger.Warn("log unavailable", "stream", o.stream, "from", from, "error", err)
	}
}

func (o *outageLog) over(from uint64) {
	if o.since.IsZero() {
		return
	}
	if o.logger != nil {
		o.logger.Info("log available again", "stream", o.stream, "from", from, "after_ms", time.Since(o.since).Milliseconds())
	}
	o.since = time.Time{}
}

// backoff is the pause between failed tries: doubled each time, with full
// jitter. Without jitter a whole fleet that saw the same outage begin would come
// back at the same moments and keep the log over its limit.
type backoff struct {
	bound time.Duration
}

func (b *backoff) reset() { b.bound = 0 }

// wait sleeps for the next pause, no shorter than a rate limit's own word.
func (b *backoff) wait(ctx context.Context, cause error) error {
	b.bound = min(max(2*b.bound, minBackoff), maxBackoff)
	pause := minBackoff/2 + rand.N(b.bound)
	var limited *RateLimitedError
	if errors.As(cause, &limited) {
		pause += limited.RetryAfter
	}
	return wait.For(ctx, pause)
}
