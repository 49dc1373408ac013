package ctl

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"

	"github.com/urfave/cli/v3"

	"skylarklead/internal/platform"
	"skylarklead/internal/protocol"
	"skylarklead/internal/wire"
)

// atOnce bounds the processes that are asked at once.
const atOnce = 32

func fleetFlags() []cli.Flag {
	return []cli.Flag{
		outputFlag(), platformFlag(), timeoutFlag(),
		addressFlag(), fleetKeyFlag(),
	}
}

func addressFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "address", Usage: "`IP:PORT` of a process to ask, in place of the instance list"}
}

func fleetKeyFlag() cli.Flag {
	return &cli.StringFlag{Name: "fleet-key", Usage: "the fleet's shared `KEY` in hex", Sources: cli.EnvVars("SKYLARK_FLEET_KEY")}
}

// fleet asks processes over sessions of the inner protocol.
type fleet struct {
	pool  *wire.Pool
	peers []platform.Instance
}

// silent handles sessions on which only replies arrive.
type silent struct{}

func (silent) Handle(*wire.Session, uint32, protocol.Message) {}
func (silent) Closed(*wire.Session, error)                    {}

func openFleet(ctx context.Context, c *cli.Command) (*fleet, error) {
	key, err := hex.DecodeString(c.String("fleet-key"))
	if err != nil || len(key) == 0 {
		return nil, fmt.Errorf("the fleet's key is missing or not hex: --fleet-key KEY or SKYLARK_FLEET_KEY")
	}
	peers, err := peersOf(ctx, c)
	if err != nil {
		return nil, err
	}
	self := protocol.Identity{ID: "skylarkctl", Role: protocol.RoleTool}
	pool := wire.NewPool(wire.Options{Key: key, Self: func() protocol.Identity { return self }, Handler: silent{}})
	return &fleet{pool: pool, peers: peers}, nil
}

func (f *fleet) close() { f.pool.Close() }

func peersOf(ctx context.Context, c *cli.Command) ([]platform.Instance, error) {
	var peers []platform.Instance
	for _, a := range c.StringSlice("address") {
		peers = append(peers, platform.Instance{ID: a, Address: a})
	}
	if len(peers) > 0 {
		return peers, nil
	}
	u, err := platformURL(c)
	if err != nil {
		return nil, fmt.Errorf("%w, or --address IP:PORT", err)
	}
	instances := platform.NewInstances(u)
	defer instances.Close()
	peers, err = instances.List(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUnreachable, err)
	}
	slices.SortFunc(peers, func(a, b platform.Instance) int { return compareInstances(a, b) })
	return peers, nil
}

// reply is one process's answer.
type reply struct {
	from    platform.Instance
	message protocol.Message
	err     error
}

// askAll asks every process and returns the answers in order.
func (f *fleet) askAll(ctx context.Context, m protocol.Message) []reply {
	replies := make([]reply, len(f.peers))
	slots := make(chan struct{}, atOnce)
	var tasks sync.WaitGroup
	for i, p := range f.peers {
		tasks.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			message, err := f.ask(ctx, p.Address, m)
			replies[i] = reply{from: p, message: message, err: err}
		})
	}
	tasks.Wait()
	return replies
}

// ask returns the process's answer; a Failure becomes an error.
func (f *fleet) ask(ctx context.Context, address string, m protocol.Message) (protocol.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	session, err := f.pool.Get(ctx, address)
	if errors.Is(err, wire.ErrUnauthenticated) {
		return nil, fmt.Errorf("%w: %s refused the tool's key; is this the fleet's key? If others answer, its fleet_key is wrong", errUnreachable, address)
	}
	if errors.Is(err, io.EOF) {
		// What a process of an earlier build does with a peer without the key.
		return nil, fmt.Errorf("%w: %s cut the connection at its opening; is this the fleet's key?", errUnreachable, address)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUnreachable, err)
	}
	message, err := session.Call(ctx, m)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUnreachable, err)
	}
	if failure, ok := message.(*protocol.Failure); ok {
		return nil, fmt.Errorf("%w: %s", errRefused, failure.Refusal.Message)
	}
	return message, nil
}
