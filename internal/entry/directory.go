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

// directory is the entry's view of the endpoint processes, shared by its
// requests.
type directory struct {
	now func() time.Duration

	// known is closed when there is a first endpoint.
	known chan struct{}

	mu   sync.Mutex
	view *member.View
}

func newDirectory(self string, now func() time.Duration) *directory {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &directory{now: now, known: make(chan struct{}), view: member.NewView(self, member.DefaultParams, rng)}
}

// listed takes the platform's list.
func (d *directory) listed(list []platform.Instance) {
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
	case <-d.known:
	default:
		if len(endpoints) > 0 {
			close(d.known)
		}
	}
}

// empty reports whether no endpoint is known.
func (d *directory) empty() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	// A bootstrap peer that was only dialled has no group yet.
	return !slices.ContainsFunc(d.view.Members(d.now()), func(m member.Member) bool { return m.Group != "" })
}

// live returns a group's endpoints that may get work, in order of ID. If none
// seems reachable, all that aren't leaving are tried: an entry whose own link was
// cut for a moment would otherwise refuse callers after it is back.
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

// shunned returns a group's endpoints that can't be reached from here or have said
// that they leave: an owner, which may not know yet, is not to choose them. With
// nothing else left in the group none are.
func (d *directory) shunned(group string) []string {
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var shunned []string
	others := 0
	for _, m := range d.view.Members(now) {
		switch {
		case m.Group != group:
		case m.State == member.Dead || m.State == member.Leaving:
			shunned = append(shunned, m.ID)
		default:
			others++
		}
	}
	if others == 0 {
		return nil
	}
	return shunned
}

// lookup finds an endpoint by its ID.
func (d *directory) lookup(id string) (member.Member, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.Get(id, d.now())
}

// failed takes a failed connection or an answer that didn't come.
func (d *directory) failed(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view.ConnectionFailed(id, d.now())
}

// seen takes what a session's opening showed.
func (d *directory) seen(peer protocol.Identity) {
	if peer.Role != protocol.RoleEndpoint {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view.EpochObserved(peer.ID, peer.Epoch, d.now())
}

// left takes an endpoint's own word that it is leaving.
func (d *directory) left(id string, epoch protocol.Epoch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view.LeavingAnnounced(id, epoch, d.now())
}

// reported takes an owner's word on endpoints of its group.
func (d *directory) reported(ids []string) {
	if len(ids) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view.UnavailableReported(ids, d.now())
}

// status lists what is thought of each endpoint.
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
