package endpoint

import (
	"context"
	"errors"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/prefix"
	"skylarklead/internal/protocol"
	"skylarklead/internal/route"
	"skylarklead/internal/wire"
)

// drainRetryAfter is the retry delay sent with a refusal while draining.
const drainRetryAfter = time.Second

var errCanceled = errors.New("endpoint: attempt canceled")

// onRun handles a request that this process is to execute.
func (e *Endpoint) onRun(s *wire.Session, run *protocol.Run) {
	switch e.registry.Arrive(run.Attempt, e.now()) {
	case attempt.ArrivalDuplicate:
		e.recordDropped("doubled run", s, "attempt", run.Attempt.String())
		return
	case attempt.ArrivalFenced:
		e.refuseFenced(s, run)
		return
	}
	a := e.addExecution(s, run)
	if refusal := e.runRefusal(run); refusal != nil {
		e.end(a, *refusal)
		return
	}
	if len(run.Key) > 0 {
		e.claim(a)
		return
	}
	e.awaitConfig(a)
}

// refuseFenced ends a Run whose attempt was answered not_run before the Run arrived.
func (e *Endpoint) refuseFenced(s *wire.Session, run *protocol.Run) {
	e.recordDropped("fenced run", s, "attempt", run.Attempt.String())
	end := &protocol.End{Attempt: run.Attempt, Seq: run.FirstSeq, Outcome: protocol.NotRun, Code: protocol.CodeNotRun}
	go s.Send(end) // the sender already has this answer from Resolve
}

// addExecution adds a new attempt to the table and starts to send its stream.
func (e *Endpoint) addExecution(s *wire.Session, run *protocol.Run) *execution {
	ctx, stopPump := context.WithCancel(context.Background())
	a := &execution{
		id:       run.Attempt,
		run:      run,
		phase:    phaseWaiting,
		session:  s,
		stream:   newStream(run, s, e.now),
		stop:     func(error) {},
		stopPump: stopPump,
	}
	e.executions[run.Attempt] = a
	e.tel.Metrics.Requests.Mark(1)
	go a.stream.pump(ctx, func(s *wire.Session) {
		e.loop.postUnbounded(func() { e.onDelivered(a, s) })
	})
	return a
}

// runRefusal returns why a request can't be run here, or nil.
func (e *Endpoint) runRefusal(run *protocol.Run) *protocol.End {
	isCall := run.Call != nil
	switch {
	case run.Group != e.settings.Endpoint.Group,
		isCall != (e.service != nil),
		isCall == (len(run.Messages) > 0):
		return &protocol.End{Outcome: protocol.NotRun, Code: protocol.CodeBadRequest, Message: "not for this endpoint"}
	case e.drain.leaving && len(run.Key) == 0:
		// A request with the key may have run already, here or elsewhere; only its
		// claim can tell whether not_run would be true.
		return &protocol.End{
			Outcome:      protocol.NotRun,
			Code:         protocol.CodeDraining,
			RetryAfterMs: drainRetryAfter.Milliseconds(),
			Redirect:     e.redirect(run),
		}
	}
	return nil
}

// redirect returns another endpoint for a request that was not run here, or nil.
func (e *Endpoint) redirect(run *protocol.Run) *protocol.Target {
	if run.Redirected {
		return nil
	}
	query := &route.Query{
		Ask: protocol.Ask{
			Request:      run.Request,
			Organisation: run.Organisation,
			Group:        run.Group,
			Model:        run.Model,
			Version:      run.Version,
			Levels:       run.Levels,
			PromptTokens: run.PromptTokens,
			MaxTokens:    run.MaxTokens,
			Priority:     run.Priority,
			DeadlineMs:   run.DeadlineMs,
			Exclude:      []string{e.settings.ID},
		},
		Suspect: run.Suspect,
	}
	result := e.router.Decide(e.now(), e.rng, query, e.endpoints())
	if result.Refusal != nil || result.Executor == e.settings.ID {
		return nil
	}
	target := e.target(result.Executor)
	return &target
}

// crashReportLead is how much earlier a crash is reported to the group than the
// outcome to the entry. A caller, or an entry on its behalf, repeats a failed request
// at once; an owner that has not received the report by then would send it to one
// more engine.
const crashReportLead = 50 * time.Millisecond

// start sends an admitted attempt to the back end.
func (e *Endpoint) start(a *execution) {
	ctx, stop := context.WithCancelCause(context.Background())
	a.phase = phaseRunning
	a.startedAt = e.now()
	a.stop = stop
	a.revision = e.cacheView.NextRevision()
	a.incarnation, a.crashCount = e.watch.incarnation, e.watch.crashCount
	j := job{run: a.run, messages: a.messages, stream: a.stream, startedAt: time.Now(), incarnation: a.incarnation,
		priority: a.enginePriority, repeatable: a.repeatable()}
	imported := e.importFor(a)
	go func() {
		defer stop(nil)
		imported.await(ctx)
		var end protocol.End
		if j.run.Call != nil {
			end = e.runCall(ctx, j)
		} else {
			end = e.runCompletion(ctx, j)
		}
		if end.EngineCrashed {
			e.loop.postUnbounded(func() { e.onAttemptCrash(a) })
			time.Sleep(crashReportLead)
		}
		e.loop.postUnbounded(func() { e.onRunEnded(a, end) })
	}()
}

// job is what a run on the back end needs; it is shared with the goroutine.
type job struct {
	run         *protocol.Run
	messages    []prefix.Message
	stream      *stream
	startedAt   time.Time
	incarnation string
	priority    int
	repeatable  bool
}

// end settles an attempt's outcome and sends its End.
func (e *Endpoint) end(a *execution, end protocol.End) {
	if a.phase == phaseEnded {
		return
	}
	a.phase = phaseEnded
	a.outcome = end.Outcome
	a.endedAt = e.now()
	e.registry.End(a.id, end.Outcome, a.endedAt)
	a.stream.finish(end)
	e.recordEnd(a, end)
	for _, f := range a.followers {
		e.end(f, end)
	}
	if a.claimed {
		a.claimed = false
		e.settleClaim(a, end)
	}
}
