// Command skylark-standin runs stand-ins for the systems around the daemons: the
// platform, model engines, plain services and callers. It is for tests and
// demonstrations only.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// subcommands has one command for each stand-in.
var subcommands = []*cli.Command{
	platformCommand(),
	engineCommand(),
	serviceCommand(),
	loadCommand(),
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	slog.SetDefault(slog.New(slog.NewJSONHandler(os.Stderr, nil)))
	root := &cli.Command{
		Name:     "skylark-standin",
		Usage:    "stand in for the platform, engines, services and callers (development only)",
		Commands: subcommands,
	}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "skylark-standin:", err)
		os.Exit(1)
	}
}
