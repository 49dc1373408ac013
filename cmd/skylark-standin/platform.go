package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	client "skylarklead/internal/platform"
	"skylarklead/internal/standin/platform"
)

// platformCommand runs the stand-in for the platform.
func platformCommand() *cli.Command {
	d := platform.DefaultControl()
	return &cli.Command{
		Name:  "platform",
		Usage: "append-only log, lagging instance list, weight store",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7000", Usage: "`IP:PORT`"},
			&cli.StringFlag{Name: "instances", Usage: "`FILE` with the initial instance list, visible at once"},
			&cli.Float64Flag{Name: "appends-per-second", Value: d.AppendsPerSecond, Usage: "rate limit of appends to all streams together, 0 for none"},
			&cli.IntFlag{Name: "append-burst", Value: d.AppendBurst, Usage: "burst of the rate limit"},
			&cli.DurationFlag{Name: "retention", Usage: "how long a record is kept, 0 for no limit"},
			&cli.IntFlag{Name: "retention-count", Usage: "how many records a stream keeps, 0 for no limit"},
			&cli.DurationFlag{Name: "slow", Usage: "delay before an append takes effect and before a read"},
			&cli.DurationFlag{Name: "slow-answer", Usage: "delay of the response after an append has taken effect"},
			&cli.Float64Flag{Name: "lose-answers", Usage: "probability that the response to an append is lost after it has taken effect"},
			&cli.DurationFlag{Name: "lag", Value: milliseconds(d.LagMS), Usage: "delay after which a change is visible in the instance list"},
			&cli.DurationFlag{Name: "weights", Value: milliseconds(d.WeightsMS), Usage: "how long a fetch of weights takes at full speed"},
			&cli.IntFlag{Name: "weights-bound", Value: d.WeightsBound, Usage: "concurrent fetches of weights at full speed"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of random faults"},
		},
		Action: runPlatform,
	}
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func runPlatform(ctx context.Context, c *cli.Command) error {
	list, err := readInstances(c.String("instances"))
	if err != nil {
		return err
	}
	server := platform.New(platform.Options{Control: platformControl(c), Instances: list, Seed: c.Uint64("seed")})
	return serveHTTP(ctx, c.String("listen"), server)
}

func platformControl(c *cli.Command) platform.Control {
	millis := func(name string) int { return int(c.Duration(name).Milliseconds()) }
	return platform.Control{
		SlowMS:                millis("slow"),
		SlowAnswerMS:          millis("slow-answer"),
		LoseAnswerProbability: c.Float64("lose-answers"),
		AppendsPerSecond:      c.Float64("appends-per-second"),
		AppendBurst:           c.Int("append-burst"),
		RetentionMS:           millis("retention"),
		RetentionCount:        c.Int("retention-count"),
		LagMS:                 millis("lag"),
		WeightsMS:             millis("weights"),
		WeightsBound:          c.Int("weights-bound"),
	}
}

func readInstances(file string) ([]client.Instance, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var list client.InstanceList
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return list.Instances, nil
}

// serveHTTP serves until ctx ends, then closes all connections.
func serveHTTP(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	slog.Info("listening", "address", listener.Addr().String())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
