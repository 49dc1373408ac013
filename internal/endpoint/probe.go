package endpoint

import (
	"context"
	"slices"
	"time"

	"skylarklead/internal/protocol"
)

const (
	// probeTimeout is how long a peer may take to give a sign of life, and
	// probePause the least time between two such questions to it.
	probeTimeout = 400 * time.Millisecond
	probePause   = time.Second
)

// probe asks the peers that a request has failed at for a sign of life.
//
// A process that is stopped keeps its connections and its place in the group for
// SuspectAfter, and everything that its owners send there in that time fails
// after its entry's own wait. An entry that comes back with a failed endpoint is
// the first to know; asked once, the peer is out for all others as well.
//
// With tell set, the group is told of those that don't answer. Who hears of them
// so asks itself and tells nobody, or one stopped process would have every member
// write to every other.
func (e *Endpoint) probe(ids []string, tell bool) {
	now := e.now()
	for _, id := range slices.Compact(slices.Sorted(slices.Values(ids))) {
		m, ok := e.group.view.Get(id, now)
		if !ok || !m.Usable() || m.Address == "" {
			continue
		}
		p := e.group.peer(id)
		if p.probing || p.probedAt > 0 && now-p.probedAt < probePause {
			continue
		}
		p.probing, p.probedAt = true, now
		go e.probeOne(id, m.Address, tell)
	}
}

func (e *Endpoint) probeOne(id, address string, tell bool) {
	ctx, stop := context.WithTimeout(context.Background(), probeTimeout)
	defer stop()
	s, err := e.pool.Get(ctx, address)
	if err == nil {
		_, err = s.Call(ctx, &protocol.StatusRequest{})
	}
	e.loop.must(func() {
		e.group.peer(id).probing = false
		if err == nil {
			return
		}
		e.log.Warn("peer gives no sign of life", "peer", id, "error", err)
		// Its next heartbeat takes this back.
		e.group.view.UnavailableReported([]string{id}, e.now())
		if tell {
			e.tellSilent(id)
		}
	})
}
