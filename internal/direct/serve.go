package direct

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/delivery"
	"skylarklead/internal/route"
)

const (
	// bodyTimeout bounds how long a caller may take to send its body.
	bodyTimeout = 5 * time.Second
	// defaultTimeout applies if neither the caller nor the route sets a timeout.
	defaultTimeout = 30 * time.Second
	// maxLoadFraction is the fraction of its route's queue target that a request may wait at a
	// replica.
	maxLoadFraction = 0.4
	// defaultRetryAfter is the Retry-After of a refusal: by then a load of weights or a restart
	// has freed capacity.
	defaultRetryAfter = 300 * time.Millisecond
)

const (
	// reasonShuttingDown refuses requests that can't finish before a draining entry exits.
	reasonShuttingDown = "this entry is shutting down"
	// reasonEntryEnded is why a request that may have run got no answer of its replica.
	reasonEntryEnded = "this entry shut down before the replica answered"
)

// Outcomes of requests, as logs and metrics name them.
const (
	outcomeServed     = "served"
	outcomeRefused    = "refused"
	outcomeFailed     = "failed"
	outcomeCut        = "cut"
	outcomeCallerLeft = "caller_left"
	outcomeDenied     = "denied"
)

// serveHTTP handles one request of a caller.
func (e *Entry) serveHTTP(w http.ResponseWriter, r *http.Request) {
	req := &request{entry: e, w: w, httpRequest: r, started: e.clock.now()}
	defer req.log()
	defer req.recoverPanic()
	if req.drainLeft = e.drain.left(); req.drainLeft > 0 {
		w.Header().Set("Connection", "close")
	}
	defer e.drain.requestStarted()()
	delivery.LimitUnreadBody(w, r)
	if !req.admit() {
		return
	}
	defer req.cancel()
	if !req.readBody() {
		return
	}
	defer e.bodyMemory.release(&req.body)
	req.received = e.clock.now()
	req.run()
}

// admit authenticates and routes the request; it answers the request and returns false if that
// may not be served.
func (req *request) admit() bool {
	e := req.entry
	params, err := e.platform.Headers.Request(req.httpRequest.Header)
	req.params = params
	req.config = e.state.config.Load()
	if req.config == nil {
		return req.refuse("no configuration received yet", defaultRetryAfter)
	}
	if err != nil {
		return req.deny(http.StatusBadRequest, err.Error())
	}
	req.route = req.config.Match(hostWithoutPort(req.httpRequest.Host), rawPath(req.httpRequest.RequestURI))
	if req.route == nil {
		return req.deny(http.StatusNotFound, "no matching route")
	}
	if req.config.KeyRequired && !req.route.Public {
		req.organisation = req.config.Keys[params.Key]
		if req.organisation == nil {
			return req.deny(http.StatusUnauthorized, "unknown API key")
		}
	}
	req.service = req.config.Services[req.selectService()]
	timeout := req.timeout()
	req.deadline = req.started + timeout
	if !req.canFinish() {
		return req.refuseLate()
	}
	req.limitTime(timeout)
	return true
}

