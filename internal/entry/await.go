package entry

import (
	"errors"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/protocol"
)

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
		d.e.look(l)
		if d.job.receiver.MustResume(d.e.now()) {
			return d.step(attempt.SessionLost{Attempt: l.id})
		}
	case <-l.mailbox.overflowed:
		return d.overflowed(l)
	case <-l.mailbox.superseded:
		d.superseded()
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
	end := &protocol.End{Attempt: l.id, Outcome: protocol.Unknown, Message: errOverflow.Error()}
	return d.step(attempt.Ended{Epoch: l.peer.Epoch, End: end})
}

// target is the very process that the live attempt was sent to.
func (d *drive) target() protocol.Target {
	target := d.job.decision.Executor
	target.Epoch = d.live.peer.Epoch
	return target
}

// superseded ends a stream that was taken over. Its first caller is most likely
// gone; if not, it must not take what it has for the whole.
func (d *drive) superseded() {
	d.fail(supersededError())
	d.left = true
}

// awayFrom waits, without reading on, for a caller who may come back through this
// entry or another.
func (d *drive) awayFrom(l *link) []attempt.Action {
	select {
	case <-l.mailbox.superseded:
		d.superseded()
		return nil
	case <-d.life.Done():
		return d.over()
	}
}

func (d *drive) arrived(a arrival) []attempt.Action {
	d.live.quiet = 0
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
		d.fail(&Error{Code: protocol.CodeTooLarge, Message: err.Error(), Ran: protocol.Unknown})
		d.left = true
		return nil
	}
	d.e.tel.Log.Info("caller can't be written to", "request", d.job.id, "error", err)
	if !d.job.streamed {
		d.step(attempt.CallerGone{})
		return d.step(attempt.GraceExpired{})
	}
	grace := time.AfterFunc(d.life.grace, func() { d.life.cancel(errCaller) })
	defer grace.Stop()
	return d.awayFrom(d.live)
}

func (d *drive) noteEnd(end *protocol.End) {
	if end.Outcome == protocol.NotRun && end.Code == protocol.CodeDraining {
		d.e.directory.left(d.live.peer.ID, d.live.peer.Epoch)
	}
}
