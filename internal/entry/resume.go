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
	// resumeTries bounds how often in a row a resumed stream's executor may be out
	// of reach; with doubled pauses they last some seconds.
	resumeTries = 6
)

// resume serves GET /v1/streams: it takes over the stream that Last-Event-ID
// names, whichever entry it began at. The stream itself is at its executor; this
// entry knows nothing of it but the caller's word.
func (e *Entry) resume(w http.ResponseWriter, r *http.Request, req *request) *Error {
	at, err := parseEventID(r.Header.Get("Last-Event-ID"))
	if err != nil {
		return refuse(protocol.CodeBadRequest, "header Last-Event-ID: %v", err)
	}
	executor, ok := e.directory.lookup(at.executor)
	if !ok {
		return lostStream("its executor is not known any more")
	}
	target := protocol.Target{Endpoint: executor.ID, Address: executor.Address, Epoch: at.epoch}
	j := &job{
		request:  req,
		group:    executor.Group,
		resumed:  true,
		receiver: attempt.NewReceiver(window),
		attempts: 1,
		decision: protocol.Decision{Executor: target, Reason: reasonResume},
	}
	j.receiver.BeginAt(at.attempt, at.seq+1)
	life := e.newLife(r.Context(), req.deadline, e.settings.Entry.ResumeGrace.D())
	defer life.cancel(nil)
	e.tel.Metrics.Requests.Mark(1)
	out := newSSESink(e.newWriter(w), newChatShape(req.id, ""), req.id, false)
	s := &resumption{answer: &answer{e: e, job: j, out: out}, life: life, target: target}
	s.run(at.attempt)
	return nil
}

func lostStream(message string) *Error {
	return &Error{Code: protocol.CodeUnknownOutcome, Message: "the stream can't be gone on with: " + message, Ran: protocol.Unknown}
}

// supersededError ends a stream whose rest goes to a later resume.
func supersededError() *Error {
	return &Error{Code: protocol.CodeCanceled, Message: "the stream was taken over by a resume", Ran: protocol.Unknown}
}

// resumption is a stream that was resumed by its caller. Without the request's
// body it can't be run elsewhere. When its executor was restarted, the new process
// is asked all the same: its engine may still go on with the stream.
type resumption struct {
	*answer
	life   *life
	target protocol.Target
}

// run takes the stream over, again while sessions break and chunks still come.
func (s *resumption) run(id protocol.AttemptID) {
	pause := attempt.DefaultPlanParams.Backoff
	for tries := 0; tries < resumeTries && s.life.Err() == nil; tries++ {
		session, err := s.reach()
		before := s.job.receiver.Next()
		if err == nil && s.takeOver(id, session) {
			return
		}
		if s.job.receiver.Next() > before {
			tries, pause = 0, attempt.DefaultPlanParams.Backoff
			continue
		}
		// Also after a session that opened: one that the peer closes at once would
		// otherwise use up the tries within a millisecond.
		s.life.sleep(pause)
		pause *= 2
	}
	if s.life.Err() != nil {
		s.expire()
		return
	}
	s.fail(lostStream("its executor can't be reached"))
}

// reach opens a session to the executor, whichever its epoch is now.
func (s *resumption) reach() (*wire.Session, error) {
	ctx, cancel := context.WithTimeout(s.life, tryTimeout)
	defer cancel()
	return s.e.sessionTo(ctx, s.target)
}

// takeOver delivers the stream over one session; it returns false if it has to be
// taken over once more.
func (s *resumption) takeOver(id protocol.AttemptID, session *wire.Session) bool {
	l := s.e.openLink(id, session)
	defer s.e.closeLink(l)
	// A failed write closes the session, which follow sees.
	_ = session.Send(s.job.resume(id, s.target.Epoch))
	return s.follow(l)
}

// follow is takeOver's waiting.
func (s *resumption) follow(l *link) bool {
	for {
		gap := time.NewTimer(gapCheck)
		select {
		case a := <-l.mailbox.arrivals:
			l.quiet = 0
			got, err := s.take(l, a)
			if err != nil {
				return s.wait(l)
			}
			if got.end != nil {
				s.ended(l, got.end)
				return true
			}
		case <-gap.C:
			s.e.look(l)
			if s.job.receiver.MustResume(s.e.now()) {
				return false
			}
		case <-l.session.Done():
			return false
		case <-l.mailbox.overflowed:
			return false
		case <-l.mailbox.superseded:
			s.fail(supersededError())
			return true
		case <-s.life.away:
			return s.wait(l)
		case <-s.life.Done():
			return s.abandon(l)
		}
		gap.Stop()
	}
}

func (s *resumption) ended(l *link, end *protocol.End) {
	if end.Outcome == protocol.Unknown && end.Message == "" && l.peer.Epoch != s.target.Epoch {
		s.fail(lostStream("its executor was restarted"))
		return
	}
	s.conclude(end)
}

// wait keeps the stream for a caller who may come back once more.
func (s *resumption) wait(l *link) bool {
	grace := time.NewTimer(s.life.grace)
	defer grace.Stop()
	select {
	case <-l.mailbox.superseded:
		s.fail(supersededError())
		return true
	case <-grace.C:
	case <-s.life.Done():
	}
	return s.abandon(l)
}

// abandon cancels a stream that nobody has waited for in time.
func (s *resumption) abandon(l *link) bool {
	if !errors.Is(context.Cause(s.life), errStopping) { // the executor counts the grace then
		_ = l.session.Send(&protocol.Cancel{Attempt: l.id}) // a lost session ends it as well
	}
	s.expire()
	return true
}

// expire tells the caller, if it is still there, why the stream ends.
func (s *resumption) expire() {
	if errors.Is(context.Cause(s.life), errDeadline) {
		s.fail(&Error{Code: protocol.CodeDeadline, Message: "the deadline has passed", Ran: protocol.Unknown})
		return
	}
	s.fail(&Error{Code: protocol.CodeCanceled, Message: "the caller has gone", Ran: protocol.Unknown})
}
