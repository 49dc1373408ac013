package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"skylarklead/internal/measure"
)

// quietLoad is the load average below which the results of a run may be quoted.
const quietLoad = 3

// idleCommand measures the latency that entry and endpoint process add to a request
// while there are no others.
func idleCommand() *cli.Command {
	return &cli.Command{
		Name:  "idle",
		Usage: "measure the latency that entry and endpoint process add on an idle path",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "requests", Value: 400, Usage: "number of requests directly to the engine, and of requests through entry and endpoint"},
			&cli.BoolFlag{Name: "keep", Usage: "keep settings and logs in the folder for temporary files"},
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "folder of the programs"},
			&cli.StringFlag{Name: "out", Value: "docs/measurements", Usage: "folder of the results"},
		},
		Action: runIdle,
	}
}

func runIdle(ctx context.Context, c *cli.Command) error {
	if c.Int("requests") < 1 {
		return fmt.Errorf("--requests must be 1 or more")
	}
	result, err := measure.MeasureIdle(ctx, measure.IdleOptions{Bin: c.String("bin"), Requests: c.Int("requests"), Keep: c.Bool("keep")})
	if err != nil {
		return err
	}
	if err := printIdle(result); err != nil {
		return err
	}
	return measure.SaveSlopes(c.String("out"), "idle", result)
}

func printIdle(r *measure.IdleResult) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "first token, ms\tp50\tp95\tp99\t")
	for _, row := range []struct {
		name string
		q    measure.Quantiles
	}{{"straight", r.Straight}, {"through", r.Through}, {"added", r.Added}} {
		fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%.2f\t\n", row.name, row.q.P50, row.q.P95, row.q.P99)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Printf("%d requests each way, %d of %d prompt tokens cached, load average %.2f to %.2f\n",
		r.Requests, r.CachedTokens, r.PromptTokens, r.LoadBefore, r.LoadAfter)
	if max(r.LoadBefore, r.LoadAfter) >= quietLoad {
		fmt.Println("the machine was busy: not to be quoted")
	}
	return nil
}
