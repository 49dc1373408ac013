package direct

import (
	"context"
	"errors"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lockCheckInterval is the pause between checks of the state's lock.
	lockCheckInterval = 100 * time.Millisecond
	// lockLostChecks is how many checks in a row find a lock held, and not unlocked meanwhile, that is lost.
	// It is held for microseconds at a time; a process that is short of processor time checks less often, too.
	lockLostChecks = 20
	// maxStacks bounds the stacks that are logged, in bytes.
	maxStacks = 64 << 10
)

// errLockLost ends an entry whose state was left locked.
var errLockLost = errors.New("direct: the state was left locked")

// stateLock is a mutex that counts how often it was unlocked.
type stateLock struct {
	sync.Mutex
	unlocks atomic.Uint64
}

// Unlock unlocks the mutex.
func (l *stateLock) Unlock() {
	l.unlocks.Add(1)
	l.Mutex.Unlock()
}

// lockWatch tells a lock that is lost from one that is in use.
type lockWatch struct {
	unlocks uint64
	held    int
}

// check is called every lockCheckInterval, and reports whether the lock is lost.
func (w *lockWatch) check(held bool, unlocks uint64) bool {
	if !held || unlocks != w.unlocks {
		w.held, w.unlocks = 0, unlocks
		return false
	}
	w.held++
	return w.held >= lockLostChecks
}

// watchLock unlocks the state if it was left locked, as by a handler that panicked, and makes the entry drain and end: what
// waits for the lock goes on and callers get their answers, but what the state says may be wrong.
func (e *Entry) watchLock(ctx context.Context) {
	tick := time.NewTicker(lockCheckInterval)
	defer tick.Stop()
	var watch lockWatch
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		mu := &e.state.mu
		held := !mu.TryLock()
		if !held {
			mu.Mutex.Unlock()
		}
		if !watch.check(held, mu.unlocks.Load()) {
			continue
		}
		stacks := make([]byte, maxStacks)
		stacks = stacks[:runtime.Stack(stacks, true)]
		e.tel.Metrics.Count("state_locks_lost", 1)
		e.tel.Log.Error("state was left locked; the entry drains and ends", "stacks", string(stacks))
		mu.Unlock()
		select {
		case e.lockLost <- errLockLost:
		default: // it drains
		}
	}
}
