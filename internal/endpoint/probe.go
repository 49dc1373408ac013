package endpoint

import (
	"context"
	"slices"
	"time"

	"skylarklead/internal/protocol"
)

const (
	// probeTimeout is how long a peer may take to answer a probe, and
	// probeInterval the least time between two probes of it.
	probeTimeout  = 400 * time.Millisecond
	probeInterval = time.Second
)

// probe checks whether the peers at which a request has failed still answer.
//
// A process that is stopped keeps its connections and its place in the group for
// SuspectAfter, and every request sent to it in that time fails only after its
// entry's own timeout. An entry that reports a failed endpoint is the first to know;
// one probe then takes the peer out for all others as well.
//
// With report set, the group is informed of the peers that don't answer. Members that
// receive such a report probe for themselves without reporting, or one stopped
// process would have every member send to every other.
func (e *Endpoint) probe(ids []string, report bool) {
	now := e.now()
	for _, id := range slices.Compact(slices.Sorted(slices.Values(ids))) {
		m, ok := e.group.view.Get(id, now)
		if !ok || !m.Usable() {
			continue
		}
		p := e.group.peer(id)
		if m.Address == "" {
			// Its heartbeats came before the list; nobody may report it again.
			p.probeDue, p.probeReport = true, p.probeReport || report
			continue
		}
		if p.probing || p.probedAt > 0 && now-p.probedAt < probeInterval {
			continue
		}
		p.probing, p.probedAt = true, now
		go e.probeOne(id, m.Address, report)
	}
}

// probeListed probes the peers that couldn't be probed because their addresses weren't known.
func (e *Endpoint) probeListed() {
	now := e.now()
	for id, p := range e.group.peers {
		if m, ok := e.group.view.Get(id, now); p.probeDue && ok && m.Address != "" {
			report := p.probeReport
			p.probeDue, p.probeReport = false, false
			e.probe([]string{id}, report)
		}
	}
}

func (e *Endpoint) probeOne(id, address string, report bool) {
	ctx, stop := context.WithTimeout(context.Background(), probeTimeout)
	defer stop()
	s, err := e.pool.Get(ctx, address)
	if err == nil {
		_, err = s.Call(ctx, &protocol.StatusRequest{})
	}
	e.loop.postUnbounded(func() {
		e.group.peer(id).probing = false
		if err == nil {
			return
		}
		e.log.Warn("peer did not answer a probe", "peer", id, "error", err)
		// Its next heartbeat reverts this.
		e.group.view.UnavailableReported([]string{id}, e.now())
		if report {
			e.reportSilent(id)
		}
	})
}
