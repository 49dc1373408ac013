package direct

import (
	"context"
	"errors"
	"net/http"
	"time"

	"skylarklead/internal/admit"
	"skylarklead/internal/attempt"
	"skylarklead/internal/fleet"
	"skylarklead/internal/member"
	"skylarklead/internal/route"
	"skylarklead/internal/upstream"
)

const (
	// expectedNewEntries is added to the number of entries that share a replica's connections:
	// entries that are just being added aren't known yet.
	expectedNewEntries = 1
	// minConnections to a replica are allowed to every entry.
	minConnections = 4
)

// reasonBodyDropped is why a stream that broke off doesn't go on: the request can't be sent again.
const reasonBodyDropped = "body_dropped"

// placement is a request's assignment to a replica.
type placement struct {
	replica *fleet.Replica
	choice  route.PickResult
	version uint64
	// pickedAt is when the replica was picked, sentAt when the request was sent to it.
	pickedAt, sentAt time.Duration
	// fetchFrom is the address to fetch a missing prefix from, saveTo the store to save the
	// prefix to; "" for none.
	fetchFrom, saveTo string
	// fetchTokens is how many shared tokens the replica at fetchFrom is known to have.
	fetchTokens int
	inFlight    *inFlightRequest // watched by the replicaMonitor for silence
	// window counts work until the answer begins; nil afterwards and for plain services.
	window *admit.CongestionWindow
	work   float64
	// backup is set if another replica keeps a backup of the run, continuation if the run goes on
	// from one.
	backup       *runBackup
	continuation *runContinuation
	// events is how many events came from the replica, firstEventAt and lastEventAt when the first and
	// the last one did.
	events                    int
	firstEventAt, lastEventAt time.Duration
	// bodyOffered is set once the request's body may be dropped.
	bodyOffered bool
}

// dispatch places the request and forwards it, and retries after a failed dispatch, until the
// request is answered.
func (req *request) dispatch() {
	defer req.releaseQuota()
	defer req.releaseGrants(grantSettle)
	for !req.answerIfPoison() && req.awaitTurn() {
		if !req.reserveQuota() {
			req.answerOverQuota()
			return
		}
		p := req.awaitPlacement()
		// The body or the placement may have taken most of the time that a draining entry has left.
		if p != nil && req.firstByte == 0 && !req.startLate() {
			req.unstarted = true
			req.cancelPlacement(p)
			p = nil
		}
		if p == nil {
			req.answerUnplaced()
			return
		}
		if req.rejectPlaced(p) {
			return
		}
		if len(req.restrictedKeys()) > 0 {
			// Replicas were lost under it while it waited.
			req.cancelPlacement(p)
			continue
		}
		// awaitPlacement returned the units if the request had to wait.
		if !req.reserveQuota() {
			req.cancelPlacement(p)
			req.answerOverQuota()
			return
		}
		req.spendQuota()
		failure, done := req.forward(p)
		req.endGrants(failure, done)
		if done || req.continueRun(p, failure) {
			return
		}
		if failure == attempt.FailureNotRun || failure == attempt.FailureNotSent {
			req.unspendQuota()
		}
		if req.ctx.Err() != nil {
			req.answerEnded(failure.MayHaveRun())
			return
		}
		if !req.handleFailure(p, failure) {
			return
		}
	}
}

