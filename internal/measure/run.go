package measure

import (
	"context"
	"fmt"
	"maps"
	"os"
	"strings"
	"sync"
	"time"

	"skylarklead/internal/standin/engine"
	"skylarklead/internal/standin/load"
	"skylarklead/internal/telemetry"
	"skylarklead/internal/wait"
)

// Options are the options that all runs of a table share.
type Options struct {
	// Bin is the folder of the programs.
	Bin string
	// Duration is the duration of each run's load, Warmup the initial part of it
	// that isn't measured.
	Duration, Warmup time.Duration
	// Keep keeps the folder with settings and logs of each run.
	Keep bool
	// TransferTokensPerSecond is the setting of the endpoints of that name.
	TransferTokensPerSecond float64
}

// Run has the results of one run.
type Run struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Policy     string `json:"policy"`
	Seed       uint64 `json:"seed"`
	// HitRate is the fraction of prompt tokens served from cache, by the engines'
	// statistics. IdealHitRate is the hit rate of a single cache of unlimited size
	// for the same requests.
	HitRate      float64 `json:"hit_rate"`
	IdealHitRate float64 `json:"ideal_hit_rate"`
	// WastedTokens is how many of PromptTokens were computed while another engine
	// had them in its cache.
	PromptTokens int `json:"prompt_tokens"`
	WastedTokens int `json:"wasted_tokens"`
	// FirstToken is by class, and "all" for all requests; BetweenTokens is for all
	// requests.
	FirstToken    map[string]load.LatencySummary `json:"first_token"`
	BetweenTokens load.LatencySummary            `json:"between_tokens"`
	Outcomes      map[load.Outcome]int           `json:"outcomes"`
	// ClassOutcomes are by class.
	ClassOutcomes map[string]map[load.Outcome]int `json:"class_outcomes"`
	Refusals      map[string]int                  `json:"refusals"`
	Goodput       float64                         `json:"goodput_per_second"`
	Retries       int                             `json:"retries"`
	Hedges        int                             `json:"hedges"`
	// RecoveryMs is how long after the middle of the run the hit rate of the
	// callers' answers was back at 90 % of its previous value, -1 if never.
	RecoveryMs int64 `json:"recovery_ms"`
	// Control is the highest control traffic of a daemon, in bytes per second sent
	// and received. EntryCPU and EngineCPU are the highest CPU usage of an entry
	// and of an endpoint process, as a fraction of a core.
	Control   float64 `json:"control_bytes_per_second"`
	EntryCPU  float64 `json:"entry_cpu"`
	EngineCPU float64 `json:"endpoint_cpu"`
	// Imports are the counters of KV cache imports, over all endpoints.
	Imports map[string]int `json:"imports,omitempty"`
	// LateMs is the 99th percentile of the delay between a request's scheduled
	// arrival and the time at which the load generator sent it.
	LateMs float64 `json:"generator_late_p99_ms"`
	// Valid is false if the load generator dropped requests.
	Valid bool `json:"valid"`
}

// snapshot has the counters of engines and daemons at a point in time.
type snapshot struct {
	at      time.Time
	prompt  int
	cached  int
	cpu     map[string]float64
	control map[string]float64
	retries float64
	hedges  float64
	imports map[string]int
}

// MeasureScenario starts a deployment, runs one scenario on it and stops it.
func MeasureScenario(ctx context.Context, d Deployment, s Scenario, policy string, seed uint64, o Options) (*Run, error) {
	w, err := load.ReadWorkload(d.Workload)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "skylark-measure-")
	if err != nil {
		return nil, fmt.Errorf("measure: %w", err)
	}
	if !o.Keep {
		defer os.RemoveAll(dir)
	}
	engines := map[string]any{"journal": true, "crash_mode": "reset"}
	maps.Copy(engines, s.Engine)
	f, err := StartFleet(ctx, d, w, FleetOptions{Bin: o.Bin, Dir: dir, Policy: policy, Engine: engines, TransferTokensPerSecond: o.TransferTokensPerSecond})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return f.runScenario(ctx, w, s, policy, seed, o)
}

