package endpoint

import (
	"testing"

	"skylarklead/internal/protocol"
	standinengine "skylarklead/internal/standin/engine"
	"skylarklead/test/kit"
)

// Guards against parameters such as temperature and stop that have no effect, because
// the endpoint builds the engine's request only from the fields that it knows.
func TestParametersReachTheEngine(t *testing.T) {
	base := startCurrentStandinEngine(t)
	n := startProcess(t, base, nil).dial("entry-1")
	run := chat(1)
	run.Parameters = []byte(`{"cache_salt":"other","temperature":0.2,"stop":["x"]}`)
	n.send(run)
	if _, end := n.answer(0); end.Outcome != protocol.Done {
		t.Fatalf("ended with %+v", end)
	}
	got := kit.Get[standinengine.Stats](t, base+"/control/account").Requests[run.Attempt.String()]
	if got.Salt != "org" || len(got.Parameters) != 2 || string(got.Parameters["temperature"]) != "0.2" {
		t.Errorf("got %+v", got)
	}
}
