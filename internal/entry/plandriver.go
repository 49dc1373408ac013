package entry

import (
	"context"
	"errors"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/protocol"
)

// placer finds the next executor for a job. It returns nil if there is no decision.
type placer func(ctx context.Context, j *job) *protocol.Decision

// planDriver carries out the actions of one request's plan and reports their
// results to it. It is owned by one goroutine.
type planDriver struct {
	*answerWriter
	ctx   *requestContext
	plan  *attempt.Plan
	place placer
	// conn is the current attempt, nil before the first.
	conn *attemptConn
	// chosen is the endpoint that a baseline policy chose, empty without such a
	// policy.
	chosen string
	// done is set once the caller needs no further answer.
	done bool
}

// execute runs a job until its caller has the complete answer or an explicit error.
func (e *Entry) execute(caller context.Context, j *job, place placer, out sink) {
	d := &planDriver{answerWriter: &answerWriter{e: e, job: j, out: out}, place: place}
	grace := time.Duration(0)
	if j.streamed {
		grace = e.settings.Entry.ResumeGrace.D()
	}
	d.ctx = e.newRequestContext(caller, j.deadline, grace)
	defer d.ctx.cancel(nil)
	e.tel.Metrics.Requests.Mark(1)
	spec := attempt.PlanSpec{
		Organisation: j.organisation.ID,
		Repeatable:   j.repeatable,
		Keyed:        j.key != nil,
		Continuable:  j.continuable(),
	}
	d.plan = attempt.NewPlan(spec, attempt.DefaultPlanParams, e.budget, newAttemptSource())
	defer d.release()
	if buffered, ok := out.(discarder); ok {
		defer buffered.discard()
	}
	defer d.notifyChooser()
	d.perform(d.begin())
	for !d.plan.Final() && !d.done {
		d.perform(d.await())
	}
}

// begin and step hold the lock of the retry budget, which all requests share.
func (d *planDriver) begin() []attempt.Action {
	d.e.budgetMu.Lock()
	defer d.e.budgetMu.Unlock()
	return d.plan.Begin(d.e.now())
}

func (d *planDriver) step(ev attempt.Event) []attempt.Action {
	d.e.budgetMu.Lock()
	defer d.e.budgetMu.Unlock()
	return d.plan.Step(ev, d.e.now())
}

// perform carries out actions and those that result from them, in order.
func (d *planDriver) perform(actions []attempt.Action) {
	for len(actions) > 0 && !d.done {
		next := actions[0]
		actions = append(actions[1:], d.do(next)...)
	}
}

func (d *planDriver) do(action attempt.Action) []attempt.Action {
	if _, finish := action.(attempt.Finish); !finish && d.ctx.Err() != nil {
		if cancel, ok := action.(attempt.Cancel); ok {
			d.cancel(cancel)
			return nil
		}
		return d.onContextDone()
	}
	switch a := action.(type) {
	case attempt.Ask:
		return d.ask(a)
	case attempt.Run:
		return d.run(a)
	case attempt.Resume:
		return d.resume(a)
	case attempt.Resolve:
		return d.resolve(a)
	case attempt.Cancel:
		d.cancel(a)
	case attempt.Finish:
		d.finish(a)
	}
	return nil
}

// onContextDone reports to the plan why the request's context ended.
func (d *planDriver) onContextDone() []attempt.Action {
	switch cause := context.Cause(d.ctx); {
	case errors.Is(cause, errDeadline):
		return d.step(attempt.DeadlinePassed{})
	case errors.Is(cause, errStopping):
		// The sessions end with this process; the executor applies the grace
		// period.
		d.done = true
		return nil
	case errors.Is(cause, errEnding) && d.job.streamed && d.conn != nil:
		// The executor keeps the stream: its caller may resume it through another entry.
		d.fail(entryEndedError())
		d.done = true
		return nil
	case errors.Is(cause, errEnding):
		return d.step(attempt.EntryEnds{})
	}
	d.step(attempt.CallerGone{})
	return d.step(attempt.GraceExpired{})
}

func (d *planDriver) finish(f attempt.Finish) {
	if f.Refusal != nil {
		d.fail(errorFromRefusal(f.Refusal))
		return
	}
	d.conclude(f.End)
}

// release detaches from the current attempt.
func (d *planDriver) release() {
	if d.conn == nil {
		return
	}
	d.e.closeAttempt(d.conn)
	d.conn = nil
}

// notifyChooser notifies the baseline policy that the request has ended at the
// endpoint that it chose.
func (d *planDriver) notifyChooser() {
	if d.chosen != "" {
		d.e.chooser.finished(d.job, d.chosen)
		d.chosen = ""
	}
}
