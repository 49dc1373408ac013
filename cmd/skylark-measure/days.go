package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"skylarklead/internal/measure"
)

// daysCommand writes the table of played days.
func daysCommand() *cli.Command {
	return &cli.Command{
		Name:  "days",
		Usage: "write a table of the newest score of each site in the journal",
		Flags: []cli.Flag{&cli.StringFlag{Name: "journal", Value: "journal", Usage: "`FOLDER` of the journal's entries"}},
		Action: func(_ context.Context, c *cli.Command) error {
			return measure.PlayedDays(c.Root().Writer, c.String("journal"))
		},
	}
}
