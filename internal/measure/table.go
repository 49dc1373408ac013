package measure

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"

	"skylarklead/internal/standin/load"
)

// runsFile has the runs from which a table was made.
const runsFile = "runs.json"

// Row has the medians over the seeds of a policy's runs of one scenario.
type Row struct {
	Deployment, Scenario, Policy string
	Seeds                        int
	HitRate, IdealHitRate        float64
	// Wasted is wasted tokens as a fraction of prompt tokens.
	Wasted float64
	// Times to first token of small and of all organisations, and the 95th
	// percentile of the time between tokens, in milliseconds.
	SmallP50, SmallP95, SmallP99 float64
	AllP50, AllP95, AllP99       float64
	BetweenTokensP95             float64
	Goodput                      float64
	Refused, Failed              float64
	Retries                      float64
	Recovery                     float64
	Control, EntryCPU, EngineCPU float64
	Valid                        bool
}

// Rows returns the medians of runs, in the order of the runs.
func Rows(runs []*Run) []Row {
	type key struct{ deployment, scenario, policy string }
	groups := map[key][]*Run{}
	var order []key
	for _, r := range runs {
		k := key{r.Deployment, r.Scenario, r.Policy}
		if groups[k] == nil {
			order = append(order, k)
		}
		groups[k] = append(groups[k], r)
	}
	rows := make([]Row, 0, len(order))
	for _, k := range order {
		rows = append(rows, medianRow(groups[k]))
	}
	return rows
}

func medianRow(runs []*Run) Row {
	of := func(value func(*Run) float64) float64 { return median(runs, value) }
	first := func(class string, value func(load.LatencySummary) float64) float64 {
		return of(func(r *Run) float64 { return value(r.FirstToken[class]) })
	}
	p50 := func(t load.LatencySummary) float64 { return t.P50 }
	p95 := func(t load.LatencySummary) float64 { return t.P95 }
	p99 := func(t load.LatencySummary) float64 { return t.P99 }
	return Row{
		Deployment: runs[0].Deployment, Scenario: runs[0].Scenario, Policy: runs[0].Policy, Seeds: len(runs),
		HitRate:      of(func(r *Run) float64 { return r.HitRate }),
		IdealHitRate: of(func(r *Run) float64 { return r.IdealHitRate }),
		Wasted:       of(func(r *Run) float64 { return ratio(r.WastedTokens, r.PromptTokens) }),
		SmallP50:     first(load.ClassSmall, p50), SmallP95: first(load.ClassSmall, p95), SmallP99: first(load.ClassSmall, p99),
		AllP50: first("all", p50), AllP95: first("all", p95), AllP99: first("all", p99),
		BetweenTokensP95: of(func(r *Run) float64 { return r.BetweenTokens.P95 }),
		Goodput:          of(func(r *Run) float64 { return r.Goodput }),
		Refused:          of(func(r *Run) float64 { return float64(r.Outcomes[load.Refused]) }),
		Failed: of(func(r *Run) float64 {
			o := r.Outcomes
			return float64(o[load.Failed] + o[load.Cut] + o[load.Wrong] + o[load.Broken])
		}),
		Retries:   of(func(r *Run) float64 { return float64(r.Retries) }),
		Recovery:  of(func(r *Run) float64 { return float64(r.RecoveryMs) }),
		Control:   of(func(r *Run) float64 { return r.Control }),
		EntryCPU:  of(func(r *Run) float64 { return r.EntryCPU }),
		EngineCPU: of(func(r *Run) float64 { return r.EngineCPU }),
		Valid:     !slices.ContainsFunc(runs, func(r *Run) bool { return !r.Valid }),
	}
}

func median(runs []*Run, value func(*Run) float64) float64 {
	values := make([]float64, len(runs))
	for i, r := range runs {
		values[i] = value(r)
	}
	slices.SortFunc(values, cmp.Compare)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}

// Table writes rows as a Markdown table.
func Table(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(t, "| deployment\t| scenario\t| policy\t| seeds\t| hit %\t| ideal %\t| wasted %\t| small p50\t| small p95\t| small p99 ms\t| all p50\t| all p95\t| all p99 ms\t| between p95 ms\t| goodput/s\t| refused\t| failed\t| retries\t| recovery s\t| control B/s\t| CPU entry %\t| CPU endpoint %\t|")
	fmt.Fprintln(t, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, r := range rows {
		policy := r.Policy
		if !r.Valid {
			policy += " (invalid)"
		}
		fmt.Fprintf(t, "| %s\t| %s\t| %s\t| %d\t| %.1f\t| %.1f\t| %.2f\t| %.0f\t| %.0f\t| %.0f\t| %.0f\t| %.0f\t| %.0f\t| %.1f\t| %.1f\t| %.0f\t| %.0f\t| %.0f\t| %.0f\t| %.0f\t| %.1f\t| %.1f\t|\n",
			r.Deployment, r.Scenario, policy, r.Seeds, 100*r.HitRate, 100*r.IdealHitRate, 100*r.Wasted,
			r.SmallP50, r.SmallP95, r.SmallP99, r.AllP50, r.AllP95, r.AllP99, r.BetweenTokensP95, r.Goodput,
			r.Refused, r.Failed, r.Retries, r.Recovery/1000, r.Control, 100*r.EntryCPU, 100*r.EngineCPU)
	}
	return t.Flush()
}

// Save writes the runs as JSON, the table and the plots into dir.
func Save(dir string, runs []*Run) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	data, err := json.MarshalIndent(withoutHistograms(runs), "", " ")
	if err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, runsFile), append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	table, err := os.Create(filepath.Join(dir, "table.md"))
	if err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	rows := Rows(runs)
	err = Table(table, rows)
	if closeErr := table.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	return saveCharts(dir, rows)
}

// LoadRuns reads the runs that Save wrote into dir, none if there are none.
func LoadRuns(dir string) ([]*Run, error) {
	data, err := os.ReadFile(filepath.Join(dir, runsFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("measure: %w", err)
	}
	var runs []*Run
	if err := json.Unmarshal(data, &runs); err != nil {
		return nil, fmt.Errorf("measure: %s of %s: %w", runsFile, dir, err)
	}
	return runs, nil
}

// withoutHistograms returns copies of runs without the encoded histograms, which
// are several kilobytes each.
func withoutHistograms(runs []*Run) []*Run {
	copies := make([]*Run, len(runs))
	for i, r := range runs {
		c := *r
		c.FirstToken = map[string]load.LatencySummary{}
		for class, t := range r.FirstToken {
			t.Histogram = ""
			c.FirstToken[class] = t
		}
		c.BetweenTokens.Histogram = ""
		copies[i] = &c
	}
	return copies
}
