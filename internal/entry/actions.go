package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/protocol"
)

const (
	// executorTimeout bounds one call to an executor: opening a session, or
	// Resolve. Opening a session takes about 5 ms between failure domains.
	executorTimeout = 500 * time.Millisecond
	// maxUnreachable bounds how many executors in a row may turn out to be
	// unreachable before asking for a decision counts as failed.
	maxUnreachable = 4
	// reasonRedirected is appended to the reason when an executor redirected the
	// request.
	reasonRedirected = "+redirect"
)

func (d *planDriver) ask(a attempt.Ask) []attempt.Action {
	d.ctx.sleep(a.After)
	d.job.exclude, d.job.crashed = slices.Clone(a.Exclude), a.Crashed
	decision := d.placeReachable()
	if d.ctx.Err() != nil {
		return d.onContextDone()
	}
	if decision == nil {
		return d.step(attempt.AskFailed{})
	}
	d.job.decision = *decision
	return d.step(attempt.DecisionReceived{Decision: decision})
}

// placeReachable asks for decisions until one names an executor that this entry can
// reach. Owners detect a dead endpoint later than an entry that dials it. If every
// decision for an unreachable executor cost the request an attempt, a rolling
// restart would exhaust the retry budget, and requests would be refused as
// "not_run" while other endpoints had capacity.
func (d *planDriver) placeReachable() *protocol.Decision {
	for range maxUnreachable {
		d.notifyChooser()
		decision := d.place(d.ctx, d.job)
		if decision == nil || decision.Refusal != nil || d.ctx.Err() != nil {
			return decision
		}
		if d.e.chooser != nil && d.job.call == nil {
			d.chosen = decision.Executor.Endpoint
		}
		if d.connect(decision.Executor) {
			return decision
		}
		d.job.exclude = append(d.job.exclude, decision.Executor.Endpoint)
	}
	return nil
}

// connect opens the session that the Run to target will use.
func (d *planDriver) connect(target protocol.Target) bool {
	ctx, cancel := context.WithTimeout(d.ctx, executorTimeout)
	defer cancel()
	_, err := d.e.sessionTo(ctx, target)
	if err == nil || d.ctx.Err() != nil {
		return err == nil
	}
	d.e.directory.connectionFailed(target.Endpoint)
	d.e.tel.Log.Warn("executor can't be reached", "request", d.job.id, "executor", target.Endpoint, "error", err)
	return false
}

func (d *planDriver) run(a attempt.Run) []attempt.Action {
	d.release()
	if a.FirstSeq > 0 && d.job.structured {
		d.restartAnswer(a.FirstSeq)
	}
	d.recordTarget(a)
	if d.job.maxTokensReached() {
		d.conclude(&protocol.End{Outcome: protocol.Done, FinishReason: finishLength})
		d.done = true
		return nil
	}
	session, err := d.e.sessionTo(d.ctx, a.Target)
	if err != nil {
		return d.step(attempt.NotSent{Attempt: a.Attempt})
	}
	d.conn = d.e.openAttempt(a.Attempt, session)
	d.job.receiver.Begin(a.Attempt)
	actions := d.step(attempt.Sent{Attempt: a.Attempt, Epoch: session.Peer().Epoch})
	// A failed write closes the session; await handles that.
	_ = session.Send(d.job.newRun(a))
	return actions
}

func (d *planDriver) recordTarget(a attempt.Run) {
	d.job.attempts++
	if d.job.attempts > 1 {
		d.e.tel.Metrics.Retries.Inc(1)
	}
	if a.Redirected {
		d.job.decision.Reason += reasonRedirected
	}
	d.job.decision.Executor = a.Target
	d.job.priorChunks = a.FirstSeq - d.job.discardedChunks
}

// restartAnswer discards the answer so far and starts it again at chunk next. This
// is possible only for an answer that is buffered: the caller of a stream already
// has the first part, and the plan doesn't restart streams.
func (d *planDriver) restartAnswer(next uint64) {
	d.job.discardAnswer(next)
	if out, ok := d.out.(discarder); ok {
		out.discard()
	}
}

func (d *planDriver) resume(a attempt.Resume) []attempt.Action {
	d.ctx.sleep(a.After)
	session, err := d.e.sessionToEpoch(d.ctx, a.Target)
	if err != nil {
		return d.step(attempt.ResumeFailed{Attempt: a.Attempt, EpochGone: errors.Is(err, errEpochGone)})
	}
	d.conn.switchSession(session)
	actions := d.step(attempt.ResumeOpened{Attempt: a.Attempt})
	// A failed write closes the session; await handles that.
	_ = session.Send(d.job.newResume(a.Attempt, a.Target.Epoch))
	d.e.tel.Log.Info("stream resumed", "request", d.job.id, "executor", a.Target.Endpoint, "seq", a.Seq)
	return actions
}

func (d *planDriver) resolve(a attempt.Resolve) []attempt.Action {
	d.ctx.sleep(a.After)
	answer, epoch, err := d.e.resolveAt(d.ctx, a)
	if err != nil {
		return d.step(attempt.ResumeFailed{Attempt: a.Attempt, EpochGone: errors.Is(err, errEpochGone)})
	}
	return d.step(attempt.Resolved{Epoch: epoch, Answer: answer})
}

// cancel notifies the executor in the background: the network to it may be
// partitioned, and the caller's final answer must not wait for that.
func (d *planDriver) cancel(a attempt.Cancel) {
	e := d.e
	e.background.Go(func() {
		ctx, done := context.WithTimeout(context.Background(), executorTimeout)
		defer done()
		session, err := e.sessionToEpoch(ctx, a.Target)
		if err == nil {
			_ = session.Send(&protocol.Cancel{Attempt: a.Attempt}) // otherwise the executor ends it after its own grace period
		}
	})
}
