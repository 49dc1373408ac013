package entry

import (
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/protocol"
	"skylarklead/internal/telemetry"
)

// answer is one request's answer on its way to the caller. One goroutine owns it.
type answer struct {
	e   *Entry
	job *job
	out sink
}

// taken is what one message changed.
type taken struct {
	started bool
	chunks  int
	end     *protocol.End
}

// take delivers a message's part of the answer. An error is the caller's.
func (a *answer) take(l *link, in arrival) (taken, error) {
	var got taken
	var dropped attempt.DropReason
	var err error
	receiver := a.job.receiver
	switch m := in.message.(type) {
	case *protocol.Start:
		if dropped = receiver.Start(m); dropped == attempt.Accepted {
			got.started = true
			err = a.out.start(l.peer.ID, m)
		}
	case *protocol.Chunk:
		got.chunks, dropped, err = a.deliver(l, m)
	case *protocol.End:
		_, dropped = receiver.End(m, a.e.now())
	}
	if dropped != attempt.Accepted {
		a.e.tel.Metrics.Dropped.Inc(1)
		a.e.tel.Log.Debug("message dropped", "request", a.job.id, "attempt", l.id.String(), "why", dropped.String())
	}
	if receiver.Complete() {
		got.end = receiver.Ended()
	}
	return got, err
}

// deliver writes the chunks that are now due to the caller, in order.
func (a *answer) deliver(l *link, c *protocol.Chunk) (int, attempt.DropReason, error) {
	receiver := a.job.receiver
	first := receiver.Next()
	due, dropped := receiver.Chunk(c, a.e.now())
	for i, data := range due {
		at := eventID{executor: l.peer.ID, epoch: l.peer.Epoch, attempt: l.id, seq: first + uint64(i)}
		if err := a.out.chunk(at, data); err != nil {
			return i, dropped, err
		}
		a.note(data)
	}
	if credit, ok := receiver.Consumed(len(due)); ok {
		// A failed write closes the session, which its attempt sees.
		_ = l.session.Send(&credit)
	}
	return len(due), dropped, nil
}

func (a *answer) note(data []byte) {
	j := a.job
	if j.firstToken == 0 {
		j.firstToken = time.Since(j.received)
	}
	if j.call == nil {
		j.answer = append(j.answer, data...)
	}
}

// conclude gives the caller the end of its answer.
func (a *answer) conclude(end *protocol.End) {
	if end.Code != protocol.CodeNone || end.Outcome != protocol.Done {
		a.fail(fromEnd(end))
		return
	}
	j := a.job
	if j.call == nil {
		end.CompletionTokens += int(j.before)
	}
	if err := a.out.end(end); err != nil {
		a.e.tel.Log.Info("caller left before the end", "request", j.id, "error", err)
	}
	m := a.e.tel.Metrics
	m.Completed.Mark(1)
	m.Tokens.Mark(int64(end.CompletionTokens))
	if j.call == nil && !j.resumed && j.firstToken > 0 {
		m.FirstToken(j.organisation.ID, j.firstToken)
		m.Prompt(end.PromptTokens, end.CachedTokens, j.decision.PredictedCached)
	}
	a.record(j.decision.Reason, end.CachedTokens, protocol.Done)
}

// fail ends the answer with an error.
func (a *answer) fail(err *Error) {
	a.out.fail(err)
	a.e.tel.Metrics.Refused(err.Code)
	a.e.tel.Log.Info("request failed", "request", a.job.id, "organisation", a.job.organisation.ID,
		"code", err.Code, "ran", err.Ran, "attempts", a.job.attempts, "cause", err.Message)
	a.record(string(err.Code), 0, err.Ran)
}

// record writes the request's one decision line.
func (a *answer) record(reason string, cached int, outcome protocol.Outcome) {
	j := a.job
	a.e.tel.Decisions.Record(protocol.DecisionRecord{
		Request:         j.id,
		Kind:            telemetry.KindRequest,
		Organisation:    j.organisation.ID,
		Owner:           j.decision.Owner,
		Executor:        j.decision.Executor.Endpoint,
		Reason:          reason,
		PredictedCached: j.decision.PredictedCached,
		ActualCached:    cached,
		Candidates:      j.decision.Candidates,
		Outcome:         outcome,
	})
}
