package ctl

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"skylarklead/internal/protocol"
	"skylarklead/internal/wait"
)

func drainCommand() *cli.Command {
	return &cli.Command{
		Name: "drain", Usage: "make an endpoint process refuse new work until it is restarted", ArgsUsage: "ENDPOINT",
		Description: "  skylarkctl drain ledger-llm-07\n  skylarkctl drain --wait ledger-llm-07",
		Flags:       append(fleetFlags(), &cli.BoolFlag{Name: "wait", Usage: "wait until it has no requests in flight"}),
		Action:      withArgs(1, 1, drain),
	}
}

func drain(ctx context.Context, c *cli.Command) error {
	f, err := openFleet(ctx, c)
	if err != nil {
		return err
	}
	defer f.close()
	endpoint := c.Args().First()
	address, err := f.find(ctx, endpoint)
	if err != nil {
		return err
	}
	for {
		drained, err := f.drainOnce(ctx, address, endpoint)
		if err != nil {
			return err
		}
		if !c.Bool("wait") || drained.InFlight == 0 {
			return show(c, drained, func(w io.Writer) {
				fmt.Fprintf(w, "%s takes no new work; %d in flight\n", drained.Endpoint, drained.InFlight)
			})
		}
		if wait.For(ctx, pollInterval) != nil {
			return fmt.Errorf("%w: %s still has %d requests in flight", errRefused, endpoint, drained.InFlight)
		}
	}
}

func (f *fleetClient) drainOnce(ctx context.Context, address, endpoint string) (*protocol.Drained, error) {
	message, err := f.call(ctx, address, &protocol.Drain{Endpoint: endpoint})
	if err != nil {
		return nil, err
	}
	drained, ok := message.(*protocol.Drained)
	if !ok {
		return nil, fmt.Errorf("%w: unexpected reply %T", errRefused, message)
	}
	return drained, nil
}

// find returns the address of the instance with this ID. Peers given by the flag
// address have their address as ID, so that the processes are queried for theirs.
func (f *fleetClient) find(ctx context.Context, endpoint string) (string, error) {
	for _, p := range f.peers {
		if p.ID == endpoint {
			return p.Address, endpointOnly(p.ID, protocol.Role(p.Role))
		}
	}
	for _, s := range f.statuses(ctx) {
		if s.ID == endpoint && s.Status != nil {
			return s.Address, endpointOnly(s.ID, s.Status.Identity.Role)
		}
	}
	return "", fmt.Errorf("%w: instance %s not found", errRefused, endpoint)
}

// endpointOnly returns an error for an entry, which drains on SIGTERM only.
func endpointOnly(id string, role protocol.Role) error {
	if role == protocol.RoleEntry {
		return fmt.Errorf("%w: %s is an entry; send SIGTERM to its process to drain it", errRefused, id)
	}
	return nil
}
