package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"skylarklead/internal/standin/load"
)

// exitFaults is the exit code of a run with a wrong, cut or missing answer, or
// with dropped requests.
const exitFaults = 3

// loadCommand runs the load generator.
func loadCommand() *cli.Command {
	return &cli.Command{
		Name:      "load",
		Usage:     "open-loop load of callers of several organisations",
		ArgsUsage: "WORKLOAD-FILE",
		Description: "Writes progress to stderr each second and a table to stdout at the end. The exit\n" +
			"code is 3 if an answer was wrong, cut or missing, or a request was dropped.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "print-records", Usage: "only print the workload's configuration records, one per line"},
			&cli.StringSliceFlag{Name: "entry", Usage: "base `URL` of an entry, repeatable"},
			&cli.Float64Flag{Name: "rate", Usage: "arrivals per second, the workload's rate if 0"},
			&cli.DurationFlag{Name: "duration", Value: 30 * time.Second, Usage: "how long requests arrive"},
			&cli.DurationFlag{Name: "warmup", Usage: "initial part of the duration that is left out of the report"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of arrivals and prompts"},
			&cli.StringFlag{Name: "label", Usage: "`TEXT` in request IDs and idempotency keys, different for each run against the same fleet"},
			&cli.StringSliceFlag{Name: "only", Usage: "`ORGANISATION` or class that calls, repeatable, all if empty"},
			&cli.DurationFlag{Name: "shift-at", Usage: "when the popularity of each organisation's texts is permuted, 0 for never"},
			&cli.DurationFlag{Name: "change-at", Usage: "when each organisation's first charter gets a new text, 0 for never"},
			&cli.StringFlag{Name: "burst", Usage: "`ORGANISATION` whose rate is multiplied during the burst"},
			&cli.Float64Flag{Name: "burst-factor", Value: 10, Usage: "factor of the burst"},
			&cli.DurationFlag{Name: "burst-from", Usage: "start of the burst"},
			&cli.DurationFlag{Name: "burst-until", Usage: "end of the burst, the end of the run if 0"},
			&cli.DurationFlag{Name: "deadline", Usage: "deadline that callers send with chat requests, the workload's if 0"},
			&cli.IntFlag{Name: "retry-after", Usage: "how often a request refused as not run is retried after its retry-after time"},
			&cli.DurationFlag{Name: "timeout", Value: time.Minute, Usage: "timeout of one request"},
			&cli.DurationFlag{Name: "goal", Value: 880 * time.Millisecond, Usage: "time to first token up to which a chat counts towards goodput"},
			&cli.DurationFlag{Name: "health-every", Value: 200 * time.Millisecond, Usage: "how often the readiness of entries is checked, 0 for never"},
			&cli.StringFlag{Name: "json", Usage: "`FILE` for the report"},
			&cli.StringFlag{Name: "trace", Usage: "`FILE` for each request's result, one JSON object per line"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	w, err := load.ReadWorkload(c.Args().First())
	if err != nil {
		return err
	}
	if c.Bool("print-records") {
		return printRecords(os.Stdout, w)
	}
	options := loadOptions(c)
	closeTrace, err := openTrace(c.String("trace"), &options)
	if err != nil {
		return err
	}
	report, err := load.Run(ctx, w, options)
	if err != nil {
		return err
	}
	if err := closeTrace(); err != nil {
		return err
	}
	return writeReport(report, c.String("json"))
}

func loadOptions(c *cli.Command) load.Options {
	o := load.Options{
		Entries:           c.StringSlice("entry"),
		Rate:              c.Float64("rate"),
		Duration:          c.Duration("duration"),
		Warmup:            c.Duration("warmup"),
		Seed:              c.Uint64("seed"),
		Label:             c.String("label"),
		Only:              c.StringSlice("only"),
		PopularityShiftAt: c.Duration("shift-at"),
		CharterChangeAt:   c.Duration("change-at"),
		Burst: load.Burst{
			Organisation: c.String("burst"),
			Factor:       c.Float64("burst-factor"),
			From:         c.Duration("burst-from"),
			Until:        c.Duration("burst-until"),
		},
		ChatDeadline:        c.Duration("deadline"),
		MaxRetries:          c.Int("retry-after"),
		Timeout:             c.Duration("timeout"),
		FirstTokenGoal:      c.Duration("goal"),
		HealthCheckInterval: c.Duration("health-every"),
		Progress:            os.Stderr,
	}
	if o.Burst.Until == 0 {
		o.Burst.Until = o.Duration
	}
	return o
}

// openTrace makes the run write each result to a file. The function that it
// returns flushes and closes the file.
func openTrace(file string, o *load.Options) (func() error, error) {
	if file == "" {
		return func() error { return nil }, nil
	}
	f, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	buffered := bufio.NewWriter(f)
	encoder := json.NewEncoder(buffered)
	// The buffered writer keeps the error of a failed write, and Flush returns it.
	o.OnResult = func(r load.Result) { _ = encoder.Encode(r) }
	return func() error {
		if err := buffered.Flush(); err != nil {
			return err
		}
		return f.Close()
	}, nil
}

func writeReport(report *load.Report, file string) error {
	if file != "" {
		data, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(file, append(data, '\n'), 0o644); err != nil {
			return err
		}
	}
	if err := report.Table(os.Stdout); err != nil {
		return err
	}
	if !report.OK() {
		return cli.Exit("an answer was wrong, cut or missing", exitFaults)
	}
	return nil
}

func printRecords(out io.Writer, w load.Workload) error {
	records, err := load.ConfigRecords(w)
	if err != nil {
		return err
	}
	for _, r := range records {
		line, err := json.Marshal(r)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintln(out, string(line)); err != nil {
			return err
		}
	}
	return nil
}
