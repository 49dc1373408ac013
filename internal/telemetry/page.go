package telemetry

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
)

// LatencySummary summarizes one organisation's times to first token in milliseconds.
type LatencySummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// MetricsPage is the JSON form of the metrics page. TimeToFirstToken is by
// organisation.
type MetricsPage struct {
	Metrics          map[string]map[string]any `json:"metrics"`
	TimeToFirstToken map[string]LatencySummary `json:"time_to_first_token"`
}

// Snapshot returns the current values of all metrics.
func (m *Metrics) Snapshot() MetricsPage {
	return MetricsPage{Metrics: m.registry.GetAll(), TimeToFirstToken: m.latencySummaries()}
}

func (m *Metrics) latencySummaries() map[string]LatencySummary {
	m.mu.Lock()
	defer m.mu.Unlock()
	summaries := make(map[string]LatencySummary, len(m.firstTokens))
	for organisation, h := range m.firstTokens {
		summaries[organisation] = LatencySummary{
			Count: h.TotalCount(),
			P50:   millis(h.ValueAtQuantile(50)),
			P95:   millis(h.ValueAtQuantile(95)),
			P99:   millis(h.ValueAtQuantile(99)),
			Max:   millis(h.Max()),
		}
	}
	return summaries
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

// Handler serves the metrics: "/metrics" as text, "/metrics.json" as JSON.
func (m *Metrics) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		m.writeText(w)
	}).Methods(http.MethodGet)
	r.HandleFunc("/metrics.json", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(m.Snapshot()) // fails only if the client has disconnected
	}).Methods(http.MethodGet)
	return r
}

func (m *Metrics) writeText(w io.Writer) {
	summaries := m.latencySummaries()
	for _, organisation := range slices.Sorted(maps.Keys(summaries)) {
		t := summaries[organisation]
		fmt.Fprintf(w, "time_to_first_token %s count=%d p50=%.1fms p95=%.1fms p99=%.1fms max=%.1fms\n",
			organisation, t.Count, t.P50, t.P95, t.P99, t.Max)
	}
	metrics.WriteOnce(m.registry, w)
}
