package entry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"skylarklead/internal/member"
	"skylarklead/internal/protocol"
	"skylarklead/internal/route"
)

// chooser chooses endpoints for chat requests in the entry itself, by a baseline
// policy that serves as the reference in benchmarks.
type chooser struct {
	now func() time.Duration

	mu     sync.Mutex
	policy route.Chooser
	rng    *rand.Rand
}

// newChooser returns nil for the policy that asks the prefix's owner.
func newChooser(policy string, now func() time.Duration) (*chooser, error) {
	if policy == "" || route.Policy(policy) == route.PolicyOwner {
		return nil, nil
	}
	p, err := route.NewChooser(route.Policy(policy))
	if err != nil {
		return nil, fmt.Errorf("entry: settings: %w", err)
	}
	return &chooser{now: now, policy: p, rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}, nil
}

func (c *chooser) choose(j *job, live []member.Member) *protocol.Decision {
	endpoints := make([]route.Endpoint, len(live))
	for i, m := range live {
		endpoints[i] = route.Endpoint{ID: m.ID, FailureDomain: m.FailureDomain, Alive: true}
	}
	c.mu.Lock()
	choice := c.policy.Choose(c.now(), c.rng, &route.Query{Ask: *j.newAsk("")}, endpoints)
	c.mu.Unlock()
	index := slices.IndexFunc(live, func(m member.Member) bool { return m.ID == choice.Executor })
	if index < 0 {
		return noEndpoint(j)
	}
	return &protocol.Decision{
		Request:         j.id,
		Executor:        protocol.Target{Endpoint: live[index].ID, Address: live[index].Address},
		Reason:          choice.Reason,
		PredictedCached: choice.PredictedCached,
	}
}

// finished notifies the policy that a request has ended at the endpoint that it chose.
func (c *chooser) finished(j *job, endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.policy.Finished(c.now(), endpoint, &route.Query{Ask: *j.newAsk("")})
}
