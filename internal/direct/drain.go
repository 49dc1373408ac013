package direct

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"skylarklead/internal/admit"
)

const (
	// notReadyDelay is how long after SIGTERM new connections still arrive as before: the
	// platform probes readiness once a second and stops routing after the second failure.
	notReadyDelay = 2500 * time.Millisecond
	// unrestrictedPeriod is how long after SIGTERM any request is accepted.
	unrestrictedPeriod = 2800 * time.Millisecond
	// stayInRotation is how long after SIGTERM an entry says that it is ready while no other one takes new
	// connections. Two failures later, and before 4 s, the platform stops routing to it.
	stayInRotation = 1500 * time.Millisecond
	// rotationAfterReady is how long after it last said that it is ready an entry is in rotation, leastRotation how
	// long it is after SIGTERM at least.
	rotationAfterReady = 2 * time.Second
	leastRotation      = time.Second
	// stopMargin is reserved before the process is killed.
	stopMargin = 500 * time.Millisecond
	// drainPollInterval is the pause between checks whether the last request has ended.
	drainPollInterval = 50 * time.Millisecond
	// finalAnswerTime is the time, after the drain, in which the last answers are written, and again that in
	// which they are delivered; deliveryTime is the latter where more time is left.
	finalAnswerTime = 200 * time.Millisecond
	deliveryTime    = time.Second
)

// errEntryEnds is the cause with which a request's context ends when its entry does.
var errEntryEnds = errors.New("direct: the entry ends")

// drain counts requests in flight, knows when a draining entry exits, and ends what is left then.
type drain struct {
	clock clock
	// requests is the context of all requests. It ends, with errEntryEnds, when a draining entry does.
	requests context.Context
	cancel   context.CancelCauseFunc
	// cut and failed count the requests whose answer was broken off at the end, and those that got an answer
	// of the entry's own though they may have run.
	cut, failed atomic.Int64
	// held counts the streams that were held back until they were complete, refused the requests that the
	// draining entry had no time for.
	held, refused atomic.Int64

	mu       sync.Mutex
	inFlight int
	// early counts those of inFlight that were accepted without restriction.
	early int
	// began and ends are when the entry began to drain and when it ends; draining is set if it does.
	draining    bool
	began, ends time.Duration
	// saidReady is when the draining entry last said that it is ready, 0 if it didn't.
	saidReady time.Duration
}

func newDrain(c clock) *drain {
	d := &drain{clock: c}
	d.requests, d.cancel = context.WithCancelCause(context.Background())
	return d
}

// requestStarted counts a request and returns the function to call when it has ended.
func (d *drain) requestStarted() (ended func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	early := 0
	if !d.draining || d.clock.now() < d.began+unrestrictedPeriod {
		early = 1
	}
	d.inFlight++
	d.early += early
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.inFlight--
		d.early -= early
	}
}

// expectedEnd is when the draining entry ends: soon, once what it accepted without restriction has. The caller holds mu.
func (d *drain) expectedEnd() time.Duration {
	if now := d.clock.now(); d.early == 0 && now >= d.began+unrestrictedPeriod {
		return min(d.ends, now+plainRequestTime)
	}
	return d.ends
}

// ending returns expectedEnd, and whether the entry stays for nothing but what it accepted since requests are
// restricted.
func (d *drain) ending() (end time.Duration, soon bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expectedEnd(), d.early == 0
}

// begin starts the drain of an entry that is killed after the time grace.
func (d *drain) begin(grace time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
	d.began = d.clock.now()
	d.ends = d.began + grace - stopMargin
	time.AfterFunc(grace-stopMargin, func() { d.cancel(errEntryEnds) })
}

// idle reports whether no request is in flight.
func (d *drain) idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight == 0
}

// window returns the time for which the entry still serves; false if it isn't draining.
func (d *drain) window() (admit.Shutdown, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return admit.Shutdown{RestrictedFrom: d.began + unrestrictedPeriod, Ends: d.ends}, d.draining
}