// handleFailure reports whether to place the request again after a failed dispatch; if not, it
// answers the request.
func (req *request) handleFailure(p *placement, failure attempt.DispatchFailure) bool {
	e := req.entry
	e.state.mu.Lock()
	decision := req.plan.RecordFailure(failure, e.clock.now())
	if failure == attempt.FailureUnknown && e.state.crashes.Suspect(req.keys, e.clock.now()) {
		decision = attempt.RetryDecision{Reason: "not retried: suspected of crashing replicas"}
	}
	e.state.mu.Unlock()
	if decision.Retry && !e.bodyMemory.keep(&req.body) {
		decision = attempt.RetryDecision{Reason: reasonBodyDropped}
	}
	if decision.Retry {
		e.tel.Metrics.Retries.Inc(1)
		if req.firstByte > 0 {
			req.resumed++
		}
		req.query.Exclude = append(req.query.Exclude, p.replica.ID)
		return true
	}
	switch {
	case req.firstByte > 0:
		// The caller has part of the answer. Only an aborted connection tells it that the rest
		// is missing.
		req.abort(decision.Reason)
	case decision.NotRun:
		req.refuse(decision.Reason, defaultRetryAfter)
	case req.fallbackAnswer != nil:
		req.writeAnswer(req.fallbackAnswer)
	default:
		req.fail(http.StatusBadGateway, decision.Reason, 0)
	}
	return false
}

// answerUnplaced answers a request for which there was no placement in time.
func (req *request) answerUnplaced() {
	switch {
	case req.ctx.Err() != nil:
		req.answerEnded(false)
	case req.firstByte > 0:
		req.abortUnresumable()
	case req.fallbackAnswer != nil:
		req.writeAnswer(req.fallbackAnswer)
	case req.plan.MayHaveRun():
		req.fail(http.StatusBadGateway, "no replica available for a retry", 0)
	case req.unstarted || !req.canFinish():
		req.refuseLate()
	case req.capacityIn > 0:
		req.entry.tel.Metrics.Count("refused_replicas_closed", 1)
		req.refuse("all replicas are rate limited or asked for a backoff", req.capacityIn)
	case req.takesUp():
		req.refuseTakeUp()
	case req.roomIn > 0:
		req.entry.tel.Metrics.Count("refused_by_forecast", 1)
		req.refuse("its turn would come too late", req.roomIn)
	default:
		req.refuse("no replica can take the request", defaultRetryAfter)
	}
}

// answerEnded answers a request whose deadline has passed, whose caller has left or whose entry ends.
// mayHaveRun is set if its last dispatch may have run.
func (req *request) answerEnded(mayHaveRun bool) {
	if req.callerLeft() {
		req.outcome, req.reason = outcomeCallerLeft, "caller closed the connection"
		panic(http.ErrAbortHandler)
	}
	req.dropHeld()
	switch {
	case req.entryEnded():
		req.answerEntryEnded(mayHaveRun)
	case req.firstByte > 0:
		req.abort("deadline exceeded")
	case req.fallbackAnswer != nil:
		req.writeAnswer(req.fallbackAnswer)
	default:
		req.fail(http.StatusGatewayTimeout, "deadline exceeded", 0)
	}
}

// answerEntryEnded answers a request that is left when a draining entry ends.
func (req *request) answerEntryEnded(mayHaveRun bool) {
	drain := req.entry.drain
	switch {
	case req.firstByte > 0:
		drain.cut.Add(1)
		req.abort(reasonEntryEnded)
	case req.fallbackAnswer != nil:
		req.writeAnswer(req.fallbackAnswer)
	case mayHaveRun || req.plan.MayHaveRun():
		drain.failed.Add(1)
		req.fail(http.StatusGatewayTimeout, reasonEntryEnded, 0)
	default:
		req.refuseLate()
	}
}

// abort breaks off the answer by closing the connection, so that it doesn't look complete. If the caller has no part
// of it yet, it gets a failure.
func (req *request) abort(reason string) {
	if req.held != nil {
		req.dropHeld()
		req.fail(http.StatusBadGateway, reason, 0)
		return
	}
	req.outcome, req.reason = outcomeCut, reason
	req.breakOff()
}

// breakOff closes the connection in a way that doesn't look like the end of the answer. It doesn't return.
func (req *request) breakOff() { panic(http.ErrAbortHandler) }

// connKey is the key of a caller's connection in the contexts of its requests.
type connKey struct{}

