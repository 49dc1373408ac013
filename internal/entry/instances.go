package entry

import (
	"context"
	"sync"
	"time"

	"skylarklead/internal/platform"
	"skylarklead/internal/protocol"
)

const (
	// pollInterval is how often the platform's instance list is fetched.
	pollInterval = 2 * time.Second
	// peerTimeout bounds the query of one bootstrap peer.
	peerTimeout = time.Second
)

// pollInstances keeps the directory up to date. While the list can't be read, the
// last one stays in use, and the state of its endpoints is learnt by connecting to
// them. If no list has been read yet, the bootstrap peers are asked, so that an
// entry that restarts during an outage of the platform can serve at once.
func (e *Entry) pollInstances(ctx context.Context) {
	client := platform.NewInstances(e.settings.Platform.Instances)
	defer client.Close()
	client.OnSkipped = func(err error) { e.tel.Log.Warn("instances of the list skipped", "error", err) }
	client.Poll(ctx, pollInterval, func(list []platform.Instance, err error) {
		e.onInstanceList(ctx, list, err)
		e.tel.LogKeyStatus(e.options.Handshakes)
	})
}

func (e *Entry) onInstanceList(ctx context.Context, list []platform.Instance, err error) {
	if err == nil {
		// Sessions are tried before the first endpoint is known, and thus before the
		// callers' listener opens, so that an entry with a wrong key never reports
		// that it is ready.
		e.pool.VerifyKey(ctx, platform.OtherAddresses(list, e.settings.ID))
		e.directory.setInstances(list)
		return
	}
	e.tel.Log.Warn("instance list can't be read", "error", err)
	if e.directory.isEmpty() {
		e.directory.setInstances(e.instancesFromPeers(ctx))
	}
}

// instancesFromPeers merges the endpoints that the bootstrap peers know.
func (e *Entry) instancesFromPeers(ctx context.Context) []platform.Instance {
	var mu sync.Mutex
	known := map[string]platform.Instance{}
	var queries sync.WaitGroup
	for _, address := range e.settings.Bootstrap.Peers {
		queries.Go(func() {
			found := e.instancesFromPeer(ctx, address)
			mu.Lock()
			defer mu.Unlock()
			for _, in := range found {
				known[in.ID] = in
			}
		})
	}
	queries.Wait()
	list := make([]platform.Instance, 0, len(known))
	for _, in := range known {
		list = append(list, in)
	}
	return list
}

func (e *Entry) instancesFromPeer(ctx context.Context, address string) []platform.Instance {
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
