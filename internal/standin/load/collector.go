package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"skylarklead/internal/wait"
)

// Range of the histograms, in microseconds, and their significant digits.
const (
	histogramMin    = 1
	histogramMax    = 10 * 60 * 1_000_000
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	// A value out of range would be an error and not be recorded, so it is clamped.
	_ = h.RecordValue(min(max(d.Microseconds(), histogramMin), histogramMax))
}

// groupStats collects the results of one organisation, one class or all requests.
type groupStats struct {
	sent, inGoal                           int
	outcomes                               map[Outcome]int
	refusals                               map[string]int // by "code/ran"
	faults                                 map[string]int // by detail, of wrong, cut and broken
	resent, tokens                         int
	promptTokens, cachedTokens             int
	firstToken, betweenTokens, chat, calls *hdrhistogram.Histogram
}

func newGroupStats() *groupStats {
	return &groupStats{
		outcomes:      map[Outcome]int{},
		refusals:      map[string]int{},
		faults:        map[string]int{},
		firstToken:    newHistogram(),
		betweenTokens: newHistogram(),
		chat:          newHistogram(),
		calls:         newHistogram(),
	}
}

// maxFaults bounds the distinct fault details counted in a group.
const maxFaults = 20

func (g *groupStats) add(r *Result, goal time.Duration) {
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
		g.addOK(r, goal)
	}
}

func (g *groupStats) addOK(r *Result, goal time.Duration) {
	if !r.chat {
		recordDuration(g.calls, r.Total)
		return
	}
	if r.FirstToken <= goal {
		g.inGoal++
	}
	g.tokens += r.Tokens
	g.promptTokens += r.PromptTokens
	g.cachedTokens += r.CachedTokens
	recordDuration(g.firstToken, r.FirstToken)
	recordDuration(g.chat, r.Total)
	for _, gap := range r.tokenGaps {
		recordDuration(g.betweenTokens, gap)
	}
}

// resultCollector collects the results of a run.
type resultCollector struct {
	options *Options

	mu            sync.Mutex
	organisations map[string]*groupStats // by ID
	classes       map[string]*groupStats
	all           *groupStats
	sinceProgress *groupStats // since the last progress line
	inFlight      int
	dropped       int
	sendDelay     *hdrhistogram.Histogram
}

func newResultCollector(o *Options) *resultCollector {
	return &resultCollector{
		options:       o,
		organisations: map[string]*groupStats{},
		classes:       map[string]*groupStats{},
		all:           newGroupStats(),
		sinceProgress: newGroupStats(),
		sendDelay:     newHistogram(),
	}
}

// start counts a request as in flight. It counts it as dropped and returns false
// if too many are. delay is the time since the scheduled arrival.
func (c *resultCollector) start(delay time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	recordDuration(c.sendDelay, delay)
	if c.inFlight >= c.options.MaxInFlight {
		c.dropped++
		return false
	}
	c.inFlight++
	return true
}

func (c *resultCollector) end(r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	c.sinceProgress.add(&r, c.options.FirstTokenGoal)
	if c.options.OnResult != nil {
		c.options.OnResult(r)
	}
	if r.ScheduledAt < c.options.Warmup {
		return
	}
	groupFor(c.organisations, r.Organisation).add(&r, c.options.FirstTokenGoal)
	groupFor(c.classes, r.Class).add(&r, c.options.FirstTokenGoal)
	c.all.add(&r, c.options.FirstTokenGoal)
}

func groupFor(groups map[string]*groupStats, name string) *groupStats {
	g := groups[name]
	if g == nil {
		g = newGroupStats()
		groups[name] = g
	}
	return g
}

// progress writes a progress line each second until ctx ends.
func (c *resultCollector) progress(ctx context.Context) {
	for s := 1; wait.For(ctx, time.Second) == nil; s++ {
		c.mu.Lock()
		g, inFlight := c.sinceProgress, c.inFlight
		c.sinceProgress = newGroupStats()
		c.mu.Unlock()
		fmt.Fprintf(c.options.Progress, "%4d s  ended %d  in flight %d  ok %d  refused %d  failed %d  cut %d  wrong %d  broken %d  first token p50 %.0f p99 %.0f ms\n",
			s, g.sent, inFlight, g.outcomes[OK], g.outcomes[Refused], g.outcomes[Failed],
			g.outcomes[Cut], g.outcomes[Wrong], g.outcomes[Broken],
			quantile(g.firstToken, 50), quantile(g.firstToken, 99))
	}
}

// quantile returns a quantile in milliseconds.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}
