// Command skylark-measure runs the deployments of the brief on this machine with
// stand-ins and writes the table of measurements. Development only.
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
			&cli.StringSliceFlag{Name: "deployment", Usage: "`NAME`s; all if left out"},
			&cli.StringSliceFlag{Name: "scenario", Usage: "`NAME`s; all if left out"},
			&cli.StringSliceFlag{Name: "policy", Usage: "`NAME`s; all if left out"},
			&cli.IntFlag{Name: "seeds", Value: 5, Usage: "runs of each, of which the median is taken"},
			&cli.DurationFlag{Name: "duration", Value: 30 * time.Second, Usage: "of each run's load"},
			&cli.DurationFlag{Name: "warmup", Value: 8 * time.Second, Usage: "of it that isn't counted"},
			&cli.IntFlag{Name: "at-once", Value: 1, Usage: "runs side by side; they share the machine"},
			&cli.FloatFlag{Name: "transfer", Usage: "tokens a second that endpoints take an import of KV cache to move; 0 for none"},
			&cli.BoolFlag{Name: "keep", Usage: "leave each run's settings and logs in the folder for temporary files"},
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "folder of the programs"},
			&cli.BoolFlag{Name: "append", Usage: "add to the runs that the folder of the results has"},
			&cli.StringFlag{Name: "out", Value: "docs/measurements", Usage: "folder of the results"},
		},
		Commands: []*cli.Command{slopes(), table(), idle(), days()},
		Action:   run,
	}
}

// job is one run to make.
type job struct {
	deployment measure.Deployment
	scenario   measure.Scenario
	policy     string
	seed       uint64
}

func run(ctx context.Context, c *cli.Command) error {
	jobs, err := plan(c)
	if err != nil {
		return err
	}
	o := measure.Options{
		Bin: c.String("bin"), Duration: c.Duration("duration"), Warmup: c.Duration("warmup"), Keep: c.Bool("keep"),
		Transfer: c.Float("transfer"),
	}
	var before []*measure.Run
	if c.Bool("append") {
		if before, err = measure.LoadRuns(c.String("out")); err != nil {
			return err
		}
	}
	runs, failed := runAll(ctx, jobs, o, max(1, c.Int("at-once")))
	runs = append(before, runs...)
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

func plan(c *cli.Command) ([]job, error) {
	policies := c.StringSlice("policy")
	if len(policies) == 0 {
		policies = measure.Policies
	}
	wanted := func(flag, name string) bool {
		return len(c.StringSlice(flag)) == 0 || slices.Contains(c.StringSlice(flag), name)
	}
	var jobs []job
	for _, d := range measure.Deployments {
		for _, s := range measure.Scenarios {
			if !wanted("deployment", d.Name) || !wanted("scenario", s.Name) {
				continue
			}
			for _, p := range policies {
				for seed := range c.Int("seeds") {
					jobs = append(jobs, job{d, s, p, uint64(seed + 1)})
				}
			}
		}
	}
	if len(jobs) == 0 {
		return nil, fmt.Errorf("no such deployment or scenario")
	}
	return jobs, nil
}

// runAll makes the runs, some side by side, and returns those that succeeded in
// the order of jobs.
func runAll(ctx context.Context, jobs []job, o measure.Options, atOnce int) (runs []*measure.Run, failed int) {
	results := make([]*measure.Run, len(jobs))
	slots := make(chan struct{}, atOnce)
	var wg sync.WaitGroup
	for i, j := range jobs {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			r, err := measure.Measure(ctx, j.deployment, j.scenario, j.policy, j.seed, o)
			if err != nil {
				fmt.Fprintf(os.Stderr, "%s %s %s seed %d: %v\n", j.deployment.Name, j.scenario.Name, j.policy, j.seed, err)
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
