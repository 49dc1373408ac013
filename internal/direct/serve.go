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
	"skylarklead/internal/route"
)

const (
	// bodyTimeout bounds how long a caller may take to send its body.
	bodyTimeout = 5 * time.Second
	// unknownBody is the room taken for a body whose length isn't said, in bytes.
	unknownBody = 256 << 10
	// defaultDeadline bounds a request of which neither caller nor route says more.
	defaultDeadline = 30 * time.Second
	// loadShare is the part of its objective that a request may wait at a replica.
	loadShare = 0.4
	// defaultRetryAfter is when a refused caller is told to return: after a load of weights
	// or a restart has made a place free.
	defaultRetryAfter = 300 * time.Millisecond
)

// shuttingDown is why a draining entry refuses what would outlast it.
const shuttingDown = "this entry is shutting down"

// Outcomes in logs and metrics.
const (
	outcomeServed  = "served"
	outcomeRefused = "refused"
	outcomeFailed  = "failed"
	outcomeCut     = "cut"
	outcomeLeft    = "caller_left"
	outcomeDenied  = "denied"
)

// serve answers one request.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	j := &request{entry: e, w: w, r: r, began: e.clock.now()}
	defer j.log()
	if e.draining() {
		w.Header().Set("Connection", "close")
	}
	e.drain.enter()
	defer e.drain.leave()
	if !j.admit() {
		return
	}
	defer j.cancel()
	if !j.readBody() {
		return
	}
	defer e.bodies.Release(j.room())
	j.run()
}

// admit decides whether the request may be served at all.
func (j *request) admit() bool {
	e := j.entry
	asked, err := e.platform.Headers.Request(j.r.Header)
	j.params = asked
	j.config = e.state.config.Load()
	if j.config == nil {
		return j.refuse("no configuration is known yet", defaultRetryAfter)
	}
	if err != nil {
		return j.deny(http.StatusBadRequest, err.Error())
	}
	j.route = j.config.Match(hostOf(j.r.Host), pathOf(j.r.RequestURI))
	if j.route == nil {
		return j.deny(http.StatusNotFound, "no route")
	}
	if j.config.KeyRequired && !j.route.Public {
		j.organisation = j.config.Keys[asked.Key]
		if j.organisation == nil {
			return j.deny(http.StatusUnauthorized, "unknown key")
		}
	}
	j.service = j.config.Services[j.pickService()]
	if !j.endsInTime() {
		return j.refuse(shuttingDown, defaultRetryAfter)
	}
	j.bound()
	return true
}

