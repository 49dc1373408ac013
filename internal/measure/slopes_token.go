package measure

import (
	"context"
	"fmt"
	"io"
	"sync"
)

// TokenPoint measures a number of concurrent streams of one engine at the target's
// token rate: first sent directly to the engine ("straight"), then through one
// entry and one endpoint process ("through").
type TokenPoint struct {
	Streams int     `json:"streams"`
	Repeat  int     `json:"repeat"`
	Tokens  int     `json:"tokens"`
	Seconds float64 `json:"seconds"`
	// EngineTokens is how many tokens the engine generated for the streams through
	// the entry, by its statistics.
	EngineTokens int `json:"engine_tokens"`
	// EndpointCPU and EntryCPU are CPU usage as a fraction of a core, and Sessions
	// is the entry's bytes per second on the wire of its sessions, during the
	// streams through the entry.
	EndpointCPU float64 `json:"endpoint_cpu"`
	EntryCPU    float64 `json:"entry_cpu"`
	Sessions    float64 `json:"entry_sessions_wire"`
	// Gaps are the times between the tokens of a stream, First those to its first
	// token.
	GapsStraight  Quantiles `json:"gaps_straight"`
	GapsThrough   Quantiles `json:"gaps_through"`
	FirstStraight Quantiles `json:"first_token_straight"`
	FirstThrough  Quantiles `json:"first_token_through"`
}

const (
	// tokenAnswerLength is the length of each answer, which takes 4 s at
	// streamStepMs.
	tokenAnswerLength = 160
	tokenRepeats      = 3
)

// TokenSlopes measures the path of tokens for several numbers of streams. All
// streams of a point begin at the same time, and the engine generates the tokens of
// all of them in the same step, so that they arrive in bursts.
func TokenSlopes(ctx context.Context, streams []int, progress io.Writer, o SlopeOptions) ([]TokenPoint, error) {
	var points []TokenPoint
	for _, n := range streams {
		var measured []TokenPoint
		err := o.withLock(ctx, func() (err error) { measured, err = tokenPoints(ctx, n, o); return err })
		if err != nil {
			return points, err
		}
		for _, p := range measured {
			fmt.Fprintf(progress, "%+v\n", p)
		}
		points = append(points, measured...)
	}
	return points, nil
}

func tokenPoints(ctx context.Context, streams int, o SlopeOptions) ([]TokenPoint, error) {
	dir, remove, err := tempDir(o.Keep)
	if err != nil {
		return nil, err
	}
	defer remove()
	s := slopeFleet{members: 1, entries: 1, answerTokens: tokenAnswerLength, stepMs: streamStepMs, cacheTokens: streamCacheTokens}
	f, err := StartFleet(ctx, s.deployment(), s.workload(), s.fleetOptions(dir, o))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	paths := newIdlePaths(f, s)
	if _, err := paths.sendPair(ctx, 0); err != nil { // fills the caches
		return nil, err
	}
	var points []TokenPoint
	for repeat := range tokenRepeats {
		p := TokenPoint{Streams: streams, Repeat: repeat + 1}
		if err := p.measure(ctx, f, paths); err != nil {
			return points, err
		}
		points = append(points, p)
	}
	return points, nil
}

func (p *TokenPoint) measure(ctx context.Context, f *Fleet, paths idlePaths) (err error) {
	first := 1 + (p.Repeat-1)*p.Streams // number of the first request ID
	if p.FirstStraight, p.GapsStraight, err = p.sendTogether(ctx, first, paths.straight); err != nil {
		return err
	}
	before, engineBefore, err := f.readUsage()
	if err != nil {
		return err
	}
	if p.FirstThrough, p.GapsThrough, err = p.sendTogether(ctx, first, paths.through); err != nil {
		return err
	}
	after, engine, err := f.readUsage()
	if err != nil {
		return err
	}
	point := f.newPoint(slopeFleet{}, before, after)
	p.Seconds = point.Seconds
	p.Tokens = p.Streams * paths.tokens
	p.EngineTokens = engine.Totals.CompletionTokens - engineBefore.Totals.CompletionTokens
	p.EndpointCPU, p.EntryCPU, p.Sessions = point.Endpoint.CPU.Mean, point.Entry.CPU.Mean, point.Entry.Sessions.Mean
	return nil
}

// sendTogether sends all requests at the same time and waits until all answers have
// ended. It returns the times to first token and between tokens.
func (p *TokenPoint) sendTogether(ctx context.Context, first int, send func(context.Context, int) (timedAnswer, error)) (tokens, gaps Quantiles, err error) {
	answers, errs := make([]timedAnswer, p.Streams), make([]error, p.Streams)
	var sending sync.WaitGroup
	for i := range p.Streams {
		sending.Go(func() { answers[i], errs[i] = send(ctx, first+i) })
	}
	sending.Wait()
	var firsts, between []float64
	for i, a := range answers {
		if errs[i] != nil {
			return tokens, gaps, fmt.Errorf("measure: stream %d of %d: %w", i, p.Streams, errs[i])
		}
		firsts = append(firsts, milliseconds(a.firstToken))
		for k := 1; k < len(a.arrivals); k++ {
			between = append(between, milliseconds(a.arrivals[k]-a.arrivals[k-1]))
		}
	}
	return quantilesOf(firsts), quantilesOf(between), nil
}
