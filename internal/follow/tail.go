package follow

import (
	"context"
	"errors"
	"time"

	"skylarklead/internal/config"
	"skylarklead/internal/platform"
)

// tail reads the log. It is used by one goroutine only.
type tail struct {
	f     *Follower
	state *config.State
	// assembler collects snapshots of older builds, which are on the configuration stream itself.
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

// step reads one page, or continues from a snapshot.
func (t *tail) step(ctx context.Context, wait time.Duration) (platform.Page, error) {
	t.takePeerState()
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
	// At the start no state is provided before the end of the log is reached: an intermediate
	// state would be served as if it were in force.
	t.caughtUp = true
	t.f.adopt(t.state, SourceLog)
	if len(page.Records) == 0 {
		t.f.snapshots.caughtUp(t.state.Offset, t.f.now())
	}
	return page, nil
}

// wait is the long-poll wait of the next read: 0 until the end of the log was reached.
func (t *tail) wait() time.Duration {
	if !t.caughtUp {
		return 0
	}
	if t.state.Offset == 0 {
		return logWait // there is nothing to snapshot yet
	}
	return min(logWait, max(t.f.snapshots.due()-t.f.now(), minInterval))
}

// takePeerState continues from a newer state that peers have provided meanwhile.
func (t *tail) takePeerState() {
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
		t.observeSnapshot(v)
	}
}

func (t *tail) logVerdict(offset uint64, v config.Verdict) {
	if v.Reason == config.ReasonSnapshot || v.Reason == config.ReasonOldOffset || !t.caughtUp {
		return
	}
	t.f.opts.Logger.Info("configuration record", "offset", offset, "record", v.Record.Name(),
		"accepted", v.Accepted, "reason", string(v.Reason), "detail", v.Detail, "operator", v.Record.Operator)
}
