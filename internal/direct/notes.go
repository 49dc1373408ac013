package direct

import (
	"context"

	"skylarklead/internal/rollout"
)

// publish writes notes of a model; this entry heeds them at once, its peers when their datagram
// comes.
func (r *rollouts) publish(ctx context.Context, model string, notes []rollout.Record) {
	records := make([][]byte, len(notes))
	for i := range notes {
		envelope := rollout.Envelope{Rollout: &notes[i]}
		records[i] = envelope.Encode()
		r.applyRecord(&notes[i])
	}
	r.entry.peers.tell(notes)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if _, err := r.entry.platform.Store.Append(ctx, topicEntries, nil, records); err != nil {
		r.entry.tel.Log.Warn("notes not written", "model", model, "notes", len(notes), "error", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range notes {
		r.cores[model].RecordPublished(notes[i].Replica, r.entry.clock.now())
	}
	r.trigger()
}
