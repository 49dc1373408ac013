package entry

import (
	"context"
	"sync"
	"time"

	"skylarklead/internal/platform"
	"skylarklead/internal/protocol"
)

const (
	// pollEvery is how often the platform's list is fetched.
	pollEvery = 2 * time.Second
	// peerTimeout bounds asking a bootstrap peer.
	peerTimeout = time.Second
)

// pollInstances keeps the directory up to date. While the list can't be read the
// last one stays; what became of its endpoints is learnt by talking to them. With
// no list yet, the bootstrap peers are asked, so that an entry that restarts in an
// outage of the platform serves at once.
func (e *Entry) pollInstances(ctx context.Context) {
	client := platform.NewInstances(e.settings.Platform.Instances)
	defer client.Close()
	client.Poll(ctx, pollEvery, func(list []platform.Instance, err error) {
		e.onList(ctx, list, err)
		e.tel.LogKeyStatus(e.options.Handshakes)
	})
}

func (e *Entry) onList(ctx context.Context, list []platform.Instance, err error) {
	if err == nil {
		// Before the first endpoint is known the callers' port is closed: an entry
		// with a wrong key never says that it is ready.
		e.pool.VerifyKey(ctx, platform.OtherAddresses(list, e.settings.ID))
		e.directory.listed(list)
		return
	}
	e.tel.Log.Warn("instance list can't be read", "error", err)
	if e.directory.empty() {
		e.directory.listed(e.askPeers(ctx))
	}
}

// askPeers puts together what the bootstrap peers know of the endpoints.
func (e *Entry) askPeers(ctx context.Context) []platform.Instance {
	var mu sync.Mutex
	known := map[string]platform.Instance{}
	var asking sync.WaitGroup
	for _, address := range e.settings.Bootstrap.Peers {
		asking.Go(func() {
			found := e.askPeer(ctx, address)
			mu.Lock()
			defer mu.Unlock()
			for _, in := range found {
				known[in.ID] = in
			}
		})
	}
	asking.Wait()
	list := make([]platform.Instance, 0, len(known))
	for _, in := range known {
		list = append(list, in)
	}
	return list
}

func (e *Entry) askPeer(ctx context.Context, address string) []platform.Instance {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	session, err := e.session(ctx, address)
	if err != nil {
		e.tel.Log.Warn("bootstrap peer can't be reached", "address", address, "error", err)
		return nil
	}
	var list []platform.Instance
	if peer := session.Peer(); peer.Role == protocol.RoleEndpoint {
		list = append(list, endpointInstance(peer.ID, address, peer.Group, peer.FailureDomain))
	}
	answer, err := session.Call(ctx, &protocol.StatusRequest{})
	if err != nil {
		return list
	}
	status, ok := answer.(*protocol.Status)
	if !ok {
		return list
	}
	for _, m := range status.Members {
		if m.Address != "" && m.Group != "" {
			list = append(list, endpointInstance(m.ID, m.Address, m.Group, m.FailureDomain))
		}
	}
	return list
}

func endpointInstance(id, address, group, domain string) platform.Instance {
	return platform.Instance{
		ID:            id,
		Role:          platform.RoleEndpoint,
		Address:       address,
		FailureDomain: domain,
		Group:         group,
		State:         platform.StateLive,
	}
}
