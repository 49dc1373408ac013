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

// maxConcurrentCalls bounds the processes that are queried at the same time.
const maxConcurrentCalls = 32

func fleetFlags() []cli.Flag {
	return []cli.Flag{
		outputFlag(), platformFlag(), timeoutFlag(),
		addressFlag(), fleetKeyFlag(),
	}
}

func addressFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "address", Usage: "`IP:PORT` of a process to query instead of the instance list; may be repeated"}
}

func fleetKeyFlag() cli.Flag {
	return &cli.StringFlag{Name: "fleet-key", Usage: "the fleet's shared `KEY` in hex", Sources: cli.EnvVars("SKYLARK_FLEET_KEY")}
}

// fleetClient queries processes over sessions of the inner protocol.
type fleetClient struct {
	pool  *wire.Pool
	peers []platform.Instance
}

// replyOnlyHandler ignores unsolicited messages: skylarkctl only expects replies.
type replyOnlyHandler struct{}

func (replyOnlyHandler) Handle(*wire.Session, uint32, protocol.Message) {}
func (replyOnlyHandler) Closed(*wire.Session, error)                    {}

func openFleet(ctx context.Context, c *cli.Command) (*fleetClient, error) {
	key, err := hex.DecodeString(c.String("fleet-key"))
	if err != nil || len(key) == 0 {
		return nil, fmt.Errorf("the fleet's key is missing or not hex: set --fleet-key KEY or SKYLARK_FLEET_KEY")
	}
	peers, err := listPeers(ctx, c)
	if err != nil {
		return nil, err
	}
	self := protocol.Identity{ID: "skylarkctl", Role: protocol.RoleTool}
	pool := wire.NewPool(wire.Options{Key: key, Self: func() protocol.Identity { return self }, Handler: replyOnlyHandler{}})
	return &fleetClient{pool: pool, peers: peers}, nil
}

func (f *fleetClient) close() { f.pool.Close() }

// listPeers returns the processes given by the flag address or, without it, those
// of the platform's instance list by role and ID.
func listPeers(ctx context.Context, c *cli.Command) ([]platform.Instance, error) {
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

// reply is one process's answer, or the error of the call.
type reply struct {
	from    platform.Instance
	message protocol.Message
	err     error
}

// callAll sends m to every process and returns the replies in the order of peers.
func (f *fleetClient) callAll(ctx context.Context, m protocol.Message) []reply {
	replies := make([]reply, len(f.peers))
	slots := make(chan struct{}, maxConcurrentCalls)
	var tasks sync.WaitGroup
	for i, p := range f.peers {
		tasks.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			message, err := f.call(ctx, p.Address, m)
			replies[i] = reply{from: p, message: message, err: err}
		})
	}
	tasks.Wait()
	return replies
}

// call sends m to a process and returns its reply; a Failure becomes an error.
func (f *fleetClient) call(ctx context.Context, address string, m protocol.Message) (protocol.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	session, err := f.pool.Get(ctx, address)
	if errors.Is(err, wire.ErrUnauthenticated) {
		return nil, fmt.Errorf("%w: %s refused the tool's key; is this the fleet's key? If other processes accept it, the fleet_key of this one is wrong", errUnreachable, address)
	}
	if errors.Is(err, io.EOF) {
		// Processes of earlier builds close the connection on a peer without the key.
		return nil, fmt.Errorf("%w: %s closed the connection during the handshake; is this the fleet's key?", errUnreachable, address)
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
