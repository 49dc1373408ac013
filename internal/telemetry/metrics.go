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
	// maxOrganisations bounds the histograms kept, some 20 KB each; later
	// organisations are counted together as otherOrganisations.
	maxOrganisations   = 64
	otherOrganisations = "other"
	// Histograms hold microseconds from 1 to ten minutes at two digits.
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	latencyDigits    = 2
)

// Metrics are a process's counters. It is safe for concurrent use.
type Metrics struct {
	registry metrics.Registry

	// Requests counts requests begun, in the role's own sense: a caller's
	// request at an entry, a Run at an endpoint.
	Requests metrics.Meter
	// Completed counts those that ended as done.
	Completed metrics.Meter
	// Tokens counts generated tokens.
	Tokens metrics.Meter
	// Retries and Hedges count attempts and questions sent again.
	Retries, Hedges metrics.Counter
	// Dropped counts late, crossed and unknown messages.
	Dropped metrics.Counter

	promptTokens, cachedTokens, recomputedTokens metrics.Counter

	// Traffic counts bytes on the sessions to peers; hand it to wire.Options.
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

// hitRate is cached over all prompt tokens since the start.
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

// Prompt counts one prompt's tokens: all, those served from the cache, and those
// computed again although the prediction had them cached.
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
	// The value is within the histogram's range, the only thing that can fail.
	_ = m.histogram(organisation).RecordValue(micros)
}

func (m *Metrics) histogram(organisation string) *hdrhistogram.Histogram {
	if h := m.firstTokens[organisation]; h != nil {
		return h
	}
	if len(m.firstTokens) >= maxOrganisations && organisation != otherOrganisations {
		return m.histogram(otherOrganisations)
	}
	h := hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
	m.firstTokens[organisation] = h
	return h
}

// Gauge shows a value that is read when the page is.
func (m *Metrics) Gauge(name string, value func() int64) {
	metrics.NewRegisteredFunctionalGauge(name, m.registry, value)
}

// Count adds to a counter named by the caller, for what only one role counts.
func (m *Metrics) Count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(n)
}
