package endpoint

import (
	"context"
	"errors"
	"time"

	"skylarklead/internal/engine"
	"skylarklead/internal/protocol"
)

// tokenSilence is how long an engine that answers no look at its load may give no
// token before it counts as frozen, and an attempt on a frozen one before it ends.
const tokenSilence = time.Second

// errFrozen is what an attempt is stopped with that its entry can run elsewhere.
var errFrozen = errors.New("endpoint: engine doesn't answer")

// freeze is an engine's silence: it keeps its connections and answers nothing.
// Nothing else ends what runs there, and callers would wait for as long as the
// engine is stopped.
type freeze struct {
	on bool
	// left are the runs that ended meanwhile and that the engine may go on with.
	left []leftRun
}

// leftRun is a run that a frozen engine still has.
type leftRun struct {
	name        string
	fingerprint uint64
}

// lookForFreeze takes a look at the load that failed like those before it.
func (e *Endpoint) lookForFreeze(err error) {
	f := &e.watch.freeze
	if f.on || !engine.IsTimeout(err) || e.now()-e.lastToken() < tokenSilence {
		return
	}
	f.on = true
	e.log.Warn("engine frozen", "running", e.admission.Summary().Running, "error", err)
	e.endFrozen()
	e.startHeld()
}

// lastToken is when the engine last gave a token to anyone.
func (e *Endpoint) lastToken() time.Duration {
	var last time.Duration
	for _, a := range e.executions {
		last = max(last, a.stream.lastPiece())
	}
	return last
}

// endFrozen ends what waits for a frozen engine and can be run elsewhere.
func (e *Endpoint) endFrozen() {
	if !e.watch.freeze.on {
		return
	}
	now := e.now()
	for _, a := range e.executions {
		silence := now - max(a.startedAt, a.stream.lastPiece())
		if a.phase == phaseRunning && a.repeatable() && silence >= tokenSilence {
			a.stop(errFrozen)
		}
	}
}

// offEngine notes that an attempt has left the engine.
//
// A frozen engine may still have it, and whether it crashes is only seen once it
// answers again. The attempt counts as running until then: a request that hangs an
// engine until that is restarted would never get its strike otherwise.
func (e *Endpoint) offEngine(a *execution, end protocol.End) {
	f := &e.watch.freeze
	if f.on && end.Outcome == protocol.Unknown && !end.EngineCrashed {
		f.left = append(f.left, leftRun{name: streamName(a.run), fingerprint: a.run.Fingerprint})
		return
	}
	e.poison.RecordEnd(a.run.Fingerprint, end.Outcome == protocol.Done, e.now())
}

// thawed takes the engine's first answer after a freeze. A crash meanwhile is
// counted before. What was left at the engine is cancelled, or it would compute
// for nobody.
func (e *Endpoint) thawed() {
	f := &e.watch.freeze
	for _, run := range f.left {
		e.poison.RecordEnd(run.fingerprint, false, e.now())
		go e.cancelLeft(run.name)
	}
	e.watch.freeze = freeze{}
}

func (e *Endpoint) cancelLeft(name string) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	if err := e.engine.Cancel(ctx, name); err != nil {
		// The engine ends the stream itself after its resume time.
		e.log.Debug("left run not canceled", "stream", name, "error", err)
	}
}
