package entry

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"skylarklead/internal/member"
	"skylarklead/internal/platform"
	"skylarklead/internal/protocol"
)

// directory is the entry's view of the endpoint processes, shared by all requests.
type directory struct {
	now func() time.Duration

	// hasEndpoint is closed once an endpoint has been listed.
	hasEndpoint chan struct{}

	mu   sync.Mutex
	view *member.View
}

func newDirectory(self string, now func() time.Duration) *directory {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &directory{now: now, hasEndpoint: make(chan struct{}), view: member.NewView(self, member.DefaultParams, rng)}
}

// setInstances applies the platform's instance list.
func (d *directory) setInstances(list []platform.Instance) {
	var endpoints []member.Instance
	for _, in := range list {
		if in.Role != platform.RoleEndpoint {
			continue
		}
		endpoints = append(endpoints, member.Instance{
			ID:            in.ID,
			Address:       in.Address,
			FailureDomain: in.FailureDomain,
			Group:         in.Group,
			Leaving:       in.State == platform.StateLeaving,
		})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view.InstancesListed(endpoints, d.now())
	select {
	case <-d.hasEndpoint:
	default:
		if len(endpoints) > 0 {
			close(d.hasEndpoint)
		}
	}
}

// isEmpty reports whether no endpoint is known.
func (d *directory) isEmpty() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	// A bootstrap peer that was dialled but not listed has no group yet.
	return !slices.ContainsFunc(d.view.Members(d.now()), func(m member.Member) bool { return m.Group != "" })
}

// live returns a group's endpoints that may get work, sorted by ID. If none seems
// reachable, it returns all that aren't leaving: an entry whose own network was
// briefly cut would otherwise keep refusing requests after it is restored.
func (d *directory) live(group string) []member.Member {
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	usable := d.view.AppendUsable(nil, group, now)
	if len(usable) == 0 {
		usable = slices.DeleteFunc(d.view.Members(now), func(m member.Member) bool {
			return m.Group != group || m.State == member.Leaving
		})
	}
	slices.SortFunc(usable, func(a, b member.Member) int { return strings.Compare(a.ID, b.ID) })
	return usable
}

// unavailable returns a group's endpoints that this entry can't reach or that
// announced that they are leaving. Owners, which may not know yet, are asked not to
// choose them. It returns nil if the group has no other endpoints.
func (d *directory) unavailable(group string) []string {
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var unavailable []string
	others := 0
	for _, m := range d.view.Members(now) {
		switch {
		case m.Group != group:
		case m.State == member.Dead || m.State == member.Leaving:
			unavailable = append(unavailable, m.ID)
		default:
			others++
		}
	}
	if others == 0 {
		return nil
	}
	return unavailable
}

func (d *directory) lookup(id string) (member.Member, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.Get(id, d.now())
}

// connectionFailed records that an endpoint could not be connected to or did not
// answer.
func (d *directory) connectionFailed(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view.ConnectionFailed(id, d.now())
}

// epochObserved records the peer's epoch as shown when a session opened.
func (d *directory) epochObserved(peer protocol.Identity) {
	if peer.Role != protocol.RoleEndpoint {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view.EpochObserved(peer.ID, peer.Epoch, d.now())
}

// leavingAnnounced records that an endpoint itself announced that it is leaving.
func (d *directory) leavingAnnounced(id string, epoch protocol.Epoch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view.LeavingAnnounced(id, epoch, d.now())
}

// unavailableReported records the endpoints that an owner reports as unavailable.
func (d *directory) unavailableReported(ids []string) {
	if len(ids) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view.UnavailableReported(ids, d.now())
}

// status lists the state of each endpoint as this entry sees it.
func (d *directory) status() []protocol.MemberStatus {
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	members := d.view.Members(now)
	list := make([]protocol.MemberStatus, len(members))
	for i, m := range members {
		list[i] = protocol.MemberStatus{
			ID:            m.ID,
			State:         m.State.String(),
			AgeMs:         (now - m.Since).Milliseconds(),
			Address:       m.Address,
			Group:         m.Group,
			FailureDomain: m.FailureDomain,
		}
	}
	return list
}