// setIncomplete says whether the answer isn't complete. Without chunks an orderly end of the connection would end it,
// too: until it is complete any close resets the connection, also that of the server after a failed write.
func (req *request) setIncomplete(incomplete bool) {
	c, ok := req.httpRequest.Context().Value(connKey{}).(interface{ SetLinger(int) error })
	if !ok || req.httpRequest.ProtoAtLeast(1, 1) {
		return
	}
	linger := -1
	if incomplete {
		linger = 0
	}
	_ = c.SetLinger(linger) // fails if the connection has ended
}

// pickReplica picks a replica now; nil if none can take the request. The caller holds the state's
// lock.
func (req *request) pickReplica(now time.Duration) *placement {
	s := req.entry.state
	req.query.DesiredVersion = s.desiredVersion(req.params.Model)
	var candidates []route.PickCandidate
	candidates, req.excluded = s.candidates(req.service, req.params.Model, req.requiredSoftware(), now)
	req.query.Sample = s.sampleSize(len(candidates))
	choice, ok := s.picker.Pick(now, &req.query, candidates)
	req.excluded.overBound, req.excluded.leastWaitMs = choice.OverBound, choice.LeastWaitMs
	if !ok {
		// Replicas that refused the request before may be tried again at the next pick.
		req.query.Exclude = nil
		return nil
	}
	s.picker.Dispatched(now, &req.query, &choice)
	rateLimit, _ := s.rateLimits.State(choice.ID, now)
	s.rateLimits.Take(choice.ID, now)
	p := &placement{replica: s.replicas.Get(choice.ID), choice: choice, pickedAt: now}
	if req.params.Model != "" {
		p.version = s.versionTracker.Version(choice.ID, req.params.Model)
	}
	req.setCacheSource(p)
	req.setBackup(p, candidates, now)
	req.dispatches = append(req.dispatches, dispatchRecord{
		replica: choice.ID, reason: choice.Reason, score: choice.Score, load: choice.WaitMs,
		missedTokens: choice.MissingTokens, fetchFrom: p.fetchFrom, fetchTokens: p.fetchTokens, candidateCount: choice.CandidateCount, version: p.version, software: p.replica.Software,
		listAge: now - time.Duration(s.listReadAt.Load()), listReader: s.replicaListReader(), offListFor: s.replicas.UnlistedFor(choice.ID, now),
		rateLimit: rateLimit, drainLeft: req.entry.drain.left(),
	})
	return p
}

// setCacheSource sets where the replica can fetch the missing part of the prefix and where it
// saves the prefix. The caller holds the state's lock.
func (req *request) setCacheSource(p *placement) {
	s := req.entry.state
	plan := s.picker.PlanCache(req.entry.clock.now(), &req.query, &p.choice, req.cacheSalt(p.version), req.config.KVStores())
	p.fetchFrom, p.saveTo = plan.Store, plan.SaveTo
	if r := s.replicas.Get(plan.Donor); r != nil {
		p.fetchFrom = r.Address
	}
	req.countPrefixSource(p, plan.Donor)
}

// forward sends the request to a replica and forwards its answer. done is false if there is
// nothing to forward; failure then says why.
func (req *request) forward(p *placement) (failure attempt.DispatchFailure, done bool) {
	e := req.entry
	record := &req.dispatches[len(req.dispatches)-1]
	began := e.clock.now()
	p.sentAt = began
	hadFirstByte := req.firstByte > 0
	defer func() {
		record.took = e.clock.now() - began
		e.state.mu.Lock()
		e.state.picker.Finished(&req.query, &p.choice, !hadFirstByte && req.firstByte > 0)
		req.observeNoStart(p)
		req.recordDuration(p, failure, done)
		p.endWork()
		req.endBackup(p, done || failure == attempt.FailureNotRun)
		e.state.mu.Unlock()
	}()
	req.plan.RecordDispatch()
	ctx, cancel := context.WithCancel(req.ctx)
	defer cancel()
	p.inFlight = e.monitor.begin(p, req.route.Repeatable(), cancel)
	defer e.monitor.end(p.inFlight)
	x, err := e.pool.Do(ctx, upstream.Replica{ID: p.replica.ID, Address: p.replica.Address},
		req.connectionLimit(), req.upstreamRequest(p), req.matchesRequestID)
	if err != nil {
		return req.handleSendError(p, record, err), false
	}
	defer x.Close()
	record.status, record.skipped = x.Status, x.StrayResponses
	failure, done = req.forwardAnswer(p, x)
	record.outcome = failure.String()
	if done {
		record.outcome = outcomeServed
	}
	return failure, done
}

