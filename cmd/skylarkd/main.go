// Command skylarkd is the daemon. Its settings determine its role: an entry, an endpoint
// or a direct entry.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
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
	// exitUsage: the command line or the settings are invalid; nothing was started.
	exitUsage = 2
)

// collectAtPercent is the part of the memory setting, in percent, from which on garbage is collected as
// often as it takes to stay below.
const collectAtPercent = 85

// errAfterStart marks failures after the settings were found valid.
var errAfterStart = errors.New("stopped")

func main() {
	os.Exit(execute(context.Background(), os.Args, os.Stdout, os.Stderr))
}

// execute runs the daemon with the command line args, whose first element is the
// program's name, and returns the exit code.
func execute(ctx context.Context, args []string, out, errOut io.Writer) int {
	err := command(out, errOut).Run(ctx, args)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(errOut, "skylarkd:", err)
	if errors.Is(err, errAfterStart) {
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
		// By default the library prints the help after each usage error.
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err },
		Description: "SIGTERM drains: new work is refused, nothing in flight is cut, and the\n" +
			"process exits when its last stream has ended.\n\n" +
			"  skylarkd --config entry.json --check\n" +
			"  skylarkd --config entry.json 2>>entry.log\n\n" +
			"Exit codes: 0 done; 1 failed after the start; 2 invalid command line or settings.",
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
	// The handler stays until the process ends: signal.Stop would bring back the default action, and a SIGHUP
	// during a drain would cut what is in flight.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
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
	loadSettings := func() (*settings.Settings, error) { return settings.Load(c.String("config")) }
	if err := serve(ctx, s, loadSettings, hangups); err != nil {
		return fmt.Errorf("%w: %w", errAfterStart, err)
	}
	return nil
}

func serve(ctx context.Context, s *settings.Settings, loadSettings direct.SettingsLoader, hangups <-chan os.Signal) error {
	logWriter := telemetry.NewAsyncWriter(os.Stdout)
	defer logWriter.Close()
	tel, err := telemetry.New(s, logWriter)
	if err != nil {
		return err
	}
	tel.Metrics.Gauge("log_lines_dropped", logWriter.Dropped)
	// The metrics page is served beyond the end of ctx, so that it shows the drain.
	if err := tel.Serve(context.WithoutCancel(ctx), s.Metrics); err != nil {
		return err
	}
	tel.Log.Info("starting", "listen", s.Listen, "failure_domain", s.FailureDomain)
	if err := runRole(ctx, s, loadSettings, hangups, tel); err != nil {
		tel.Log.Error("ended", "error", err)
		return err
	}
	tel.Log.Info("ended")
	return nil
}

func runRole(ctx context.Context, s *settings.Settings, loadSettings direct.SettingsLoader, hangups <-chan os.Signal, tel *telemetry.Telemetry) error {
	if s.Role != settings.RoleDirect {
		go logSIGHUP(hangups, tel)
	}
	switch s.Role {
	case "entry":
		return entry.Run(ctx, s, tel)
	case "endpoint":
		return endpoint.Run(ctx, s, tel)
	case settings.RoleDirect:
		debug.SetMemoryLimit(int64(s.Direct.MemoryMB) << 20 / 100 * collectAtPercent)
		return direct.Run(ctx, s, loadSettings, tel, platform.New(s.Direct.Store))
	}
	return fmt.Errorf("unknown role %q", s.Role)
}

// logSIGHUP logs each SIGHUP, for the roles that read their settings only at the start. To the role direct, which
// has a handler of its own, SIGHUP means that the settings have changed.
func logSIGHUP(hangups <-chan os.Signal, tel *telemetry.Telemetry) {
	for range hangups {
		tel.Log.Warn("SIGHUP ignored: this role reads its settings only at the start")
	}
}
