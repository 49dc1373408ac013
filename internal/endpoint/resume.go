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
		e.dropped("late credit", s, "attempt", m.Attempt.String())
		return
	}
	a.stream.grant(m.Seq)
}

// onCancel ends an attempt, on no session but the one that it was last run or
// resumed on: through another entry the caller may be back.
func (e *Endpoint) onCancel(s *wire.Session, m *protocol.Cancel) {
	a := e.executions[m.Attempt]
	if a == nil || a.session != s {
		e.dropped("late cancel", s, "attempt", m.Attempt.String())
		return
	}
	e.cancelExecution(a, "canceled by the entry")
}

func (e *Endpoint) cancelExecution(a *execution, reason string) {
	switch a.phase {
	case phaseFollowing:
		e.end(a, protocol.End{Outcome: protocol.Unknown, Code: protocol.CodeCanceled, Message: reason})
	case phaseWaiting, phaseHeld:
		e.withdraw(a)
		outcome := protocol.NotRun
		if len(a.run.Key) > 0 && !a.claimed {
			outcome = protocol.Unknown // an earlier sending of its key may have run
		}
		e.end(a, protocol.End{Outcome: outcome, Code: protocol.CodeCanceled, Message: reason})
	case phaseRunning:
		if a.claimed {
			return // it runs once, and its key's next sender wants the answer
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
	known := a != nil && a.isOf(m.Epoch, e.tel.Epoch) && m.Organisation == a.run.Organisation
	if !known || !a.stream.attach(s, m.Seq, m.Window) {
		e.refuseResume(s, m)
		return
	}
	a.session = s
	a.delivered = false
}

// isOf reports whether an attempt of the asked epoch is the one that runs here.
func (a *execution) isOf(asked, own protocol.Epoch) bool {
	return asked == own || a.adoptedFrom != 0 && asked == a.adoptedFrom
}

func (e *Endpoint) refuseResume(s *wire.Session, m *protocol.Resume) {
	e.dropped("resume of an unknown attempt", s, "attempt", m.Attempt.String())
	end := &protocol.End{Attempt: m.Attempt, Seq: m.Seq, Outcome: protocol.Unknown, Code: protocol.CodeUnknownOutcome}
	go s.Send(end) // lost only with the session, which tells as much
}

// onResolve tells what became of an attempt, and fences an unseen one.
func (e *Endpoint) onResolve(s *wire.Session, ref uint32, m *protocol.Resolve) {
	if m.Epoch != e.tel.Epoch {
		// An earlier epoch may have run it: this one can't know.
		e.reply(s, ref, &protocol.Resolved{Attempt: m.Attempt, Outcome: protocol.Unknown})
		return
	}
	e.reply(s, ref, e.registry.Resolve(m.Attempt, e.now()))
}

// sessionLost keeps the session's attempts for the grace.
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
