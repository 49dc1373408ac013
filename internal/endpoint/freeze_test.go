package endpoint

import (
	"fmt"
	"testing"

	"skylarklead/internal/protocol"
	"skylarklead/internal/settings"
	standinengine "skylarklead/internal/standin/engine"
	"skylarklead/test/kit"
)

// longFreeze outlasts a test's patience: what happens within it was not the thaw.
const longFreeze = `{"freeze_ms": 60000}`

// Symptom: while an engine is frozen, callers wait for it: as long as it is frozen
// for their first token, or 12.5 s in the middle of an answer, and are then made
// suspects of a crash.
// Sequence: an engine that runs a request stops, keeping its connections.
// Cause: only a lost connection ended an attempt, and an engine that resumes no
// stream for long counted as crashed.
func TestFrozenEngine(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		// midway has the engine freeze after the first piece.
		midway bool
		// after is what becomes of the engine; struck whether that is held against
		// the request.
		after  string
		struck bool
	}{
		{"before the answer, and thaws", false, `{"freeze_ms": 1}`, false},
		{"midway, and thaws", true, `{"freeze_ms": 1}`, false},
		{"midway, and is restarted", true, `{"freeze_ms": 1, "crash": true, "crash_mode": "reset"}`, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			backend := startStandinEngine(t)
			p := startProcess(t, backend, nil)
			n := p.dial("entry-1")
			up := func() bool { return n.status().Load.EngineUp }
			kit.Until(t, "the engine", up)
			kit.Control(t, backend, `{"step_ms": 20}`)
			if !c.midway {
				kit.Control(t, backend, longFreeze)
			}
			// One crash is known already, so that one more makes a suspect.
			again := ask(1)
			again.Crashed = []string{"ep-9"}
			suspect := func() bool { return n.decision(again).Suspect }
			if suspect() {
				t.Fatal("a suspect before it ran")
			}
			run := chat(1)
			run.MaxTokens = 500
			n.send(run)
			if c.midway {
				n.next() // Start
				n.next()
				kit.Control(t, backend, longFreeze)
			}
			end := n.end()
			if end.Outcome != protocol.Unknown || end.Code != protocol.CodeUnknownOutcome || end.EngineCrashed {
				t.Fatalf("got %+v", end)
			}
			if up() {
				t.Error("a frozen engine is told to be up")
			}
			n.send(chat(2))
			if end := n.end(); end.Outcome != protocol.NotRun {
				t.Errorf("new work: got %+v", end)
			}
			if suspect() {
				t.Error("a freeze is held against the request")
			}
			kit.Control(t, backend, c.after)
			kit.Until(t, "the engine to be back", up)
			if suspect() != c.struck {
				t.Errorf("suspect: %v, want %v", !c.struck, c.struck)
			}
			if c.midway && !c.struck {
				kit.Until(t, "the engine's cancel", func() bool {
					return kit.Get[standinengine.Account](t, backend+"/control/account").Requests[run.Attempt.String()].Cancelled
				})
			}
		})
	}
}

// Symptom: a payment-like request is ended as unknown for a pause of its engine.
// Sequence: an engine freezes and thaws with two requests on it, one of which has
// an idempotency key.
// Cause: what can't be run elsewhere was given up as what can.
func TestFrozenEngineKeepsWhatCannotBeRepeated(t *testing.T) {
	t.Parallel()
	backend := startStandinEngine(t)
	p := startProcess(t, backend, func(s *settings.Settings) { s.Platform = platformOf(t, nil) })
	n := p.dial("entry-1")
	kit.Control(t, backend, `{"step_ms": 20, "resume_ms": 60000}`)
	for i := range byte(2) {
		run := chat(i + 1)
		run.MaxTokens = 100
		if i == 0 {
			run.Key = []byte(fmt.Sprintf("%032d", 1))
		}
		n.send(run)
	}
	started := 0
	for started < 2 {
		if _, ok := n.next().(*protocol.Start); ok {
			started++
		}
	}
	kit.Control(t, backend, `{"freeze_ms": 5000}`)
	ends := []*protocol.End{n.end(), n.end()}
	if ends[0].Attempt != attemptID(2) || ends[0].Outcome != protocol.Unknown || ends[0].EngineCrashed {
		t.Errorf("repeatable: got %+v", ends[0])
	}
	if ends[1].Attempt != attemptID(1) || ends[1].Outcome != protocol.Done {
		t.Errorf("with a key: got %+v", ends[1])
	}
}
