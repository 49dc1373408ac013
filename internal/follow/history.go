package follow

import (
	"context"
	"errors"
	"fmt"

	"skylarklead/internal/config"
	"skylarklead/internal/platform"
)

// History is all that the log has of the configuration.
type History struct {
	// Base is the state before the first record that can be judged: an empty one, or that
	// of a snapshot.
	Base *config.State
	// Records are all records that the log retains. Those at or before Base's offset can't
	// be judged any more.
	Records []config.LogEntry
	// State is the state after the last record.
	State *config.State
	// Verdicts correspond to Records; those that can't be judged have no Reason.
	Verdicts []config.Verdict
}

// ReadLog reads the complete log once.
func ReadLog(ctx context.Context, log Log) (*History, error) {
	h := &History{Base: config.NewState()}
	records, err := readAll(ctx, log, Stream, 1, platform.MaxPageRecords)
	var retained *platform.OffsetExpiredError
	var snapshot *config.Snapshot
	if errors.As(err, &retained) {
		records, snapshot, err = readLogAndSnapshot(ctx, log, retained.Oldest)
	}
	if err != nil {
		return nil, err
	}
	if retained != nil {
		if snapshot == nil {
			return nil, fmt.Errorf("%w: oldest offset is %d", errNoSnapshot, retained.Oldest)
		}
		if h.Base, err = snapshot.Decode(); err != nil {
			return nil, err
		}
	}
	h.judge(records)
	return h, nil
}

// ReadSince reads the records of the log after a state.
func ReadSince(ctx context.Context, log Log, s *config.State) (*History, error) {
	records, err := readAll(ctx, log, Stream, s.Offset+1, platform.MaxPageRecords)
	if err != nil {
		return nil, err
	}
	h := &History{Base: s}
	h.judge(records)
	return h, nil
}

func (h *History) judge(records []platform.Record) {
	for _, r := range records {
		h.Records = append(h.Records, config.LogEntry{Offset: r.Offset, Data: r.Data})
	}
	h.State, h.Verdicts = h.Base.ApplyAll(h.Records)
	for i, e := range h.Records {
		if e.Offset <= h.Base.Offset {
			h.Verdicts[i] = config.Verdict{}
		}
	}
}

// readAll reads a stream from an offset to its end, limit records per request.
func readAll(ctx context.Context, log Log, stream string, from uint64, limit int) ([]platform.Record, error) {
	var all []platform.Record
	for {
		page, err := log.Read(ctx, stream, from, limit, 0)
		if err != nil {
			return nil, err
		}
		if len(page.Records) == 0 {
			return all, nil
		}
		all = append(all, page.Records...)
		from = page.Next
	}
}
