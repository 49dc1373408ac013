package direct

import (
	"context"
	"sync"
	"time"

	"skylarklead/internal/rollout"
)

// notesPause is how long notes may wait to be written that no order waits for: peers have them
// from a datagram, and one that lost it refuses or repeats little in that time. Written with the
// next order's they cost no call of their own, which halves the calls of a rollout.
const notesPause = 250 * time.Millisecond

// noteQueue has the notes that are to be written.
type noteQueue struct {
	wake chan struct{}

	mu    sync.Mutex
	notes []rollout.Note
	// urgent is set while an order waits for one of them.
	urgent bool
}

// add takes notes.
func (q *noteQueue) add(notes []rollout.Note) {
	q.mu.Lock()
	q.notes = append(q.notes, notes...)
	for i := range notes {
		q.urgent = q.urgent || notes[i].Phase == rollout.PhaseOrdered
	}
	q.mu.Unlock()
	nudge(q.wake)
}

// hurried reports whether an order waits.
func (q *noteQueue) hurried() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.urgent
}

func (q *noteQueue) take() []rollout.Note {
	q.mu.Lock()
	defer q.mu.Unlock()
	notes := q.notes
	q.notes, q.urgent = nil, false
	return notes
}

// announce tells of notes: this entry heeds them at once, its peers when their datagram comes.
func (r *rollouts) announce(notes []rollout.Note) {
	for i := range notes {
		r.takeNote(&notes[i])
	}
	r.entry.peers.tell(notes)
	r.notes.add(notes)
}

// writeNotes writes notes until ctx ends. Those that come while others are being written are
// written together.
func (r *rollouts) writeNotes(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-r.notes.wake:
		}
		r.await(ctx, notesPause)
		if notes := r.notes.take(); len(notes) > 0 {
			r.write(ctx, notes)
		}
	}
}

// await returns once an order waits for a note, or after a time.
func (r *rollouts) await(ctx context.Context, most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	for !r.notes.hurried() {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-r.notes.wake:
		}
	}
}

func (r *rollouts) write(ctx context.Context, notes []rollout.Note) {
	records := make([][]byte, len(notes))
	for i := range notes {
		envelope := rollout.Envelope{Note: &notes[i]}
		records[i] = envelope.Encode()
	}
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if _, err := r.entry.platform.Store.Append(callCtx, topicEntries, nil, records); err != nil {
		r.entry.tel.Log.Warn("notes not written", "notes", len(notes), "error", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range notes {
		r.cores[notes[i].Model].Announced(notes[i].Replica, r.entry.clock.now())
	}
	r.poke()
}
