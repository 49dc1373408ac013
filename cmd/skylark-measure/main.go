// Command skylark-measure runs deployments on this machine with stand-ins and
// writes tables of measurements. It is for development only.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"skylarklead/internal/measure"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "skylark-measure",
		Usage: "measure routing policies with real processes on loopback",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "deployment", Usage: "`NAME`s of deployments, all if empty"},
			&cli.StringSliceFlag{Name: "scenario", Usage: "`NAME`s of scenarios, all if empty"},
			&cli.StringSliceFlag{Name: "policy", Usage: "`NAME`s of policies, all if empty"},
			&cli.IntFlag{Name: "seeds", Value: 5, Usage: "number of runs of each, of which the median is taken"},
			&cli.DurationFlag{Name: "duration", Value: 30 * time.Second, Usage: "duration of each run's load"},
			&cli.DurationFlag{Name: "warmup", Value: 8 * time.Second, Usage: "initial part of the duration that isn't measured"},
			&cli.IntFlag{Name: "at-once", Value: 1, Usage: "number of concurrent runs, which share the machine"},
			&cli.FloatFlag{Name: "transfer", Usage: "KV cache transfer rate in tokens per second that endpoints assume for imports, 0 for no imports"},
			&cli.BoolFlag{Name: "keep", Usage: "keep each run's settings and logs in the folder for temporary files"},
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "folder of the programs"},
			&cli.BoolFlag{Name: "append", Usage: "add the runs to those in the folder of the results"},
			&cli.StringFlag{Name: "out", Value: "docs/measurements", Usage: "folder of the results"},
		},
		Commands: []*cli.Command{slopesCommand(), tableCommand(), idleCommand(), daysCommand()},
		Action:   run,
	}
}

// plannedRun is one run to be made.
type plannedRun struct {
	deployment measure.Deployment
	scenario   measure.Scenario
	policy     string
	seed       uint64
}

func run(ctx context.Context, c *cli.Command) error {
	jobs, err := planRuns(c)
	if err != nil {
		return err
	}
	o := measure.Options{
		Bin: c.String("bin"), Duration: c.Duration("duration"), Warmup: c.Duration("warmup"), Keep: c.Bool("keep"),
		TransferTokensPerSecond: c.Float("transfer"),
	}
	var previous []*measure.Run
	if c.Bool("append") {
		if previous, err = measure.LoadRuns(c.String("out")); err != nil {
			return err
		}
	}
	runs, failed := runAll(ctx, jobs, o, max(1, c.Int("at-once")))
	runs = append(previous, runs...)
	if len(runs) > 0 {
		if err := measure.Save(c.String("out"), runs); err != nil {
			return err
		}
		if err := measure.Table(os.Stdout, measure.Rows(runs)); err != nil {
			return err
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d runs failed", failed, len(jobs))
	}
	return nil
}

func planRuns(c *cli.Command) ([]plannedRun, error) {
	policies := c.StringSlice("policy")
	if len(policies) == 0 {
		policies = measure.Policies
	}
	selected := func(flag, name string) bool {
		return len(c.StringSlice(flag)) == 0 || slices.Contains(c.StringSlice(flag), name)
	}
	var jobs []plannedRun
	for _, d := range measure.Deployments {
		for _, s := range measure.Scenarios {
			if !selected("deployment", d.Name) || !selected("scenario", s.Name) {
				continue
			}
			for _, p := range policies {
				for seed := range c.Int("seeds") {
					jobs = append(jobs, plannedRun{d, s, p, uint64(seed + 1)})
				}
			}
		}
	}
	if len(jobs) == 0 {
		return nil, fmt.Errorf("no deployment and scenario with these names")
	}
	return jobs, nil
}

// runAll makes the runs, up to concurrency at the same time. It returns those that
// succeeded, in the order of jobs, and how many failed.
func runAll(ctx context.Context, jobs []plannedRun, o measure.Options, concurrency int) (runs []*measure.Run, failed int) {
	results := make([]*measure.Run, len(jobs))
	slots := make(chan struct{}, concurrency)
	var wg sync.WaitGroup
	for i, job := range jobs {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			r, err := measure.MeasureScenario(ctx, job.deployment, job.scenario, job.policy, job.seed, o)
			if err != nil {
				fmt.Fprintf(os.Stderr, "%s %s %s seed %d: %v\n", job.deployment.Name, job.scenario.Name, job.policy, job.seed, err)
				return
			}
			fmt.Fprintf(os.Stderr, "%s %s %s seed %d: hit %.1f%% wasted %d of %d, small p99 %.0f ms, all p99 %.0f ms, %v, imports %v\n",
				r.Deployment, r.Scenario, r.Policy, r.Seed, 100*r.HitRate, r.WastedTokens, r.PromptTokens,
				r.FirstToken["small"].P99, r.FirstToken["all"].P99, r.Outcomes, r.Imports)
			results[i] = r
		})
	}
	wg.Wait()
	for _, r := range results {
		if r != nil {
			runs = append(runs, r)
		} else {
			failed++
		}
	}
	return runs, failed
}
