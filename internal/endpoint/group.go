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
	// downSince has the members last logged as down, and since when.
	downSince map[string]time.Duration
	// listAttempted is set once the instance list was requested, whether or not
	// that succeeded.
	listAttempted bool
	// listed is set once the list was read: only then no members means that there
	// are none.
	listed bool
}

// peer is what a member's heartbeats reported, and what ours have sent to it.
type peer struct {
	load             protocol.Load
	loadAt           time.Duration
	hasLoad          bool
	sending          bool
	heartbeatSent    bool     // a heartbeat of ours was sent
	urgent           bool     // the next heartbeat can't wait for its period
	silentPeers      []string // members to be reported as silent in the next heartbeat
	probing          bool
	probedAt         time.Duration // when it was last probed; 0 is never
	probeDue         bool          // to be probed once the list has its address
	probeReport      bool          // the group is to be informed of that probe
	epoch            protocol.Epoch
	pendingResidents map[uint64]int // tokens of the residents to be sent, by hash
	fullSentAt       time.Duration  // when all residents were last sent; 0 is never
}

func newGroup(self string, heartbeat, suspectAfter time.Duration, rng *rand.Rand) group {
	params := member.DefaultParams
	params.Heartbeats = true
	params.Interval = heartbeat
	params.SuspectAfter = suspectAfter
	params.DeadAfter = max(params.DeadAfter, 2*suspectAfter)
	return group{view: member.NewView(self, params, rng), peers: make(map[string]*peer), downSince: make(map[string]time.Duration)}
}

func (g *group) peer(id string) *peer {
	p := g.peers[id]
	if p == nil {
		p = &peer{pendingResidents: make(map[uint64]int)}
		g.peers[id] = p
	}
	return p
}

// onList handles the platform's instance list, which only proposes members.
func (e *Endpoint) onList(list []platform.Instance, err error) {
	e.group.listAttempted = true
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
			e.beginDrain("instance list")
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
	e.probeListed()
}

// observeEpoch records a peer's epoch. What was learnt of an earlier one is dropped.
func (e *Endpoint) observeEpoch(peer protocol.Identity) {
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

// logPeerChanges logs members that get no new work from now on, or get it again.
//
// A failed connection takes a member out for fractions of a second at a time. It
// counts as back only once a heartbeat was received: otherwise the log would report
// the return of a dead peer several times a second.
func (e *Endpoint) logPeerChanges() {
	now := e.now()
	maps.DeleteFunc(e.group.downSince, func(id string, _ time.Duration) bool {
		_, known := e.group.view.Get(id, now)
		return !known
	})
	for _, m := range e.group.view.Members(now) {
		since, down := e.group.downSince[m.ID]
		switch {
		case !down && (m.State == member.Suspect || m.State == member.Dead):
			e.group.downSince[m.ID] = now
			e.log.Warn("peer "+m.State.String(), "peer", m.ID, "why", string(m.Reason), "silent_ms", (now - m.Since).Milliseconds())
		case down && m.Usable() && m.Since >= since:
			delete(e.group.downSince, m.ID)
			e.log.Warn("peer back", "peer", m.ID, "why", string(m.Reason), "down_ms", (now - since).Milliseconds())
		}
	}
}

// endpoints returns the group as the router sees it, this endpoint included.
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

// target returns where an endpoint of the group accepts Runs.
func (e *Endpoint) target(id string) protocol.Target {
	if id == e.settings.ID {
		return protocol.Target{Endpoint: id, Address: e.settings.Advertise, Epoch: e.tel.Epoch}
	}
	m, _ := e.group.view.Get(id, e.now())
	return protocol.Target{Endpoint: id, Address: m.Address, Epoch: m.Epoch}
}

// unavailable lists the endpoints that accept no new work, so that entries stop
// sending to them before the instance list says so.
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

// usableIDs returns this endpoint and the members that may be owners, sorted.
func (e *Endpoint) usableIDs() []string {
	ids := []string{e.settings.ID}
	for _, m := range e.group.view.AppendUsable(nil, e.settings.Endpoint.Group, e.now()) {
		ids = append(ids, m.ID)
	}
	slices.Sort(ids)
	return ids
}
