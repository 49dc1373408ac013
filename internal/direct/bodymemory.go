package direct

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// bodyWaitDivisor is the divisor of a request's remaining time that gives how long its body may be
	// left unread for want of memory, maxBodyWait the most: callers give up entries that don't read
	// sooner than those that refuse.
	bodyWaitDivisor = 4
	maxBodyWait     = 750 * time.Millisecond
)

// bodyMemory is the memory for the bodies of callers' requests. It is safe for concurrent use.
//
// Bodies whose answers have begun are only needed if the answer breaks off and the request may go on
// elsewhere. They stay as long as there is room, and are dropped, the oldest first, for bodies that have
// yet to be read.
type bodyMemory struct {
	free *semaphore.Weighted

	// onDrop is called for each body that is dropped for others, with mu held.
	onDrop func()

	mu sync.Mutex
	// spare are the bodies that may be dropped, the oldest first, waiting is how many bodies wait for
	// memory.
	spare   []*requestBody
	waiting int
}

func newBodyMemory(capacity int64, onDrop func()) *bodyMemory {
	return &bodyMemory{free: semaphore.NewWeighted(capacity), onDrop: onDrop}
}

// acquire reserves memory for a part of a body, waiting for it until the time is over or ctx ends. It
// reports whether there was any in time.
func (m *bodyMemory) acquire(ctx context.Context, size int64, wait time.Duration) bool {
	if m.free.TryAcquire(size) {
		return true
	}
	m.mu.Lock()
	for len(m.spare) > 0 {
		m.onDrop()
		m.drop(m.spare[0])
		if m.free.TryAcquire(size) {
			m.mu.Unlock()
			return true
		}
	}
	m.waiting++
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		m.waiting--
		m.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return m.free.Acquire(ctx, size) == nil
}

// reserve reserves memory for an answer that is held back. It reports false if there is none now.
func (m *bodyMemory) reserve(size int64) bool { return m.free.TryAcquire(size) }

// giveBack gives back what reserve reserved.
func (m *bodyMemory) giveBack(size int64) { m.free.Release(size) }

// offer says that a body is needed only if its answer breaks off.
func (m *bodyMemory) offer(b *requestBody) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b.reserved == 0 {
		return
	}
	m.spare = append(m.spare, b)
	if m.waiting > 0 {
		m.onDrop()
		m.drop(b)
	}
}

// keep says that a body is needed again. It reports false if the body was dropped.
func (m *bodyMemory) keep(b *requestBody) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unlist(b)
	return !b.dropped
}

// release gives back the memory of a body that isn't needed any more.
func (m *bodyMemory) release(b *requestBody) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drop(b)
}

// drop gives back the memory of a body. The caller holds mu.
func (m *bodyMemory) drop(b *requestBody) {
	m.unlist(b)
	m.free.Release(b.reserved)
	b.dropped = b.dropped || b.reserved > 0
	b.pieces, b.reserved = nil, 0
}

// unlist removes a body from those that may be dropped. The caller holds mu.
func (m *bodyMemory) unlist(b *requestBody) {
	if i := slices.Index(m.spare, b); i >= 0 {
		m.spare = slices.Delete(m.spare, i, i+1)
	}
}
