package endpoint

import (
	"skylarklead/internal/wire"
)

func (e *Endpoint) onCredit(s *wire.Session, m *wire.Credit) {
	a := e.attempts[m.Attempt]
	if a == nil || a.stream == nil || a.session != s {
		e.dropped("late credit", s, "attempt", m.Attempt.String())
		return
	}
	a.stream.grant(m.Seq)
}

// onCancel ends an attempt, on no session but the one that it was last run or
// resumed on: through another entry the caller may be back.
func (e *Endpoint) onCancel(s *wire.Session, m *wire.Cancel) {
	a := e.attempts[m.Attempt]
	if a == nil || a.stream == nil || a.session != s {
		e.dropped("late cancel", s, "attempt", m.Attempt.String())
		return
	}
	e.cancelAttempt(a, "canceled by the entry")
}

func (e *Endpoint) cancelAttempt(a *attempt, reason string) {
	switch a.phase {
	case phaseWaiting:
		e.end(a, wire.End{Outcome: wire.NotRun, Code: wire.CodeCanceled, Message: reason})
	case phaseRunning:
		a.stop(errCanceled)
	}
}

// onResume sends an attempt's chunks again, on this session.
func (e *Endpoint) onResume(s *wire.Session, m *wire.Resume) {
	a := e.attempts[m.Attempt]
	if m.Epoch != e.tel.Epoch || a == nil || a.stream == nil || !a.stream.attach(s, m.Seq, m.Window) {
		e.dropped("resume of an unknown attempt", s, "attempt", m.Attempt.String())
		end := &wire.End{Attempt: m.Attempt, Seq: m.Seq, Outcome: wire.Unknown, Code: wire.CodeUnknownOutcome}
		go s.Send(end) // lost only with the session, which tells as much
		return
	}
	a.session = s
	a.delivered = false
}

// onResolve tells what became of an attempt, and fences an unseen one.
func (e *Endpoint) onResolve(s *wire.Session, ref uint32, m *wire.Resolve) {
	if m.Epoch != e.tel.Epoch {
		// An earlier epoch may have run it: this one can't know.
		e.reply(s, ref, &wire.Resolved{Attempt: m.Attempt, Outcome: wire.Unknown})
		return
	}
	a := e.attempts[m.Attempt]
	if a == nil {
		// The Run may still be on its way, on a session that is slow to die. Once
		// not_run is said it must stay true, so its later arrival is refused.
		a = &attempt{id: m.Attempt, phase: phaseFenced, outcome: wire.NotRun, endedAt: e.now()}
		e.attempts[m.Attempt] = a
		e.log.Info("attempt fenced", "attempt", m.Attempt.String(), "peer", s.Peer().ID)
	}
	e.reply(s, ref, a.resolved())
}

func (a *attempt) resolved() *wire.Resolved {
	running := a.phase == phaseWaiting || a.phase == phaseRunning
	outcome := a.outcome
	if running {
		outcome = wire.Unknown
	}
	return &wire.Resolved{Attempt: a.id, Outcome: outcome, Running: running}
}

// sessionLost keeps the session's attempts for the grace.
func (e *Endpoint) sessionLost(s *wire.Session, err error) {
	e.log.Debug("session lost", "peer", s.Peer().ID, "error", err)
	for _, a := range e.attempts {
		if a.stream == nil || a.session != s {
			continue
		}
		a.session = nil
		a.lostAt = e.now()
		a.stream.detach(s)
	}
}
