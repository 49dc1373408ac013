// Package ctl implements the commands of skylarkctl. It reads and appends
// configuration on the platform's log and queries daemons over the inner
// protocol; it keeps no state of its own.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"
)

// Exit codes of skylarkctl.
const (
	ExitOK = 0
	// ExitUsage: the command line or an input file is invalid; nothing was done.
	ExitUsage = 2
	// ExitRefused: the request was refused, or its object doesn't exist.
	ExitRefused = 3
	// ExitUnreachable: the platform or the process did not answer.
	ExitUnreachable = 4
)

// Errors wrapped by commands to select the exit code. Any other error exits with
// ExitUsage.
var (
	errRefused     = errors.New("refused")
	errUnreachable = errors.New("unreachable")
)

const defaultTimeout = 10 * time.Second

// Run runs skylarkctl with args, of which the first is the program's name, and
// returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	err := rootCommand(out, errOut).Run(ctx, args)
	if err != nil {
		fmt.Fprintln(errOut, "skylarkctl:", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errRefused):
		return ExitRefused
	case errors.Is(err, errUnreachable):
		return ExitUnreachable
	}
	return ExitUsage
}

func rootCommand(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "skylarkctl",
		Usage:     "operate a skylarklead fleet",
		Writer:    out,
		ErrWriter: errOut,
		Suggest:   true,
		// By default the library prints the error and exits the process itself.
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		OnUsageError:          func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err },
		EnableShellCompletion: true,
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
			c.Usage = "print a completion script for bash"
		},
		Description: "Exit codes: 0 done; 2 invalid command line or file; 3 refused or not found;\n" +
			"4 the platform or the process can't be reached.\n\n" +
			"  export SKYLARK_PLATFORM=http://127.0.0.1:7000 SKYLARK_FLEET_KEY=…\n" +
			"  skylarkctl config publish examples/huon-ledger/records.json\n" +
			"  skylarkctl status",
		Commands: []*cli.Command{configCommand(), statusCommand(), explainCommand(), drainCommand()},
	}
}

// withArgs wraps an action: it checks the number of arguments and applies the flag
// timeout to the context.
func withArgs(minArgs, maxArgs int, action cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if n := c.Args().Len(); n < minArgs || n > maxArgs {
			return fmt.Errorf("usage: skylarkctl %s %s", c.FullName()[len("skylarkctl "):], c.ArgsUsage)
		}
		ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
		defer cancel()
		return action(ctx, c)
	}
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "output", Aliases: []string{"o"}, Value: "table", Usage: "`FORMAT`, table or json",
		Validator: func(v string) error {
			if v != "table" && v != "json" {
				return fmt.Errorf("%q is not an output format; want table or json", v)
			}
			return nil
		},
	}
}

func timeoutFlag() cli.Flag {
	return &cli.DurationFlag{Name: "timeout", Value: defaultTimeout, Usage: "time limit for the whole command, such as 10s"}
}

func platformFlag() cli.Flag {
	return &cli.StringFlag{Name: "platform", Usage: "base `URL` of the platform", Sources: cli.EnvVars("SKYLARK_PLATFORM")}
}