func (f *Fleet) runScenario(ctx context.Context, w load.Workload, s Scenario, policy string, seed uint64, o Options) (*Run, error) {
	hitRates := &hitRateSeries{}
	options := load.Options{
		Entries: f.EntryURLs(), Duration: o.Duration, Warmup: o.Warmup, Seed: seed,
		Rate: w.Rate * orOne(s.Rate), OnResult: hitRates.add, HealthCheckInterval: time.Second,
	}
	if s.AdjustLoad != nil {
		s.AdjustLoad(&options, w)
	}
	var before snapshot
	var faultErr error
	var wg sync.WaitGroup
	schedule := func(after time.Duration, do func() error) {
		wg.Go(func() {
			if err := wait.For(ctx, after); err == nil {
				err = do()
				if err != nil {
					faultErr = err
				}
			}
		})
	}
	schedule(o.Warmup, func() (err error) { before, err = f.snapshot(); return err })
	for _, x := range s.Faults {
		schedule(fraction(o.Duration, x.AtShare), func() error { return x.Inject(f) })
	}
	report, err := load.Run(ctx, w, options)
	wg.Wait()
	if err != nil {
		return nil, err
	}
	if faultErr != nil {
		return nil, faultErr
	}
	after, err := f.snapshot()
	if err != nil {
		return nil, err
	}
	r := &Run{Deployment: f.deployment.Name, Scenario: s.Name, Policy: policy, Seed: seed}
	r.fillCounts(report, before, after)
	r.RecoveryMs = hitRates.recoveryTime(o.Warmup, fraction(o.Duration, midRun)).Milliseconds()
	return r, f.fillUsageAndWaste(r, before, after)
}

// orOne returns a scenario's rate factor, 1 if it isn't set.
func orOne(rate float64) float64 {
	if rate == 0 {
		return 1
	}
	return rate
}

func (r *Run) fillCounts(report *load.Report, before, after snapshot) {
	r.PromptTokens = after.prompt - before.prompt
	r.HitRate = ratio(after.cached-before.cached, r.PromptTokens)
	r.FirstToken = map[string]load.LatencySummary{}
	r.ClassOutcomes = map[string]map[load.Outcome]int{}
	for class, g := range report.Classes {
		r.FirstToken[class] = g.FirstToken
		r.ClassOutcomes[class] = g.Outcomes
	}
	r.FirstToken["all"] = report.All.FirstToken
	r.BetweenTokens = report.All.BetweenTokens
	r.Outcomes = report.All.Outcomes
	r.Refusals = report.All.Refusals
	r.Goodput = report.All.GoodputPerSecond
	r.Retries = int(after.retries - before.retries)
	r.Hedges = int(after.hedges - before.hedges)
	r.Imports = map[string]int{}
	for name, count := range after.imports {
		r.Imports[name] = count - before.imports[name]
	}
	r.LateMs = report.LateP99MS
	r.Valid = report.Dropped == 0
}

func (f *Fleet) fillUsageAndWaste(r *Run, before, after snapshot) error {
	seconds := after.at.Sub(before.at).Seconds()
	for _, n := range f.daemons() {
		r.Control = max(r.Control, (after.control[n.id]-before.control[n.id])/seconds)
		cpu := (after.cpu[n.id] - before.cpu[n.id]) / seconds
		if n.settings.Entry != nil {
			r.EntryCPU = max(r.EntryCPU, cpu)
		} else {
			r.EngineCPU = max(r.EngineCPU, cpu)
		}
	}
	journals := make([][]engine.JournalEntry, len(f.Engines))
	for i, n := range f.Engines {
		var err error
		if journals[i], err = readJournal("http://" + n.address); err != nil {
			return err
		}
	}
	waste := countWaste(journals, before.at.UnixMicro())
	r.WastedTokens = waste.Recomputed
	cached := after.cached - before.cached
	r.IdealHitRate = ratio(cached+waste.Repeated, r.PromptTokens)
	return nil
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// snapshot reads the statistics of all engines and the metrics of all daemons.
func (f *Fleet) snapshot() (snapshot, error) {
	s := snapshot{at: time.Now(), cpu: map[string]float64{}, control: map[string]float64{}, imports: map[string]int{}}
	for _, n := range f.Engines {
		var stats engine.Stats
		if err := getJSON("http://"+n.address+"/control/account", &stats); err != nil {
			return s, err
		}
		s.prompt += stats.Totals.PromptTokens
		s.cached += stats.Totals.CachedTokens
	}
	for _, n := range f.daemons() {
		var page telemetry.MetricsPage
		if err := getJSON(n.metricsURL+"/metrics.json", &page); err != nil {
			return s, err
		}
		s.cpu[n.id] = metricValue(page, "cpu_seconds")
		s.control[n.id] = metricValue(page, "control_bytes_sent") + metricValue(page, "control_bytes_received")
		s.retries += metricValue(page, "retries")
		s.hedges += metricValue(page, "hedges")
		for name := range page.Metrics {
			if strings.HasPrefix(name, "kv_") {
				s.imports[name] += int(metricValue(page, name))
			}
		}
	}
	return s, nil
}

// metricValue returns the value of a counter or gauge of a metrics page, 0 if there
// is none.
func metricValue(page telemetry.MetricsPage, name string) float64 {
	m := page.Metrics[name]
	for _, field := range []string{"value", "count"} {
		if v, ok := m[field].(float64); ok {
			return v
		}
	}
	return 0
}
