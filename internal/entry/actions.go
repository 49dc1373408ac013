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
	// tryTimeout bounds one try to reach an executor again; between failure domains
	// an opening takes some 5 ms.
	tryTimeout = 500 * time.Millisecond
	// maxPlacings bounds how many executors in a row may turn out to be unreachable.
	maxPlacings = 4
	// reasonRedirected is the reason's suffix when an executor passed a request on.
	reasonRedirected = "+redirect"
)

func (d *drive) ask(a attempt.Ask) []attempt.Action {
	d.life.sleep(a.After)
	d.job.exclude, d.job.crashed = slices.Clone(a.Exclude), a.Crashed
	decision := d.placeReachable()
	if d.life.Err() != nil {
		return d.over()
	}
	if decision == nil {
		return d.step(attempt.AskFailed{})
	}
	d.job.decision = *decision
	return d.step(attempt.DecisionReceived{Decision: decision})
}

// placeReachable asks until it is told an executor that this entry can reach. An
// owner learns of a dead endpoint later than an entry that dials it; if each such
// decision cost the request an attempt, a rolling restart would use up the retry
// budget, seen as "not_run" refusals beside endpoints with room.
func (d *drive) placeReachable() *protocol.Decision {
	for range maxPlacings {
		d.unchoose()
		decision := d.place(d.life, d.job)
		if decision == nil || decision.Refusal != nil || d.life.Err() != nil {
			return decision
		}
		if d.e.chooser != nil && d.job.call == nil {
			d.chosen = decision.Executor.Endpoint
		}
		if d.reach(decision.Executor) {
			return decision
		}
		d.job.exclude = append(d.job.exclude, decision.Executor.Endpoint)
	}
	return nil
}

// reach opens the session that a Run to target will take.
func (d *drive) reach(target protocol.Target) bool {
	ctx, cancel := context.WithTimeout(d.life, tryTimeout)
	defer cancel()
	_, err := d.e.sessionTo(ctx, target)
	if err == nil || d.life.Err() != nil {
		return err == nil
	}
	d.e.directory.failed(target.Endpoint)
	d.e.tel.Log.Warn("executor can't be reached", "request", d.job.id, "executor", target.Endpoint, "error", err)
	return false
}

func (d *drive) run(a attempt.Run) []attempt.Action {
	d.release()
	if a.FirstSeq > 0 && d.job.structured {
		d.beginAgain(a.FirstSeq)
	}
	d.noteTarget(a)
	if d.job.full() {
		d.conclude(&protocol.End{Outcome: protocol.Done, FinishReason: finishLength})
		d.left = true
		return nil
	}
	session, err := d.e.sessionTo(d.life, a.Target)
	if err != nil {
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
	d.job.before = a.FirstSeq - d.job.discarded
}

// beginAgain makes the answer start anew at piece next. Only an answer that is
// given whole can: of a stream, the caller has the first half already, and the
// plan doesn't run it again.
func (d *drive) beginAgain(next uint64) {
	d.job.beganAgain(next)
	if out, ok := d.out.(discarder); ok {
		out.discard()
	}
}

func (d *drive) resume(a attempt.Resume) []attempt.Action {
	d.life.sleep(a.After)
	session, err := d.e.sameEpoch(d.life, a.Target)
	if err != nil {
		return d.step(attempt.ResumeFailed{Attempt: a.Attempt, EpochGone: errors.Is(err, errEpochGone)})
	}
	d.live.move(session)
	actions := d.step(attempt.ResumeOpened{Attempt: a.Attempt})
	// A failed write closes the session, which await sees.
	_ = session.Send(d.job.resume(a.Attempt, a.Target.Epoch))
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
			_ = session.Send(&protocol.Cancel{Attempt: a.Attempt}) // the executor's own grace ends it
		}
	})
}
