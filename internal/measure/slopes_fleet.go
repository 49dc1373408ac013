package measure

import (
	"context"
	"fmt"
	"io"
	"time"
)

// GroupSlopes measures groups of the given sizes, both idle and with a request
// rate proportional to the size. Each is measured repeats times.
func GroupSlopes(ctx context.Context, sizes []int, ratePerMember float64, repeats int, progress io.Writer, o SlopeOptions) ([]SlopePoint, error) {
	var fleets []slopeFleet
	for _, n := range sizes {
		idle := slopeFleet{members: n, entries: 1, answerTokens: 16, stepMs: 5}
		busy := idle
		busy.rate = ratePerMember * float64(n)
		fleets = append(fleets, idle, busy)
	}
	return measurePoints(ctx, fleets, repeats, progress, o)
}

// RequestSlopes measures CPU time by the number of requests and of tokens: with
// short answers at several rates, then at one rate with longer answers.
func RequestSlopes(ctx context.Context, repeats int, progress io.Writer, o SlopeOptions) ([]SlopePoint, error) {
	const members, entries = 4, 1
	var fleets []slopeFleet
	for _, rate := range []float64{0, 25, 50, 100} {
		fleets = append(fleets, slopeFleet{members: members, entries: entries, rate: rate, answerTokens: 4, stepMs: 5})
	}
	for _, tokens := range []int{50, 100, 200, 400} {
		fleets = append(fleets, slopeFleet{members: members, entries: entries, rate: 10, answerTokens: tokens, stepMs: 10})
	}
	return measurePoints(ctx, fleets, repeats, progress, o)
}

const (
	// An answer of streamTokens takes 5 s at streamStepMs.
	streamTokens = 200
	streamStepMs = 25
	// streamWarmup is longer than an answer, so that as many streams end as begin.
	streamWarmup = 6 * time.Second
	// streamCacheTokens is large enough for the prompts and answers of all streams
	// of a point.
	streamCacheTokens = 4_000_000
)

// StreamSlopes measures memory by the number of streams in flight. Answers are
// long and engines slow, so that about rate × answer time streams are open. The
// last point has answers twice as long and the default cache size of engines and
// admission, which makes streams queue.
func StreamSlopes(ctx context.Context, repeats int, progress io.Writer, o SlopeOptions) ([]SlopePoint, error) {
	o.Warmup = max(o.Warmup, streamWarmup)
	long := slopeFleet{members: 4, entries: 1, answerTokens: streamTokens, stepMs: streamStepMs, cacheTokens: streamCacheTokens}
	var fleets []slopeFleet
	for _, rate := range []float64{2, 10, 20, 40} {
		s := long
		s.rate = rate
		fleets = append(fleets, s)
	}
	long.rate, long.answerTokens, long.cacheTokens = 20, 2*streamTokens, 0
	return measurePoints(ctx, append(fleets, long), repeats, progress, o)
}

func measurePoints(ctx context.Context, fleets []slopeFleet, repeats int, progress io.Writer, o SlopeOptions) ([]SlopePoint, error) {
	var points []SlopePoint
	for repeat := range repeats {
		for _, s := range fleets {
			var p SlopePoint
			err := o.withLock(ctx, func() (err error) { p, err = measurePoint(ctx, s, o); return err })
			if err != nil {
				return points, err
			}
			p.Repeat = repeat + 1
			points = append(points, p)
			fmt.Fprintf(progress, "members %d rate %.0f answer %d: %.0f requests %.0f tokens %.0f in flight in %.1f s, engines %d running %d waiting %d tokens, outcomes %v\n",
				p.Members, p.Rate, p.AnswerTokens, p.Requests, p.Tokens, p.InFlight, p.Seconds, p.Running, p.Waiting, p.EngineTokens, p.Outcomes)
			writeUsage(progress, "endpoint", p.Endpoint)
			writeUsage(progress, "entry", p.Entry)
		}
	}
	return points, nil
}

func writeUsage(w io.Writer, role string, u RoleUsage) {
	const mega = 1 << 20
	fmt.Fprintf(w, "  %-8s cpu %.4f control %.0f+%.0f B/s data %.0f B/s sessions %.0f B/s platform %.0f B/s sockets %.0f rss %.1f MB\n",
		role, u.CPU.Mean, u.ControlSent.Mean, u.ControlReceived.Mean, u.Data.Mean,
		u.Sessions.Mean, u.Platform.Mean, u.Sockets.Mean, u.RSS.Mean/mega)
}
