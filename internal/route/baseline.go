package route

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"skylarklead/internal/prefix"
	"skylarklead/internal/rendezvous"
)

// Policy is a way to choose an executor, as in settings.Entry.Policy.
type Policy string

// The policies. PolicyOwner asks the prefix's owner. With the others the entry chooses by itself;
// they are baselines for comparison.
const (
	PolicyOwner        Policy = "owner"
	PolicyRandom       Policy = "random"
	PolicyRoundRobin   Policy = "round_robin"
	PolicyLeastLoaded  Policy = "least_loaded"
	PolicyWholePrompt  Policy = "rendezvous_prompt"
	PolicyBoundedLoad  Policy = "rendezvous_bounded"
	PolicyPrefixTables Policy = "prefix_tables"
)

// Choice is the result of Chooser.Choose; Executor is empty if no endpoint can run the request.
type Choice struct {
	Executor        string
	Reason          string
	PredictedCached int
}

// Chooser chooses an executor from what a single entry knows. It is not safe for concurrent use.
type Chooser interface {
	// Choose picks an executor and counts the request as in flight there.
	Choose(now time.Duration, rng *rand.Rand, q *Query, endpoints []Endpoint) Choice
	// Finished ends a request placed by Choose.
	Finished(now time.Duration, endpoint string, q *Query)
}

// NewChooser returns the chooser of a baseline policy. It fails for any other policy, PolicyOwner
// included.
func NewChooser(policy Policy) (Chooser, error) {
	base := inFlight{count: make(map[string]int)}
	switch policy {
	case PolicyRandom:
		return &random{base}, nil
	case PolicyRoundRobin:
		return &roundRobin{inFlight: base}, nil
	case PolicyLeastLoaded:
		return &leastLoaded{base}, nil
	case PolicyWholePrompt:
		return &wholePrompt{base}, nil
	case PolicyBoundedLoad:
		return &boundedLoad{base}, nil
	case PolicyPrefixTables:
		return newPrefixTables(base), nil
	}
	return nil, fmt.Errorf("unknown baseline policy %q", policy)
}

// inFlight counts an entry's own requests at each endpoint.
type inFlight struct {
	count map[string]int
	total int
}

// Finished implements Chooser.
func (f *inFlight) Finished(_ time.Duration, endpoint string, _ *Query) {
	if f.count[endpoint] == 0 {
		return
	}
	f.total--
	f.count[endpoint]--
	if f.count[endpoint] == 0 {
		delete(f.count, endpoint)
	}
}

func (f *inFlight) choose(id, reason string, cached int) Choice {
	if id == "" {
		return Choice{}
	}
	f.count[id]++
	f.total++
	return Choice{Executor: id, Reason: reason, PredictedCached: cached}
}

// load estimates the number of requests at an endpoint: own ones in flight plus those in its last
// load summary.
func (f *inFlight) load(e *Endpoint) int {
	return f.count[e.ID] + e.Load.Running + e.Load.Queued
}

func usableEndpoints(q *Query, endpoints []Endpoint) []Endpoint {
	list := make([]Endpoint, 0, len(endpoints))
	for i := range endpoints {
		if exclusion(q, &endpoints[i]) == "" {
			list = append(list, endpoints[i])
		}
	}
	return list
}

func endpointIDs(endpoints []Endpoint) []string {
	list := make([]string, len(endpoints))
	for i := range endpoints {
		list[i] = endpoints[i].ID
	}
	return list
}

type random struct{ inFlight }

// Choose implements Chooser.
func (c *random) Choose(_ time.Duration, rng *rand.Rand, q *Query, endpoints []Endpoint) Choice {
	list := usableEndpoints(q, endpoints)
	if len(list) == 0 {
		return Choice{}
	}
	return c.choose(list[rng.IntN(len(list))].ID, string(PolicyRandom), 0)
}

type roundRobin struct {
	inFlight
	next int
}

// Choose implements Chooser.
func (c *roundRobin) Choose(_ time.Duration, _ *rand.Rand, q *Query, endpoints []Endpoint) Choice {
	list := usableEndpoints(q, endpoints)
	if len(list) == 0 {
		return Choice{}
	}
	c.next++
	return c.choose(list[c.next%len(list)].ID, string(PolicyRoundRobin), 0)
}

type leastLoaded struct{ inFlight }

