package endpoint

import (
	"context"
	"sync"
)

// maxMailbox bounds what waits for the loop. Sessions post without blocking, so
// a flood from a peer would otherwise fill memory.
const maxMailbox = 1 << 16

// mailbox is the queue of the loop. It is shared.
type mailbox struct {
	mu    sync.Mutex
	queue []func()
	wake  chan struct{}
}

func newMailbox() *mailbox { return &mailbox{wake: make(chan struct{}, 1)} }

// post queues f for the loop. It never blocks; it reports false, and drops f,
// when the queue is full.
func (m *mailbox) post(f func()) bool {
	m.mu.Lock()
	full := len(m.queue) >= maxMailbox
	if !full {
		m.queue = append(m.queue, f)
	}
	m.mu.Unlock()
	if full {
		return false
	}
	select {
	case m.wake <- struct{}{}:
	default:
	}
	return true
}

// must queues f whatever the length: the result of work that this process
// itself began, which is bounded where it began. To lose one would leave an
// attempt running for ever, seen as a drain that never ends.
func (m *mailbox) must(f func()) {
	m.mu.Lock()
	m.queue = append(m.queue, f)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *mailbox) take() []func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	batch := m.queue
	m.queue = nil
	return batch
}

// run calls what was posted, in order, until ctx ends or finished is closed.
func (m *mailbox) run(ctx context.Context, finished <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-finished:
			return
		case <-m.wake:
		}
		for _, f := range m.take() {
			f()
		}
	}
}
