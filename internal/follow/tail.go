package follow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"skylarklead/internal/config"
	"skylarklead/internal/platform"
)

// snapshotBatch is how many parts of a snapshot go into one append.
const snapshotBatch = 4

var errNoSnapshot = errors.New("follow: the log's oldest records are gone and it has no snapshot")

// tail reads the log. It belongs to one goroutine.
type tail struct {
	f         *Follower
	state     *config.State
	schedule  *config.SnapshotSchedule
	assembler config.Assembler
	caughtUp  bool
	backoff   time.Duration
}

func newTail(f *Follower) *tail {
	return &tail{
		f:        f,
		state:    config.NewState(),
		schedule: config.NewSnapshotSchedule(f.opts.Retention, f.now(), f.rank()),
		backoff:  minPause,
	}
}

func (t *tail) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := t.step(ctx)
		if ctx.Err() != nil {
			return
		}
		t.note(err)
		if err != nil {
			pause(ctx, t.backoff/2+rand.N(t.backoff))
			t.backoff = min(2*t.backoff, maxPause)
			continue
		}
		t.backoff = minPause
		t.writeSnapshot(ctx)
	}
}

// note records whether the log answers and logs each change of that.
func (t *tail) note(err error) {
	up := err == nil
	if t.f.logUp.Swap(up) == up && up {
		return
	}
	if up {
		t.f.opts.Logger.Info("log reached", "stream", Stream)
		return
	}
	t.f.opts.Logger.Warn("log not read", "stream", Stream, "error", err)
}

// step reads one page, or starts again from a snapshot.
func (t *tail) step(ctx context.Context) error {
	t.takeNewer()
	from := t.state.Offset + 1
	page, err := t.f.opts.Log.Read(ctx, Stream, from, platform.MaxPage, t.wait())
	var retained *platform.RetainedError
	if errors.As(err, &retained) {
		return t.restore(ctx, retained.Oldest)
	}
	if err != nil {
		return err
	}
	t.apply(page.Records)
	if len(page.Records) > 0 && !t.caughtUp {
		return nil
	}
	// At the start nothing is handed out before the end of the log is seen: a
	// state from halfway would be served as if it were in force.
	t.caughtUp = true
	t.f.adopt(t.state, SourceLog)
	if len(page.Records) == 0 {
		t.schedule.CaughtUp(t.state.Offset, t.f.now())
	}
	return nil
}

// wait is how long a read waits: not at all until the log's end was seen.
func (t *tail) wait() time.Duration {
	if !t.caughtUp {
		return 0
	}
	if t.state.Offset == 0 {
		return logWait // nothing to write a snapshot of
	}
	return min(logWait, max(t.schedule.Due()-t.f.now(), minPause))
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
	entries := make([]config.Entry, len(records))
	for i, r := range records {
		entries[i] = config.Entry{Offset: r.Offset, Data: r.Data}
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

func (t *tail) seeSnapshot(v config.Verdict) *config.Snapshot {
	if v.Reason != config.ReasonSnapshot {
		return nil
	}
	snapshot, err := t.assembler.Add(v.Record)
	if err != nil {
		t.f.opts.Logger.Warn("bad snapshot on the log", "error", err)
		return nil
	}
	if snapshot != nil {
		t.schedule.Saw(snapshot.AsOf)
	}
	return snapshot
}

// restore starts again where retention has taken records that weren't read yet:
// from the newest snapshot that the log still continues.
func (t *tail) restore(ctx context.Context, oldest uint64) error {
	records, err := readAll(ctx, t.f.opts.Log, oldest)
	if err != nil {
		return err
	}
	snapshot := newestSnapshot(records, oldest)
	if snapshot == nil {
		return fmt.Errorf("%w: oldest is %d, needed is %d", errNoSnapshot, oldest, t.state.Offset+1)
	}
	restored, err := t.state.Merge(snapshot.Data)
	if err != nil {
		return err
	}
	t.f.opts.Logger.Info("configuration restored from a snapshot", "as_of", snapshot.AsOf, "oldest", oldest)
	t.state = restored
	t.apply(records)
	t.caughtUp = true
	t.f.adopt(t.state, SourceLog)
	return nil
}

// newestSnapshot returns the newest whole snapshot which the log, from oldest on,
// continues without a gap; nil if there is none.
func newestSnapshot(records []platform.Record, oldest uint64) *config.Snapshot {
	var assembler config.Assembler
	var newest *config.Snapshot
	for _, r := range records {
		record, err := config.ParseRecord(r.Data, Stream)
		if err != nil || record.Kind != config.KindSnapshot {
			continue
		}
		snapshot, err := assembler.Add(record)
		if err != nil || snapshot == nil || snapshot.AsOf+1 < oldest {
			continue
		}
		if _, err := snapshot.Decode(); err != nil {
			continue
		}
		if newest == nil || snapshot.AsOf > newest.AsOf {
			newest = snapshot
		}
	}
	return newest
}

// writeSnapshot appends one if it is due. A lost answer is no matter: if the
// parts aren't met on the log, the next try writes them again.
func (t *tail) writeSnapshot(ctx context.Context) {
	now := t.f.now()
	if !t.caughtUp || t.state.Offset == 0 || now < t.schedule.Due() {
		return
	}
	t.schedule.Wrote(now)
	id := fmt.Sprintf("%s-%016x", t.f.opts.Process, rand.Uint64())
	records, err := config.SnapshotRecords(t.state, id)
	for len(records) > 0 && err == nil {
		n := min(snapshotBatch, len(records))
		_, err = t.f.opts.Log.Append(ctx, Stream, records[:n])
		records = records[n:]
	}
	t.f.opts.Logger.Info("snapshot written", "as_of", t.state.Offset, "id", id, "error", err)
}
