package entry

import (
	"errors"
	"fmt"
	"net"
	"sync"
)

const (
	// maxBufferedAnswer bounds an answer that is buffered before it is sent to the
	// caller, in bytes, maxBufferedAnswers all of them together.
	maxBufferedAnswer  = 16 << 20
	maxBufferedAnswers = 32 << 20
)

// errAnswerTooLong ends an attempt whose answer exceeds maxBufferedAnswer, or that is the
// longest when all answers together exceed maxBufferedAnswers.
var errAnswerTooLong = errors.New("answer is too long to be buffered")

// answerMemory is the memory for answers that are buffered. It is safe for concurrent use.
// Where an answer has no room, the longest one is dropped: one that never ends takes the
// memory of no other.
type answerMemory struct {
	mu       sync.Mutex
	capacity int
	// used is the length of all bodies, held the answers that may be dropped: those that
	// aren't being sent yet.
	used int
	held map[*bufferedAnswer]struct{}
}

func newAnswerMemory(capacity int) *answerMemory {
	return &answerMemory{capacity: capacity, held: make(map[*bufferedAnswer]struct{})}
}

// bufferedAnswer is the body of an answer. Its fields are guarded by the memory's lock.
type bufferedAnswer struct {
	memory *answerMemory
	// pieces are the body as it came, which a growing copy would take a multiple of, length
	// their length in all.
	pieces  net.Buffers
	length  int
	dropped bool
}

// append adds to the body, and keeps data. Its errors wrap errAnswerTooLong.
func (a *bufferedAnswer) append(data []byte) error {
	m := a.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if a.dropped {
		return a.droppedError()
	}
	if a.length+len(data) > maxBufferedAnswer {
		m.drop(a)
		return fmt.Errorf("%w: over %d bytes", errAnswerTooLong, maxBufferedAnswer)
	}
	for m.used+len(data) > m.capacity {
		longest := m.longest(a, a.length+len(data))
		m.drop(longest)
		if longest == a {
			return a.droppedError()
		}
	}
	m.held[a] = struct{}{}
	m.used += len(data)
	a.length += len(data)
	a.pieces = append(a.pieces, data)
	return nil
}

func (a *bufferedAnswer) droppedError() error {
	return fmt.Errorf("%w: it is the longest of answers that exceed %d bytes together", errAnswerTooLong, a.memory.capacity)
}

// longest returns the longest answer if one grows to a length. The caller holds mu.
func (m *answerMemory) longest(growing *bufferedAnswer, length int) *bufferedAnswer {
	longest := growing
	for a := range m.held {
		if a != growing && a.length > length {
			longest, length = a, a.length
		}
	}
	return longest
}

// drop gives up an answer for good. The caller holds mu.
func (m *answerMemory) drop(a *bufferedAnswer) {
	m.forget(a)
	a.dropped = true
}

// forget gives the memory of an answer back. The caller holds mu.
func (m *answerMemory) forget(a *bufferedAnswer) {
	m.used -= a.length
	a.pieces, a.length = nil, 0
	delete(m.held, a)
}

// complete returns the whole body in pieces. They take their memory until the answer is
// discarded, and it isn't dropped any more.
func (a *bufferedAnswer) complete() (net.Buffers, error) {
	a.memory.mu.Lock()
	defer a.memory.mu.Unlock()
	if a.dropped {
		return nil, a.droppedError()
	}
	delete(a.memory.held, a)
	return a.pieces, nil
}

// discard empties the body.
func (a *bufferedAnswer) discard() {
	a.memory.mu.Lock()
	defer a.memory.mu.Unlock()
	a.memory.forget(a)
}
