package endpoint

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"skylarklead/internal/platform"
)

const (
	// logWait is how long one read of a log stream waits for a record. It bounds
	// how old "nothing new" may be, so it stays below attempt.OnceParams.FreshFor.
	logWait = 4 * time.Second
	// maxLogPause bounds the pause after a failed read: calls with a key wait for it
	// at an outage's end.
	maxLogPause = 2 * time.Second
)

// logReader follows one stream of the platform's log for the loop. It tells when a
// read has reached the end, and goes on past what retention took.
type logReader struct {
	log    *platform.Log
	stream string
	loop   *mailbox
	now    func() time.Duration
	logger *slog.Logger

	// These are called on the loop. caughtUp is told when the read began that
	// found nothing more.
	record   func(offset uint64, data []byte)
	caughtUp func(started time.Duration)
	gap      func(oldest uint64)
	oldest   func(offset uint64)

	poke chan struct{}
}

// readNow ends the present wait, for a reader that has to know the stream's end.
func (r *logReader) readNow() {
	select {
	case r.poke <- struct{}{}:
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
			r.loop.must(func() { r.gap(retained.Oldest) })
		case errors.Is(err, context.Canceled):
			wait = 0 // poked
		case err != nil:
			pacer.AfterFailure(ctx, err)
		default:
			from = page.Next
			r.deliver(page, started)
			pacer.AfterSuccess(ctx, len(page.Records), wait, r.now()-started)
			// A page may be cut short anywhere. Only a read that finds nothing
			// shows the end, so one without a wait follows each that finds some.
			wait = logWait
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
		case <-r.poke:
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
	r.loop.must(func() {
		r.oldest(page.Oldest)
		for _, rec := range page.Records {
			r.record(rec.Offset, rec.Data)
		}
		if len(page.Records) == 0 {
			r.caughtUp(started)
		}
	})
}
