package endpoint

import (
	"context"
	"errors"
	"log/slog"

	"skylarklead/internal/protocol"
	"skylarklead/internal/wire"
)

func (e *Endpoint) onCredit(s *wire.Session, m *protocol.Credit) {
	a := e.executions[m.Attempt]
	if a == nil || a.session != s {
		e.recordDropped("late credit", s, "attempt", m.Attempt.String())
		return
	}
	a.stream.addCredit(m.Seq)
}

// onCancel cancels an attempt, but only from the session on which it was last run or
// resumed: the caller may have come back through another entry.
func (e *Endpoint) onCancel(s *wire.Session, m *protocol.Cancel) {
	a := e.executions[m.Attempt]
	if a == nil || a.session != s {
		e.recordDropped("late cancel", s, "attempt", m.Attempt.String())
		return
	}
	a.canceled = true
	e.cancelExecution(a, "canceled by the entry")
}

func (e *Endpoint) cancelExecution(a *execution, reason string) {
	switch a.phase {
	case phaseFollowing:
		e.end(a, protocol.End{Outcome: protocol.Unknown, Code: protocol.CodeCanceled, Message: reason})
	case phaseWaiting, phaseAdmitted:
		e.withdraw(a)
		outcome := protocol.NotRun
		if len(a.run.Key) > 0 && !a.claimed {
			outcome = protocol.Unknown // an earlier attempt with its key may have run
		}
		e.end(a, protocol.End{Outcome: outcome, Code: protocol.CodeCanceled, Message: reason})
	case phaseRunning:
		if a.claimed {
			return // it runs once, and the next attempt with its key needs the answer
		}
		e.log.Info("attempt canceled", "request", a.run.Request, "attempt", a.id.String(), "reason", reason)
		a.stop(errCanceled)
	}
}

// onResume sends an attempt's chunks again, on this session.
func (e *Endpoint) onResume(s *wire.Session, m *protocol.Resume) {
	a := e.executions[m.Attempt]
	if e.mayAdopt(m) {
		go e.adopt(s, m)
		return
	}
	known := a != nil && a.matchesEpoch(m.Epoch, e.tel.Epoch) && m.Organisation == a.run.Organisation
	if !known || !a.stream.attach(s, m.Seq, m.Window) {
		e.refuseResume(s, m)
		return
	}
	a.session = s
	a.delivered = false
}

// matchesEpoch reports whether a Resume with this epoch may refer to the attempt: the
// epoch is own, that of this process, or the one that the attempt was adopted from.
func (a *execution) matchesEpoch(epoch, own protocol.Epoch) bool {
	return epoch == own || a.adoptedFrom != 0 && epoch == a.adoptedFrom
}

func (e *Endpoint) refuseResume(s *wire.Session, m *protocol.Resume) {
	e.recordDropped("resume of an unknown attempt", s, "attempt", m.Attempt.String())
	end := &protocol.End{Attempt: m.Attempt, Seq: m.Seq, Outcome: protocol.Unknown, Code: protocol.CodeUnknownOutcome}
	go s.Send(end) // lost only when the session is, which has the same meaning to the peer
}

// onResolve reports the outcome of an attempt, and fences an unseen one.
func (e *Endpoint) onResolve(s *wire.Session, ref uint32, m *protocol.Resolve) {
	if m.Epoch != e.tel.Epoch {
		// An earlier epoch may have run it: this one can't know.
		e.reply(s, ref, &protocol.Resolved{Attempt: m.Attempt, Outcome: protocol.Unknown})
		return
	}
	e.reply(s, ref, e.registry.Resolve(m.Attempt, e.now()))
}

// sessionLost detaches the session's attempts, which can be resumed during the grace
// period.
func (e *Endpoint) sessionLost(s *wire.Session, err error) {
	level := slog.LevelDebug
	if errors.Is(err, wire.ErrMalformed) {
		level = slog.LevelWarn
	}
	e.log.Log(context.Background(), level, "session lost", "peer", s.Peer().ID, "error", err)
	for _, a := range e.executions {
		if a.session != s {
			continue
		}
		a.session = nil
		a.stream.detach(s)
	}
}
