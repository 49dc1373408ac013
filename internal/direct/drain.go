package direct

import (
	"context"
	"net/http"
	"sync"
	"time"

	"skylarklead/internal/admit"
)

const (
	// notReadyDelay is how long after SIGTERM new connections still arrive as before: the
	// platform probes readiness once a second and stops routing after the second failure.
	notReadyDelay = 2500 * time.Millisecond
	// unrestrictedPeriod is how long after SIGTERM any request is accepted; later, only
	// requests that are expected to finish in time are.
	unrestrictedPeriod = 2800 * time.Millisecond
	// stopMargin is reserved before the process is killed.
	stopMargin = 500 * time.Millisecond
	// drainPollInterval is the pause between checks whether the last request has ended.
	drainPollInterval = 50 * time.Millisecond
	// plainRequestTime is the usual maximum duration of a plain request, streamStartTime of
	// the time until a stream begins under load. streamTimeFactor is the factor by which the
	// rest of a stream may exceed its expected duration.
	plainRequestTime = time.Second
	streamStartTime  = 2500 * time.Millisecond
	streamTimeFactor = 3
	// drainQueueWait bounds the wait for a placement after unrestrictedPeriod.
	drainQueueWait = 200 * time.Millisecond
)

// drain counts requests in flight and knows when a draining entry exits.
type drain struct {
	mu       sync.Mutex
	inFlight int
	// began and ends are zero unless the entry is draining.
	began time.Time
	ends  time.Time
}

func newDrain() *drain { return &drain{} }

func (d *drain) requestStarted() {
	d.mu.Lock()
	d.inFlight++
	d.mu.Unlock()
}

func (d *drain) requestEnded() {
	d.mu.Lock()
	d.inFlight--
	d.mu.Unlock()
}

func (d *drain) begin(grace time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.began = time.Now()
	d.ends = d.began.Add(grace - stopMargin)
}

// idle reports whether no request is in flight.
func (d *drain) idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight == 0
}

// window returns when the drain began and when it ends; both are zero if the entry isn't draining.
func (d *drain) window() (began, ends time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.began, d.ends
}

// left is how much longer the entry lives at most, 0 if it isn't draining.
func (d *drain) left() time.Duration {
	_, ends := d.window()
	if ends.IsZero() {
		return 0
	}
	return max(1, time.Until(ends))
}

// endsWithin reports whether the entry is draining and exits within t.
func (d *drain) endsWithin(t time.Duration) bool {
	_, ends := d.window()
	return !ends.IsZero() && time.Until(ends) < t
}

// draining reports whether the entry is draining.
func (e *Entry) draining() bool {
	began, _ := e.drain.window()
	return !began.IsZero()
}

// canFinish reports whether a request may be started. In the last seconds of a draining entry it may
// only if it is expected to end before the entry exits; its answer would be cut off otherwise.
func (req *request) canFinish() bool {
	began, ends := req.entry.drain.window()
	if began.IsZero() || time.Since(began) < unrestrictedPeriod {
		return true
	}
	s := req.entry.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Until(ends) > req.expectedDuration()
}

// expectedDuration is the usual maximum duration of the request if it is started now. The caller
// holds the state's lock.
func (req *request) expectedDuration() time.Duration {
	if req.params.OutputTokens <= 0 {
		return plainRequestTime
	}
	q := req.newQuery()
	return streamStartTime + streamTimeFactor*req.entry.state.picker.ExpectedStreamTime(&q)
}

// refuseLateQueued refuses waiting requests that can't finish before this draining entry exits: their
// connections would be closed without an answer. The caller holds the state's lock.
func (e *Entry) refuseLateQueued() {
	began, ends := e.drain.window()
	if began.IsZero() || time.Since(began) < unrestrictedPeriod {
		return
	}
	remaining := time.Until(ends)
	for _, q := range e.state.queues {
		late := q.waiting.RemoveMatching(func(queued *admit.QueuedRequest) bool { return remaining <= queued.Value.(*request).expectedDuration() })
		for _, queued := range late {
			queued.Value.(*request).placed <- nil
		}
	}
}

// shutDown stops the server without cutting off requests. It reports that it isn't ready, serves
// requests that arrive and can finish in time, and returns after the last of them, or at the latest
// time that the platform allows. The listener stays open until then: in a rolling restart all entries
// may be draining at once, and callers would find none that accepts a connection.
//
// An idle entry that holds the lease for orders stays as long as a rollout needs it: after it
// exits, no entry may issue orders for the time that two holders must be apart, and requests would
// be refused for overdue weights for those seconds. It returns the lease leaseReturnMargin before
// it exits at the latest.
func (e *Entry) shutDown(server *http.Server) {
	e.drain.begin(e.directSettings().Grace.D())
	began, ends := e.drain.window()
	e.tel.Log.Info("draining", "grace_ms", e.directSettings().Grace.D().Milliseconds())
	time.Sleep(min(notReadyDelay, time.Until(ends)))
	for (!e.drain.idle() || e.rollouts.keepsLease()) && time.Now().Before(ends) {
		time.Sleep(drainPollInterval)
	}
	ctx, cancel := context.WithDeadline(context.Background(), ends)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		e.tel.Log.Warn("requests cut off at the end of the drain period", "error", err)
		server.Close()
	}
	e.tel.Log.Info("drained", "took_ms", time.Since(began).Milliseconds())
}
