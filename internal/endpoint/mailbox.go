package endpoint

import (
	"context"
	"sync"
)

// maxQueued bounds the functions that wait for the loop. Sessions post without
// blocking, so a flood of messages from a peer would otherwise fill memory.
const maxQueued = 1 << 16

// mailbox is the queue of the loop. It is shared.
type mailbox struct {
	mu    sync.Mutex
	queue []func()
	wake  chan struct{}
}

func newMailbox() *mailbox { return &mailbox{wake: make(chan struct{}, 1)} }

// post queues f for the loop. It never blocks; when the queue is full it drops f and
// reports false.
func (m *mailbox) post(f func()) bool {
	m.mu.Lock()
	full := len(m.queue) >= maxQueued
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

// postUnbounded queues f whatever the length of the queue. It is for results of work
// that this process itself began and that is bounded where it began. Losing such a
// result would leave an attempt running for ever, and a drain would never end.
func (m *mailbox) postUnbounded(f func()) {
	m.mu.Lock()
	m.queue = append(m.queue, f)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *mailbox) takeAll() []func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	batch := m.queue
	m.queue = nil
	return batch
}

// run calls the posted functions in order, until ctx ends or finished is closed.
func (m *mailbox) run(ctx context.Context, finished <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-finished:
			return
		case <-m.wake:
		}
		for _, f := range m.takeAll() {
			f()
		}
	}
}
