package endpoint

import (
	"context"
	"errors"
	"time"

	"skylarklead/internal/engine"
	"skylarklead/internal/protocol"
)

// tokenTimeout is how long an engine that answers no load request may produce no
// token before it counts as frozen, and how long an attempt on a frozen engine may
// get none before it is stopped.
const tokenTimeout = time.Second

// errFrozen stops attempts on a frozen engine that their entry can run elsewhere.
var errFrozen = errors.New("endpoint: engine doesn't answer")

// freeze is the state of an engine that keeps its connections open and answers
// nothing. Nothing else ends the attempts on it, and callers would wait for as long
// as the engine is stopped.
type freeze struct {
	active bool
	// unfinished are the runs that ended here meanwhile and that the engine may
	// still continue.
	unfinished []unfinishedRun
}

// unfinishedRun is a run that a frozen engine still has.
type unfinishedRun struct {
	name        string
	fingerprint uint64
}

// detectFreeze handles a load request that failed with err after others did.
func (e *Endpoint) detectFreeze(err error) {
	f := &e.watch.freeze
	if f.active || !engine.IsTimeout(err) || e.now()-e.lastTokenAt() < tokenTimeout {
		return
	}
	f.active = true
	e.log.Warn("engine frozen", "running", e.admission.Summary().Running, "error", err)
	e.stopFrozenRuns()
	e.startAdmitted()
}

// lastTokenAt is when the engine last produced a token of any attempt.
func (e *Endpoint) lastTokenAt() time.Duration {
	var last time.Duration
	for _, a := range e.executions {
		last = max(last, a.stream.lastChunkAt())
	}
	return last
}

// stopFrozenRuns stops the attempts on a frozen engine that can be run elsewhere.
func (e *Endpoint) stopFrozenRuns() {
	if !e.watch.freeze.active {
		return
	}
	now := e.now()
	for _, a := range e.executions {
		silence := now - max(a.startedAt, a.stream.lastChunkAt())
		if a.phase == phaseRunning && a.repeatable() && silence >= tokenTimeout {
			a.stop(errFrozen)
		}
	}
}

// recordRunEnd reports to the poison tracker that an attempt has left the engine.
//
// A frozen engine may still have the attempt, and whether it crashes is only seen
// when it answers again. The attempt counts as running until then: otherwise no crash
// would be counted against a request that hangs an engine until that is restarted.
func (e *Endpoint) recordRunEnd(a *execution, end protocol.End) {
	f := &e.watch.freeze
	if f.active && end.Outcome == protocol.Unknown && !end.EngineCrashed {
		f.unfinished = append(f.unfinished, unfinishedRun{name: streamName(a.run), fingerprint: a.run.Fingerprint})
		return
	}
	e.poison.RecordEnd(a.run.Fingerprint, end.Outcome == protocol.Done, e.now())
}

// endFreeze handles the engine's first answer after a freeze. A crash in between is
// counted before this is called. Runs still on the engine are canceled, as nobody
// reads them.
func (e *Endpoint) endFreeze() {
	f := &e.watch.freeze
	for _, run := range f.unfinished {
		e.poison.RecordEnd(run.fingerprint, false, e.now())
		go e.cancelUnfinished(run.name)
	}
	e.watch.freeze = freeze{}
}

func (e *Endpoint) cancelUnfinished(name string) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	if err := e.engine.Cancel(ctx, name); err != nil {
		// The engine ends the stream itself after its resume timeout.
		e.log.Debug("run left at the frozen engine not canceled", "stream", name, "error", err)
	}
}
