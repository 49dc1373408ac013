package endpoint

import (
	"fmt"
	"testing"

	"skylarklead/internal/protocol"
	"skylarklead/internal/settings"
	standinengine "skylarklead/internal/standin/engine"
	"skylarklead/test/kit"
)

// longFreeze is longer than a test waits, so whatever happens was not due to its end.
const longFreeze = `{"freeze_ms": 60000}`

// Guards against callers that wait for a frozen engine, for as long as it is frozen
// for the first token, or 12.5 s in the middle of an answer, and whose requests then
// count as suspects of a crash. An engine that runs a request stops but keeps its
// connections open: only a lost connection ended an attempt, and an engine that resumed
// no stream for long counted as crashed.
func TestFrozenEngine(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		// midway has the engine freeze after the first chunk.
		midway bool
		// after is what happens to the engine; struck is whether a crash is counted
		// against the request.
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
			engineUp := func() bool { return n.status().Load.EngineUp }
			kit.Until(t, "the engine", engineUp)
			kit.Control(t, backend, `{"step_ms": 20}`)
			if !c.midway {
				kit.Control(t, backend, longFreeze)
			}
			// One crash is known already, so that one more makes a suspect.
			askAgain := ask(1)
			askAgain.Crashed = []string{"ep-9"}
			suspect := func() bool { return n.decision(askAgain).Suspect }
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
			if engineUp() {
				t.Error("a frozen engine is reported as up")
			}
			n.send(chat(2))
			if end := n.end(); end.Outcome != protocol.NotRun {
				t.Errorf("new work: got %+v", end)
			}
			if suspect() {
				t.Error("a freeze is counted as a crash of the request")
			}
			kit.Control(t, backend, c.after)
			kit.Until(t, "the engine to be back", engineUp)
			if suspect() != c.struck {
				t.Errorf("suspect: %v, want %v", !c.struck, c.struck)
			}
			if c.midway && !c.struck {
				kit.Until(t, "the engine's cancel", func() bool {
					return kit.Get[standinengine.Stats](t, backend+"/control/account").Requests[run.Attempt.String()].Cancelled
				})
			}
		})
	}
}

// Guards against giving up a request that can't be run elsewhere, with an unknown
// outcome, because its engine paused. The engine freezes and thaws with two requests, one
// of which has an idempotency key.
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
