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
	// SnapshotStream is the log stream of snapshots. It is read only at a start that finds the
	// first records of the configuration gone; on the stream that everyone follows, each snapshot
	// would go to every process of the fleet.
	SnapshotStream = "config.snapshots"
	// snapshotBatch is how many parts of a snapshot are appended at once.
	snapshotBatch = 4
	// snapshotPage is how many parts are read at once. A page with as many records as one of the
	// configuration stream could exceed the maximum size of an answer.
	snapshotPage = 32
)

var errNoSnapshot = errors.New("follow: the log's oldest records are gone and it has no snapshot")

// snapshots is the schedule of a Follower's snapshots, safe for concurrent use: the tail follows
// it, and it is exchanged with peers.
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

func (s *snapshots) freshFor(now time.Duration) (left time.Duration) {
	s.with(func(c *config.SnapshotSchedule) { left = c.FreshFor(now) })
	return left
}

func (s *snapshots) peerReported(left, now time.Duration) {
	s.with(func(c *config.SnapshotSchedule) { c.ObservePeer(left, now) })
}

func (s *snapshots) caughtUp(offset uint64, at time.Duration) {
	s.with(func(c *config.SnapshotSchedule) { c.ObserveLogEnd(offset, at) })
}

func (s *snapshots) observed(asOf uint64) {
	s.with(func(c *config.SnapshotSchedule) { c.ObserveSnapshot(asOf) })
}

func (s *snapshots) written(at time.Duration) {
	s.with(func(c *config.SnapshotSchedule) { c.RecordWrite(at) })
}

// observeSnapshot records a snapshot that is mentioned on the configuration stream: by its marker,
// or by its parts if an older build wrote it.
func (t *tail) observeSnapshot(v config.Verdict) {
	if v.Reason != config.ReasonSnapshot {
		return
	}
	if marker, ok := v.Record.SnapshotMarker(); ok {
		t.f.snapshots.observed(marker.AsOf)
		return
	}
	snapshot, err := t.assembler.Add(v.Record)
	if err != nil {
		t.f.opts.Logger.Warn("malformed snapshot on the configuration log", "error", err)
		return
	}
	if snapshot != nil {
		t.f.snapshots.observed(snapshot.AsOf)
	}
}

// restore continues after records that retention removed before they were read: from the newest
// snapshot that the log continues without a gap.
func (t *tail) restore(ctx context.Context, oldest uint64) error {
	records, snapshot, err := readLogAndSnapshot(ctx, t.f.opts.Log, oldest)
	if err != nil {
		return err
	}
	if snapshot == nil {
		return fmt.Errorf("%w: oldest offset is %d, next offset needed is %d", errNoSnapshot, oldest, t.state.Offset+1)
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

// readLogAndSnapshot reads the configuration's log from oldest to its end, and the newest snapshot
// that these records continue, nil if there is none.
func readLogAndSnapshot(ctx context.Context, log Log, oldest uint64) ([]platform.Record, *config.Snapshot, error) {
	records, err := readAll(ctx, log, Stream, oldest, platform.MaxPageRecords)
	if err != nil {
		return nil, nil, err
	}
	parts, err := readRetained(ctx, log, SnapshotStream, snapshotPage)
	if err != nil {
		return nil, nil, err
	}
	return records, newestSnapshot(slices.Concat(records, parts), oldest), nil
}

// readRetained reads all records that a stream retains.
func readRetained(ctx context.Context, log Log, stream string, page int) ([]platform.Record, error) {
	records, err := readAll(ctx, log, stream, 1, page)
	var retained *platform.OffsetExpiredError
	if errors.As(err, &retained) {
		return readAll(ctx, log, stream, retained.Oldest, page)
	}
	return records, err
}

// newestSnapshot returns the newest complete snapshot that the log, from oldest on, continues
// without a gap, nil if there is none.
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

// writeSnapshot appends a snapshot if one is due. A lost answer does no harm: if the snapshot's
// marker doesn't show up on the log, the next attempt writes it again.
func (t *tail) writeSnapshot(ctx context.Context) {
	now := t.f.now()
	if !t.caughtUp || t.state.Offset == 0 || now < t.f.snapshots.due() {
		return
	}
	t.f.snapshots.written(now)
	id := fmt.Sprintf("%s-%016x", t.f.opts.ProcessName, rand.Uint64())
	err := appendSnapshot(ctx, t.f.opts.Log, t.state, id)
	t.f.opts.Logger.Info("snapshot written", "as_of", t.state.Offset, "id", id, "error", err)
}

// appendSnapshot appends all parts, and then the marker. If the marker came first, it would keep all
// others from writing a snapshot although the writer may die before it is complete.
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
	marker, err := config.SnapshotMarker{AsOf: s.Offset, ID: id}.Encode()
	if err != nil {
		return err
	}
	if _, err := log.Append(ctx, Stream, [][]byte{marker}); err != nil {
		return fmt.Errorf("follow: append snapshot marker: %w", err)
	}
	return nil
}
