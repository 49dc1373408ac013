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

// LatencySummary sums up one organisation's times to first token, in milliseconds.
type LatencySummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// MetricsPage is the metrics page's JSON shape.
type MetricsPage struct {
	Metrics          map[string]map[string]any `json:"metrics"`
	TimeToFirstToken map[string]LatencySummary `json:"time_to_first_token"`
}

// Snapshot returns all metrics as they stand.
func (m *Metrics) Snapshot() MetricsPage {
	return MetricsPage{Metrics: m.registry.GetAll(), TimeToFirstToken: m.tails()}
}

func (m *Metrics) tails() map[string]LatencySummary {
	m.mu.Lock()
	defer m.mu.Unlock()
	tails := make(map[string]LatencySummary, len(m.firstTokens))
	for organisation, h := range m.firstTokens {
		tails[organisation] = LatencySummary{
			Count: h.TotalCount(),
			P50:   millis(h.ValueAtQuantile(50)),
			P95:   millis(h.ValueAtQuantile(95)),
			P99:   millis(h.ValueAtQuantile(99)),
			Max:   millis(h.Max()),
		}
	}
	return tails
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

// Handler serves the page: "/metrics" as text, "/metrics.json" as JSON.
func (m *Metrics) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		m.writeText(w)
	}).Methods(http.MethodGet)
	r.HandleFunc("/metrics.json", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(m.Snapshot()) // the reader has gone
	}).Methods(http.MethodGet)
	return r
}

func (m *Metrics) writeText(w io.Writer) {
	tails := m.tails()
	for _, organisation := range slices.Sorted(maps.Keys(tails)) {
		t := tails[organisation]
		fmt.Fprintf(w, "time_to_first_token %s count=%d p50=%.1fms p95=%.1fms p99=%.1fms max=%.1fms\n",
			organisation, t.Count, t.P50, t.P95, t.P99, t.Max)
	}
	metrics.WriteOnce(m.registry, w)
}
