package entry

import (
	"context"
	"errors"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/wire"
)

const (
	// tryTimeout bounds one try to reach an executor again.
	tryTimeout = time.Second
	// gapCheck is how often a stream is checked for chunks that don't come.
	gapCheck = 250 * time.Millisecond
	// reasonRedirected is the reason's suffix when an executor passed a request on.
	reasonRedirected = "+redirect"
)

// placer finds a job's next executor. Nil means that nobody could say.
type placer func(ctx context.Context, j *job) *wire.Decision

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
	if j.resumable {
		grace = e.settings.Entry.ResumeGrace.D()
	}
	d.life = e.newLife(caller, j.deadline, grace)
	defer d.life.cancel(nil)
	e.tel.Metrics.Requests.Mark(1)
	spec := attempt.Spec{Repeatable: j.repeatable, Continuable: j.call == nil}
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
	return d.step(attempt.GraceOver{})
}

func (d *drive) ask(a attempt.Ask) []attempt.Action {
	d.life.sleep(a.After)
	d.job.exclude, d.job.crashed = a.Exclude, a.Crashed
	d.unchoose()
	decision := d.place(d.life, d.job)
	if d.life.Err() != nil {
		return d.over()
	}
	if decision == nil {
		return d.step(attempt.AskFailed{})
	}
	d.job.decision = *decision
	if d.e.chooser != nil && d.job.call == nil {
		d.chosen = decision.Executor.Endpoint
	}
	return d.step(attempt.Asked{Decision: decision})
}

func (d *drive) run(a attempt.Run) []attempt.Action {
	d.release()
	d.noteTarget(a)
	if d.job.full(a.FirstSeq) {
		d.conclude(&wire.End{Outcome: wire.Done, FinishReason: finishLength})
		d.left = true
		return nil
	}
	session, err := d.e.sessionTo(d.life, a.Target)
	if err != nil {
		d.e.tel.Log.Warn("executor can't be reached", "request", d.job.id, "executor", a.Target.Endpoint, "error", err)
		return d.step(attempt.NotSent{Attempt: a.Attempt})
	}
	d.live = d.e.openLink(a.Attempt, session)
	d.job.receiver.Begin(a.Attempt)
	actions := d.step(attempt.Sent{Attempt: a.Attempt, Epoch: session.Peer().Epoch})
	// A failed write closes the session, which await sees.
	_ = session.Send(d.job.run(a))
	return actions
}

func (d *drive) noteTarget(a attempt.Run) {
	d.job.attempts++
	if d.job.attempts > 1 {
		d.e.tel.Metrics.Retries.Inc(1)
	}
	if a.Redirected {
		d.job.decision.Reason += reasonRedirected
	}
	d.job.decision.Executor = a.Target
	d.job.before = a.FirstSeq
}

func (d *drive) resume(a attempt.Resume) []attempt.Action {
	d.life.sleep(a.After)
	session, err := d.e.sameEpoch(d.life, a.Target)
	if err != nil {
		return d.step(attempt.ResumeFailed{Attempt: a.Attempt, EpochGone: errors.Is(err, errEpochGone)})
	}
	d.live.move(session)
	d.job.receiver.Resumed()
	actions := d.step(attempt.ResumeOpened{Attempt: a.Attempt})
	// A failed write closes the session, which await sees.
	_ = session.Send(d.job.resume(a.Attempt, a.Target.Epoch, a.Seq))
	d.e.tel.Log.Info("stream resumed", "request", d.job.id, "executor", a.Target.Endpoint, "seq", a.Seq)
	return actions
}

func (d *drive) resolve(a attempt.Resolve) []attempt.Action {
	d.life.sleep(a.After)
	answer, epoch, err := d.e.resolveAt(d.life, a)
	if err != nil {
		return d.step(attempt.ResumeFailed{Attempt: a.Attempt, EpochGone: errors.Is(err, errEpochGone)})
	}
	return d.step(attempt.Resolved{Epoch: epoch, Answer: answer})
}

