package direct

import (
	"context"

	"skylarklead/internal/rollout"
)

// publish applies rollout records of a model to this entry at once, sends them to the peers, which
// apply them on arrival, and appends them to the entries' topic.
func (r *rollouts) publish(ctx context.Context, model string, records []rollout.Record) {
	encoded := make([][]byte, len(records))
	for i := range records {
		envelope := rollout.Envelope{Rollout: &records[i]}
		encoded[i] = envelope.Encode()
		r.applyRecord(&records[i])
	}
	r.entry.peers.sendRolloutRecords(records)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if _, err := r.entry.platform.Store.Append(ctx, topicEntries, nil, encoded); err != nil {
		r.entry.tel.Log.Warn("rollout records not written to the store", "model", model, "notes", len(records), "error", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range records {
		r.cores[model].RecordPublished(records[i].Replica, r.entry.clock.now())
	}
	r.trigger()
}