// observeNoStart counts a request that ended without a first event, after its objective had passed,
// as one that began late. Otherwise replicas that answer nothing would leave the window as it is.
// The caller holds the state's lock.
func (req *request) observeNoStart(p *placement) {
	if p.window == nil || req.firstByte > 0 {
		return
	}
	now := req.entry.clock.now()
	if took := now - p.pickedAt; took > req.route.LatencyTarget {
		p.window.ObserveStart(p.work, took, req.route.LatencyTarget, now)
	}
}

// connectionLimit is this entry's share of a replica's connections.
func (req *request) connectionLimit() int {
	s := req.entry.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(minConnections, req.service.MaxConnections/(s.entries+expectedNewEntries))
}

func (req *request) upstreamRequest(p *placement) *upstream.Request {
	lastEvent := req.resumeAfter()
	dispatch := &fleet.DispatchHeaders{
		Replica:   p.replica.Name,
		Deadline:  req.timeLeft(),
		Version:   p.version,
		Salt:      req.cacheSalt(p.version),
		Priority:  req.priority(),
		FetchFrom: p.fetchFrom,
		SaveTo:    p.saveTo,
		LastEvent: lastEvent,
	}
	p.setBackupHeaders(dispatch)
	if req.organisation != nil {
		dispatch.Organisation = req.organisation.Name
	}
	return &upstream.Request{
		Method: req.httpRequest.Method,
		Target: req.httpRequest.RequestURI,
		Host:   req.httpRequest.Host,
		Header: req.entry.platform.Headers.ToReplica(req.httpRequest.Header, dispatch),
		Body:   req.body.pieces,
	}
}

// matchesRequestID reports whether an answer belongs to this request. One that names no request belongs to
// none: replicas may send further bytes where the next answer is due.
func (req *request) matchesRequestID(h http.Header) bool {
	id := req.entry.platform.Headers.Answer(http.StatusOK, h).RequestID
	if id == "" {
		req.entry.tel.Metrics.Count("answers_unnamed", 1)
	}
	return id == req.params.ID
}

// handleSendError classifies an exchange that ended without an answer, and records it against the
// replica.
func (req *request) handleSendError(p *placement, record *dispatchRecord, err error) attempt.DispatchFailure {
	e := req.entry
	var sendErr *upstream.SendError
	failure := attempt.FailureUnknown
	if errors.As(err, &sendErr) && !sendErr.Sent {
		failure = attempt.FailureNotSent
	}
	record.outcome, record.err = failure.String(), err
	if req.ctx.Err() != nil || errors.Is(err, upstream.ErrConnectionLimit) {
		return failure
	}
	if failure == attempt.FailureNotSent {
		e.markUnreachable(p.replica, "request "+req.params.ID, err)
		return failure
	}
	req.recordBreak(p, err)
	return failure
}

// recordBreak records that an exchange broke off. A replica that sends bytes which are no answer is faulty,
// but not lost.
func (req *request) recordBreak(p *placement, err error) {
	if errors.Is(err, upstream.ErrMalformed) {
		req.recordFault(p, member.FaultMalformedAnswer)
		req.entry.malformed.reportAnswer(p.replica.ID, err)
		return
	}
	req.recordFault(p, member.FaultConnectionLost)
	req.recordBrokenRun(p)
}
