package follow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"skylarklead/internal/config"
	"skylarklead/internal/platform"
)

const (
	// SnapshotStream is the log's stream of snapshots. Only a start that finds the
	// configuration's first records gone reads it; on the stream that everyone
	// follows each snapshot went to every process of the fleet.
	SnapshotStream = "config.snapshots"
	// snapshotBatch is how many parts of a snapshot go into one append.
	snapshotBatch = 4
	// snapshotPage is how many parts are read at once. A page of as many records
	// as the configuration's could be longer than an answer may be.
	snapshotPage = 32
)

var errNoSnapshot = errors.New("follow: the log's oldest records are gone and it has no snapshot")

// snapshots is the schedule of a Follower's snapshots, safe for concurrent use:
// the tail goes by it, peers add to it and are told of it.
type snapshots struct {
	mu       sync.Mutex
	schedule *config.SnapshotSchedule
}

func (s *snapshots) with(use func(*config.SnapshotSchedule)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	use(s.schedule)
}

func (s *snapshots) due() (at time.Duration) {
	s.with(func(c *config.SnapshotSchedule) { at = c.NextWrite() })
	return at
}

func (s *snapshots) left(now time.Duration) (left time.Duration) {
	s.with(func(c *config.SnapshotSchedule) { left = c.FreshFor(now) })
	return left
}

func (s *snapshots) told(left, now time.Duration) {
	s.with(func(c *config.SnapshotSchedule) { c.ObservePeer(left, now) })
}

func (s *snapshots) caughtUp(offset uint64, at time.Duration) {
	s.with(func(c *config.SnapshotSchedule) { c.ObserveLogEnd(offset, at) })
}

func (s *snapshots) saw(asOf uint64) {
	s.with(func(c *config.SnapshotSchedule) { c.ObserveSnapshot(asOf) })
}

func (s *snapshots) wrote(at time.Duration) {
	s.with(func(c *config.SnapshotSchedule) { c.RecordWrite(at) })
}

// seeSnapshot notes a snapshot that the log tells of: by its mark, or by its parts
// if an older build wrote it.
func (t *tail) seeSnapshot(v config.Verdict) {
	if v.Reason != config.ReasonSnapshot {
		return
	}
	if mark, ok := v.Record.SnapshotMarker(); ok {
		t.f.snapshots.saw(mark.AsOf)
		return
	}
	snapshot, err := t.assembler.Add(v.Record)
	if err != nil {
		t.f.opts.Logger.Warn("bad snapshot on the log", "error", err)
		return
	}
	if snapshot != nil {
		t.f.snapshots.saw(snapshot.AsOf)
	}
}

// restore starts again where retention has taken records that weren't read yet:
// from the newest snapshot that the log still continues.
func (t *tail) restore(ctx context.Context, oldest uint64) error {
	records, snapshot, err := readContinued(ctx, t.f.opts.Log, oldest)
	if err != nil {
		return err
	}
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

// readContinued reads the configuration's log from oldest to its end, and the
// newest snapshot that this continues; nil if there is none.
func readContinued(ctx context.Context, log Log, oldest uint64) ([]platform.Record, *config.Snapshot, error) {
	records, err := readAll(ctx, log, Stream, oldest, platform.MaxPageRecords)
	if err != nil {
		return nil, nil, err
	}
	parts, err := readKept(ctx, log, SnapshotStream, snapshotPage)
	if err != nil {
		return nil, nil, err
	}
	return records, newestSnapshot(slices.Concat(records, parts), oldest), nil
}

// readKept reads all that a stream keeps.
func readKept(ctx context.Context, log Log, stream string, page int) ([]platform.Record, error) {
	records, err := readAll(ctx, log, stream, 1, page)
	var retained *platform.OffsetExpiredError
	if errors.As(err, &retained) {
		return readAll(ctx, log, stream, retained.Oldest, page)
	}
	return records, err
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

// writeSnapshot appends one if it is due. A lost answer is no matter: if its mark
// isn't met on the log, the next try writes it again.
func (t *tail) writeSnapshot(ctx context.Context) {
	now := t.f.now()
	if !t.caughtUp || t.state.Offset == 0 || now < t.f.snapshots.due() {
		return
	}
	t.f.snapshots.wrote(now)
	id := fmt.Sprintf("%s-%016x", t.f.opts.ProcessName, rand.Uint64())
	err := appendSnapshot(ctx, t.f.opts.Log, t.state, id)
	t.f.opts.Logger.Info("snapshot written", "as_of", t.state.Offset, "id", id, "error", err)
}

// appendSnapshot appends all parts, and then the mark. A mark that came first would
// keep all others from writing though the writer may die on the way.
func appendSnapshot(ctx context.Context, log Log, s *config.State, id string) error {
	records, err := config.SnapshotRecords(s, id)
	if err != nil {
		return err
	}
	for batch := range slices.Chunk(records, snapshotBatch) {
		if _, err := log.Append(ctx, SnapshotStream, batch); err != nil {
			return fmt.Errorf("follow: append snapshot: %w", err)
		}
	}
	mark, err := config.SnapshotMarker{AsOf: s.Offset, ID: id}.Encode()
	if err != nil {
		return err
	}
	if _, err := log.Append(ctx, Stream, [][]byte{mark}); err != nil {
		return fmt.Errorf("follow: append snapshot mark: %w", err)
	}
	return nil
}