// cancel tells the executor in the background: it may be behind a cut link, and
// the caller's final answer doesn't wait for it.
func (d *drive) cancel(a attempt.Cancel) {
	e := d.e
	e.background.Go(func() {
		ctx, done := context.WithTimeout(context.Background(), tryTimeout)
		defer done()
		session, err := e.sameEpoch(ctx, a.Target)
		if err == nil {
			_ = session.Send(&wire.Cancel{Attempt: a.Attempt}) // the executor's own grace ends it
		}
	})
}

// await waits for what happens next to the live attempt.
func (d *drive) await() []attempt.Action {
	l := d.live
	// What has come is delivered before a lost session or a hang-up counts.
	select {
	case a := <-l.mailbox.arrivals:
		return d.arrived(a)
	default:
	}
	gap := time.NewTimer(gapCheck)
	defer gap.Stop()
	select {
	case a := <-l.mailbox.arrivals:
		return d.arrived(a)
	case <-l.session.Done():
		return d.step(attempt.SessionLost{Attempt: l.id})
	case <-gap.C:
		if d.job.receiver.MustResume(d.e.now()) {
			return d.step(attempt.SessionLost{Attempt: l.id})
		}
	case <-l.mailbox.overflowed:
		return d.overflowed(l)
	case <-l.mailbox.superseded:
		d.left = true
	case <-d.life.away:
		return d.awayFrom(l)
	case <-d.life.Done():
		return d.over()
	}
	return nil
}

// overflowed gives up an attempt whose executor doesn't keep to its window. Its
// session stays: other streams go over it.
func (d *drive) overflowed(l *link) []attempt.Action {
	d.cancel(attempt.Cancel{Attempt: l.id, Target: d.target()})
	end := &wire.End{Attempt: l.id, Outcome: wire.Unknown, Message: errOverflow.Error()}
	return d.step(attempt.Ended{Epoch: l.peer.Epoch, End: end})
}

// target is the very process that the live attempt was sent to.
func (d *drive) target() wire.Target {
	target := d.job.decision.Executor
	target.Epoch = d.live.peer.Epoch
	return target
}

// awayFrom waits, without reading on, for a caller who may come back through this
// entry or another.
func (d *drive) awayFrom(l *link) []attempt.Action {
	select {
	case <-l.mailbox.superseded:
		d.left = true
		return nil
	case <-d.life.Done():
		return d.over()
	}
}

func (d *drive) arrived(a arrival) []attempt.Action {
	got, err := d.take(d.live, a)
	if err != nil {
		return d.undeliverable(err)
	}
	var actions []attempt.Action
	if got.started {
		actions = append(actions, d.step(attempt.Started{Attempt: d.live.id})...)
	}
	if got.chunks > 0 {
		actions = append(actions, d.step(attempt.ChunkDelivered{Next: d.job.receiver.Next()})...)
	}
	if got.end != nil {
		d.noteEnd(got.end)
		actions = append(actions, d.step(attempt.Ended{Epoch: a.epoch, End: got.end})...)
	}
	return actions
}

// undeliverable handles a caller that can't be written to: one who stopped
// reading may come back, an answer that is too long never fits.
func (d *drive) undeliverable(err error) []attempt.Action {
	if errors.Is(err, errTooLong) {
		d.cancel(attempt.Cancel{Attempt: d.live.id, Target: d.target()})
		d.fail(&Error{Code: wire.CodeTooLarge, Message: err.Error(), Ran: wire.Unknown})
		d.left = true
		return nil
	}
	d.e.tel.Log.Info("caller can't be written to", "request", d.job.id, "error", err)
	if !d.job.resumable {
		d.step(attempt.CallerGone{})
		return d.step(attempt.GraceOver{})
	}
	grace := time.AfterFunc(d.life.grace, func() { d.life.cancel(errCaller) })
	defer grace.Stop()
	return d.awayFrom(d.live)
}

func (d *drive) noteEnd(end *wire.End) {
	if end.Outcome == wire.NotRun && end.Code == wire.CodeDraining {
		d.e.directory.left(d.live.peer.ID, d.live.peer.Epoch)
	}
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