// hostWithoutPort returns a Host header in lower case without its port.
func hostWithoutPort(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// rawPath returns the path of a request target without decoding it.
func rawPath(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// selectService picks one of the route's services at random by weight.
func (req *request) selectService() string {
	targets := req.route.Targets
	if len(targets) == 0 {
		return ""
	}
	total := 0
	for _, t := range targets {
		total += t.Weight
	}
	pick := rand.IntN(max(1, total))
	for _, t := range targets {
		if pick -= t.Weight; pick < 0 {
			return t.Service
		}
	}
	return targets[0].Service
}

// timeout is the time that the caller and the route give the request.
func (req *request) timeout() time.Duration {
	timeout := defaultTimeout
	if req.route.Timeout > 0 {
		timeout = req.route.Timeout
	}
	if req.params.Deadline > 0 {
		timeout = min(timeout, req.params.Deadline)
	}
	return timeout
}

// limitTime ends the request's context, and writes to its caller, after the timeout.
func (req *request) limitTime(timeout time.Duration) {
	// A caller that stops reading must not hold the memory of its answer for ever.
	// An error means that the connection has no deadlines, as in tests; it is ignored.
	_ = http.NewResponseController(req.w).SetWriteDeadline(time.Now().Add(timeout + writeMargin))
	req.ctx, req.cancel = context.WithTimeoutCause(req.httpRequest.Context(), timeout, errTimeout)
}

// allowWriting gives an answer time to be written also if it begins late: an entry may have been held up until after
// the request's deadline.
func (req *request) allowWriting() {
	if req.deadline == 0 || req.entry.clock.now() < req.deadline {
		return
	}
	_ = http.NewResponseController(req.w).SetWriteDeadline(time.Now().Add(writeMargin)) // as in limitTime
}

// readBody reads the whole body, so that the request can be sent again to another replica, and
// so that a later refusal can truthfully say that the request has not run. The memory that the body
// takes is reserved before it is allocated.
func (req *request) readBody() bool {
	e := req.entry
	limit := e.limits().BodyBytes
	length := req.httpRequest.ContentLength
	if length > limit {
		return req.deny(http.StatusRequestEntityTooLarge, "body too large")
	}
	if length == 0 {
		return true
	}
	control := http.NewResponseController(req.w)
	// Later than its deadline the request can't be answered any more.
	mayTake := min(bodyTimeout, req.timeLeft())
	// An error means that the connection has no deadlines, as in tests; it is ignored.
	_ = control.SetReadDeadline(time.Now().Add(mayTake))
	wait := min(maxBodyWait, req.patienceLeft(e.clock.now())/bodyWaitDivisor)
	err := req.body.read(req.ctx, http.MaxBytesReader(req.w, req.httpRequest.Body, limit), length, e.bodyMemory, wait)
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return true
	}
	e.bodyMemory.release(&req.body)
	var tooLong *http.MaxBytesError
	var timedOut net.Error
	stalled := errors.As(err, &timedOut) && timedOut.Timeout()
	if !stalled { // else the deadline has passed, and the answer is sent at once
		delivery.LimitUnreadBody(req.w, req.httpRequest)
	}
	switch {
	case !req.canFinish():
		return req.refuseLate()
	case errors.Is(err, errNoBodyMemory):
		return req.refuse("no memory for the request body", defaultRetryAfter)
	case errors.As(err, &tooLong):
		return req.deny(http.StatusRequestEntityTooLarge, "body too large")
	case stalled:
		return req.deny(http.StatusRequestTimeout, "body not received in time")
	}
	req.outcome, req.reason = outcomeCallerLeft, "connection failed while reading the body"
	panic(http.ErrAbortHandler)
}

// run dispatches the request to replicas until one has answered.
func (req *request) run() {
	e := req.entry
	req.resolveOrigin()
	repeatable := req.route.Repeatable()
	e.state.mu.Lock()
	budget := e.state.retryBudgetOf(req.service.Name)
	budget.RecordRequest(e.clock.now())
	e.state.mu.Unlock()
	req.plan = attempt.NewDispatchPlan(attempt.DispatchSpec{
		Repeatable:    repeatable,
		MaxRuns:       req.route.MaxAttempts,
		MaxDispatches: attempt.DefaultMaxDispatches,
		Deadline:      req.deadline,
	}, budget)
	req.query = req.newQuery()
	req.keys = req.crashKeys()
	defer req.freeHeld()
	req.dispatch()
	req.releaseHeld()
}

func (req *request) newQuery() route.PickQuery {
	q := route.PickQuery{
		Service:       req.service.Name,
		SharedTokens:  req.params.SharedTokens(),
		PromptTokens:  req.params.PromptTokens,
		OutputTokens:  req.params.OutputTokens,
		FailureDomain: req.entry.settings.FailureDomain,
	}
	if req.params.ExpectedOutput > 0 {
		q.OutputTokens = min(q.OutputTokens, req.params.ExpectedOutput)
	}
	q.Levels = req.prefixLevels()
	return q
}

// maxLoad is the load of a replica, in milliseconds, up to which the request may be placed there
// while it can still meet its objective; 0 for no bound.
func (req *request) maxLoad() float64 {
	if req.service.Engine == nil {
		return 0
	}
	return maxLoadFraction * float64(req.config.QueueTarget(req.route, req.service.Name).Milliseconds())
}

// prefixLevels are the nested prefixes that the prompt may share with other prompts.
func (req *request) prefixLevels() []route.PrefixLevel {
	shared := req.params.SharedParts()
	ids := make([]string, len(shared))
	tokens := make([]int, len(shared))
	for i, prefix := range shared {
		ids[i], tokens[i] = prefix.ID, prefix.Tokens
	}
	return route.PrefixLevels(req.params.Model+"/"+req.cacheScope(), ids, tokens)
}

// cacheScope is the organisation's name if its cached prefixes must not be shared, else "".
func (req *request) cacheScope() string {
	if req.organisation != nil && req.organisation.Isolated {
		return req.organisation.Name
	}
	return ""
}

// cacheSalt separates cached prefixes by the version of the weights that computed them and by
// isolated organisations.
func (req *request) cacheSalt(version uint64) string {
	if req.params.Model == "" || version == 0 {
		return ""
	}
	return req.params.Model + "@" + strconv.FormatUint(version, 10) + "/" + req.cacheScope()
}

// priority is the request's priority at an engine.
func (req *request) priority() int {
	if req.organisation != nil && req.organisation.Priority != nil {
		return *req.organisation.Priority
	}
	return req.route.Priority
}

// rank orders the request among those that wait at this entry.
func (req *request) rank() int { return req.config.Rank(req.organisation, req.route) }

// deny answers a request that is invalid or not authorised. It always returns false.
func (req *request) deny(status int, reason string) bool {
	req.outcome = outcomeDenied
	req.reply(status, reason, 0)
	return false
}

// refuse answers with 503 a request that has not run and will not. It always returns false.
func (req *request) refuse(reason string, after time.Duration) bool {
	req.outcome = outcomeRefused
	req.reply(http.StatusServiceUnavailable, reason, after)
	return false
}

// fail answers a request that may have run; after is the Retry-After, 0 for none.
func (req *request) fail(status int, reason string, after time.Duration) {
	req.outcome = outcomeFailed
	req.reply(status, reason, after)
}

// reply writes an answer of the entry's own; after is the Retry-After, 0 for none.
func (req *request) reply(status int, reason string, after time.Duration) {
	req.status, req.reason = status, reason
	h := req.w.Header()
	if req.entry.draining() {
		h.Set("Connection", "close")
	}
	req.entry.platform.Headers.Refusal(h, req.params.ID)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	req.allowWriting()
	req.w.WriteHeader(status)
	_, _ = io.WriteString(req.w, reason+"\n") // the caller may have gone
}
