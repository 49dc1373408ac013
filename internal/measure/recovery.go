package measure

import (
	"sync"
	"time"

	"skylarklead/internal/standin/load"
)

const (
	// recoveredShare is the part of the hit rate before a disturbance at which
	// it counts as recovered.
	recoveredShare = 0.9
	// hitWindow is over how many seconds a hit rate is taken.
	hitWindow = 2
)

// hitSeries is the hit rate of the callers' answers, second by second.
type hitSeries struct {
	mu             sync.Mutex
	prompt, cached []int
}

func (h *hitSeries) add(r load.Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	second := int(r.ScheduledAt / time.Second)
	for len(h.prompt) <= second {
		h.prompt = append(h.prompt, 0)
		h.cached = append(h.cached, 0)
	}
	h.prompt[second] += r.PromptTokens
	h.cached[second] += r.CachedTokens
}

func (h *hitSeries) rate(from, until int) float64 {
	prompt, cached := 0, 0
	for i := max(from, 0); i < min(until, len(h.prompt)); i++ {
		prompt += h.prompt[i]
		cached += h.cached[i]
	}
	return ratio(cached, prompt)
}

// recovery returns how long after the disturbance the hit rate was back, as the
// end of the first window that had it, or -1 ms if it never was.
func (h *hitSeries) recovery(warmup, disturbed time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := int(disturbed / time.Second)
	goal := recoveredShare * h.rate(int(warmup/time.Second), at)
	for from := at; from+hitWindow <= len(h.prompt); from++ {
		if h.rate(from, from+hitWindow) >= goal {
			return time.Duration(from+hitWindow-at) * time.Second
		}
	}
	return -time.Millisecond
}