// Choose implements Chooser.
func (c *leastLoaded) Choose(_ time.Duration, rng *rand.Rand, q *Query, endpoints []Endpoint) Choice {
	return c.choose(c.least(rng, usableEndpoints(q, endpoints)), string(PolicyLeastLoaded), 0)
}

// least returns the endpoint with the least load, ties broken at random, or "" if list is empty.
func (f *inFlight) least(rng *rand.Rand, list []Endpoint) string {
	best, low, equals := "", 0, 0
	for i := range list {
		load := f.load(&list[i])
		if best != "" && load > low {
			continue
		}
		if best == "" || load < low {
			low, equals = load, 0
		}
		equals++
		if rng.IntN(equals) == 0 {
			best = list[i].ID
		}
	}
	return best
}

type wholePrompt struct{ inFlight }

// Choose implements Chooser.
func (c *wholePrompt) Choose(_ time.Duration, _ *rand.Rand, q *Query, endpoints []Endpoint) Choice {
	return c.choose(rendezvous.First(q.Fingerprint, endpointIDs(usableEndpoints(q, endpoints))), string(PolicyWholePrompt), 0)
}

// loadBoundFactor is by how much an endpoint's load may exceed the mean before the next in
// rendezvous order is taken.
const loadBoundFactor = 1.25

type boundedLoad struct{ inFlight }

// Choose implements Chooser.
func (c *boundedLoad) Choose(_ time.Duration, _ *rand.Rand, q *Query, endpoints []Endpoint) Choice {
	list := usableEndpoints(q, endpoints)
	order := rendezvous.Order(OwnerKey(q.Organisation, q.Model, q.Levels), endpointIDs(list))
	return c.choose(c.withinBound(order, list), string(PolicyBoundedLoad), 0)
}

// withinBound returns the first endpoint in order whose load is within the bound.
func (f *inFlight) withinBound(order []string, list []Endpoint) string {
	if len(order) == 0 {
		return ""
	}
	loads := make(map[string]int, len(list))
	total := 1
	for i := range list {
		loads[list[i].ID] = f.load(&list[i])
		total += loads[list[i].ID]
	}
	bound := loadBoundFactor * float64(total) / float64(len(list))
	for _, id := range order {
		if float64(loads[id]+1) <= max(bound, 1) {
			return id
		}
	}
	return order[0]
}

// tableSize bounds an entry's prefix table.
const tableSize = 16384

// prefixTables is the common design of an entry that remembers where it sent each prefix, and
// falls back to the least loaded endpoint if the load is imbalanced.
type prefixTables struct {
	inFlight
	sent *simplelru.LRU[prefix.Hash, string]
}

func newPrefixTables(base inFlight) *prefixTables {
	// NewLRU fails only for a size below 1.
	sent, _ := simplelru.NewLRU[prefix.Hash, string](tableSize, nil)
	return &prefixTables{inFlight: base, sent: sent}
}

// Choose implements Chooser.
func (c *prefixTables) Choose(_ time.Duration, rng *rand.Rand, q *Query, endpoints []Endpoint) Choice {
	list := usableEndpoints(q, endpoints)
	id, cached := c.lookup(q, list)
	if id == "" || c.imbalanced(id, list) {
		id, cached = c.least(rng, list), 0
	}
	if id == "" {
		return Choice{}
	}
	for _, l := range q.Levels {
		c.sent.Add(l.Hash, id)
	}
	return c.choose(id, string(PolicyPrefixTables), cached)
}

// lookup returns where the longest known level was sent, and its length.
func (c *prefixTables) lookup(q *Query, list []Endpoint) (string, int) {
	for i := len(q.Levels) - 1; i >= 0; i-- {
		id, ok := c.sent.Get(q.Levels[i].Hash)
		if ok && contains(list, id) {
			return id, q.Levels[i].Tokens
		}
	}
	return "", 0
}

func contains(list []Endpoint, id string) bool {
	for i := range list {
		if list[i].ID == id {
			return true
		}
	}
	return false
}

// An endpoint is overloaded relative to others if its load is more than imbalanceFactor times the
// least load and at least imbalanceMinGap above it.
const (
	imbalanceFactor = 1.5
	imbalanceMinGap = 4
)

func (c *prefixTables) imbalanced(id string, list []Endpoint) bool {
	own, low := 0, -1
	for i := range list {
		load := c.load(&list[i])
		if list[i].ID == id {
			own = load
		}
		if low < 0 || load < low {
			low = load
		}
	}
	return own-low >= imbalanceMinGap && float64(own) > imbalanceFactor*float64(low)
}
