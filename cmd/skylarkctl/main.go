// Command skylarkctl is the operators' command-line tool: it checks and publishes
// configuration, shows the state of each instance, explains routing decisions and
// drains endpoints.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"skylarklead/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
