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
			"The state comes from the log, or from the newest of the processes given, which\n" +
			"have it in an outage of the log too:\n\n" +
			"  skylarkctl config export --address 127.0.0.1:7101 -o state.bootstrap",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Required: true, Usage: "`FILE`"},
			platformFlag(), timeoutFlag(), addressFlag(), fleetKeyFlag(),
		},
		Action: withArgs(0, 0, export),
	}
}

func export(ctx context.Context, c *cli.Command) error {
	state, err := exported(ctx, c)
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

func exported(ctx context.Context, c *cli.Command) (*config.State, error) {
	if len(c.StringSlice("address")) > 0 {
		return stateOfProcesses(ctx, c)
	}
	h, err := readHistory(ctx, c)
	if err != nil {
		return nil, err
	}
	return h.State, nil
}

// stateOfProcesses returns the newest state that the processes given have. One
// that doesn't answer does no harm while another does.
func stateOfProcesses(ctx context.Context, c *cli.Command) (*config.State, error) {
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
			state, err = newer(state, data)
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

// newer merges what a process sent into state, which stays if that can't be read.
func newer(state *config.State, data []byte) (*config.State, error) {
	merged, err := state.Merge(data)
	if err != nil {
		return state, err
	}
	return merged, nil
}
