package telemetry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"skylarklead/internal/protocol"
)

// rememberedDecisions bounds the ring that answers protocol.ExplainRequest. At the
// target of letter 1 (3 requests a second an entry) it covers some minutes.
const rememberedDecisions = 1024

// The kinds of decision, as in protocol.DecisionRecord.Kind.
const (
	// KindRoute is an owner's choice of an executor.
	KindRoute = "route"
	// KindRequest is an entry's account of a request at its end.
	KindRequest = "request"
	// KindRun is an executor's account of an attempt at its end.
	KindRun = "run"
	// KindImport is an executor's account of an import of cache blocks.
	KindImport = "import"
	// KindPlacement is an order to an engine.
	KindPlacement = "placement"
)

// Decisions logs each routing or placement decision and remembers the last of
// them. It is safe for concurrent use.
type Decisions struct {
	log     *slog.Logger
	process string

	mu   sync.Mutex
	ring []remembered
	next int
}

type remembered struct {
	record protocol.DecisionRecord
	at     time.Time
}

// NewDecisions returns an empty memory of the process named.
func NewDecisions(log *slog.Logger, process string) *Decisions {
	return &Decisions{log: log, process: process, ring: make([]remembered, 0, rememberedDecisions)}
}

// Record logs and remembers a decision. Process is filled in.
func (d *Decisions) Record(rec protocol.DecisionRecord) {
	rec.Process = d.process
	d.remember(rec)
	d.write(rec)
}

func (d *Decisions) remember(rec protocol.DecisionRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry := remembered{record: rec, at: time.Now()}
	if len(d.ring) < cap(d.ring) {
		d.ring = append(d.ring, entry)
		return
	}
	d.ring[d.next] = entry
	d.next = (d.next + 1) % len(d.ring)
}

func (d *Decisions) write(rec protocol.DecisionRecord) {
	attrs := []slog.Attr{
		slog.String("kind", rec.Kind),
		slog.String("request", rec.Request),
		slog.String("organisation", rec.Organisation),
		slog.String("owner", rec.Owner),
		slog.String("executor", rec.Executor),
		slog.String("reason", rec.Reason),
		slog.Int("predicted_cached", rec.PredictedCached),
		slog.Int("actual_cached", rec.ActualCached),
	}
	if rec.Outcome != "" {
		attrs = append(attrs, slog.String("outcome", string(rec.Outcome)))
	}
	if rec.Donor != "" {
		attrs = append(attrs, slog.String("donor", rec.Donor))
	}
	if len(rec.Candidates) > 0 && d.log.Enabled(context.Background(), slog.LevelDebug) {
		attrs = append(attrs, slog.Any("candidates", rec.Candidates))
	}
	d.log.LogAttrs(context.Background(), slog.LevelInfo, "decision", attrs...)
}

// Explain returns the remembered decisions of a request, oldest first, with
// their ages in milliseconds.
func (d *Decisions) Explain(request string) []protocol.DecisionRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	var found []protocol.DecisionRecord
	for i := range d.ring {
		entry := d.ring[(d.next+i)%len(d.ring)]
		if entry.record.Request != request {
			continue
		}
		entry.record.AgeMs = time.Since(entry.at).Milliseconds()
		found = append(found, entry.record)
	}
	return found
}
