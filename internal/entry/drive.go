package entry

import (
	"context"
	"errors"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/protocol"
)

// placer finds a job's next executor. Nil means that nobody could say.
type placer func(ctx context.Context, j *job) *protocol.Decision

// drive is one request's way from its plan's actions to their effects. One
// goroutine runs it.
type drive struct {
	*answer
	life  *life
	plan  *attempt.Plan
	place placer
	// live is the attempt whose messages are awaited, nil before the first.
	live *link
	// chosen is where a baseline policy placed the request, empty without one.
	chosen string
	// left is set when nobody is to be answered any more.
	left bool
}

// drive runs a job until its caller has the whole answer or an explicit error.
func (e *Entry) drive(caller context.Context, j *job, place placer, out sink) {
	d := &drive{answer: &answer{e: e, job: j, out: out}, place: place}
	grace := time.Duration(0)
	if j.streamed {
		grace = e.settings.Entry.ResumeGrace.D()
	}
	d.life = e.newLife(caller, j.deadline, grace)
	defer d.life.cancel(nil)
	e.tel.Metrics.Requests.Mark(1)
	spec := attempt.PlanSpec{
		Organisation: j.organisation.ID,
		Repeatable:   j.repeatable,
		Keyed:        j.key != nil,
		Continuable:  j.continuable(),
	}
	d.plan = attempt.NewPlan(spec, attempt.DefaultPlanParams, e.budget, newAttemptSource())
	defer d.release()
	defer d.unchoose()
	d.perform(d.begin())
	for !d.plan.Final() && !d.left {
		d.perform(d.await())
	}
}

// begin and step guard the retry budget, which all requests share.
func (d *drive) begin() []attempt.Action {
	d.e.budgetMu.Lock()
	defer d.e.budgetMu.Unlock()
	return d.plan.Begin(d.e.now())
}

func (d *drive) step(ev attempt.Event) []attempt.Action {
	d.e.budgetMu.Lock()
	defer d.e.budgetMu.Unlock()
	return d.plan.Step(ev, d.e.now())
}

// perform carries out actions, and those that follow from them, in order.
func (d *drive) perform(actions []attempt.Action) {
	for len(actions) > 0 && !d.left {
		next := actions[0]
		actions = append(actions[1:], d.do(next)...)
	}
}

func (d *drive) do(action attempt.Action) []attempt.Action {
	if _, finish := action.(attempt.Finish); !finish && d.life.Err() != nil {
		if cancel, ok := action.(attempt.Cancel); ok {
			d.cancel(cancel)
			return nil
		}
		return d.over()
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

// over tells the plan why the request's life has ended.
func (d *drive) over() []attempt.Action {
	switch cause := context.Cause(d.life); {
	case errors.Is(cause, errDeadline):
		return d.step(attempt.DeadlinePassed{})
	case errors.Is(cause, errStopping):
		// The sessions end with this process; the executor counts the grace.
		d.left = true
		return nil
	}
	d.step(attempt.CallerGone{})
	return d.step(attempt.GraceExpired{})
}

func (d *drive) finish(f attempt.Finish) {
	if f.Refusal != nil {
		d.fail(fromRefusal(f.Refusal))
		return
	}
	d.conclude(f.End)
}

// release forgets the live attempt.
func (d *drive) release() {
	if d.live == nil {
		return
	}
	d.e.closeLink(d.live)
	d.live = nil
}

// unchoose tells a baseline policy that the request it placed is over there.
func (d *drive) unchoose() {
	if d.chosen != "" {
		d.e.chooser.finished(d.job, d.chosen)
		d.chosen = ""
	}
}