// hostOf strips the port of a Host header.
func hostOf(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// pathOf is the path of a request line's target, as the caller wrote it.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// pickService draws one of the route's services by weight.
func (j *request) pickService() string {
	targets := j.route.Targets
	if len(targets) == 0 {
		return ""
	}
	total := 0
	for _, t := range targets {
		total += t.Weight
	}
	draw := rand.IntN(max(1, total))
	for _, t := range targets {
		if draw -= t.Weight; draw < 0 {
			return t.Service
		}
	}
	return targets[0].Service
}

// bound sets when the request must be over, and ends its context then.
func (j *request) bound() {
	limit := defaultDeadline
	if j.route.Timeout > 0 {
		limit = j.route.Timeout
	}
	if j.params.Deadline > 0 {
		limit = min(limit, j.params.Deadline)
	}
	j.ends = j.began + limit
	// A caller that takes nothing must not hold its answer's memory for ever. A
	// connection that can't take deadlines is a test's; nothing is lost.
	_ = http.NewResponseController(j.w).SetWriteDeadline(time.Now().Add(limit + writeMargin))
	j.ctx, j.cancel = context.WithTimeoutCause(j.r.Context(), limit, errTimeout)
}

// room is what the body takes of the memory for bodies.
func (j *request) room() int64 {
	n := j.r.ContentLength
	if n < 0 {
		n = unknownBody
	}
	return min(n, j.entry.bodyRoom)
}

// readBody takes the whole body, so that it can be handed on again and a refusal
// after it is known to be true.
func (j *request) readBody() bool {
	e := j.entry
	limit := e.limits().BodyBytes
	if j.r.ContentLength > limit {
		return j.deny(http.StatusRequestEntityTooLarge, "body too long")
	}
	if !e.bodies.TryAcquire(j.room()) {
		return j.refuse("no memory for another body", defaultRetryAfter)
	}
	if j.r.ContentLength == 0 {
		return true
	}
	control := http.NewResponseController(j.w)
	// A connection that can't take deadlines is a test's; nothing is lost.
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(j.w, j.r.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		j.body = body
		return true
	}
	e.bodies.Release(j.room())
	var long *http.MaxBytesError
	var slow net.Error
	switch {
	case errors.As(err, &long):
		return j.deny(http.StatusRequestEntityTooLarge, "body too long")
	case errors.As(err, &slow) && slow.Timeout():
		return j.deny(http.StatusRequestTimeout, "body too slow")
	}
	j.outcome, j.reason = outcomeLeft, "body cut off"
	panic(http.ErrAbortHandler)
}

// run hands the request to replicas until one has answered.
func (j *request) run() {
	e := j.entry
	repeatable := j.route.Repeatable()
	e.state.mu.Lock()
	budget := e.state.budgetOf(j.service.Name)
	budget.RecordRequest(e.clock.now())
	e.state.mu.Unlock()
	j.forward = attempt.NewDispatchPlan(attempt.DispatchSpec{
		Repeatable:    repeatable,
		MaxRuns:       j.route.MaxAttempts,
		MaxDispatches: attempt.DefaultMaxDispatches,
		Deadline:      j.ends,
	}, budget)
	j.query = j.newQuery()
	j.print = j.fingerprint()
	j.handOn()
}

func (j *request) newQuery() route.PickQuery {
	q := route.PickQuery{
		Service:       j.service.Name,
		SharedTokens:  j.params.SharedTokens(),
		PromptTokens:  j.params.PromptTokens,
		OutputTokens:  j.params.OutputTokens,
		FailureDomain: j.entry.settings.FailureDomain,
	}
	if j.params.ExpectedOutput > 0 {
		q.OutputTokens = min(q.OutputTokens, j.params.ExpectedOutput)
	}
	q.Levels = j.levels()
	return q
}

// loadBound is the load, in milliseconds, behind which the request may be placed at a
// replica while it can be in time; 0 for any.
func (j *request) loadBound() float64 {
	if j.service.Engine == nil {
		return 0
	}
	return loadShare * float64(j.route.LatencyTarget.Milliseconds())
}

// levels are the nested prefixes that the prompt may share with others.
func (j *request) levels() []route.PrefixLevel {
	shared := j.params.SharedParts()
	ids := make([]string, len(shared))
	tokens := make([]int, len(shared))
	for i, part := range shared {
		ids[i], tokens[i] = part.ID, part.Tokens
	}
	return route.PrefixLevels(j.params.Model+"/"+j.wall(), ids, tokens)
}

// wall names the organisation if its cached parts must not be shared.
func (j *request) wall() string {
	if j.organisation != nil && j.organisation.Isolated {
		return j.organisation.Name
	}
	return ""
}

// salt separates cached parts by the version of the weights that made them and by
// the walls between organisations.
func (j *request) salt(version uint64) string {
	if j.params.Model == "" || version == 0 {
		return ""
	}
	return j.params.Model + "@" + strconv.FormatUint(version, 10) + "/" + j.wall()
}

// priority is the rank at an engine.
func (j *request) priority() int {
	if j.organisation != nil && j.organisation.Priority != nil {
		return *j.organisation.Priority
	}
	return j.route.Priority
}

// deny ends a request that is not proper. It always returns false.
func (j *request) deny(status int, reason string) bool {
	j.outcome = outcomeDenied
	j.reply(status, reason, 0)
	return false
}

// refuse ends a request that has not run and will not. It always returns false.
func (j *request) refuse(reason string, after time.Duration) bool {
	j.outcome = outcomeRefused
	j.reply(http.StatusServiceUnavailable, reason, after)
	return false
}

// fail ends a request that may have run; after is when it makes sense to come back,
// 0 for no word on that.
func (j *request) fail(status int, reason string, after time.Duration) {
	j.outcome = outcomeFailed
	j.reply(status, reason, after)
}

func (j *request) reply(status int, reason string, after time.Duration) {
	j.status, j.reason = status, reason
	h := j.w.Header()
	j.entry.platform.Headers.Refusal(h, j.params.ID)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	j.w.WriteHeader(status)
	_, _ = io.WriteString(j.w, reason+"\n") // the caller may have gone
}
