package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"skylarklead/internal/measure"
)

// days is the command that makes the table of played days.
func days() *cli.Command {
	return &cli.Command{
		Name:  "days",
		Usage: "the newest score of each site in the journal, as a table",
		Flags: []cli.Flag{&cli.StringFlag{Name: "journal", Value: "journal", Usage: "`FOLDER` of the entries"}},
		Action: func(_ context.Context, c *cli.Command) error {
			return measure.PlayedDays(c.Root().Writer, c.String("journal"))
		},
	}
}
