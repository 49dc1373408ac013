// Command skylarkd is the daemon: an entry or an endpoint process, by its
// settings.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"skylarklead/internal/endpoint"
	"skylarklead/internal/entry"
	"skylarklead/internal/settings"
	"skylarklead/internal/telemetry"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "skylarkd:", err)
		os.Exit(exitFailed)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "skylarkd",
		Usage: "route language-model traffic with long shared prompts",
		Description: "SIGTERM drains: new work is refused, nothing in flight is cut, and the\n" +
			"process exits when its last stream has ended.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "settings `FILE`, JSON with comments", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "only check the settings"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	s, err := settings.Load(c.String("config"))
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	if c.Bool("check") {
		fmt.Println("settings are good")
		return nil
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return serve(ctx, s)
}

func serve(ctx context.Context, s *settings.Settings) error {
	tel, err := telemetry.New(s, os.Stderr)
	if err != nil {
		return err
	}
	// The page outlives ctx, so that a drain can be watched on it.
	if err := tel.Serve(context.WithoutCancel(ctx), s.Metrics); err != nil {
		return err
	}
	tel.Log.Info("starting", "listen", s.Listen, "failure_domain", s.FailureDomain)
	if err := runRole(ctx, s, tel); err != nil {
		tel.Log.Error("ended", "error", err)
		return err
	}
	tel.Log.Info("ended")
	return nil
}

func runRole(ctx context.Context, s *settings.Settings, tel *telemetry.Telemetry) error {
	switch s.Role {
	case "entry":
		return entry.Run(ctx, s, tel)
	case "endpoint":
		return endpoint.Run(ctx, s, tel)
	}
	return fmt.Errorf("unknown role %q", s.Role)
}
