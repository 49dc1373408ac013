package endpoint

import (
	"context"
	"errors"
	"time"

	"skylarklead/internal/telemetry"
	"skylarklead/internal/wire"
)

// drainRetryAfter is what a refused caller of a leaving endpoint is told.
const drainRetryAfter = time.Second

var errCanceled = errors.New("endpoint: attempt canceled")

// onRun takes a request that this process is to execute.
func (e *Endpoint) onRun(s *wire.Session, run *wire.Run) {
	if known := e.attempts[run.Attempt]; known != nil {
		e.onKnownRun(s, run, known)
		return
	}
	a := e.open(s, run)
	if refusal := e.refuse(run); refusal != nil {
		e.end(a, *refusal)
		return
	}
	e.admit(a)
}

// onKnownRun handles a Run whose attempt isn't new. A fenced one has been
// answered not_run and must not run; a doubled one is dropped.
func (e *Endpoint) onKnownRun(s *wire.Session, run *wire.Run, known *attempt) {
	if known.phase != phaseFenced {
		e.dropped("doubled run", s, "attempt", run.Attempt.String())
		return
	}
	e.dropped("fenced run", s, "attempt", run.Attempt.String())
	end := &wire.End{Attempt: run.Attempt, Seq: run.FirstSeq, Outcome: wire.NotRun, Code: wire.CodeNotRun}
	go s.Send(end) // the sender has its answer from Resolve already
}

// open enters a new attempt in the table and starts to serve its stream.
func (e *Endpoint) open(s *wire.Session, run *wire.Run) *attempt {
	ctx, stopPump := context.WithCancel(context.Background())
	a := &attempt{
		id:       run.Attempt,
		run:      run,
		phase:    phaseWaiting,
		session:  s,
		begunAt:  e.now(),
		stream:   newStream(run, s),
		stop:     func(error) {},
		stopPump: stopPump,
	}
	e.attempts[run.Attempt] = a
	e.tel.Metrics.Requests.Mark(1)
	go a.stream.pump(ctx, func(s *wire.Session) {
		e.loop.must(func() { a.delivered = a.delivered || a.session == s })
	})
	return a
}

// refuse returns why a request can't be run here, or nil.
func (e *Endpoint) refuse(run *wire.Run) *wire.End {
	isCall := run.Call != nil
	switch {
	case run.Group != e.settings.Endpoint.Group,
		isCall != (e.service != nil),
		isCall == (len(run.Messages) > 0):
		return &wire.End{Outcome: wire.NotRun, Code: wire.CodeBadRequest, Message: "not for this endpoint"}
	case e.drain.leaving:
		return &wire.End{
			Outcome:      wire.NotRun,
			Code:         wire.CodeDraining,
			RetryAfterMs: drainRetryAfter.Milliseconds(),
			Redirect:     e.redirect(run),
		}
	}
	return nil
}

// redirect names another endpoint for a request, or nil.
func (e *Endpoint) redirect(*wire.Run) *wire.Target { return nil }

// gate is what runs and what waits.
type gate struct {
	running int
	queue   []*attempt
}

func (e *Endpoint) admit(a *attempt) {
	if len(e.gate.queue) >= e.settings.Endpoint.MaxQueue && e.gate.running >= e.settings.Endpoint.MaxRunning {
		e.end(a, wire.End{Outcome: wire.NotRun, Code: wire.CodeOverloaded, RetryAfterMs: 1000})
		return
	}
	e.gate.queue = append(e.gate.queue, a)
	e.startAdmitted()
}

func (e *Endpoint) startAdmitted() {
	for len(e.gate.queue) > 0 && e.gate.running < e.settings.Endpoint.MaxRunning {
		a := e.gate.queue[0]
		e.gate.queue = e.gate.queue[1:]
		if a.phase != phaseWaiting {
			continue
		}
		e.gate.running++
		e.start(a)
	}
}

// start hands an admitted attempt to the back end.
func (e *Endpoint) start(a *attempt) {
	ctx, stop := context.WithCancelCause(context.Background())
	a.phase = phaseRunning
	a.stop = stop
	job := job{run: a.run, stream: a.stream, begun: time.Now()}
	go func() {
		defer stop(nil)
		var end wire.End
		if a.run.Call != nil {
			end = e.runCall(ctx, job)
		} else {
			end = e.runCompletion(ctx, job)
		}
		e.loop.must(func() { e.finished(a, end) })
	}()
}

// job is what a run on the back end needs; it is shared with the goroutine.
type job struct {
	run    *wire.Run
	stream *stream
	begun  time.Time
}

// finished takes an attempt off the back end.
func (e *Endpoint) finished(a *attempt, end wire.End) {
	e.gate.running--
	e.end(a, end)
	e.startAdmitted()
}

// end settles an attempt's outcome and sends its End.
func (e *Endpoint) end(a *attempt, end wire.End) {
	if a.phase == phaseEnded {
		return
	}
	a.phase = phaseEnded
	a.outcome = end.Outcome
	a.endedAt = e.now()
	a.stream.finish(end)
	e.account(a.run, end)
}

func (e *Endpoint) account(run *wire.Run, end wire.End) {
	reason := string(end.Code)
	if end.Code == wire.CodeNone {
		reason = string(end.Outcome)
	}
	e.tel.Decisions.Record(wire.DecisionRecord{
		Request:      run.Request,
		Kind:         telemetry.KindRun,
		Organisation: run.Organisation,
		Owner:        run.Owner,
		Executor:     e.settings.ID,
		Reason:       reason,
		ActualCached: end.CachedTokens,
		Outcome:      end.Outcome,
	})
	if end.Code != wire.CodeNone {
		e.tel.Metrics.Refused(end.Code)
	}
	if end.Outcome == wire.Done {
		e.tel.Metrics.Completed.Mark(1)
		e.tel.Metrics.Tokens.Mark(int64(end.CompletionTokens))
		e.tel.Metrics.Prompt(end.PromptTokens, end.CachedTokens, 0)
	}
}
