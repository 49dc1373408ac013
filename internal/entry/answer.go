package entry

import (
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/protocol"
	"skylarklead/internal/telemetry"
)

// answerWriter writes one request's answer to its caller. It is owned by one
// goroutine.
type answerWriter struct {
	e   *Entry
	job *job
	out sink
}

// progress is what handling one message changed.
type progress struct {
	started bool
	chunks  int
	end     *protocol.End
}

// handleMessage delivers the message's part of the answer to the caller. An error
// means that writing to the caller failed.
func (a *answerWriter) handleMessage(conn *attemptConn, in receivedMessage) (progress, error) {
	var got progress
	var dropped attempt.DropReason
	var err error
	receiver := a.job.receiver
	switch m := in.message.(type) {
	case *protocol.Start:
		if dropped = receiver.Start(m); dropped == attempt.Accepted {
			got.started = true
			err = a.out.start(conn.peer.ID, m)
		}
	case *protocol.Chunk:
		got.chunks, dropped, err = a.deliver(conn, m)
	case *protocol.End:
		_, dropped = receiver.End(m, a.e.now())
	}
	if dropped != attempt.Accepted {
		a.e.tel.Metrics.Dropped.Inc(1)
		a.e.tel.Log.Debug("message dropped", "request", a.job.id, "attempt", conn.id.String(), "why", dropped.String())
	}
	if receiver.Complete() {
		got.end = receiver.Ended()
	}
	return got, err
}

// deliver writes the chunks that are now in order to the caller.
func (a *answerWriter) deliver(conn *attemptConn, c *protocol.Chunk) (int, attempt.DropReason, error) {
	receiver := a.job.receiver
	first := receiver.Next()
	due, dropped := receiver.Chunk(c, a.e.now())
	for i, data := range due {
		id := eventID{executor: conn.peer.ID, epoch: conn.peer.Epoch, attempt: conn.id, seq: first + uint64(i)}
		if err := a.out.chunk(id, data); err != nil {
			return i, dropped, err
		}
		a.recordChunk(data)
	}
	if credit, ok := receiver.Consumed(len(due)); ok {
		// A failed write closes the session; the attempt's owner sees that.
		_ = conn.session.Send(&credit)
	}
	return len(due), dropped, nil
}

func (a *answerWriter) recordChunk(data []byte) {
	j := a.job
	if j.firstToken == 0 {
		j.firstToken = time.Since(j.received)
	}
	if j.call == nil {
		j.answer = append(j.answer, data...)
	}
}

// conclude completes the caller's answer, or fails it if the attempt did not
// succeed.
func (a *answerWriter) conclude(end *protocol.End) {
	if end.Code != protocol.CodeNone || end.Outcome != protocol.Done {
		a.fail(errorFromEnd(end))
		return
	}
	j := a.job
	if j.call == nil {
		end.CompletionTokens += int(j.priorChunks)
	}
	if err := a.out.end(end); err != nil {
		a.e.tel.Log.Info("caller disconnected before the end of its answer", "request", j.id, "error", err)
	}
	m := a.e.tel.Metrics
	m.Completed.Mark(1)
	m.Tokens.Mark(int64(end.CompletionTokens))
	if j.call == nil && !j.resumed && j.firstToken > 0 {
		m.FirstToken(j.organisation.ID, j.firstToken)
		m.Prompt(end.PromptTokens, end.CachedTokens, j.decision.PredictedCached)
	}
	a.recordDecision(j.decision.Reason, end.CachedTokens, protocol.Done)
}

// fail ends the answer with an error.
func (a *answerWriter) fail(err *Error) {
	a.out.fail(err)
	a.e.tel.Metrics.Refused(err.Code)
	a.e.tel.Log.Info("request failed", "request", a.job.id, "organisation", a.job.organisation.ID,
		"code", err.Code, "ran", err.Ran, "attempts", a.job.attempts, "cause", err.Message)
	a.recordDecision(string(err.Code), 0, err.Ran)
}

// recordDecision writes the request's decision record. There is one per request.
func (a *answerWriter) recordDecision(reason string, cached int, outcome protocol.Outcome) {
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
