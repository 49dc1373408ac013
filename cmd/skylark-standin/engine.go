package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"

	"github.com/urfave/cli/v3"

	"skylarklead/internal/standin/engine"
)

// engineCommand runs the stand-in for a model engine.
func engineCommand() *cli.Command {
	d := engine.DefaultSettings()
	return &cli.Command{
		Name:  "engine",
		Usage: "model engine with continuous batching and a small prefix cache",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`IP:PORT`"},
			&cli.StringFlag{Name: "model", Value: "ledger-llm", Usage: "model loaded at the start"},
			&cli.StringFlag{Name: "version", Value: "v1", Usage: "weights version loaded at the start"},
			&cli.StringFlag{Name: "role", Value: "mixed", Usage: "role at the start"},
			&cli.StringFlag{Name: "platform", Usage: "base `URL` of the weight store, empty for none"},
			&cli.Float64Flag{Name: "prefill-tokens-per-second", Value: d.PrefillTokensPerSecond, Usage: "speed of prefill"},
			&cli.Float64Flag{Name: "step-ms", Value: d.StepMs, Usage: "base time of a decode step"},
			&cli.Float64Flag{Name: "step-per-request-ms", Value: d.StepPerRequestMs, Usage: "additional time of a decode step for each decoding request"},
			&cli.IntFlag{Name: "prefill-chunk", Value: d.PrefillChunk, Usage: "prompt tokens prefilled in one step"},
			&cli.IntFlag{Name: "max-batch", Value: d.MaxBatch, Usage: "requests running at once"},
			&cli.IntFlag{Name: "cache-tokens", Value: d.CacheTokens, Usage: "KV memory, prefix cache and running requests together"},
			&cli.Int64Flag{Name: "evict-after-ms", Value: d.EvictAfterMs, Usage: "after how long to evict idle blocks, 0 for never"},
			&cli.Int64Flag{Name: "resume-ms", Value: d.ResumeMs, Usage: "how long a stream continues without a connection"},
			&cli.Int64Flag{Name: "event-delay-ms", Value: d.EventDelayMs, Usage: "delay of cache events"},
			&cli.Float64Flag{Name: "event-drop", Value: d.EventDrop, Usage: "probability that a cache event is lost, 0 to 1"},
			&cli.Int64Flag{Name: "load-lag-ms", Value: d.LoadLagMs, Usage: "age of load reports"},
			&cli.BoolFlag{Name: "check-fencing", Usage: "refuse orders with an old fencing number"},
			&cli.Int64Flag{Name: "load-ms", Value: d.LoadMs, Usage: "time to load weights once fetched"},
			&cli.StringFlag{Name: "control", Usage: "other settings, as `JSON` in the format of POST /control"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of random faults"},
		},
		Action: runEngine,
	}
}

func runEngine(ctx context.Context, c *cli.Command) error {
	settings, err := engineSettings(c)
	if err != nil {
		return err
	}
	logger := slog.New(slog.NewJSONHandler(os.Stderr, nil))
	e := engine.New(engine.Options{
		Model:    c.String("model"),
		Version:  c.String("version"),
		Role:     c.String("role"),
		Platform: c.String("platform"),
		Seed:     c.Uint64("seed"),
		Settings: settings,
		Logger:   logger,
	})
	return e.Serve(ctx, c.String("listen"), func(address string) {
		logger.Info("listening", "address", address)
	})
}

func engineSettings(c *cli.Command) (engine.Settings, error) {
	s := engine.DefaultSettings()
	s.PrefillTokensPerSecond = c.Float64("prefill-tokens-per-second")
	s.StepMs = c.Float64("step-ms")
	s.StepPerRequestMs = c.Float64("step-per-request-ms")
	s.PrefillChunk = c.Int("prefill-chunk")
	s.MaxBatch = c.Int("max-batch")
	s.CacheTokens = c.Int("cache-tokens")
	s.EvictAfterMs = c.Int64("evict-after-ms")
	s.ResumeMs = c.Int64("resume-ms")
	s.EventDelayMs = c.Int64("event-delay-ms")
	s.EventDrop = c.Float64("event-drop")
	s.LoadLagMs = c.Int64("load-lag-ms")
	s.CheckFencing = c.Bool("check-fencing")
	s.LoadMs = c.Int64("load-ms")
	if text := c.String("control"); text != "" {
		if err := json.Unmarshal([]byte(text), &s); err != nil {
			return s, fmt.Errorf("--control: %w", err)
		}
	}
	return s, nil
}
