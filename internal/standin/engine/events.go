package engine

import (
	"time"

	api "skylarklead/internal/engine"
	"skylarklead/internal/prefix"
)

// loggedEvent is a cache event and the time from which readers may see it.
type loggedEvent struct {
	event     api.CacheEvent
	visibleAt time.Time
	// dropped events are only delivered in a replay.
	dropped bool
}

// eventLog holds the cache events of one incarnation. A dropped event uses up a
// sequence number, so that a reader can detect the gap.
type eventLog struct {
	lastSeq  uint64
	buffer   []loggedEvent
	dropNext int
	changed  chan struct{}
}

func newEventLog() *eventLog { return &eventLog{changed: make(chan struct{})} }

func (e *Engine) publishEvent(kind api.EventType, hashes []prefix.Hash) {
	log := e.events
	log.lastSeq++
	dropped := e.shouldDropEvent()
	if dropped && !e.settings.ReplayDropped {
		return
	}
	log.buffer = append(log.buffer, loggedEvent{
		event: api.CacheEvent{
			Seq:         log.lastSeq,
			Incarnation: e.incarnation,
			Weights:     e.orders.state.Version,
			Type:        kind,
			Hashes:      hashes,
		},
		visibleAt: time.Now().Add(milliseconds(e.settings.EventDelayMs)),
		dropped:   dropped,
	})
	if excess := len(log.buffer) - e.settings.EventBuffer; excess > 0 {
		log.buffer = log.buffer[excess:]
	}
	close(log.changed)
	log.changed = make(chan struct{})
}

func (e *Engine) shouldDropEvent() bool {
	if e.events.dropNext > 0 {
		e.events.dropNext--
		return true
	}
	return e.settings.EventDrop > 0 && e.random.Float64() < e.settings.EventDrop
}

// eventReader reads an event log from a sequence number on.
type eventReader struct {
	log     *eventLog
	nextSeq uint64
	// firstLiveSeq is the first sequence number that wasn't assigned yet when
	// reading began: events before it are a replay.
	firstLiveSeq uint64
}

// newEventReader returns a reader that starts at a sequence number. A number that
// the log hasn't reached is of another incarnation, so the whole buffer is
// replayed.
func (e *Engine) newEventReader(from uint64) *eventReader {
	e.mu.Lock()
	defer e.mu.Unlock()
	if from > e.events.lastSeq+1 {
		from = 1
	}
	return &eventReader{log: e.events, nextSeq: from, firstLiveSeq: e.events.lastSeq + 1}
}

// pollEvents returns the events that are visible now. The caller polls again when
// changed is closed or after recheckAfter, whichever is first.
func (e *Engine) pollEvents(r *eventReader, now time.Time) (ready []api.CacheEvent, changed <-chan struct{}, recheckAfter time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	recheckAfter = time.Hour
	if frozen := e.frozenUntil.Sub(now); frozen > 0 {
		return nil, nil, frozen
	}
	for _, entry := range r.log.buffer {
		if entry.event.Seq < r.nextSeq {
			continue
		}
		if remaining := entry.visibleAt.Sub(now); remaining > 0 {
			recheckAfter = remaining
			break
		}
		r.nextSeq = entry.event.Seq + 1
		if !entry.dropped || entry.event.Seq < r.firstLiveSeq {
			ready = append(ready, entry.event)
		}
	}
	return ready, r.log.changed, recheckAfter
}