// restriction is window once requests are accepted only if they end in time; false before.
func (d *drain) restriction() (admit.Shutdown, bool) {
	window, draining := d.window()
	return window, draining && d.clock.now() >= window.RestrictedFrom
}

// left is how much longer the entry lives at most, 0 if it isn't draining.
func (d *drain) left() time.Duration {
	window, draining := d.window()
	if !draining {
		return 0
	}
	return max(1, window.Ends-d.clock.now())
}

// endsWithin reports whether the entry is draining and exits within t.
func (d *drain) endsWithin(t time.Duration) bool {
	left := d.left()
	return left > 0 && left < t
}

// notice is what peers are told; nil if the entry isn't draining.
func (d *drain) notice() *admit.DrainNotice {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.draining {
		return nil
	}
	now := d.clock.now()
	open := min(d.began+unrestrictedPeriod, max(d.began+leastRotation, d.saidReady+rotationAfterReady))
	// A notice without time left would say that the entry has ended.
	return &admit.DrainNotice{Open: max(0, open-now), Left: max(time.Millisecond, d.expectedEnd()-now)}
}

// staysInRotation reports whether this draining entry still says that it is ready. While all entries shut
// down, callers would else meet those that have no time left as often as those that accept any request.
func (e *Entry) staysInRotation() bool {
	outlook := e.peers.outlook()
	return outlook.Draining && !outlook.Steady && e.drain.sayReady()
}

// sayReady reports whether a draining entry may say that it is ready.
func (d *drain) sayReady() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.now()
	if now >= d.began+stayInRotation {
		return false
	}
	d.saidReady = now
	return true
}

// inRotation reports whether new connections still arrive as before.
func (d *drain) inRotation() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.clock.now() < max(d.began, d.saidReady)+notReadyDelay
}

// draining reports whether the entry is draining.
func (e *Entry) draining() bool { return e.drain.left() > 0 }

// shutDown stops the server without cutting off requests. It reports that it isn't ready, serves
// requests that arrive and can finish in time, and returns once the callers have the last answers, or at the
// latest time that the platform allows. Requests that are left then get an answer of the entry's own; only
// streams of which the caller has a part are cut. The listener stays open until then: in a rolling restart all entries
// may be draining at once, and callers would find none that accepts a connection.
//
// An idle entry that holds the lease for orders stays as long as a rollout needs it: after it
// exits, no entry may issue orders for the time that two holders must be apart, and requests would
// be refused for overdue weights for those seconds. It returns the lease leaseReturnMargin before
// it exits at the latest.
func (e *Entry) shutDown(server *http.Server) {
	e.drain.begin(e.directSettings().Grace.D())
	began := time.Now()
	e.tel.Log.Info("draining", "grace_ms", e.directSettings().Grace.D().Milliseconds())
	ended := e.drain.requests.Done()
	select {
	case <-time.After(notReadyDelay):
	case <-ended:
	}
	for (!e.drain.idle() || e.drain.inRotation() || e.rollouts.keepsLease() || e.callers.Undelivered() > 0) && e.drain.requests.Err() == nil {
		select {
		case <-time.After(drainPollInterval):
		case <-ended:
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), e.drain.left()+finalAnswerTime)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		e.tel.Log.Warn("connections closed at the end of the drain period", "error", err)
		server.Close()
	}
	e.peers.sendEnd()
	undelivered := e.awaitDelivery()
	e.tel.Log.Info("drained", "took_ms", time.Since(began).Milliseconds(), "streams_cut", e.drain.cut.Load(), "failed", e.drain.failed.Load(),
		"held", e.drain.held.Load(), "refused", e.drain.refused.Load(), "undelivered", undelivered)
}

// awaitDelivery waits until callers have their answers, while the port is closed. It returns the number of
// connections that are left.
func (e *Entry) awaitDelivery() int {
	ctx, cancel := context.WithTimeout(context.Background(), min(deliveryTime, e.drain.left()+finalAnswerTime))
	defer cancel()
	return e.callers.Wait(ctx)
}
