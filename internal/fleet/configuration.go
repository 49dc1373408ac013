package fleet

import (
	"slices"
	"strings"
	"time"
)

// Kind is what may be repeated of a route's requests.
type Kind uint8

// The kinds.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// Mutating requests run at most once for each attempt of a caller.
	Mutating
	// Streaming requests are mutating ones, answered by a series of events, unless
	// their route is resumable.
	Streaming
)

var kindNames = [...]string{"idempotent", "mutating", "streaming"}

// String names the kind as logs have it.
func (k Kind) String() string { return kindNames[k] }

// Target is a service that a route sends a share of its requests to.
type Target struct {
	Service string
	Weight  int
}

// Route says where requests of a host and path go and how they are treated.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout bounds a request from its arrival to its final answer.
	Timeout time.Duration
	// LatencyTarget is the time to the answer, or to a stream's first event, that the
	// operator aims at.
	LatencyTarget time.Duration
	// MaxEventGap is the longest pause between a stream's events that is on time.
	MaxEventGap time.Duration
	// Priority is the rank among routes, 0 first.
	Priority int
	Targets  []Target
	// MaxAttempts is the most replicas on which one request may run.
	MaxAttempts int
	// Public routes ask for no key.
	Public bool
	// HasPrompts routes carry prompts that share parts.
	HasPrompts bool
	// Resumable streams may go on at another replica after a given event.
	Resumable bool
}

// Repeatable reports whether a request may run again after an unknown outcome.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Engine is what a service's replicas are if they run a language model.
type Engine struct {
	// Slots is how many requests a replica works on at once.
	Slots int
	// MemoryTokens is the KV memory of a replica, shared by running requests and
	// cached parts.
	MemoryTokens int
	Models       []string
}

// Service is a set of replicas.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is what a replica accepts from all callers together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
	// KVStoreAddress is the address of a store of kept KV cache, "" for services
	// with replicas.
	KVStoreAddress string
}

// Organisation is who holds a key.
type Organisation struct {
	Name string
	// Priority ranks its requests before the route's own, 0 first; nil leaves it to
	// the route.
	Priority *int
	// Isolated organisations share no cached part with others.
	Isolated bool
	// Quota bounds what it may have run, over all entries together.
	Quota Quota
}

// Quota is a limit of an organisation.
type Quota struct {
	// Rate is in units a second, 0 for no limit; Burst units may come at once beside.
	Rate, Burst float64
	// Tokens says that a unit is a token, of the prompt or of the longest output; else
	// it is a request. Uncounted is what a request counts that doesn't say.
	Tokens       bool
	DefaultUnits float64
}

// Limited reports whether there is a limit.
func (q *Quota) Limited() bool { return q.Rate > 0 }

// Units is what a request counts.
func (q *Quota) Units(r *Request) float64 {
	switch {
	case !q.Tokens:
		return 1
	case r.HasTokenCounts:
		return float64(r.PromptTokens + r.OutputTokens)
	}
	return q.DefaultUnits
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of what the operator published.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	// KeyRequired is set when requests need a key. Keys names the organisation of each.
	KeyRequired   bool
	Keys          map[string]*Organisation
	Organisations []*Organisation
	Limits        Limits

	byHost     map[string][]*Route
	keptCaches []string
}

// Index prepares a configuration for Match and KeptCaches. It is called once, by its maker.
func (c *Configuration) Index() {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	c.keptCaches = nil
	for _, s := range c.Services {
		if s.KVStoreAddress != "" {
			c.keptCaches = append(c.keptCaches, s.KVStoreAddress)
		}
	}
	slices.Sort(c.keptCaches)
}

// Match returns the route of the host whose prefix is the longest that begins the
// path, nil if there is none.
func (c *Configuration) Match(host, path string) *Route {
	var best *Route
	for _, r := range c.byHost[host] {
		if !strings.HasPrefix(path, r.PathPrefix) {
			continue
		}
		if best == nil || len(r.PathPrefix) > len(best.PathPrefix) {
			best = r
		}
	}
	return best
}

// KVStores lists the addresses of the stores of kept KV cache, in order.
func (c *Configuration) KVStores() []string { return c.keptCaches }

// Models lists the models of all engines, each once.
func (c *Configuration) Models() []string {
	seen := map[string]bool{}
	var models []string
	for _, s := range c.Services {
		if s.Engine == nil {
			continue
		}
		for _, m := range s.Engine.Models {
			if !seen[m] {
				seen[m] = true
				models = append(models, m)
			}
		}
	}
	return models
}
