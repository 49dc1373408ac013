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
	// firstPeers is how many peers are asked at once at the start.
	firstPeers = 3
	// maxFirstPeers is how many are asked one after the other while none of
	// them has a state.
	maxFirstPeers = 48
)

// listPatience bounds the wait for the instance list, which may be down together
// with the log: the fixed peers are asked without it then.
const listPatience = 500 * time.Millisecond

// PeerFetch returns the Fetch that asks the daemon at address.
func PeerFetch(pool *wire.Pool, address string) FetchFunc {
	return func(ctx context.Context, m *protocol.ConfigFetch) (*protocol.ConfigState, error) {
		session, err := pool.Get(ctx, address)
		if err != nil {
			return nil, err
		}
		return SessionFetch(session)(ctx, m)
	}
}

// SessionFetch returns the Fetch that asks the peer of an open session.
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

// followPeers asks several peers at the start and then, while the log can't be
// reached, one at a time. Messages from peers with a newer state bring it sooner
// (Heard); this finds it for a process that nobody talks to.
func (f *Follower) followPeers(ctx context.Context) {
	if f.opts.Peers == nil {
		close(f.asked)
		return
	}
	f.askSeveral(ctx, f.opts.Peers(ctx))
	close(f.asked)
	for began := f.now(); f.State() == nil && f.now()-began < bootstrapAfter && ctx.Err() == nil; {
		pause(ctx, minPause)
		f.askSeveral(ctx, f.opts.Peers(ctx))
	}
	for {
		pause(ctx, peerPause/2+rand.N(peerPause))
		if ctx.Err() != nil {
			return
		}
		if f.LogReachable() && f.State() != nil {
			continue
		}
		if peers := f.opts.Peers(ctx); len(peers) > 0 {
			f.askOne(ctx, peers[rand.IntN(len(peers))])
		}
	}
}

// askSeveral asks peers, a few at once, until one of them has brought a state. It is
// done again while the bootstrap file waits: the one that knows may be busy with a
// herd, and fail the first time.
//
// After a failure of a whole site most are gone or as empty as this process. With
// only the first few asked, it would start from an old bootstrap file, and take
// keys that were taken back, beside a peer that knows better.
func (f *Follower) askSeveral(ctx context.Context, peers []FetchFunc) {
	next := make(chan FetchFunc, maxFirstPeers)
	for _, fetch := range peers[:min(maxFirstPeers, len(peers))] {
		next <- fetch
	}
	close(next)
	var asking sync.WaitGroup
	for range firstPeers {
		asking.Go(func() {
			for fetch := range next {
				f.askOne(ctx, fetch)
				if f.State() != nil || ctx.Err() != nil {
					return
				}
			}
		})
	}
	asking.Wait()
}

// awaitPeers waits until a peer has brought a state, all asked at first have failed,
// or headStart is over. With both read at once each of a herd of restarted processes
// read most of the log too, seven times the bytes of a peer's state.
func (f *Follower) awaitPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, headStart)
	defer cancel()
	select {
	case <-f.ready:
	case <-f.asked:
	case <-ctx.Done():
	}
}

func (f *Follower) askOne(ctx context.Context, fetch FetchFunc) {
	if err := f.ask(ctx, fetch); err != nil && ctx.Err() == nil {
		f.opts.Logger.Debug("peer gave no configuration", "error", err)
	}
}

// bootstrapLate reads the bootstrap file when neither the log nor a peer has
// brought a state in time.
func (f *Follower) bootstrapLate(ctx context.Context) {
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
		f.opts.Logger.Error("bootstrap file can't be used", "file", f.opts.Bootstrap, "error", err)
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

// PeersNearestFirst returns a Peers function over fixed addresses and the instance list,
// those of the same failure domain first, others in random order so that a herd
// of restarted processes doesn't ask the same few.
func PeersNearestFirst(pool *wire.Pool, fixed []string, list func(context.Context) ([]platform.Instance, error), domain, self string) func(context.Context) []FetchFunc {
	return func(ctx context.Context) []FetchFunc {
		near, far := append([]string(nil), fixed...), []string(nil)
		listCtx, cancel := context.WithTimeout(ctx, listPatience)
		instances, err := list(listCtx)
		cancel()
		if err != nil {
			instances = nil // the fixed ones are left
		}
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
