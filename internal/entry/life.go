package entry

import (
	"context"
	"errors"
	"time"
)

var (
	errDeadline = errors.New("deadline passed")
	errCaller   = errors.New("caller has gone")
	errStopping = errors.New("entry is stopping")
)

// life bounds the work for one request. It ends at the deadline, or when the
// caller has been gone for the grace; its cause is one of the errors above.
type life struct {
	context.Context
	cancel context.CancelCauseFunc
	// away is closed when the caller is gone.
	away  chan struct{}
	grace time.Duration
}

// newLife follows a caller's connection.
func (e *Entry) newLife(caller context.Context, deadline time.Time, grace time.Duration) *life {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(caller))
	l := &life{Context: ctx, cancel: cancel, away: make(chan struct{}), grace: grace}
	go l.watch(caller, time.Until(deadline)+deadlineGrace, e.stopping)
	return l
}

func (l *life) watch(caller context.Context, left time.Duration, stopping <-chan struct{}) {
	deadline := time.NewTimer(left)
	defer deadline.Stop()
	select {
	case <-l.Done():
		return
	case <-deadline.C:
		l.cancel(errDeadline)
		return
	case <-caller.Done():
	}
	close(l.away)
	grace := time.NewTimer(l.grace)
	defer grace.Stop()
	select {
	case <-l.Done():
	case <-deadline.C:
		l.cancel(errDeadline)
	case <-grace.C:
		l.cancel(errCaller)
	case <-stopping:
		l.cancel(errStopping)
	}
}

// sleep waits unless the life ends before.
func (l *life) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.Done():
	}
}
