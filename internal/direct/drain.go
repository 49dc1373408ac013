package direct

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"skylarklead/internal/admit"
	"skylarklead/internal/attempt"
	"skylarklead/internal/fleet"
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
	// plainRequestTime is the usual maximum duration of a plain request, streamStartTime of
	// the time until a stream begins under load. streamTimeFactor is the factor by which the
	// rest of a stream may exceed its expected duration.
	plainRequestTime = time.Second
	streamStartTime  = 2500 * time.Millisecond
	streamTimeFactor = 3
	// heldTimeFactor is the factor by which the rest of a stream that is held back usually exceeds its expected
	// duration at most: none is cut if it takes longer.
	heldTimeFactor = 2
	// finalAnswerTime is the time, after the drain, in which the last answers are written, and again that in
	// which they are delivered; deliveryTime is the latter where more time is left.
	finalAnswerTime = 200 * time.Millisecond
	deliveryTime    = time.Second
	// drainQueueWait bounds the wait for a placement after unrestrictedPeriod.
	drainQueueWait = 200 * time.Millisecond
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

// refuseLate refuses a request that this draining entry has no time for. It always returns false.
func (req *request) refuseLate() bool {
	e := req.entry
	now := e.clock.now()
	end, _ := e.drain.ending()
	e.drain.refused.Add(1)
	return req.refuse(reasonShuttingDown, e.peers.outlook().RetryAfter(now, end, req.deadline-now))
}

// draining reports whether the entry is draining.
func (e *Entry) draining() bool { return e.drain.left() > 0 }

// canFinish reports whether a request may be started. In the last seconds of a draining entry that is so
// only for requests that end before the entry exits.
func (req *request) canFinish() bool {
	window, draining := req.entry.drain.window()
	if !draining {
		return true
	}
	s := req.entry.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return req.acceptedIn(window)
}

// acceptedIn is canFinish at an entry that restricts what it accepts. The caller holds the state's lock.
func (req *request) acceptedIn(window admit.Shutdown) bool {
	late, now := req.late(), req.entry.clock.now()
	return window.Accepts(late, now) || req.acceptedLast(window, late, now)
}

// startLate is canFinish for a request that is sent to a replica now. At an entry that restricts what it
// accepts, it has the answer held back where the request may outlast the entry.
func (req *request) startLate() bool {
	window, draining := req.entry.drain.window()
	if !draining {
		return true
	}
	s := req.entry.state
	s.mu.Lock()
	late, now := req.late(), req.entry.clock.now()
	s.mu.Unlock()
	if window.Accepts(late, now) {
		return true
	}
	return req.acceptedLast(window, late, now) && (!late.Streaming || req.hold())
}

// late is the request as it is judged at an entry that restricts what it accepts. The caller holds the state's lock.
func (req *request) late() admit.LateRequest {
	return admit.LateRequest{
		Arrived:    cmp.Or(req.received, req.started),
		Deadline:   req.deadline,
		GivesUp:    req.started + req.patienceLeft(req.started),
		Usual:      req.expectedDuration(),
		Expected:   req.streamTime(1),
		UsualWhole: req.streamTime(heldTimeFactor),
		Longest:    req.longestRecent(),
		Streaming:  req.route.Kind == fleet.Streaming,
		Repeatable: req.route.Repeatable(),
	}
}

// acceptedLast reports whether the request is accepted since no other entry accepts it; a stream with its
// answer held back. An entry doesn't stay for streams alone: the sooner it ends, the sooner it is back and sends them
// on as they come.
func (req *request) acceptedLast(window admit.Shutdown, late admit.LateRequest, now time.Duration) bool {
	if req.entry.peers.outlook().Open {
		return false
	}
	_, soon := req.entry.drain.ending()
	return window.Holds(late, now) && !soon || window.AcceptsMeasured(late, now)
}

// streamTime is the duration of the request, if it is a stream that is started now and takes a factor of what is
// expected from its first event on. The caller holds the state's lock.
func (req *request) streamTime(factor int) time.Duration {
	if req.route.Kind != fleet.Streaming {
		return 0
	}
	q := req.newQuery()
	start := cmp.Or(req.route.LatencyTarget, streamStartTime)
	return start + time.Duration(factor)*req.entry.state.picker.ExpectedStreamTime(&q)
}

// longestRecent is the longest recent duration of requests on the route, 0 if it isn't known. The caller holds the
// state's lock.
func (req *request) longestRecent() time.Duration {
	d := req.entry.state.durations[req.route.Name]
	if d == nil {
		return 0
	}
	return d.Longest(req.entry.clock.now())
}

// recordDuration records how long a replica took for a request that may run once. The caller holds the
// state's lock.
func (req *request) recordDuration(p *placement, failure attempt.DispatchFailure, done bool) {
	if req.route.Kind != fleet.Mutating || !done && !failure.MayHaveRun() {
		return
	}
	s, now := req.entry.state, req.entry.clock.now()
	d := s.durations[req.route.Name]
	if d == nil {
		d = new(admit.Durations)
		s.durations[req.route.Name] = d
	}
	d.Record(now-p.sentAt, done, now)
}

// expectedDuration is the usual maximum duration of the request if it is started now. The caller
// holds the state's lock.
func (req *request) expectedDuration() time.Duration {
	if req.route.Kind != fleet.Streaming {
		return plainRequestTime
	}
	q := req.newQuery()
	return streamStartTime + streamTimeFactor*req.entry.state.picker.ExpectedStreamTime(&q)
}

// refuseLateQueued refuses waiting requests that can't finish before this draining entry exits. Streams
// whose callers have a part go on while they can. The caller holds the state's lock.
func (e *Entry) refuseLateQueued() {
	window, restricted := e.drain.restriction()
	if !restricted {
		return
	}
	late := func(queued *admit.QueuedRequest) bool {
		req := queued.Value.(*request)
		return req.firstByte == 0 && !req.acceptedIn(window)
	}
	for _, q := range e.state.queues {
		for _, queued := range append(q.waiting.RemoveMatching(late), q.resuming.RemoveMatching(late)...) {
			queued.Value.(*request).placed <- nil
		}
	}
}

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
	for (!e.drain.idle() || e.drain.inRotation() || e.rollouts.keepsLease() || e.callers.Closing() > 0) && e.drain.requests.Err() == nil {
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
