package endpoint

import (
	"log/slog"
	"testing"

	"skylarklead/internal/config"
	"skylarklead/internal/follow"
	"skylarklead/internal/protocol"
	"skylarklead/test/kit"
)

// followerWithState returns a follower that has accepted the records, and its state.
func followerWithState(t *testing.T, records ...string) (*follow.Follower, *config.State) {
	t.Helper()
	state := config.NewState()
	for i, r := range records {
		var verdict config.Verdict
		if state, verdict = state.Apply(uint64(i+1), []byte(r)); !verdict.Accepted {
			t.Fatalf("record %d: %+v", i, verdict)
		}
	}
	encoded := kit.Must(config.EncodeState(state))(t)
	f := follow.New(follow.Options{Logger: slog.New(slog.DiscardHandler)})
	kit.OK(t, f.Merge(encoded, follow.SourcePeer))
	return f, state
}

const organisationRecord = `{"schema":2,"kind":"organisation","key":"org","base":0,` +
	`"body":{"models":[{"name":"m"}],"instructions":["the firm's rules","the charter"]}}`

// Guards against answers that ignore an organisation's standing instructions after a
// restart during an outage of the log: the process starts without the log, and an entry
// that has the configuration sends it a request.
func TestExecutorFetchesTheSendersConfiguration(t *testing.T) {
	f, _, n := startWithEngine(t, "a")
	var state *config.State
	n.config, state = followerWithState(t, organisationRecord)
	run := chat(1)
	run.ConfigOffset = state.Offset
	run.Instructions = state.Organisations["org"].Offset
	n.send(run)
	if _, end := n.answer(0); end.Outcome != protocol.Done {
		t.Fatalf("got %+v", end)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	body := f.bodies[0]
	if len(body.Messages) != 3 || body.Messages[0].Content != "the firm's rules" ||
		body.Messages[0].Role != "system" || body.Messages[2].Content != "question" || body.CacheSalt != "org" {
		t.Fatalf("got %+v", body)
	}
}

func TestRunOfAnUnknownConfigurationIsRefused(t *testing.T) {
	f, _, n := startWithEngine(t, "a")
	run := chat(1)
	run.ConfigOffset = 9
	n.send(run)
	if _, end := n.answer(0); end.Outcome != protocol.NotRun || f.ran(run.Attempt) != 0 {
		t.Fatalf("got %+v", end)
	}
}
