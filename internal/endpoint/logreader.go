package endpoint

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"skylarklead/internal/platform"
)

const (
	// logReadWait is how long one read of a log stream waits for a record. It bounds
	// the age of a result without records, so it stays below
	// attempt.OnceParams.MaxLogStaleness.
	logReadWait = 4 * time.Second
	// maxLogPause bounds the pause after a failed read: at the end of an outage, calls
	// with an idempotency key wait for it.
	maxLogPause = 2 * time.Second
)

// logReader follows one stream of the platform's log for the loop. It reports when a
// read has reached the end, and skips records that retention has removed.
type logReader struct {
	log    *platform.Log
	stream string
	loop   *mailbox
	now    func() time.Duration
	logger *slog.Logger

	// These are called on the loop. onCaughtUp gets the time at which the read that
	// found no more records was begun.
	onRecord   func(offset uint64, data []byte)
	onCaughtUp func(started time.Duration)
	onGap      func(oldest uint64)
	onOldest   func(offset uint64)

	interrupt chan struct{}
}

// interruptWait ends the current wait, for a caller that needs the stream's end now.
func (r *logReader) interruptWait() {
	select {
	case r.interrupt <- struct{}{}:
	default:
	}
}

// run reads until ctx ends.
func (r *logReader) run(ctx context.Context) {
	from := uint64(1)
	wait := time.Duration(0)
	pacer := platform.Pacer{Logger: r.logger, Stream: r.stream, MaxBackoff: maxLogPause}
	for ctx.Err() == nil {
		started := r.now()
		page, err := r.read(ctx, from, wait)
		var retained *platform.OffsetExpiredError
		switch {
		case errors.As(err, &retained):
			from = retained.Oldest
			r.loop.postUnbounded(func() { r.onGap(retained.Oldest) })
		case errors.Is(err, context.Canceled):
			wait = 0 // interrupted
		case err != nil:
			pacer.AfterFailure(ctx, err)
		default:
			from = page.Next
			r.deliver(page, started)
			pacer.AfterSuccess(ctx, len(page.Records), wait, r.now()-started)
			// A page may be cut short anywhere. Only a read that finds nothing shows
			// the end, so a read that finds records is followed by one that doesn't
			// wait.
			wait = logReadWait
			if len(page.Records) > 0 {
				wait = 0
			}
		}
	}
}

func (r *logReader) read(ctx context.Context, from uint64, wait time.Duration) (platform.Page, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-r.interrupt:
			stop()
		case <-done:
		}
	}()
	page, err := r.log.Read(ctx, r.stream, from, platform.MaxPageRecords, wait)
	if err != nil && ctx.Err() != nil {
		return page, context.Canceled
	}
	return page, err
}

func (r *logReader) deliver(page platform.Page, started time.Duration) {
	r.loop.postUnbounded(func() {
		r.onOldest(page.Oldest)
		for _, rec := range page.Records {
			r.onRecord(rec.Offset, rec.Data)
		}
		if len(page.Records) == 0 {
			r.onCaughtUp(started)
		}
	})
}
