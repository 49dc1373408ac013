package telemetry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"skylarklead/internal/protocol"
)

// decisionRingSize is the capacity of the ring that answers protocol.ExplainRequest.
// At the target rate of 3 requests a second per entry it covers some minutes.
const decisionRingSize = 1024

// The kinds of decision, as in protocol.DecisionRecord.Kind.
const (
	// KindRoute is an owner's choice of an executor.
	KindRoute = "route"
	// KindRequest is an entry's summary of a request that has ended.
	KindRequest = "request"
	// KindRun is an executor's summary of an attempt that has ended.
	KindRun = "run"
	// KindImport is an executor's summary of an import of cache blocks.
	KindImport = "import"
	// KindPlacement is an order to an engine, such as to load weights.
	KindPlacement = "placement"
)

// Decisions logs each routing or placement decision and keeps the last
// decisionRingSize of them. It is safe for concurrent use.
type Decisions struct {
	log     *slog.Logger
	process string

	mu   sync.Mutex
	ring []timedRecord
	// next is the index of the oldest record once the ring is full, 0 before.
	next int
}

type timedRecord struct {
	record protocol.DecisionRecord
	at     time.Time
}

// NewDecisions returns an empty record of the decisions of process.
func NewDecisions(log *slog.Logger, process string) *Decisions {
	return &Decisions{log: log, process: process, ring: make([]timedRecord, 0, decisionRingSize)}
}

// Record logs and keeps a decision. It sets rec.Process.
func (d *Decisions) Record(rec protocol.DecisionRecord) {
	rec.Process = d.process
	d.remember(rec)
	d.logDecision(rec)
}

func (d *Decisions) remember(rec protocol.DecisionRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry := timedRecord{record: rec, at: time.Now()}
	if len(d.ring) < cap(d.ring) {
		d.ring = append(d.ring, entry)
		return
	}
	d.ring[d.next] = entry
	d.next = (d.next + 1) % len(d.ring)
}

func (d *Decisions) logDecision(rec protocol.DecisionRecord) {
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

// Explain returns the kept decisions about a request, oldest first, with their ages.
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
