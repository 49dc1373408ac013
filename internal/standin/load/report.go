package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report summarizes a run's requests after the warm-up.
type Report struct {
	Workload string  `json:"workload"`
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"`
	GoalMS   float64 `json:"goal_ms"`
	// Dropped is how many requests weren't sent because too many were in
	// flight. LateP99MS is the 99th percentile of the delay between a request's
	// scheduled arrival and the time it was sent, including the warm-up.
	Dropped       int              `json:"dropped"`
	LateP99MS     float64          `json:"late_p99_ms"`
	All           Group            `json:"all"`
	Classes       map[string]Group `json:"classes"`
	Organisations map[string]Group `json:"organisations"`
}

// Group is the part of a report on one organisation, one class or all requests.
type Group struct {
	Sent     int             `json:"sent"`
	Outcomes map[Outcome]int `json:"outcomes"`
	// Refusals counts refused and failed requests by "code/ran".
	Refusals map[string]int `json:"refusals"`
	// Faults counts requests with the outcomes Wrong, Cut and Broken by
	// Result.Detail.
	Faults map[string]int `json:"faults"`
	Resent int            `json:"resent"`
	// AnswersPerSecond counts complete and correct answers, GoodputPerSecond
	// those of chats whose first token arrived within the goal.
	AnswersPerSecond float64 `json:"answers_per_second"`
	GoodputPerSecond float64 `json:"goodput_per_second"`
	Tokens           int     `json:"tokens"`
	// PromptTokens and CachedTokens are sums of the usage in the answers.
	PromptTokens int `json:"prompt_tokens"`
	CachedTokens int `json:"cached_tokens"`
	// FirstToken, Chat and Calls, the latter of plain services, are measured from
	// the scheduled arrival, BetweenTokens from the previous event with text.
	FirstToken    LatencySummary `json:"first_token"`
	BetweenTokens LatencySummary `json:"between_tokens"`
	Chat          LatencySummary `json:"chat"`
	Calls         LatencySummary `json:"calls"`
}

// LatencySummary summarizes a latency histogram of correct answers, in
// milliseconds.
type LatencySummary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
	// Histogram is the whole histogram, in microseconds, in the HdrHistogram V2
	// compressed format.
	Histogram string `json:"histogram"`
}

// OK reports whether no request was dropped and none had the outcome Wrong, Cut or
// Broken.
func (r *Report) OK() bool {
	o := r.All.Outcomes
	return r.Dropped == 0 && o[Wrong] == 0 && o[Cut] == 0 && o[Broken] == 0
}

func (c *resultCollector) report(workload string) *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	seconds := (c.options.Duration - c.options.Warmup).Seconds()
	r := &Report{
		Workload:      workload,
		Seed:          c.options.Seed,
		Seconds:       seconds,
		GoalMS:        float64(c.options.FirstTokenGoal.Milliseconds()),
		Dropped:       c.dropped,
		LateP99MS:     quantile(c.sendDelay, 99),
		All:           c.all.summary(seconds),
		Classes:       map[string]Group{},
		Organisations: map[string]Group{},
	}
	for name, g := range c.classes {
		r.Classes[name] = g.summary(seconds)
	}
	for name, g := range c.organisations {
		r.Organisations[name] = g.summary(seconds)
	}
	return r
}

func (g *groupStats) summary(seconds float64) Group {
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
		FirstToken:       summarize(g.firstToken),
		BetweenTokens:    summarize(g.betweenTokens),
		Chat:             summarize(g.chat),
		Calls:            summarize(g.calls),
	}
}

func summarize(h *hdrhistogram.Histogram) LatencySummary {
	encoded, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		encoded = nil // the summary is useful without it
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

// Table writes the report as a human-readable table.
func (r *Report) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\tsent\tok\trefused\tfailed\tcut\twrong\tbroken\thit\tfirst p50\tp95\tp99 ms\tbetween p95\tcalls p99\tgoodput/s\t")
	for _, name := range slices.Sorted(maps.Keys(r.Organisations)) {
		r.Organisations[name].writeRow(t, name)
	}
	for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
		r.Classes[name].writeRow(t, "all "+name)
	}
	r.All.writeRow(t, "all")
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

func (g Group) writeRow(w io.Writer, name string) {
	hit := "-"
	if g.PromptTokens > 0 {
		hit = fmt.Sprintf("%.1f%%", 100*float64(g.CachedTokens)/float64(g.PromptTokens))
	}
	o := g.Outcomes
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t\n",
		name, g.Sent, o[OK], o[Refused], o[Failed], o[Cut], o[Wrong], o[Broken], hit,
		g.FirstToken.P50, g.FirstToken.P95, g.FirstToken.P99, g.BetweenTokens.P95, g.Calls.P99, g.GoodputPerSecond)
}
