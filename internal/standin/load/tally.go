package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"skylarklead/internal/wait"
)

// Bounds of the histograms, in microseconds, and their digits.
const (
	histogramMin    = 1
	histogramMax    = 10 * 60 * 1_000_000
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Clamping can't fail, where a value out of bounds would be dropped silently.
	_ = h.RecordValue(min(max(d.Microseconds(), histogramMin), histogramMax))
}

// group counts the results of one organisation, class or all.
type group struct {
	sent, inGoal                int
	outcomes                    map[Outcome]int
	refusals                    map[string]int // by "code/ran"
	faults                      map[string]int // by detail, of wrong, cut and broken
	resent, tokens              int
	promptTokens, cachedTokens  int
	first, between, chat, calls *hdrhistogram.Histogram
}

func newGroup() *group {
	return &group{
		outcomes: map[Outcome]int{},
		refusals: map[string]int{},
		faults:   map[string]int{},
		first:    newHistogram(),
		between:  newHistogram(),
		chat:     newHistogram(),
		calls:    newHistogram(),
	}
}

// maxFaults bounds the distinct details kept in a group.
const maxFaults = 20

func (g *group) add(r *Result, goal time.Duration) {
	g.sent++
	g.outcomes[r.Outcome]++
	g.resent += r.Resent
	switch r.Outcome {
	case Refused, Failed:
		g.refusals[r.Code+"/"+r.Ran]++
	case Wrong, Cut, Broken:
		if _, known := g.faults[r.Detail]; known || len(g.faults) < maxFaults {
			g.faults[r.Detail]++
		}
	case OK:
		g.addAnswer(r, goal)
	}
}

func (g *group) addAnswer(r *Result, goal time.Duration) {
	if !r.chat {
		record(g.calls, r.Total)
		return
	}
	if r.FirstToken <= goal {
		g.inGoal++
	}
	g.tokens += r.Tokens
	g.promptTokens += r.PromptTokens
	g.cachedTokens += r.CachedTokens
	record(g.first, r.FirstToken)
	record(g.chat, r.Total)
	for _, gap := range r.gaps {
		record(g.between, gap)
	}
}

// tally collects the results of a run.
type tally struct {
	options *Options

	mu       sync.Mutex
	groups   map[string]*group // by organisation
	classes  map[string]*group
	all      *group
	second   *group // since the last line of progress
	inFlight int
	dropped  int
	late     *hdrhistogram.Histogram
}

func newTally(o *Options) *tally {
	return &tally{
		options: o,
		groups:  map[string]*group{},
		classes: map[string]*group{},
		all:     newGroup(),
		second:  newGroup(),
		late:    newHistogram(),
	}
}

// begin counts a request in, or says that too many are in flight. Late is how
// long after its time it is sent.
func (t *tally) begin(late time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	record(t.late, late)
	if t.inFlight >= t.options.MaxInFlight {
		t.dropped++
		return false
	}
	t.inFlight++
	return true
}

func (t *tally) end(r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	t.second.add(&r, t.options.FirstTokenGoal)
	if t.options.OnResult != nil {
		t.options.OnResult(r)
	}
	if r.ScheduledAt < t.options.Warmup {
		return
	}
	of(t.groups, r.Organisation).add(&r, t.options.FirstTokenGoal)
	of(t.classes, r.Class).add(&r, t.options.FirstTokenGoal)
	t.all.add(&r, t.options.FirstTokenGoal)
}

func of(groups map[string]*group, name string) *group {
	g := groups[name]
	if g == nil {
		g = newGroup()
		groups[name] = g
	}
	return g
}

// progress writes a line each second until ctx ends.
func (t *tally) progress(ctx context.Context) {
	for s := 1; wait.For(ctx, time.Second) == nil; s++ {
		t.mu.Lock()
		g, inFlight := t.second, t.inFlight
		t.second = newGroup()
		t.mu.Unlock()
		fmt.Fprintf(t.options.Progress, "%4d s  ended %d  in flight %d  ok %d  refused %d  failed %d  cut %d  wrong %d  broken %d  first token p50 %.0f p99 %.0f ms\n",
			s, g.sent, inFlight, g.outcomes[OK], g.outcomes[Refused], g.outcomes[Failed],
			g.outcomes[Cut], g.outcomes[Wrong], g.outcomes[Broken],
			quantile(g.first, 50), quantile(g.first, 99))
	}
}

// quantile returns a quantile in milliseconds.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}
