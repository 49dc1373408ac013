package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"skylarklead/internal/measure"
)

// slopesCommand measures the slopes from which docs/CAPACITY.md is derived.
func slopesCommand() *cli.Command {
	return &cli.Command{
		Name:      "slopes",
		Usage:     "measure how a daemon's resource usage grows with one quantity at a time",
		ArgsUsage: "group|request|stream|token|configuration|platform|claims|start|session|spread ...",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "sizes", Value: []int{3, 6, 9, 16, 32}, Usage: "numbers of members of a group"},
			&cli.IntSliceFlag{Name: "sessions", Value: []int{50, 100, 200, 400}, Usage: "numbers of sessions to one daemon"},
			&cli.IntSliceFlag{Name: "streams", Value: []int{8, 16, 33, 66}, Usage: "numbers of concurrent streams of one engine"},
			&cli.IntSliceFlag{Name: "daemons", Value: []int{10, 30, 100, 300}, Usage: "numbers of daemons to which a change is propagated"},
			&cli.FloatFlag{Name: "rate", Value: 2.2, Usage: "requests per second for each member"},
			&cli.IntFlag{Name: "repeats", Value: 2, Usage: "how often each point is measured"},
			&cli.DurationFlag{Name: "window", Value: 20 * time.Second, Usage: "how long each point is measured"},
			&cli.DurationFlag{Name: "warmup", Value: 5 * time.Second, Usage: "how long each point runs before it is measured"},
			&cli.StringFlag{Name: "lock", Usage: "`FILE` to lock during each point, so that concurrent processes don't measure at the same time"},
			&cli.BoolFlag{Name: "keep", Usage: "keep settings and logs in the folder for temporary files"},
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "folder of the programs"},
			&cli.StringFlag{Name: "out", Value: "docs/capacity", Usage: "folder of the results"},
		},
		Action: runSlopes,
	}
}

// tableCommand writes the table that docs/CAPACITY.md quotes.
func tableCommand() *cli.Command {
	return &cli.Command{
		Name:  "table",
		Usage: "fit lines to the measured points and write them to table.md",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Value: "docs/capacity", Usage: "folder of the results"},
		},
		Action: func(_ context.Context, c *cli.Command) error { return measure.WriteTable(c.String("out")) },
	}
}

func runSlopes(ctx context.Context, c *cli.Command) error {
	o := measure.SlopeOptions{
		Bin: c.String("bin"), Window: c.Duration("window"), Warmup: c.Duration("warmup"), Keep: c.Bool("keep"), Lock: c.String("lock"),
	}
	repeats, progress := c.Int("repeats"), os.Stderr
	measurements := map[string]func() (any, error){
		"group": func() (any, error) {
			return measure.GroupSlopes(ctx, c.IntSlice("sizes"), c.Float("rate"), repeats, progress, o)
		},
		"request":       func() (any, error) { return measure.RequestSlopes(ctx, repeats, progress, o) },
		"stream":        func() (any, error) { return measure.StreamSlopes(ctx, repeats, progress, o) },
		"configuration": func() (any, error) { return measure.ConfigurationSlopes(ctx, progress, o) },
		"token":         func() (any, error) { return measure.TokenSlopes(ctx, c.IntSlice("streams"), progress, o) },
		"spread":        func() (any, error) { return measure.PropagationSlopes(ctx, c.IntSlice("daemons"), progress, o) },
		"platform":      func() (any, error) { return measure.PlatformSlopes(ctx, progress, o) },
		"claims":        func() (any, error) { return measure.ClaimSlopes(ctx, progress, o) },
		"start":         func() (any, error) { return measure.StartSlopes(ctx, progress, o) },
		"session":       func() (any, error) { return measure.SessionSlopes(ctx, c.IntSlice("sessions"), progress, o) },
	}
	args := c.Args().Slice()
	if len(args) == 0 {
		return fmt.Errorf("no slopes named, want any of %s", c.ArgsUsage)
	}
	for _, kind := range args {
		if measurements[kind] == nil {
			return fmt.Errorf("unknown slopes %q, want any of %s", kind, c.ArgsUsage)
		}
	}
	for _, kind := range slices.Compact(args) {
		// Points measured before a failure are saved too.
		points, err := measurements[kind]()
		if err := errors.Join(err, measure.SaveSlopes(c.String("out"), kind, points)); err != nil {
			return fmt.Errorf("slopes of %s: %w", kind, err)
		}
	}
	return nil
}
