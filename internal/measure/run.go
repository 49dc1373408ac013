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

// Options are what all runs of a table share.
type Options struct {
	// Bin is the folder of the programs.
	Bin string
	// Duration is how long each run's load lasts, Warmup how much of it isn't
	// counted.
	Duration, Warmup time.Duration
	// Keep leaves the folder with settings and logs of each run.
	Keep bool
	// Transfer is the endpoints' TransferTokensPerSecond.
	Transfer float64
}

// Run is the figures of one run.
type Run struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Policy     string `json:"policy"`
	Seed       uint64 `json:"seed"`
	// HitRate is prompt tokens served from cache, by the engines' accounts;
	// IdealHitRate is that of one infinite cache before the same requests.
	HitRate      float64 `json:"hit_rate"`
	IdealHitRate float64 `json:"ideal_hit_rate"`
	// Tokens of prompts, and those computed while another engine held them.
	PromptTokens int `json:"prompt_tokens"`
	WastedTokens int `json:"wasted_tokens"`
	// FirstToken is by class, BetweenTokens over all.
	FirstToken    map[string]load.Times `json:"first_token"`
	BetweenTokens load.Times            `json:"between_tokens"`
	Outcomes      map[load.Outcome]int  `json:"outcomes"`
	// ClassOutcomes are by class.
	ClassOutcomes map[string]map[load.Outcome]int `json:"class_outcomes"`
	Refusals      map[string]int                  `json:"refusals"`
	Goodput       float64                         `json:"goodput_per_second"`
	Retries       int                             `json:"retries"`
	Hedges        int                             `json:"hedges"`
	// RecoveryMs is how long after the middle of the run the hit rate of the
	// callers' answers was back at 90 % of what it was before; -1 if never.
	RecoveryMs int64 `json:"recovery_ms"`
	// Control is the worst daemon's control traffic, bytes a second, sent and
	// received; CPU the worst daemon's share of a core.
	Control   float64 `json:"control_bytes_per_second"`
	EntryCPU  float64 `json:"entry_cpu"`
	EngineCPU float64 `json:"endpoint_cpu"`
	// Imports are the counters of KV cache imports, over all endpoints.
	Imports map[string]int `json:"imports,omitempty"`
	// LateMs is how late the generator itself was, 99th percentile.
	LateMs float64 `json:"generator_late_p99_ms"`
	// Valid is unset when requests were dropped by the generator.
	Valid bool `json:"valid"`
}

// sample is what the engines and daemons have counted up to a moment.
type sample struct {
	at      time.Time
	prompt  int
	cached  int
	cpu     map[string]float64
	control map[string]float64
	retries float64
	hedges  float64
	imports map[string]int
}

// Measure starts a deployment, runs one scenario on it and stops it.
func Measure(ctx context.Context, d Deployment, s Scenario, policy string, seed uint64, o Options) (*Run, error) {
	w, err := load.Read(d.Workload)
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
	f, err := StartFleet(ctx, d, w, FleetOptions{Bin: o.Bin, Dir: dir, Policy: policy, Engine: engines, Transfer: o.Transfer})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return f.run(ctx, w, s, policy, seed, o)
}

func (f *Fleet) run(ctx context.Context, w load.Workload, s Scenario, policy string, seed uint64, o Options) (*Run, error) {
	hits := &hitSeries{}
	options := load.Options{
		Entries: f.EntryURLs(), Duration: o.Duration, Warmup: o.Warmup, Seed: seed,
		Rate: w.Rate * rateFactor(s.Rate), OnResult: hits.add, HealthEvery: time.Second,
	}
	if s.Load != nil {
		s.Load(&options, w)
	}
	var before sample
	var fault error
	var wg sync.WaitGroup
	timed := func(after time.Duration, do func() error) {
		wg.Go(func() {
			if err := wait.For(ctx, after); err == nil {
				err = do()
				if err != nil {
					fault = err
				}
			}
		})
	}
	timed(o.Warmup, func() (err error) { before, err = f.sample(); return err })
	for _, x := range s.Faults {
		timed(share(o.Duration, x.At), func() error { return x.Do(f) })
	}
	report, err := load.Run(ctx, w, options)
	wg.Wait()
	if err != nil {
		return nil, err
	}
	if fault != nil {
		return nil, fault
	}
	after, err := f.sample()
	if err != nil {
		return nil, err
	}
	r := &Run{Deployment: f.deployment.Name, Scenario: s.Name, Policy: policy, Seed: seed}
	r.fill(report, before, after)
	r.RecoveryMs = hits.recovery(o.Warmup, share(o.Duration, middle)).Milliseconds()
	return r, f.fillWaste(r, before, after)
}

// rateFactor makes 1 of a scenario's rate that isn't given.
func rateFactor(rate float64) float64 {
	if rate == 0 {
		return 1
	}
	return rate
}

func (r *Run) fill(report *load.Report, before, after sample) {
	r.PromptTokens = after.prompt - before.prompt
	r.HitRate = ratio(after.cached-before.cached, r.PromptTokens)
	r.FirstToken = map[string]load.Times{}
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

func (f *Fleet) fillWaste(r *Run, before, after sample) error {
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
	waste := tally(journals, before.at.UnixMicro())
	r.WastedTokens = waste.Recomputed
	cached := after.cached - before.cached
	r.IdealHitRate = ratio(cached+waste.Again, r.PromptTokens)
	return nil
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// sample reads all accounts and metrics pages.
func (f *Fleet) sample() (sample, error) {
	s := sample{at: time.Now(), cpu: map[string]float64{}, control: map[string]float64{}, imports: map[string]int{}}
	for _, n := range f.Engines {
		var account engine.Account
		if err := getJSON("http://"+n.address+"/control/account", &account); err != nil {
			return s, err
		}
		s.prompt += account.Totals.PromptTokens
		s.cached += account.Totals.CachedTokens
	}
	for _, n := range f.daemons() {
		var page telemetry.MetricsPage
		if err := getJSON(n.metrics+"/metrics.json", &page); err != nil {
			return s, err
		}
		s.cpu[n.id] = value(page, "cpu_seconds")
		s.control[n.id] = value(page, "control_bytes_sent") + value(page, "control_bytes_received")
		s.retries += value(page, "retries")
		s.hedges += value(page, "hedges")
		for name := range page.Metrics {
			if strings.HasPrefix(name, "kv_") {
				s.imports[name] += int(value(page, name))
			}
		}
	}
	return s, nil
}

// value reads a counter or gauge of a metrics page.
func value(page telemetry.MetricsPage, name string) float64 {
	m := page.Metrics[name]
	for _, field := range []string{"value", "count"} {
		if v, ok := m[field].(float64); ok {
			return v
		}
	}
	return 0
}
