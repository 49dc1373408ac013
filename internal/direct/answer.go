package direct

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"skylarklead/internal/attempt"
	"skylarklead/internal/fleet"
	"skylarklead/internal/member"
	"skylarklead/internal/upstream"
)

const (
	// wholeLimit is the longest answer that is taken whole before any of it is passed
	// on, in bytes. One that breaks off can then be asked for again.
	wholeLimit = 256 << 10
	eventType  = "text/event-stream"
)

// wholeAnswer is a replica's answer, complete.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// answer passes a replica's answer on, or tells why it can't be.
func (j *request) answer(p *placement, x *upstream.Exchange) (loss attempt.DispatchFailure, done bool) {
	head := j.entry.platform.Headers.Answer(x.Status, x.Header)
	j.noteVersion(p, &head)
	j.noteNotice(p, &head)
	if head.NotRun {
		j.noteRefusal(p, &head)
		return attempt.FailureNotRun, false
	}
	success := x.Status/100 == 2
	if success && !head.Sealed {
		return j.garbled(p), false
	}
	if success && strings.HasPrefix(x.Header.Get("Content-Type"), eventType) {
		return j.stream(p, x)
	}
	whole, err := readWhole(x)
	if err != nil {
		return j.broken(p, err), false
	}
	if x.Status >= http.StatusInternalServerError || promisesNotRun(x.Status) {
		j.worked(p)
		if head.Sealed && !promisesNotRun(x.Status) {
			j.failure = whole
		}
		return attempt.FailureErrorResponse, false
	}
	j.worked(p)
	j.pass(whole)
	return 0, true
}

// promisesNotRun reports whether callers take a status for the word that a request
// has not run. Passed on from a replica that doesn't say so itself, it would have
// them send again what may have run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// readWhole reads a complete answer.
func readWhole(x *upstream.Exchange) (*wholeAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(x.Body, wholeLimit))
	if err != nil {
		return nil, err
	}
	if len(body) == wholeLimit {
		return nil, io.ErrShortBuffer
	}
	return &wholeAnswer{status: x.Status, header: x.Header, body: body}, nil
}

// pass gives the caller a complete answer.
func (j *request) pass(a *wholeAnswer) {
	j.outcome = outcomeServed
	if a.status/100 != 2 {
		j.outcome, j.reason = outcomeFailed, "the replica's own answer"
	}
	j.status = a.status
	j.first = j.entry.clock.now() - j.began
	j.head(a.header)
	j.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	j.w.WriteHeader(a.status)
	_, _ = j.w.Write(a.body) // the caller may have gone
}

// head copies a replica's headers to the caller's answer.
func (j *request) head(h http.Header) {
	out := j.w.Header()
	for name, values := range j.entry.platform.Headers.ToCaller(h) {
		out[name] = values
	}
	if j.entry.draining() {
		out.Set("Connection", "close")
	}
}

// worked notes a good answer.
func (j *request) worked(p *placement) {
	s := j.entry.state
	s.mu.Lock()
	s.replicas.RecordSuccess(p.replica.ID, j.entry.clock.now())
	s.crashes.RecordSuccess(j.print, p.replica.ID)
	s.mu.Unlock()
}

func (j *request) fault(p *placement, f member.Fault) {
	s := j.entry.state
	s.mu.Lock()
	s.replicas.RecordFault(p.replica.ID, f, j.entry.clock.now())
	s.mu.Unlock()
}

// garbled takes an answer that nobody vouches for.
func (j *request) garbled(p *placement) attempt.DispatchFailure {
	j.fault(p, member.FaultMalformedAnswer)
	return attempt.FailureUnknown
}

// broken takes an answer that broke off.
func (j *request) broken(p *placement, err error) attempt.DispatchFailure {
	j.hands[len(j.hands)-1].err = err
	if j.ctx.Err() == nil {
		j.fault(p, member.FaultConnectionLost)
		j.broke(p)
	}
	return attempt.FailureUnknown
}

// noteVersion takes the weights that an answer was begun on.
func (j *request) noteVersion(p *placement, head *fleet.Answer) {
	if j.params.Model == "" || head.Version == 0 {
		return
	}
	s := j.entry.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.board.ObserveVersion(p.replica.ID, j.params.Model, head.Version, 0) {
		s.feed.CacheCleared(p.replica.ID, j.entry.clock.now())
	}
}

// noteRefusal learns from a replica that didn't run the request. If it is full or
// busy with an order it is left alone for a moment. If it is the one expected and
// still says that the request was for another, its weights are newer than believed:
// versions only grow. An entry that is cut off from the store, and so hears no
// notes, finds the version out in this way instead of being refused at each try.
func (j *request) noteRefusal(p *placement, head *fleet.Answer) {
	e := j.entry
	s := e.state
	now := e.clock.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !head.Misdirected:
		s.replicas.MarkBusy(p.replica.ID, now)
	case head.Instance != "" && head.Instance != p.replica.Name:
		e.handleReplaced(p.replica, head.Instance, 0)
	case j.params.Model != "":
		s.board.ObserveVersion(p.replica.ID, j.params.Model, p.version+1, 0)
		s.feed.CacheCleared(p.replica.ID, now)
	}
}
