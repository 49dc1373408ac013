package direct

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"skylarklead/internal/attempt"
	"skylarklead/internal/fleet"
	"skylarklead/internal/member"
	"skylarklead/internal/upstream"
)

const (
	// maxBufferedAnswer bounds, in bytes, an answer that is read whole before it is forwarded,
	// so that the request can be retried if the answer breaks off.
	maxBufferedAnswer = 256 << 10
	eventStreamType   = "text/event-stream"
)

// errAnswerTooLong reports an answer beyond maxBufferedAnswer.
var errAnswerTooLong = fmt.Errorf("%w: body of more than %d bytes", upstream.ErrMalformed, maxBufferedAnswer)

// bufferedAnswer is a replica's complete answer.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// forwardAnswer forwards a replica's answer to the caller. If it can't, failure says why.
func (req *request) forwardAnswer(p *placement, x *upstream.Exchange) (failure attempt.DispatchFailure, done bool) {
	head := req.entry.platform.Headers.Answer(x.Status, x.Header)
	req.updateVersion(p, &head)
	req.handleNotice(p, &head)
	if head.NotRun {
		req.handleNotRun(p, &head)
		return attempt.FailureNotRun, false
	}
	success := x.Status/100 == 2
	if success && !head.Sealed {
		return req.handleUnsealed(p), false
	}
	if success && strings.HasPrefix(x.Header.Get("Content-Type"), eventStreamType) {
		return req.forwardStream(p, x)
	}
	if req.firstByte > 0 {
		// Nothing but events can follow the events that the caller has.
		return attempt.FailureErrorResponse, false
	}
	req.entry.monitor.received(p.inFlight)
	answer, err := bufferAnswer(x)
	if err != nil {
		return req.handleBrokenAnswer(p, err), false
	}
	if x.Status >= http.StatusInternalServerError || impliesNotRun(x.Status) {
		req.recordAnswered(p)
		if head.Sealed && !impliesNotRun(x.Status) {
			req.fallbackAnswer = answer
		}
		return attempt.FailureErrorResponse, false
	}
	if success {
		req.recordSuccess(p)
	} else {
		req.recordAnswered(p)
	}
	req.writeAnswer(answer)
	return 0, true
}

// impliesNotRun reports whether callers take a status to mean that the request has not run.
// Forwarded from a replica that doesn't say so itself, it would make them resend a request that may
// have run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// bufferAnswer reads a complete answer of less than maxBufferedAnswer bytes.
func bufferAnswer(x *upstream.Exchange) (*bufferedAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(x.Body, maxBufferedAnswer))
	if err != nil {
		return nil, err
	}
	if len(body) == maxBufferedAnswer {
		return nil, errAnswerTooLong
	}
	return &bufferedAnswer{status: x.Status, header: x.Header, body: body}, nil
}

// writeAnswer sends the caller a complete answer.
func (req *request) writeAnswer(a *bufferedAnswer) {
	req.outcome = outcomeServed
	if a.status/100 != 2 {
		req.outcome, req.reason = outcomeFailed, "error answer from the replica"
	}
	req.status = a.status
	req.firstByte = req.entry.clock.now() - req.started
	req.copyHeaders(a.header)
	req.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	req.allowWriting()
	req.w.WriteHeader(a.status)
	_, _ = req.w.Write(a.body) // the caller may have gone
}

// copyHeaders copies a replica's headers to the caller's answer.
func (req *request) copyHeaders(h http.Header) {
	out := req.w.Header()
	for name, values := range req.entry.platform.Headers.ToCaller(h) {
		out[name] = values
	}
	if req.entry.draining() {
		out.Set("Connection", "close")
	}
}

// recordAnswered records that the replica answered the request, whatever it said.
func (req *request) recordAnswered(p *placement) {
	s := req.entry.state
	s.mu.Lock()
	s.replicas.RecordSuccess(p.replica.ID, req.entry.clock.now())
	s.crashes.RecordAnswered(p.replica.ID, p.sentAt)
	s.mu.Unlock()
}

// recordSuccess records a good answer of the replica to the request. Only that shows that the request
// doesn't crash replicas: one that answers with an error may not have begun to work on it.
func (req *request) recordSuccess(p *placement) {
	req.recordAnswered(p)
	s := req.entry.state
	s.mu.Lock()
	lifted := s.recordGoodAnswer(req.keys, req.entry.clock.now())
	s.mu.Unlock()
	req.entry.verdicts.remove(lifted)
	req.liftRestriction(append(slices.Clone(req.keys.Parts), req.keys.Fingerprint))
}

// recordFault counts a fault of the replica.
func (req *request) recordFault(p *placement, f member.Fault) {
	s := req.entry.state
	s.mu.Lock()
	s.replicas.RecordFault(p.replica.ID, f, req.entry.clock.now())
	s.mu.Unlock()
}

// handleUnsealed handles a success without the replica's seal: its origin is unverified.
func (req *request) handleUnsealed(p *placement) attempt.DispatchFailure {
	req.recordFault(p, member.FaultMalformedAnswer)
	return attempt.FailureUnknown
}

// handleBrokenAnswer handles an answer that broke off.
func (req *request) handleBrokenAnswer(p *placement, err error) attempt.DispatchFailure {
	req.dispatches[len(req.dispatches)-1].err = err
	if req.ctx.Err() == nil {
		req.recordBreak(p, err)
	}
	return attempt.FailureUnknown
}

// updateVersion records the version of the weights that an answer was begun on.
func (req *request) updateVersion(p *placement, head *fleet.Answer) {
	if req.params.Model == "" || head.Version == 0 {
		return
	}
	s := req.entry.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.versionTracker.ObserveVersion(p.replica.ID, req.params.Model, head.Version, 0) {
		s.picker.CacheCleared(p.replica.ID, req.entry.clock.now())
	}
}

// handleNotRun updates the replica's state after it refused to run the request. If it is full or
// executing an order, it gets no requests for a moment. If it is the intended instance and
// still reports the request as misdirected, its weights are newer than known here, because versions
// only grow. An entry that is cut off from the store receives no rollout records; it finds the new
// version this way instead of being refused at each try.
func (req *request) handleNotRun(p *placement, head *fleet.Answer) {
	e := req.entry
	s := e.state
	now := e.clock.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !head.Misdirected && p.continuation != nil:
		// It has no copy of the run, which says nothing about its load.
	case !head.Misdirected:
		s.replicas.MarkBusy(p.replica.ID, now)
	case head.Instance != "" && head.Instance != p.replica.Name:
		e.handleReplaced(p.replica, head.Instance, 0)
	case req.params.Model != "":
		e.observeNewerWeights(p.replica.ID, req.params.Model, max(p.version+1, head.Version))
	}
}
