package endpoint

import (
	"time"

	"skylarklead/internal/protocol"
	"skylarklead/internal/wire"
)

// drainState is whether this endpoint takes no new work, and whether the process
// ends once the last stream has.
type drainState struct {
	leaving bool
	since   time.Duration
	// lastEnd is when the last End was written.
	lastEnd  time.Duration
	stopping bool
	finished chan struct{}
}

func newDrainState() drainState { return drainState{finished: make(chan struct{})} }

// onDrain takes an operator's order to leave.
func (e *Endpoint) onDrain(s *wire.Session, ref uint32, m *protocol.Drain) {
	if m.Endpoint != e.settings.ID {
		refusal := protocol.Refusal{Code: protocol.CodeBadRequest, Message: "not this endpoint", Ran: protocol.NotRun}
		e.reply(s, ref, &protocol.Failure{Refusal: refusal})
		return
	}
	e.leave("order of " + s.Peer().ID)
	e.reply(s, ref, &protocol.Drained{Endpoint: m.Endpoint, InFlight: e.executions.inFlight()})
}

// leave stops new work, for good.
func (e *Endpoint) leave(reason string) {
	if e.drain.leaving {
		return
	}
	e.drain.leaving = true
	e.drain.since = e.now()
	e.admission.Drain()
	e.performOnce(e.claims.once.Drain(e.now()))
	e.beatAll()
	e.log.Info("leaving", "reason", reason, "in_flight", e.executions.inFlight())
}

// stopWhenDrained is the answer to SIGTERM.
func (e *Endpoint) stopWhenDrained() {
	e.drain.stopping = true
	e.leave("signal")
	e.checkDrained()
}

// exitLinger is how long the process stays after its last stream's end was sent.
// A process that exits with bytes of a peer unread resets the connection, and the
// reset overtakes what the peer has not read yet: a graceful stop would cut the
// very answer that it waited for.
const exitLinger = 300 * time.Millisecond

// checkDrained ends the process when it is to stop and no stream is open.
func (e *Endpoint) checkDrained() {
	if !e.drain.stopping || e.executions.inFlight() > 0 {
		return
	}
	if e.now()-e.drain.lastEnd < exitLinger {
		return
	}
	if e.claims.once.HeldClaims() > 0 && e.now()-e.drain.since < releaseTimeout {
		// A claim that dies with this process unreleased blocks its key for good.
		return
	}
	select {
	case <-e.drain.finished:
	default:
		e.log.Info("drained", "uptime", time.Since(e.started).String())
		close(e.drain.finished)
	}
}
