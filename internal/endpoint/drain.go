package endpoint

import (
	"time"

	"skylarklead/internal/protocol"
	"skylarklead/internal/wire"
)

// drainState is whether this endpoint refuses new work, and whether the process
// exits after its last stream.
type drainState struct {
	leaving   bool
	startedAt time.Duration
	// lastEnd is when the last End was written to a session.
	lastEnd  time.Duration
	stopping bool
	finished chan struct{}
}

func newDrainState() drainState { return drainState{finished: make(chan struct{})} }

// onDrain handles an operator's order to drain.
func (e *Endpoint) onDrain(s *wire.Session, ref uint32, m *protocol.Drain) {
	if m.Endpoint != e.settings.ID {
		refusal := protocol.Refusal{Code: protocol.CodeBadRequest, Message: "not this endpoint", Ran: protocol.NotRun}
		e.reply(s, ref, &protocol.Failure{Refusal: refusal})
		return
	}
	e.beginDrain("order of " + s.Peer().ID)
	e.reply(s, ref, &protocol.Drained{Endpoint: m.Endpoint, InFlight: e.executions.inFlight()})
}

// beginDrain stops accepting new work. It can't be undone.
func (e *Endpoint) beginDrain(reason string) {
	if e.drain.leaving {
		return
	}
	e.drain.leaving = true
	e.drain.startedAt = e.now()
	e.admission.Drain()
	e.performClaims(e.claims.once.Drain(e.now()))
	e.sendHeartbeatToAll()
	e.log.Info("leaving", "reason", reason, "in_flight", e.executions.inFlight())
}

// stopWhenDrained handles SIGTERM.
func (e *Endpoint) stopWhenDrained() {
	e.drain.stopping = true
	e.beginDrain("signal")
	e.checkDrained()
}

// exitLinger is how long the process stays after the end of its last stream was
// sent. A process that exits while bytes of a peer are unread resets the connection,
// and the reset overtakes what the peer has not read yet: a graceful stop would cut
// off the very answer that it waited for.
const exitLinger = 300 * time.Millisecond

// checkDrained ends the process when it is to stop and no stream is open.
func (e *Endpoint) checkDrained() {
	if !e.drain.stopping || e.executions.inFlight() > 0 {
		return
	}
	if e.now()-e.drain.lastEnd < exitLinger {
		return
	}
	if e.claims.once.HeldClaims() > 0 && e.now()-e.drain.startedAt < releaseTimeout {
		// A claim that isn't released before this process ends blocks its key for good.
		return
	}
	select {
	case <-e.drain.finished:
	default:
		e.log.Info("drained", "uptime", time.Since(e.started).String())
		close(e.drain.finished)
	}
}
