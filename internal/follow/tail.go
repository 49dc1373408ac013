package follow

import (
	"context"
	"errors"
	"time"

	"skylarklead/internal/config"
	"skylarklead/internal/platform"
)

// tail reads the log. It belongs to one goroutine.
type tail struct {
	f     *Follower
	state *config.State
	// assembler takes snapshots of older builds, which are on the log itself.
	assembler config.Assembler
	caughtUp  bool
	pacer     platform.Pacer
}

func newTail(f *Follower) *tail {
	return &tail{
		f: f, state: config.NewState(),
		pacer: platform.Pacer{Logger: f.opts.Logger, Stream: Stream},
	}
}

func (t *tail) run(ctx context.Context) {
	t.f.awaitPeers(ctx)
	for ctx.Err() == nil {
		began, wait := t.f.now(), t.wait()
		page, err := t.step(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		t.f.logUp.Store(err == nil)
		if err != nil {
			t.pacer.AfterFailure(ctx, err)
			continue
		}
		t.writeSnapshot(ctx)
		t.pacer.AfterSuccess(ctx, len(page.Records), wait, t.f.now()-began)
	}
}

// step reads one page, or starts again from a snapshot.
func (t *tail) step(ctx context.Context, wait time.Duration) (platform.Page, error) {
	t.takeNewer()
	from := t.state.Offset + 1
	page, err := t.f.opts.Log.Read(ctx, Stream, from, platform.MaxPageRecords, wait)
	var retained *platform.OffsetExpiredError
	if errors.As(err, &retained) {
		return page, t.restore(ctx, retained.Oldest)
	}
	if err != nil {
		return page, err
	}
	t.apply(page.Records)
	if len(page.Records) > 0 && !t.caughtUp {
		return page, nil
	}
	// At the start nothing is handed out before the end of the log is seen: a
	// state from halfway would be served as if it were in force.
	t.caughtUp = true
	t.f.adopt(t.state, SourceLog)
	if len(page.Records) == 0 {
		t.f.snapshots.caughtUp(t.state.Offset, t.f.now())
	}
	return page, nil
}

// wait is how long a read waits: not at all until the log's end was seen.
func (t *tail) wait() time.Duration {
	if !t.caughtUp {
		return 0
	}
	if t.state.Offset == 0 {
		return logWait // nothing to write a snapshot of
	}
	return min(logWait, max(t.f.snapshots.due()-t.f.now(), minPause))
}

// takeNewer goes on from a state that peers have brought meanwhile.
func (t *tail) takeNewer() {
	if s := t.f.State(); s != nil && s.Offset > t.state.Offset {
		t.state = s
	}
}

func (t *tail) apply(records []platform.Record) {
	if len(records) == 0 {
		return
	}
	entries := make([]config.LogEntry, len(records))
	for i, r := range records {
		entries[i] = config.LogEntry{Offset: r.Offset, Data: r.Data}
	}
	next, verdicts := t.state.ApplyAll(entries)
	t.state = next
	for i, v := range verdicts {
		t.logVerdict(entries[i].Offset, v)
		t.seeSnapshot(v)
	}
}

func (t *tail) logVerdict(offset uint64, v config.Verdict) {
	if v.Reason == config.ReasonSnapshot || v.Reason == config.ReasonOldOffset || !t.caughtUp {
		return
	}
	t.f.opts.Logger.Info("configuration record", "offset", offset, "record", v.Record.Name(),
		"accepted", v.Accepted, "reason", string(v.Reason), "detail", v.Detail, "operator", v.Record.Operator)
}
