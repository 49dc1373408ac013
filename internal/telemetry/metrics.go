package telemetry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"

	"skylarklead/internal/protocol"
	"skylarklead/internal/wire"
)

const (
	// maxOrganisations bounds the histograms, of some 20 KB each. Further organisations
	// share the histogram otherOrganisations.
	maxOrganisations   = 64
	otherOrganisations = "other"
	// Histograms cover 1 µs to ten minutes with two significant digits.
	maxLatencyMicros         = int64(10 * time.Minute / time.Microsecond)
	latencySignificantDigits = 2
)

// Metrics are the metrics of a process. It is safe for concurrent use.
type Metrics struct {
	registry metrics.Registry

	// Requests counts the requests begun: callers' requests at an entry, Runs at an
	// endpoint.
	Requests metrics.Meter
	// Completed counts the requests that ended as done.
	Completed metrics.Meter
	// Tokens counts generated tokens.
	Tokens metrics.Meter
	// Retries counts repeated attempts, Hedges routing questions sent to a further
	// endpoint.
	Retries, Hedges metrics.Counter
	// Dropped counts messages that are late, belong to another attempt or match nothing.
	Dropped metrics.Counter

	promptTokens, cachedTokens, recomputedTokens metrics.Counter

	// Traffic counts the bytes on the sessions with peers, for wire.Options.
	Traffic *wire.Traffic

	mu          sync.Mutex
	firstTokens map[string]*hdrhistogram.Histogram
}

// NewMetrics returns zeroed metrics.
func NewMetrics() *Metrics {
	r := metrics.NewRegistry()
	m := &Metrics{
		registry:         r,
		Requests:         metrics.NewRegisteredMeter("requests", r),
		Completed:        metrics.NewRegisteredMeter("completed", r),
		Tokens:           metrics.NewRegisteredMeter("tokens_generated", r),
		Retries:          metrics.NewRegisteredCounter("retries", r),
		Hedges:           metrics.NewRegisteredCounter("hedges", r),
		Dropped:          metrics.NewRegisteredCounter("messages_dropped", r),
		promptTokens:     metrics.NewRegisteredCounter("tokens_prompt", r),
		cachedTokens:     metrics.NewRegisteredCounter("tokens_cached", r),
		recomputedTokens: metrics.NewRegisteredCounter("tokens_recomputed", r),
		Traffic:          &wire.Traffic{},
		firstTokens:      make(map[string]*hdrhistogram.Histogram),
	}
	m.registerProcess()
	return m
}

func (m *Metrics) registerProcess() {
	r := m.registry
	metrics.NewRegisteredFunctionalGaugeFloat64("hit_rate", r, m.hitRate)
	metrics.NewRegisteredFunctionalGaugeFloat64("cpu_seconds", r, cpuSeconds)
	metrics.NewRegisteredFunctionalGauge("control_bytes_sent", r, m.Traffic.ControlSent.Load)
	metrics.NewRegisteredFunctionalGauge("control_bytes_received", r, m.Traffic.ControlReceived.Load)
	metrics.NewRegisteredFunctionalGauge("data_bytes_sent", r, m.Traffic.DataSent.Load)
	metrics.NewRegisteredFunctionalGauge("data_bytes_received", r, m.Traffic.DataReceived.Load)
}

// hitRate returns the share of prompt tokens since the start that were cached.
func (m *Metrics) hitRate() float64 {
	prompt := m.promptTokens.Count()
	if prompt == 0 {
		return 0
	}
	return float64(m.cachedTokens.Count()) / float64(prompt)
}

// Refused counts a refusal by its code.
func (m *Metrics) Refused(code protocol.Code) {
	metrics.GetOrRegisterCounter("refused_"+string(code), m.registry).Inc(1)
}

// Prompt counts the tokens of one prompt: all of them, those served from the cache, and
// those computed although they were predicted to be cached.
func (m *Metrics) Prompt(tokens, cached, predicted int) {
	m.promptTokens.Inc(int64(tokens))
	m.cachedTokens.Inc(int64(cached))
	m.recomputedTokens.Inc(int64(max(0, predicted-cached)))
}

// FirstToken records a request's time to first token.
func (m *Metrics) FirstToken(organisation string, d time.Duration) {
	micros := min(max(d.Microseconds(), 1), maxLatencyMicros)
	m.mu.Lock()
	defer m.mu.Unlock()
	// RecordValue fails only for values out of range, which micros isn't.
	_ = m.histogram(organisation).RecordValue(micros)
}

// histogram returns the organisation's histogram, or that of otherOrganisations beyond
// maxOrganisations. Callers hold mu.
func (m *Metrics) histogram(organisation string) *hdrhistogram.Histogram {
	if h := m.firstTokens[organisation]; h != nil {
		return h
	}
	if len(m.firstTokens) >= maxOrganisations && organisation != otherOrganisations {
		return m.histogram(otherOrganisations)
	}
	h := hdrhistogram.New(1, maxLatencyMicros, latencySignificantDigits)
	m.firstTokens[organisation] = h
	return h
}

// Gauge registers a gauge whose value is read when the metrics are.
func (m *Metrics) Gauge(name string, value func() int64) {
	metrics.NewRegisteredFunctionalGauge(name, m.registry, value)
}

// Count adds n to the counter of this name, for counters of a single role.
func (m *Metrics) Count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(n)
}
