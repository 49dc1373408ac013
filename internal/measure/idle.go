package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"skylarklead/internal/engine"
	"skylarklead/internal/prefix"
	"skylarklead/internal/standin/answer"
	"skylarklead/internal/standin/load"
)

const (
	// idleWarmup is how many pairs are sent before those that are measured.
	idleWarmup = 20
	idleTokens = 4
	idleStepMs = 1
)

// IdleOptions configure MeasureIdle.
type IdleOptions struct {
	// Bin is the folder of the programs.
	Bin string
	// Requests is how many requests are sent on each path.
	Requests int
	Keep     bool
}

// Quantiles has quantiles of times in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
}

// IdleResult has the time to first token of a cached prompt, with one request at
// a time: Straight for requests sent directly to the engine, Through for those
// sent through an entry and an endpoint process.
type IdleResult struct {
	Requests int `json:"requests"`
	// PromptTokens is the prompt length of each request, CachedTokens how many of
	// them were in the engine's cache.
	PromptTokens int       `json:"prompt_tokens"`
	CachedTokens int       `json:"cached_tokens"`
	Straight     Quantiles `json:"straight"`
	Through      Quantiles `json:"through"`
	// Added has the quantiles of the difference within each pair of consecutive
	// requests, one on each path.
	Added Quantiles `json:"added"`
	// LoadBefore and LoadAfter are the machine's load average over one minute.
	LoadBefore float64 `json:"load_average_before"`
	LoadAfter  float64 `json:"load_average_after"`
}

// MeasureIdle starts one engine, one endpoint process and one entry, without
// emulated latency, and sends pairs of requests, one on each path.
func MeasureIdle(ctx context.Context, o IdleOptions) (*IdleResult, error) {
	dir, remove, err := tempDir(o.Keep)
	if err != nil {
		return nil, err
	}
	defer remove()
	s := slopeFleet{members: 1, entries: 1, answerTokens: idleTokens, stepMs: idleStepMs}
	result := &IdleResult{Requests: o.Requests, LoadBefore: loadAverage()}
	f, err := StartFleet(ctx, s.deployment(), s.workload(), FleetOptions{
		Bin: o.Bin, Dir: dir, Policy: PolicyOwner, Engine: s.engineSettings(),
	})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := result.measure(ctx, newIdlePaths(f, s)); err != nil {
		return nil, err
	}
	result.LoadAfter = loadAverage()
	return result, nil
}

func (r *IdleResult) measure(ctx context.Context, p idlePaths) error {
	var straight, through, added []float64
	for i := range idleWarmup + r.Requests {
		pair, err := p.sendPair(ctx, i)
		if err != nil {
			return fmt.Errorf("measure: idle request %d: %w", i, err)
		}
		if i < idleWarmup {
			continue
		}
		straight = append(straight, milliseconds(pair.straight.firstToken))
		through = append(through, milliseconds(pair.through.firstToken))
		added = append(added, milliseconds(pair.through.firstToken-pair.straight.firstToken))
		r.PromptTokens, r.CachedTokens = pair.through.usage.PromptTokens, pair.through.usage.PromptTokensDetails.CachedTokens
	}
	r.Straight, r.Through, r.Added = quantilesOf(straight), quantilesOf(through), quantilesOf(added)
	return nil
}

// idlePaths has the two paths to the engine and the prompt to send.
type idlePaths struct {
	engine, entry string
	salt          string
	instructions  []prefix.Message
	messages      []prefix.Message
	// tokens is the length of each answer.
	tokens int
}

func newIdlePaths(f *Fleet, s slopeFleet) idlePaths {
	organisation := s.workload().Organisations[0]
	p := idlePaths{engine: "http://" + f.Engines[0].address, entry: f.EntryURLs()[0], salt: organisation.ID, tokens: s.answerTokens}
	for _, i := range organisation.Instructions {
		p.instructions = append(p.instructions, prefix.Message{Role: "system", Content: load.Text(i.Seed, i.Tokens)})
	}
	p.messages = []prefix.Message{
		{Role: "system", Content: load.Text("idle-charter", 800)},
		{Role: "user", Content: load.Text("idle-question", 300)},
	}
	return p
}

// idlePair has the answers to one request on each path.
type idlePair struct{ straight, through timedAnswer }

// sendPair sends one request on each path. The order alternates, so that neither
// path always runs with the processor's and engine's caches warmed by the other.
func (p idlePaths) sendPair(ctx context.Context, i int) (pair idlePair, err error) {
	sends := []func() error{
		func() (err error) { pair.straight, err = p.straight(ctx, i); return err },
		func() (err error) { pair.through, err = p.through(ctx, i); return err },
	}
	if i%2 == 1 {
		slices.Reverse(sends)
	}
	for _, send := range sends {
		if err := send(); err != nil {
			return pair, err
		}
	}
	return pair, nil
}

func (p idlePaths) straight(ctx context.Context, i int) (timedAnswer, error) {
	header := http.Header{engine.HeaderRequestID: {fmt.Sprintf("straight-%d", i)}}
	return p.send(ctx, p.engine, header, p.body(slices.Concat(p.instructions, p.messages), p.salt))
}

func (p idlePaths) through(ctx context.Context, i int) (timedAnswer, error) {
	header := http.Header{"X-Request-Id": {fmt.Sprintf("through-%d", i)}, "Authorization": {"Bearer " + slopeKey}}
	return p.send(ctx, p.entry, header, p.body(p.messages, ""))
}

func (p idlePaths) body(messages []prefix.Message, salt string) engine.Completion {
	return engine.Completion{
		Model: slopeGroup, Messages: messages, Stream: true, MaxTokens: p.tokens, CacheSalt: salt,
		StreamOptions: engine.StreamOptions{IncludeUsage: true},
	}
}

// send sends one request and checks its answer, since the latency of a wrong
// answer is meaningless.
func (p idlePaths) send(ctx context.Context, base string, header http.Header, body engine.Completion) (timedAnswer, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return timedAnswer{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(data))
	if err != nil {
		return timedAnswer{}, err
	}
	req.Header = header
	req.Header.Set("Content-Type", "application/json")
	got, err := timeAnswer(req)
	if err != nil {
		return got, err
	}
	if want := answer.Expected(slices.Concat(p.instructions, p.messages), p.tokens); got.text != want {
		return got, fmt.Errorf("%s answered %q, want %q", base, got.text, want)
	}
	return got, nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// quantilesOf computes quantiles by the nearest-rank method.
func quantilesOf(values []float64) Quantiles {
	sorted := slices.Sorted(slices.Values(values))
	rank := func(q float64) float64 {
		if len(sorted) == 0 {
			return 0
		}
		return sorted[max(int(math.Ceil(q*float64(len(sorted)))), 1)-1]
	}
	return Quantiles{P50: rank(0.5), P95: rank(0.95), P99: rank(0.99)}
}

// loadAverage returns the machine's load average over the last minute, -1 if it
// can't be read.
func loadAverage() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return -1
	}
	var average float64
	if _, err := fmt.Sscan(strings.TrimSpace(string(data)), &average); err != nil {
		return -1
	}
	return average
}
