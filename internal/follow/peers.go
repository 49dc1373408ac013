package follow

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"skylarklead/internal/platform"
	"skylarklead/internal/protocol"
	"skylarklead/internal/settings"
	"skylarklead/internal/wire"
)

const (
	// parallelPeers is how many peers are asked in parallel at the start.
	parallelPeers = 3
	// maxInitialPeers is how many peers are asked in one round at the start while none of
	// them has a state.
	maxInitialPeers = 48
)

// listTimeout bounds the wait for the instance list, which may be down together with the log.
// The fixed peers are then asked without it.
const listTimeout = 500 * time.Millisecond

// PeerFetch returns the FetchFunc for the daemon at an address.
func PeerFetch(pool *wire.Pool, address string) FetchFunc {
	return func(ctx context.Context, m *protocol.ConfigFetch) (*protocol.ConfigState, error) {
		session, err := pool.Get(ctx, address)
		if err != nil {
			return nil, err
		}
		return SessionFetch(session)(ctx, m)
	}
}

// SessionFetch returns the FetchFunc for the peer of an open session.
func SessionFetch(session *wire.Session) FetchFunc {
	return func(ctx context.Context, m *protocol.ConfigFetch) (*protocol.ConfigState, error) {
		reply, err := session.Call(ctx, m)
		if err != nil {
			return nil, err
		}
		switch reply := reply.(type) {
		case *protocol.ConfigState:
			return reply, nil
		case *protocol.Failure:
			return nil, fmt.Errorf("follow: peer %s: %s", session.Peer().ID, reply.Refusal.Message)
		}
		return nil, fmt.Errorf("follow: peer %s answered with %T", session.Peer().ID, reply)
	}
}

// followPeers asks several peers at the start and then, while the log is unreachable, one at a
// time. Peers with a newer state usually announce it in their messages (PeerHasOffset); this
// finds it for a process that gets no messages.
func (f *Follower) followPeers(ctx context.Context) {
	if f.opts.Peers == nil {
		close(f.peersTried)
		return
	}
	f.tryPeers(ctx, f.opts.Peers(ctx))
	close(f.peersTried)
	for began := f.now(); f.State() == nil && f.now()-began < bootstrapAfter && ctx.Err() == nil; {
		pause(ctx, minInterval)
		f.tryPeers(ctx, f.opts.Peers(ctx))
	}
	for {
		pause(ctx, peerInterval/2+rand.N(peerInterval))
		if ctx.Err() != nil {
			return
		}
		if f.LogReachable() && f.State() != nil {
			continue
		}
		if peers := f.opts.Peers(ctx); len(peers) > 0 {
			f.tryPeer(ctx, peers[rand.IntN(len(peers))])
		}
	}
}

// tryPeers asks peers, a few in parallel, until one of them has provided a state. It is
// repeated until the bootstrap file is read: the peer that has a state may be overloaded by many
// restarted processes, and fail the first time.
//
// After a failure of a whole site most peers are gone or have no state either. If only the first
// few were asked, this process would start from an old bootstrap file and accept revoked keys
// although a peer has the newer state.
func (f *Follower) tryPeers(ctx context.Context, peers []FetchFunc) {
	next := make(chan FetchFunc, maxInitialPeers)
	for _, fetch := range peers[:min(maxInitialPeers, len(peers))] {
		next <- fetch
	}
	close(next)
	var asking sync.WaitGroup
	for range parallelPeers {
		asking.Go(func() {
			for fetch := range next {
				f.tryPeer(ctx, fetch)
				if f.State() != nil || ctx.Err() != nil {
					return
				}
			}
		})
	}
	asking.Wait()
}

// awaitPeers waits until a peer has provided a state, all peers of the first round have failed,
// or peersHeadStart is over. If the log were read at the same time, each of many restarted
// processes would also read most of the log, seven times the bytes of a peer's state.
func (f *Follower) awaitPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peersHeadStart)
	defer cancel()
	select {
	case <-f.ready:
	case <-f.peersTried:
	case <-ctx.Done():
	}
}

func (f *Follower) tryPeer(ctx context.Context, fetch FetchFunc) {
	if err := f.fetchFrom(ctx, fetch); err != nil && ctx.Err() == nil {
		f.opts.Logger.Debug("could not fetch the configuration from a peer", "error", err)
	}
}

// loadBootstrapFile reads the bootstrap file if neither the log nor a peer has provided a state
// in time.
func (f *Follower) loadBootstrapFile(ctx context.Context) {
	if f.opts.Bootstrap == "" {
		return
	}
	pause(ctx, bootstrapAfter)
	if ctx.Err() != nil || f.State() != nil {
		return
	}
	data, err := os.ReadFile(f.opts.Bootstrap)
	if err == nil {
		err = f.Merge(data, SourceBootstrap)
	}
	if err != nil {
		f.opts.Logger.Error("could not load the bootstrap file", "file", f.opts.Bootstrap, "error", err)
	}
}

// FromSettings returns the Follower of a daemon.
func FromSettings(s *settings.Settings, log Log, instances *platform.Instances, pool *wire.Pool, logger *slog.Logger) *Follower {
	return New(Options{
		Log:         log,
		Peers:       PeersNearestFirst(pool, s.Bootstrap.Peers, instances.List, s.FailureDomain, s.Advertise),
		Bootstrap:   s.Bootstrap.File,
		Retention:   s.Platform.Retention.D(),
		ProcessName: s.ID,
		Logger:      logger,
	})
}

// PeersNearestFirst returns a Peers function over fixed addresses and the instance list: the
// fixed peers and those of the same failure domain first, each group in random order so that many
// restarted processes don't ask the same few. While the list can't be read, the last one stays in use: a
// process that is cut off from the platform can still ask those that it knows.
func PeersNearestFirst(pool *wire.Pool, fixed []string, list func(context.Context) ([]platform.Instance, error), domain, self string) func(context.Context) []FetchFunc {
	var mu sync.Mutex
	var known []platform.Instance
	return func(ctx context.Context) []FetchFunc {
		near, far := append([]string(nil), fixed...), []string(nil)
		listCtx, cancel := context.WithTimeout(ctx, listTimeout)
		instances, err := list(listCtx)
		cancel()
		mu.Lock()
		if err != nil {
			instances = known
		}
		known = instances
		mu.Unlock()
		for _, i := range instances {
			switch {
			case i.Address == self:
			case i.FailureDomain == domain:
				near = append(near, i.Address)
			default:
				far = append(far, i.Address)
			}
		}
		return fetches(pool, near, far)
	}
}

func fetches(pool *wire.Pool, groups ...[]string) []FetchFunc {
	var all []FetchFunc
	for _, addresses := range groups {
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		for _, a := range addresses {
			all = append(all, PeerFetch(pool, a))
		}
	}
	return all
}
