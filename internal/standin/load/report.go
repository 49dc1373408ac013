package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is what came of a run, of its requests after the warm-up.
type Report struct {
	Workload string  `json:"workload"`
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"`
	GoalMS   float64 `json:"goal_ms"`
	// Dropped is how many requests weren't sent because too many were in
	// flight. LateP99MS is how late the generator itself was.
	Dropped       int              `json:"dropped"`
	LateP99MS     float64          `json:"late_p99_ms"`
	All           Group            `json:"all"`
	Classes       map[string]Group `json:"classes"`
	Organisations map[string]Group `json:"organisations"`
}

// Group is the part of a report on one organisation, one class or all.
type Group struct {
	Sent     int             `json:"sent"`
	Outcomes map[Outcome]int `json:"outcomes"`
	// Refusals count by "code/ran".
	Refusals map[string]int `json:"refusals"`
	// Faults count by what was wrong, of wrong, cut and broken answers.
	Faults map[string]int `json:"faults"`
	Resent int            `json:"resent"`
	// AnswersPerSecond counts whole and right answers, GoodputPerSecond those
	// of chats whose first token came within the goal.
	AnswersPerSecond float64 `json:"answers_per_second"`
	GoodputPerSecond float64 `json:"goodput_per_second"`
	Tokens           int     `json:"tokens"`
	// PromptTokens and CachedTokens are as the answers tell them.
	PromptTokens int `json:"prompt_tokens"`
	CachedTokens int `json:"cached_tokens"`
	// FirstToken and Chat count from the scheduled arrival, BetweenTokens from
	// the event with text before; Calls are of plain services.
	FirstToken    LatencySummary `json:"first_token"`
	BetweenTokens LatencySummary `json:"between_tokens"`
	Chat          LatencySummary `json:"chat"`
	Calls         LatencySummary `json:"calls"`
}

// LatencySummary summarise a histogram of right answers, in milliseconds.
type LatencySummary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
	// Histogram is the whole of it in the HdrHistogram V2 format, microseconds.
	Histogram string `json:"histogram"`
}

// OK reports whether no answer was wrong, cut or broken and none was dropped.
func (r *Report) OK() bool {
	o := r.All.Outcomes
	return r.Dropped == 0 && o[Wrong] == 0 && o[Cut] == 0 && o[Broken] == 0
}

func (t *tally) report(workload string) *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	seconds := (t.options.Duration - t.options.Warmup).Seconds()
	r := &Report{
		Workload:      workload,
		Seed:          t.options.Seed,
		Seconds:       seconds,
		GoalMS:        float64(t.options.FirstTokenGoal.Milliseconds()),
		Dropped:       t.dropped,
		LateP99MS:     quantile(t.late, 99),
		All:           t.all.summary(seconds),
		Classes:       map[string]Group{},
		Organisations: map[string]Group{},
	}
	for name, g := range t.classes {
		r.Classes[name] = g.summary(seconds)
	}
	for name, g := range t.groups {
		r.Organisations[name] = g.summary(seconds)
	}
	return r
}

func (g *group) summary(seconds float64) Group {
	return Group{
		Sent:             g.sent,
		Outcomes:         g.outcomes,
		Refusals:         g.refusals,
		Faults:           g.faults,
		Resent:           g.resent,
		AnswersPerSecond: float64(g.outcomes[OK]) / seconds,
		GoodputPerSecond: float64(g.inGoal) / seconds,
		Tokens:           g.tokens,
		PromptTokens:     g.promptTokens,
		CachedTokens:     g.cachedTokens,
		FirstToken:       times(g.first),
		BetweenTokens:    times(g.between),
		Chat:             times(g.chat),
		Calls:            times(g.calls),
	}
}

func times(h *hdrhistogram.Histogram) LatencySummary {
	encoded, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		encoded = nil // the summary stands without it
	}
	return LatencySummary{
		Count:     h.TotalCount(),
		Mean:      h.Mean() / 1000,
		P50:       quantile(h, 50),
		P95:       quantile(h, 95),
		P99:       quantile(h, 99),
		Max:       float64(h.Max()) / 1000,
		Histogram: string(encoded),
	}
}

// Table writes the report for people.
func (r *Report) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\tsent\tok\trefused\tfailed\tcut\twrong\tbroken\thit\tfirst p50\tp95\tp99 ms\tbetween p95\tcalls p99\tgoodput/s\t")
	for _, name := range slices.Sorted(maps.Keys(r.Organisations)) {
		r.Organisations[name].row(t, name)
	}
	for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
		r.Classes[name].row(t, "all "+name)
	}
	r.All.row(t, "all")
	if err := t.Flush(); err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(r.All.Refusals)) {
		fmt.Fprintf(w, "refused %s: %d\n", name, r.All.Refusals[name])
	}
	for _, name := range slices.Sorted(maps.Keys(r.All.Faults)) {
		fmt.Fprintf(w, "fault %s: %d\n", name, r.All.Faults[name])
	}
	_, err := fmt.Fprintf(w, "dropped %d, generator late p99 %.1f ms\n", r.Dropped, r.LateP99MS)
	return err
}

func (g Group) row(w io.Writer, name string) {
	hit := "-"
	if g.PromptTokens > 0 {
		hit = fmt.Sprintf("%.1f%%", 100*float64(g.CachedTokens)/float64(g.PromptTokens))
	}
	o := g.Outcomes
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t\n",
		name, g.Sent, o[OK], o[Refused], o[Failed], o[Cut], o[Wrong], o[Broken], hit,
		g.FirstToken.P50, g.FirstToken.P95, g.FirstToken.P99, g.BetweenTokens.P95, g.Calls.P99, g.GoodputPerSecond)
}
