// Command skylarkd is the daemon: an entry or an endpoint process, by its
// settings.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"skylarklead/internal/direct"
	"skylarklead/internal/endpoint"
	"skylarklead/internal/entry"
	"skylarklead/internal/settings"
	"skylarklead/internal/telemetry"
	"skylarklead/platform"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	// exitUsage: the command line or the settings were wrong; nothing was started.
	exitUsage = 2
)

// errServe marks what failed after the settings were found good.
var errServe = errors.New("stopped")

func main() {
	os.Exit(execute(context.Background(), os.Args, os.Stdout, os.Stderr))
}

// execute runs the daemon with the arguments, the first of which is its name,
// and returns the exit code.
func execute(ctx context.Context, args []string, out, errOut io.Writer) int {
	err := command(out, errOut).Run(ctx, args)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(errOut, "skylarkd:", err)
	if errors.Is(err, errServe) {
		return exitFailed
	}
	return exitUsage
}

func command(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "skylarkd",
		Usage:     "route language-model traffic with long shared prompts",
		UsageText: "skylarkd --config FILE [--check]",
		Writer:    out,
		ErrWriter: errOut,
		// The library would print the help for each mistake.
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err },
		Description: "SIGTERM drains: new work is refused, nothing in flight is cut, and the\n" +
			"process exits when its last stream has ended.\n\n" +
			"  skylarkd --config entry.json --check\n" +
			"  skylarkd --config entry.json 2>>entry.log\n\n" +
			"Exit codes: 0 done; 1 failed after the start; 2 bad use or bad settings.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "settings `FILE`, JSON with comments"},
			&cli.BoolFlag{Name: "check", Usage: "only check the settings and the files that they name"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return fmt.Errorf("unexpected argument %q; usage: skylarkd --config FILE [--check]", c.Args().First())
	}
	if c.String("config") == "" {
		return errors.New("--config FILE is missing; examples/ has settings to begin with")
	}
	s, err := settings.Load(c.String("config"))
	if err != nil {
		return err
	}
	if c.Bool("check") {
		fmt.Fprintln(c.Root().Writer, "settings are good")
		return nil
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	source := func() (*settings.Settings, error) { return settings.Load(c.String("config")) }
	if err := serve(ctx, s, source); err != nil {
		return fmt.Errorf("%w: %w", errServe, err)
	}
	return nil
}

func serve(ctx context.Context, s *settings.Settings, source direct.SettingsLoader) error {
	lines := telemetry.NewAsyncWriter(os.Stdout)
	defer lines.Close()
	tel, err := telemetry.New(s, lines)
	if err != nil {
		return err
	}
	tel.Metrics.Gauge("log_lines_dropped", lines.Dropped)
	// The page outlives ctx, so that a drain can be watched on it.
	if err := tel.Serve(context.WithoutCancel(ctx), s.Metrics); err != nil {
		return err
	}
	tel.Log.Info("starting", "listen", s.Listen, "failure_domain", s.FailureDomain)
	if err := runRole(ctx, s, source, tel); err != nil {
		tel.Log.Error("ended", "error", err)
		return err
	}
	tel.Log.Info("ended")
	return nil
}

func runRole(ctx context.Context, s *settings.Settings, source direct.SettingsLoader, tel *telemetry.Telemetry) error {
	if s.Role != settings.RoleDirect {
		ignoreHangups(ctx, tel)
	}
	switch s.Role {
	case "entry":
		return entry.Run(ctx, s, tel)
	case "endpoint":
		return endpoint.Run(ctx, s, tel)
	case settings.RoleDirect:
		return direct.Run(ctx, s, source, tel, platform.New(s.Direct.Store))
	}
	return fmt.Errorf("unknown role %q", s.Role)
}

// ignoreHangups keeps the roles that read their settings at the start only from
// ending at SIGHUP, which means elsewhere that the settings have changed.
func ignoreHangups(ctx context.Context, tel *telemetry.Telemetry) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		defer signal.Stop(hangups)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				tel.Log.Warn("SIGHUP ignored: this role reads its settings at the start only")
			}
		}
	}()
}
