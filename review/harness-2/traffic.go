package main

import (
	"sync"
	"time"
)

// traffic has the results of all calls of a case.
type traffic struct {
	log *record

	mu    sync.Mutex
	calls int
}

// do sends a call on a connection and records it.
func (t *traffic) do(c *connection, entry string, k *call) answer {
	t.log.add("sent       %s to %s: %s (%s)", k.id, entry, k.path, k.body)
	a := c.do(k)
	t.log.add("answered   %s by %s: %s", k.id, entry, a.String())
	t.mu.Lock()
	t.calls++
	t.mu.Unlock()
	return a
}

func (t *traffic) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls
}

// repeat sends calls to an entry one after the other, on kept connections, until stop is closed. After a
// refusal it waits as it is told.
func (t *traffic) repeat(e *entry, stop <-chan struct{}, pause time.Duration, next func() *call, each func(*call, answer)) {
	var c *connection
	defer func() {
		if c != nil {
			c.close()
		}
	}()
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		if c == nil {
			var err error
			if c, err = dial(e.front); err != nil {
				return // the entry has ended
			}
		}
		k := next()
		a := t.do(c, e.name, k)
		each(k, a)
		if c.over {
			c.close()
			c = nil
		}
	}
}
