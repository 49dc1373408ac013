package entry

import (
	"context"
	"errors"
	"time"
)

var (
	errDeadline = errors.New("deadline passed")
	errCaller   = errors.New("caller disconnected")
	// errStopping ends streams whose callers are away when the entry begins to stop, errEnding
	// all requests just before its process is killed.
	errStopping = errors.New("entry is stopping")
	errEnding   = errors.New("entry ends")
)

// requestContext bounds the work for one request. It ends at the deadline, when the
// entry does, or when the caller has been gone for the grace period. Its cause is one of
// the errors above.
type requestContext struct {
	context.Context
	cancel context.CancelCauseFunc
	// callerGone is closed when the caller disconnects.
	callerGone chan struct{}
	// grace is how long the work continues after the caller has disconnected.
	grace time.Duration
}

// newRequestContext returns a context that outlives caller, the context of the
// caller's connection, by at most grace.
func (e *Entry) newRequestContext(caller context.Context, deadline time.Time, grace time.Duration) *requestContext {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(caller))
	c := &requestContext{Context: ctx, cancel: cancel, callerGone: make(chan struct{}), grace: grace}
	go c.watch(caller, time.Until(deadline)+deadlineGrace, e.stopping, e.ending)
	return c
}

func (c *requestContext) watch(caller context.Context, timeout time.Duration, stopping, ending <-chan struct{}) {
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	select {
	case <-c.Done():
		return
	case <-deadline.C:
		c.cancel(errDeadline)
		return
	case <-ending:
		c.cancel(errEnding)
		return
	case <-caller.Done():
	}
	close(c.callerGone)
	grace := time.NewTimer(c.grace)
	defer grace.Stop()
	select {
	case <-c.Done():
	case <-deadline.C:
		c.cancel(errDeadline)
	case <-grace.C:
		c.cancel(errCaller)
	case <-stopping:
		c.cancel(errStopping)
	}
}

// sleep waits for d, or until the context ends.
func (c *requestContext) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.Done():
	}
}
