package fleet

import (
	"slices"
	"strings"
	"time"
)

// Kind says whether a route's requests may run more than once.
type Kind uint8

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// Mutating requests run at most once for each attempt of a caller.
	Mutating
	// Streaming requests are mutating requests that are answered by a series of events. If
	// their route is resumable they may run again.
	Streaming
)

var kindNames = [...]string{"idempotent", "mutating", "streaming"}

// String returns the name of the kind in logs.
func (k Kind) String() string { return kindNames[k] }

// Target is a service that a route sends part of its requests to, in proportion to Weight.
type Target struct {
	Service string
	Weight  int
}

// Route says where requests for a host and path prefix are sent and how they are treated.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout bounds a request from its arrival to the end of its answer.
	Timeout time.Duration
	// LatencyTarget is the operator's target for the time to the answer, or to the first event
	// of a stream.
	LatencyTarget time.Duration
	// MaxEventGap is the operator's target for the longest time between a stream's events.
	MaxEventGap time.Duration
	// Patience is how long callers wait for the first event of a stream, or the next one, before
	// they leave; 0 if that isn't known.
	Patience time.Duration
	// Priority is the rank among routes; 0 is the highest.
	Priority int
	Targets  []Target
	// MaxAttempts is the number of replicas on which one request may run at most.
	MaxAttempts int
	// Public routes don't require a key.
	Public bool
	// HasPrompts is set for routes whose requests have prompts with shared parts.
	HasPrompts bool
	// Resumable streams may be continued at another replica after a given event.
	Resumable bool
}

// Repeatable reports whether a request may run again after an unknown outcome.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Engine describes a service's replicas if they run a language model.
type Engine struct {
	// Slots is the number of requests that a replica runs concurrently.
	Slots int
	// MemoryTokens is the KV memory of a replica in tokens, shared by running requests and
	// cached parts.
	MemoryTokens int
	// Transfer is what the replicas offer for runs that change replicas.
	Transfer RunTransfer
	Models   []string
}

// Service is a set of replicas.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that a replica accepts from all callers
	// together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
	// KVStoreAddress is the address of a store of saved KV cache, "" for services with
	// replicas.
	KVStoreAddress string
}

// Organisation is the holder of keys.
type Organisation struct {
	Name string
	// Priority ranks its requests before the route's priority, 0 first; nil leaves it to the
	// route.
	Priority *int
	// Isolated organisations share no cached parts with others.
	Isolated bool
	// Quota limits its requests over all entries together.
	Quota Quota
}

// Quota is the rate limit of an organisation.
type Quota struct {
	// Rate is in units per second, 0 for no limit. Burst is how many units may come at once
	// in addition.
	Rate, Burst float64
	// Tokens is set if a unit is a token, of the prompt or of the longest output; otherwise a
	// unit is a request. DefaultUnits is charged for a request without token counts.
	Tokens       bool
	DefaultUnits float64
}

// Limited reports whether there is a limit.
func (q *Quota) Limited() bool { return q.Rate > 0 }

// Units returns the units that a request is charged.
func (q *Quota) Units(r *Request) float64 {
	switch {
	case !q.Tokens:
		return 1
	case r.HasTokenCounts:
		return float64(r.PromptTokens + r.OutputTokens)
	}
	return q.DefaultUnits
}

// Limits bound the size of a caller's request and how long it may take to send it.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	// KeyRequired is set if requests need a key. Keys maps each key to its organisation.
	KeyRequired   bool
	Keys          map[string]*Organisation
	Organisations []*Organisation
	Limits        Limits

	byHost   map[string][]*Route
	kvStores []string
	// queueTargets holds the result of QueueTarget.
	queueTargets map[queueTargetKey]time.Duration
	// routePriorities is one more than the highest route priority.
	routePriorities int
}

// Index prepares a configuration for Match and KVStores. It is called once, before the
// configuration is shared.
func (c *Configuration) Index() {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	c.kvStores = nil
	for _, s := range c.Services {
		if s.KVStoreAddress != "" {
			c.kvStores = append(c.kvStores, s.KVStoreAddress)
		}
	}
	slices.Sort(c.kvStores)
	c.indexPriorities()
}

// Match returns the route of the host with the longest prefix of the path, nil if there is none.
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

// KVStores lists the addresses of the stores of saved KV cache, sorted.
func (c *Configuration) KVStores() []string { return c.kvStores }

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
