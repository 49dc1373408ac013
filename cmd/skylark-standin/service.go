package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"skylarklead/internal/standin/service"
)

// serviceCommand runs the stand-in for a plain service.
func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "plain service that counts its runs",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`IP:PORT`"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serveHTTP(ctx, c.String("listen"), service.New().Handler())
		},
	}
}
