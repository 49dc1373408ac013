package ctl

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"skylarklead/internal/config"
	"skylarklead/internal/follow"
)

func exportCommand() *cli.Command {
	return &cli.Command{
		Name: "export", Usage: "write the state in force to a file for bootstrap.file",
		Description: "  skylarkctl config export -o state.bootstrap\n\n" +
			"The state comes from the log or, with --address, from the process with the newest\n" +
			"state, which also works while the log is unavailable:\n\n" +
			"  skylarkctl config export --address 127.0.0.1:7101 -o state.bootstrap",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Required: true, Usage: "`FILE`"},
			platformFlag(), timeoutFlag(), addressFlag(), fleetKeyFlag(),
		},
		Action: withArgs(0, 0, export),
	}
}

func export(ctx context.Context, c *cli.Command) error {
	state, err := currentState(ctx, c)
	if err != nil {
		return err
	}
	data, err := config.EncodeState(state)
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.String("output"), data, 0o600); err != nil {
		return err
	}
	fmt.Fprintf(c.Root().Writer, "state as of offset %d, %d bytes\n", state.Offset, len(data))
	return nil
}

func currentState(ctx context.Context, c *cli.Command) (*config.State, error) {
	if len(c.StringSlice("address")) > 0 {
		return newestPeerState(ctx, c)
	}
	h, err := readHistory(ctx, c)
	if err != nil {
		return nil, err
	}
	return h.State, nil
}

// newestPeerState returns the newest state of the processes given by the flag
// address. It fails only if none of them returns a state.
func newestPeerState(ctx context.Context, c *cli.Command) (*config.State, error) {
	f, err := openFleet(ctx, c)
	if err != nil {
		return nil, err
	}
	defer f.close()
	state := config.NewState()
	var failed error
	for _, p := range f.peers {
		data, err := follow.FetchState(ctx, follow.PeerFetch(f.pool, p.Address), state.Offset)
		if err == nil && len(data) > 0 {
			state, err = mergeNewer(state, data)
		}
		if err != nil {
			failed = errors.Join(failed, fmt.Errorf("%s: %w", p.Address, err))
		}
	}
	switch {
	case state.Offset > 0:
		return state, nil
	case failed != nil:
		return nil, fmt.Errorf("%w: %w", errUnreachable, failed)
	}
	return nil, fmt.Errorf("%w: the processes have no configuration", errRefused)
}

// mergeNewer merges a process's encoded state into state and returns state
// unchanged if the data can't be decoded.
func mergeNewer(state *config.State, data []byte) (*config.State, error) {
	merged, err := state.Merge(data)
	if err != nil {
		return state, err
	}
	return merged, nil
}
