package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/protocol"
	"skylarklead/internal/wire"
)

const (
	reasonResume = "resume"
	// maxResumeTries bounds the consecutive failures to reach a resumed stream's
	// executor. With a doubling backoff they take a few seconds.
	maxResumeTries = 6
)

// resume serves GET /v1/streams: it takes over the stream that Last-Event-ID names,
// whichever entry it started at. The state of the stream is at its executor; this
// entry knows only what Last-Event-ID says.
func (e *Entry) resume(w http.ResponseWriter, r *http.Request, req *request) *Error {
	lastEvent, err := parseEventID(r.Header.Get("Last-Event-ID"))
	if err != nil {
		return refusef(protocol.CodeBadRequest, "header Last-Event-ID: %v", err)
	}
	executor, ok := e.directory.lookup(lastEvent.executor)
	if !ok {
		return streamLostError("its executor is no longer known")
	}
	target := protocol.Target{Endpoint: executor.ID, Address: executor.Address, Epoch: lastEvent.epoch}
	j := &job{
		request:  req,
		group:    executor.Group,
		resumed:  true,
		receiver: attempt.NewReceiver(window),
		attempts: 1,
		decision: protocol.Decision{Executor: target, Reason: reasonResume},
	}
	j.receiver.BeginAt(lastEvent.attempt, lastEvent.seq+1)
	ctx := e.newRequestContext(r.Context(), req.deadline, e.settings.Entry.ResumeGrace.D())
	defer ctx.cancel(nil)
	e.tel.Metrics.Requests.Mark(1)
	out := newSSESink(e.newWriter(w), newChatMeta(req.id, ""), req.id, false)
	s := &resumedStream{answerWriter: &answerWriter{e: e, job: j, out: out}, ctx: ctx, target: target}
	s.run(lastEvent.attempt)
	return nil
}

func streamLostError(message string) *Error {
	return &Error{Code: protocol.CodeUnknownOutcome, Message: "the stream can't be resumed: " + message, Ran: protocol.Unknown}
}

// entryEndedError is the error of a stream that this entry can't bring to its end. Its executor goes on.
func entryEndedError() *Error {
	return &Error{Code: protocol.CodeUnknownOutcome, Message: "this entry shut down; resume the stream through another one", Ran: protocol.Unknown}
}

// supersededError is the error of a stream whose remainder goes to a later resume.
func supersededError() *Error {
	return &Error{Code: protocol.CodeCanceled, Message: "the stream was taken over by a resume", Ran: protocol.Unknown}
}

// resumedStream is a stream that its caller resumed. Without the request's body it
// can't run elsewhere. If its executor has restarted, the new process is asked
// nevertheless: its engine may have continued the stream.
type resumedStream struct {
	*answerWriter
	ctx    *requestContext
	target protocol.Target
}

// run receives the stream, and attaches again as long as sessions break and chunks
// still come.
func (s *resumedStream) run(id protocol.AttemptID) {
	backoff := attempt.DefaultPlanParams.Backoff
	for tries := 0; tries < maxResumeTries && s.ctx.Err() == nil; tries++ {
		session, err := s.connect()
		before := s.job.receiver.Next()
		if err == nil && s.attach(id, session) {
			return
		}
		if s.job.receiver.Next() > before {
			tries, backoff = 0, attempt.DefaultPlanParams.Backoff
			continue
		}
		// Back off even if the session opened: a peer that closes sessions at once
		// would otherwise exhaust the tries within a millisecond.
		s.ctx.sleep(backoff)
		backoff *= 2
	}
	if s.ctx.Err() != nil {
		s.failExpired()
		return
	}
	s.fail(streamLostError("its executor can't be reached"))
}

// connect opens a session to the executor, whatever its epoch is now.
func (s *resumedStream) connect() (*wire.Session, error) {
	ctx, cancel := context.WithTimeout(s.ctx, executorTimeout)
	defer cancel()
	return s.e.sessionTo(ctx, s.target)
}

// attach receives the stream over one session. It returns false if the stream must
// be attached again over another session.
func (s *resumedStream) attach(id protocol.AttemptID, session *wire.Session) bool {
	conn := s.e.openAttempt(id, session)
	defer s.e.closeAttempt(conn)
	// A failed write closes the session; receive handles that.
	_ = session.Send(s.job.newResume(id, s.target.Epoch))
	return s.receive(conn)
}

// receive delivers the stream's messages until the stream or its session ends. It
// returns what attach returns.
func (s *resumedStream) receive(conn *attemptConn) bool {
	for {
		idle := time.NewTimer(idleCheckInterval)
		select {
		case in := <-conn.mailbox.messages:
			conn.idleChecks = 0
			got, err := s.handleMessage(conn, in)
			if err != nil {
				return s.awaitReturn(conn)
			}
			if got.end != nil {
				s.onEnd(conn, got.end)
				return true
			}
		case <-idle.C:
			s.e.checkLiveness(conn)
			if s.job.receiver.MustResume(s.e.now()) {
				return false
			}
		case <-conn.session.Done():
			return false
		case <-conn.mailbox.overflowed:
			return false
		case <-conn.mailbox.superseded:
			s.fail(supersededError())
			return true
		case <-s.ctx.callerGone:
			return s.awaitReturn(conn)
		case <-s.ctx.Done():
			return s.abandon(conn)
		}
		idle.Stop()
	}
}

func (s *resumedStream) onEnd(conn *attemptConn, end *protocol.End) {
	if end.Outcome == protocol.Unknown && end.Message == "" && conn.peer.Epoch != s.target.Epoch {
		s.fail(streamLostError("its executor was restarted"))
		return
	}
	s.conclude(end)
}

// awaitReturn stops reading and waits for the caller to resume once more, until the
// grace period ends.
func (s *resumedStream) awaitReturn(conn *attemptConn) bool {
	grace := time.NewTimer(s.ctx.grace)
	defer grace.Stop()
	select {
	case <-conn.mailbox.superseded:
		s.fail(supersededError())
		return true
	case <-grace.C:
	case <-s.ctx.Done():
	}
	return s.abandon(conn)
}

// abandon cancels a stream that no caller has resumed in time.
func (s *resumedStream) abandon(conn *attemptConn) bool {
	// When this entry is stopping, and when the session is lost, the executor ends the
	// stream itself after the grace period.
	if cause := context.Cause(s.ctx); !errors.Is(cause, errStopping) && !errors.Is(cause, errEnding) {
		_ = conn.session.Send(&protocol.Cancel{Attempt: conn.id})
	}
	s.failExpired()
	return true
}

// failExpired ends the stream with the reason why its context ended.
func (s *resumedStream) failExpired() {
	switch cause := context.Cause(s.ctx); {
	case errors.Is(cause, errDeadline):
		s.fail(&Error{Code: protocol.CodeDeadline, Message: "the deadline has passed", Ran: protocol.Unknown})
		return
	case errors.Is(cause, errEnding):
		s.fail(entryEndedError())
		return
	}
	s.fail(&Error{Code: protocol.CodeCanceled, Message: "the caller disconnected", Ran: protocol.Unknown})
}
