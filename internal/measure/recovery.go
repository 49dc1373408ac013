package measure

import (
	"sync"
	"time"

	"skylarklead/internal/standin/load"
)

const (
	// recoveredShare is the fraction of the hit rate before a disturbance at which
	// the hit rate counts as recovered.
	recoveredShare = 0.9
	// hitRateWindow is the window of a hit rate in seconds.
	hitRateWindow = 2
)

// hitRateSeries has the prompt tokens and cached tokens of the callers' answers by
// second of the scheduled arrival.
type hitRateSeries struct {
	mu             sync.Mutex
	prompt, cached []int
}

func (h *hitRateSeries) add(r load.Result) {
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

func (h *hitRateSeries) rate(from, until int) float64 {
	prompt, cached := 0, 0
	for i := max(from, 0); i < min(until, len(h.prompt)); i++ {
		prompt += h.prompt[i]
		cached += h.cached[i]
	}
	return ratio(cached, prompt)
}

// recoveryTime returns the time from the disturbance to the end of the first
// window in which the hit rate had recovered, or -1 ms if it never did.
func (h *hitRateSeries) recoveryTime(warmup, disturbed time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	disturbedSecond := int(disturbed / time.Second)
	target := recoveredShare * h.rate(int(warmup/time.Second), disturbedSecond)
	for from := disturbedSecond; from+hitRateWindow <= len(h.prompt); from++ {
		if h.rate(from, from+hitRateWindow) >= target {
			return time.Duration(from+hitRateWindow-disturbedSecond) * time.Second
		}
	}
	return -time.Millisecond
}
