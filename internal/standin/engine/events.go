package engine

import (
	"time"

	api "skylarklead/internal/engine"
	"skylarklead/internal/prefix"
)

// loggedEvent is a cache event and when it may be seen.
type loggedEvent struct {
	event     api.CacheEvent
	visibleAt time.Time
	// dropped events are only seen in a replay.
	dropped bool
}

// eventLog has the cache events of one incarnation. Dropped events use up a
// sequence number, so that a reader can see the gap.
type eventLog struct {
	last     uint64
	buffer   []loggedEvent
	dropNext int
	changed  chan struct{}
}

func newEventLog() *eventLog { return &eventLog{changed: make(chan struct{})} }

func (e *Engine) publish(kind api.EventType, hashes []prefix.Hash) {
	log := e.events
	log.last++
	dropped := e.drops()
	if dropped && !e.settings.ReplayDropped {
		return
	}
	log.buffer = append(log.buffer, loggedEvent{
		event: api.CacheEvent{
			Seq:         log.last,
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

func (e *Engine) drops() bool {
	if e.events.dropNext > 0 {
		e.events.dropNext--
		return true
	}
	return e.settings.EventDrop > 0 && e.random.Float64() < e.settings.EventDrop
}

// eventReader follows an event log from a sequence number on.
type eventReader struct {
	log  *eventLog
	next uint64
	// live is the first number that wasn't there yet when reading began: events
	// before it are a replay.
	live uint64
}

// readEvents begins to follow the log. A number that the log hasn't reached is
// of another incarnation: everything there is gets replayed.
func (e *Engine) readEvents(from uint64) *eventReader {
	e.mu.Lock()
	defer e.mu.Unlock()
	if from > e.events.last+1 {
		from = 1
	}
	return &eventReader{log: e.events, next: from, live: e.events.last + 1}
}

// poll returns the events that are now visible, and when to look again: at a
// change or after a time, whichever is first.
func (e *Engine) poll(r *eventReader, now time.Time) (ready []api.CacheEvent, changed <-chan struct{}, after time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	after = time.Hour
	if frozen := e.frozenUntil.Sub(now); frozen > 0 {
		return nil, nil, frozen
	}
	for _, logged := range r.log.buffer {
		if logged.event.Seq < r.next {
			continue
		}
		if wait := logged.visibleAt.Sub(now); wait > 0 {
			after = wait
			break
		}
		r.next = logged.event.Seq + 1
		if !logged.dropped || logged.event.Seq < r.live {
			ready = append(ready, logged.event)
		}
	}
	return ready, r.log.changed, after
}
