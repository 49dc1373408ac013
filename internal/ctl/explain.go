package ctl

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"skylarklead/internal/protocol"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show the routing decisions for a request: deciding process, excluded endpoints, scores", ArgsUsage: "REQUEST-ID",
		Description: "  skylarkctl explain 7f3c9a2e",
		Flags:       fleetFlags(),
		Action:      withArgs(1, 1, explain),
	}
}

func explain(ctx context.Context, c *cli.Command) error {
	f, err := openFleet(ctx, c)
	if err != nil {
		return err
	}
	defer f.close()
	request := c.Args().First()
	records := []protocol.DecisionRecord{}
	answered := 0
	for _, r := range f.callAll(ctx, &protocol.ExplainRequest{Request: request}) {
		if e, ok := r.message.(*protocol.Explanation); ok {
			answered++
			records = append(records, e.Records...)
		}
	}
	switch {
	case answered == 0:
		return fmt.Errorf("%w: none of %d instances answered", errUnreachable, len(f.peers))
	case len(records) == 0:
		return fmt.Errorf("%w: none of %d processes has a record of request %s", errRefused, answered, request)
	}
	return show(c, records, func(w io.Writer) { explainTable(w, records) })
}

func explainTable(w io.Writer, records []protocol.DecisionRecord) {
	for _, r := range records {
		age := time.Duration(r.AgeMs) * time.Millisecond
		fmt.Fprintf(w, "%s by %s, %v ago: %s\n", r.Kind, r.Process, age, r.Reason)
		fmt.Fprintf(w, "  organisation %s, owner %s, executor %s, cached %d predicted, %d actual, outcome %s\n",
			orDash(r.Organisation), orDash(r.Owner), orDash(r.Executor), r.PredictedCached, r.ActualCached, orDash(string(r.Outcome)))
		if len(r.Candidates) == 0 {
			continue
		}
		row(w, "  ENDPOINT", "SCORE", "CACHED", "WAIT MS", "EXCLUDED")
		for _, cand := range r.Candidates {
			row(w, "  "+cand.Endpoint, fmt.Sprintf("%.1f", cand.Score), cand.CachedTokens, fmt.Sprintf("%.1f", cand.WaitMs), cand.Excluded)
		}
	}
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
