package entry

import (
	"errors"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/protocol"
)

// await waits for the next event of the current attempt and handles it.
func (d *planDriver) await() []attempt.Action {
	conn := d.conn
	// Messages already received are delivered before a lost session or a
	// disconnected caller is handled.
	select {
	case in := <-conn.mailbox.messages:
		return d.onMessage(in)
	default:
	}
	idle := time.NewTimer(idleCheckInterval)
	defer idle.Stop()
	select {
	case in := <-conn.mailbox.messages:
		return d.onMessage(in)
	case <-conn.session.Done():
		return d.step(attempt.SessionLost{Attempt: conn.id})
	case <-idle.C:
		d.e.checkLiveness(conn)
		if d.job.receiver.MustResume(d.e.now()) {
			return d.step(attempt.SessionLost{Attempt: conn.id})
		}
	case <-conn.mailbox.overflowed:
		return d.onOverflow(conn)
	case <-conn.mailbox.superseded:
		d.onSuperseded()
	case <-d.ctx.callerGone:
		return d.awaitReturn(conn)
	case <-d.ctx.Done():
		return d.onContextDone()
	}
	return nil
}

// onOverflow abandons an attempt whose executor exceeded its window. The session
// stays open, since it carries other streams.
func (d *planDriver) onOverflow(conn *attemptConn) []attempt.Action {
	d.cancel(attempt.Cancel{Attempt: conn.id, Target: d.target()})
	end := &protocol.End{Attempt: conn.id, Outcome: protocol.Unknown, Message: errOverflow.Error()}
	return d.step(attempt.Ended{Epoch: conn.peer.Epoch, End: end})
}

// target is the process, including its epoch, that the current attempt was sent to.
func (d *planDriver) target() protocol.Target {
	target := d.job.decision.Executor
	target.Epoch = d.conn.peer.Epoch
	return target
}

// onSuperseded fails a stream that was taken over by a resume. The first caller is
// most likely gone; if it isn't, it must not mistake the part that it has for the
// whole answer.
func (d *planDriver) onSuperseded() {
	d.fail(supersededError())
	d.done = true
}

// awaitReturn stops reading and waits for the caller to resume, through this entry
// or another, until the grace period ends.
func (d *planDriver) awaitReturn(conn *attemptConn) []attempt.Action {
	select {
	case <-conn.mailbox.superseded:
		d.onSuperseded()
		return nil
	case <-d.ctx.Done():
		return d.onContextDone()
	}
}

func (d *planDriver) onMessage(in receivedMessage) []attempt.Action {
	d.conn.idleChecks = 0
	got, err := d.handleMessage(d.conn, in)
	if err != nil {
		return d.onWriteError(err)
	}
	var actions []attempt.Action
	if got.started {
		actions = append(actions, d.step(attempt.Started{Attempt: d.conn.id})...)
	}
	if got.chunks > 0 {
		actions = append(actions, d.step(attempt.ChunkDelivered{Next: d.job.receiver.Next()})...)
	}
	if got.end != nil {
		d.recordLeaving(got.end)
		actions = append(actions, d.step(attempt.Ended{Epoch: in.epoch, End: got.end})...)
	}
	return actions
}

// onWriteError handles a caller that can't be written to. One that stopped reading
// may resume the stream; a buffered answer that exceeds its limit fails for good.
func (d *planDriver) onWriteError(err error) []attempt.Action {
	if errors.Is(err, errAnswerTooLong) {
		d.cancel(attempt.Cancel{Attempt: d.conn.id, Target: d.target()})
		d.fail(tooLongError(err))
		d.done = true
		return nil
	}
	d.e.tel.Log.Info("writing to the caller failed", "request", d.job.id, "error", err)
	if !d.job.streamed {
		d.step(attempt.CallerGone{})
		return d.step(attempt.GraceExpired{})
	}
	grace := time.AfterFunc(d.ctx.grace, func() { d.ctx.cancel(errCaller) })
	defer grace.Stop()
	return d.awaitReturn(d.conn)
}

func (d *planDriver) recordLeaving(end *protocol.End) {
	if end.Outcome == protocol.NotRun && end.Code == protocol.CodeDraining {
		d.e.directory.leavingAnnounced(d.conn.peer.ID, d.conn.peer.Epoch)
	}
}
