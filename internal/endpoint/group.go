package endpoint

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"skylarklead/internal/member"
	"skylarklead/internal/platform"
	"skylarklead/internal/protocol"
	"skylarklead/internal/route"
)

// listInterval is how often the platform's instance list is read.
const listInterval = 2 * time.Second

// group is what this process knows of the other endpoints of its group.
type group struct {
	view  *member.View
	peers map[string]*peer
	// down has the members that the log says are down, and since when.
	down map[string]time.Duration
	// listRead is set once the instance list was asked for, whether or not it
	// answered.
	listRead bool
	// listed is set once it has answered: only then an empty group is one.
	listed bool
}

// peer is what a member's heartbeats told, and what ours have told it.
type peer struct {
	load     protocol.Load
	loadAt   time.Duration
	hasLoad  bool
	sending  bool
	told     bool     // a heartbeat of ours was sent
	urgent   bool     // the next heartbeat can't wait for its time
	silent   []string // members to be named as silent in the next heartbeat
	probing  bool
	probedAt time.Duration // when it was last asked for a sign of life; 0 is never
	epoch    protocol.Epoch
	unsent   map[uint64]int // residents to be told, by hash
	fullSent time.Duration  // when all residents were last sent; 0 is never
}

func newGroup(self string, heartbeat, suspectAfter time.Duration, rng *rand.Rand) group {
	params := member.DefaultParams
	params.Heartbeats = true
	params.Interval = heartbeat
	params.SuspectAfter = suspectAfter
	params.DeadAfter = max(params.DeadAfter, 2*suspectAfter)
	return group{view: member.NewView(self, params, rng), peers: make(map[string]*peer), down: make(map[string]time.Duration)}
}

func (g *group) peer(id string) *peer {
	p := g.peers[id]
	if p == nil {
		p = &peer{unsent: make(map[uint64]int)}
		g.peers[id] = p
	}
	return p
}

// onList takes the platform's instance list, which proposes members only.
func (e *Endpoint) onList(list []platform.Instance, err error) {
	e.group.listRead = true
	if err != nil {
		e.log.Debug("instance list not read", "error", err)
		return
	}
	e.group.listed = true
	var listed []member.Instance
	for _, i := range list {
		leaving := i.State == platform.StateLeaving
		switch {
		case i.ID == e.settings.ID && leaving:
			e.leave("instance list")
		case i.ID != e.settings.ID && i.Role == platform.RoleEndpoint && i.Group == e.settings.Endpoint.Group:
			listed = append(listed, member.Instance{
				ID:            i.ID,
				Address:       i.Address,
				FailureDomain: i.FailureDomain,
				Group:         i.Group,
				Leaving:       leaving,
			})
		}
	}
	e.group.view.InstancesListed(listed, e.now())
}

// epochSeen notes a peer's epoch; what was learnt of an earlier one is void.
func (e *Endpoint) epochSeen(peer protocol.Identity) {
	if peer.Role != protocol.RoleEndpoint || peer.Group != e.settings.Endpoint.Group || peer.ID == e.settings.ID {
		return
	}
	if e.group.view.EpochObserved(peer.ID, peer.Epoch, e.now()) {
		e.forgetPeer(peer.ID)
		e.log.Info("peer restarted", "peer", peer.ID)
	}
}

func (e *Endpoint) forgetPeer(id string) {
	delete(e.group.peers, id)
	e.router.RemoveEndpoint(id)
}

// logPeers tells of members that get no new work from now on, or do again.
//
// A failed connection takes a member out for fractions of a second at a time. It
// counts as back only once it was heard: the log would tell of a dead peer's
// return several times a second otherwise.
func (e *Endpoint) logPeers() {
	now := e.now()
	maps.DeleteFunc(e.group.down, func(id string, _ time.Duration) bool {
		_, known := e.group.view.Get(id, now)
		return !known
	})
	for _, m := range e.group.view.Members(now) {
		since, down := e.group.down[m.ID]
		switch {
		case !down && (m.State == member.Suspect || m.State == member.Dead):
			e.group.down[m.ID] = now
			e.log.Warn("peer "+m.State.String(), "peer", m.ID, "why", string(m.Reason), "silent_ms", (now - m.Since).Milliseconds())
		case down && m.Usable() && m.Since >= since:
			delete(e.group.down, m.ID)
			e.log.Warn("peer back", "peer", m.ID, "why", string(m.Reason), "down_ms", (now - since).Milliseconds())
		}
	}
}

// endpoints is the group as the router sees it, this endpoint included.
func (e *Endpoint) endpoints() []route.Endpoint {
	now := e.now()
	all := []route.Endpoint{{
		ID:            e.settings.ID,
		Epoch:         e.tel.Epoch,
		FailureDomain: e.settings.FailureDomain,
		Alive:         true,
		Leaving:       e.drain.leaving,
		Load:          e.load(),
		HasLoad:       true,
	}}
	for _, m := range e.group.view.Members(now) {
		endpoint := route.Endpoint{
			ID:            m.ID,
			Epoch:         m.Epoch,
			FailureDomain: m.FailureDomain,
			Alive:         m.Usable(),
			Leaving:       m.State == member.Leaving,
		}
		if p := e.group.peers[m.ID]; p != nil && p.hasLoad {
			endpoint.Load, endpoint.LoadAge, endpoint.HasLoad = p.load, now-p.loadAt, true
		}
		all = append(all, endpoint)
	}
	return all
}

// target is where an endpoint of the group takes its Runs.
func (e *Endpoint) target(id string) protocol.Target {
	if id == e.settings.ID {
		return protocol.Target{Endpoint: id, Address: e.settings.Advertise, Epoch: e.tel.Epoch}
	}
	m, _ := e.group.view.Get(id, e.now())
	return protocol.Target{Endpoint: id, Address: m.Address, Epoch: m.Epoch}
}

// unavailable lists who takes no new work, so that entries stop sending to them
// before the instance list says so.
func (e *Endpoint) unavailable() []string {
	var ids []string
	if e.drain.leaving {
		ids = append(ids, e.settings.ID)
	}
	for _, m := range e.group.view.Members(e.now()) {
		if m.State == member.Dead || m.State == member.Leaving {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// usableIDs are this endpoint and the members that may be owners.
func (e *Endpoint) usableIDs() []string {
	ids := []string{e.settings.ID}
	for _, m := range e.group.view.AppendUsable(nil, e.settings.Endpoint.Group, e.now()) {
		ids = append(ids, m.ID)
	}
	slices.Sort(ids)
	return ids
}
