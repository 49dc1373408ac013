package direct

import (
	"cmp"
	"time"

	"skylarklead/internal/admit"
	"skylarklead/internal/attempt"
	"skylarklead/internal/fleet"
)

// What a draining entry accepts of requests that may outlast it.
const (
	// plainRequestTime is the usual maximum duration of a plain request, streamStartTime of
	// the time until a stream begins under load. streamTimeFactor is the factor by which the
	// rest of a stream may exceed its expected duration.
	plainRequestTime = time.Second
	streamStartTime  = 2500 * time.Millisecond
	streamTimeFactor = 3
	// heldTimeFactor is the factor by which the rest of a stream that is held back usually exceeds its expected
	// duration at most: none is cut if it takes longer.
	heldTimeFactor = 2
	// drainQueueWait bounds the wait for a placement after unrestrictedPeriod.
	drainQueueWait = 200 * time.Millisecond
)

// refuseLate refuses a request that this draining entry has no time for. It always returns false.
func (req *request) refuseLate() bool {
	e := req.entry
	now := e.clock.now()
	end, _ := e.drain.ending()
	e.drain.refused.Add(1)
	return req.refuse(reasonShuttingDown, e.peers.outlook().RetryAfter(now, end, req.deadline-now))
}

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
