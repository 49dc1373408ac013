package endpoint

import (
	"testing"
	"time"

	"skylarklead/internal/engine"
	"skylarklead/internal/telemetry"
)

// Symptom: on a busy machine an engine with new weights is taken for one with the
// old ones: a request for those runs under the new ones and ends unknown, and the
// order to load is given once more.
// Sequence: a load report is asked for; the new weights come into force; the
// report's answer, from before, is read late.
// Cause: a report's age was counted from when it was read.
func TestLateLoadReportNamesOldWeights(t *testing.T) {
	s := processSettings(t, "http://127.0.0.1:1")
	s.Advertise = s.Listen
	tel, err := telemetry.New(s, testWriter{t})
	if err != nil {
		t.Fatal(err)
	}
	const second = time.Second
	for _, c := range []struct {
		name        string
		asked, done time.Duration
		ageMs       int64
		want        string
	}{
		{"asked before, answered late", 1 * second, 2 * second, 0, "v2"},
		{"asked after, but as of before", 3 * second, 2 * second, 1500, "v2"},
		{"asked after, as of after", 3 * second, 2 * second, 200, "v1"},
	} {
		e := newEndpoint(s, tel)
		e.started = time.Now().Add(-time.Minute)
		e.watch.model, e.watch.version = "m", "v2"
		e.placement.doneAt = c.done
		e.onLoad(c.asked, engine.Load{Incarnation: "i1", Model: "m", Version: "v1", AgeMs: c.ageMs}, nil)
		if e.watch.version != c.want {
			t.Errorf("%s: engine is taken for %s, want %s", c.name, e.watch.version, c.want)
		}
	}
}
