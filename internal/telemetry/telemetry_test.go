package telemetry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"skylarklead/internal/protocol"
	"skylarklead/internal/settings"
	"skylarklead/test/kit"
)

func TestDecisionLineAndExplanation(t *testing.T) {
	var out bytes.Buffer
	tel := kit.Must(New(&settings.Settings{ID: "ep-1", Role: "endpoint"}, &out))(t)
	tel.Decisions.Record(protocol.DecisionRecord{
		Request: "r1", Kind: KindRoute, Organisation: "org", Owner: "ep-1", Executor: "ep-2",
		Reason: "holder", PredictedCached: 160, ActualCached: 144,
	})
	var line map[string]any
	kit.OK(t, json.Unmarshal(out.Bytes(), &line))
	for key, want := range map[string]any{
		"instance": "ep-1", "role": "endpoint", "epoch": FormatEpoch(tel.Epoch), "request": "r1",
		"organisation": "org", "owner": "ep-1", "executor": "ep-2", "reason": "holder",
		"predicted_cached": 160.0, "actual_cached": 144.0,
	} {
		if line[key] != want {
			t.Errorf("%s is %v, want %v", key, line[key], want)
		}
	}
	if records := tel.Decisions.Explain("r1"); len(records) != 1 || records[0].Process != "ep-1" {
		t.Errorf("got %+v", records)
	}
}

func TestExplanationIsBoundedAndOldestFirst(t *testing.T) {
	tel, _ := New(&settings.Settings{LogLevel: "error"}, &bytes.Buffer{})
	for i := range decisionRingSize + 3 {
		tel.Decisions.Record(protocol.DecisionRecord{Request: "r", Reason: fmt.Sprint(i)})
	}
	records := tel.Decisions.Explain("r")
	if len(records) != decisionRingSize || records[0].Reason != "3" {
		t.Fatalf("%d records from %s", len(records), records[0].Reason)
	}
}

func TestOrganisationsAreBounded(t *testing.T) {
	m := NewMetrics()
	for i := range 3 * maxOrganisations {
		m.FirstToken(fmt.Sprint(i), time.Duration(i)*time.Millisecond)
	}
	summaries := m.Snapshot().TimeToFirstToken
	if len(summaries) != maxOrganisations+1 {
		t.Fatalf("%d histograms", len(summaries))
	}
	if got := summaries[otherOrganisations].Count; got != 2*maxOrganisations {
		t.Fatalf("%d counted as other", got)
	}
}

func TestPage(t *testing.T) {
	m := NewMetrics()
	m.FirstToken("org", 12*time.Millisecond)
	m.Refused(protocol.CodeOverloaded)
	m.Prompt(100, 75, 80)
	get := func(path string) string {
		w := httptest.NewRecorder()
		m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		return w.Body.String()
	}
	var page MetricsPage
	kit.OK(t, json.Unmarshal([]byte(get("/metrics.json")), &page))
	if page.Metrics["hit_rate"]["value"] != 0.75 || page.Metrics["refused_overloaded"]["count"] != 1.0 ||
		page.Metrics["tokens_recomputed"]["count"] != 5.0 || page.TimeToFirstToken["org"].Count != 1 {
		t.Errorf("got %+v", page)
	}
	if text := get("/metrics"); !strings.Contains(text, "time_to_first_token org count=1") {
		t.Errorf("got %s", text)
	}
}
