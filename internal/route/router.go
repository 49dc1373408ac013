package route

import (
	"math"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"skylarklead/internal/protocol"
)

// Router decides for the prefixes that its process owns.
type Router struct {
	params       Params
	table        *Table
	candidates   []candidate
	cachedBySlot []int32 // by slot, cached tokens of the current query's prompt
	boundNode    int32   // node whose holder set binds the current query, or none
	serviceLoads serviceLoads
	// output is the mean expected output of the group's requests in tokens, outputShare the mean
	// ratio of output to the maximum allowed; 0 if not known yet.
	output      float64
	outputShare float64
	// suspects has where each suspect was placed last, by fingerprint.
	suspects *lru.Cache[uint64, suspectPlacement]
}

// suspectPlacement is where and when a suspect was placed.
type suspectPlacement struct {
	endpoint string
	at       time.Duration
}

const (
	// maxSuspects bounds the suspects whose placement is remembered.
	maxSuspects = 4096
	// suspectStays is how long copies of a suspect go where the first one went: an endpoint runs one
	// copy at a time, and a crash there shows earlier.
	suspectStays = 30 * time.Second
)

// NewRouter returns a Router with an empty table.
func NewRouter(p Params) *Router {
	r := &Router{params: p.withDefaults()}
	r.table = newTable(&r.params)
	r.serviceLoads = make(serviceLoads)
	var err error
	if r.suspects, err = lru.New[uint64, suspectPlacement](maxSuspects); err != nil {
		panic(err) // the size is a positive constant
	}
	return r
}

// Table returns the router's table, for explanations and tests.
func (r *Router) Table() *Table { return r.table }

// RequestFinished records that the engine now holds the whole prompt of a request that it has
// run. An outcome of another epoch of the endpoint is ignored.
func (r *Router) RequestFinished(now time.Duration, f Outcome) {
	s, ok := r.table.bySlot[f.Endpoint]
	if !ok || r.table.slots[s].epoch != f.Epoch || !f.Ran {
		return
	}
	r.table.confirm(now, OrganisationHash(f.Organisation), f.Levels, s)
}

// ApplyAdvertisement updates the table with what an endpoint reports as resident.
func (r *Router) ApplyAdvertisement(now time.Duration, a Advertisement) {
	s := r.table.slotOf(a.Endpoint)
	r.table.identify(s, a.Epoch, a.Incarnation, a.Version)
	r.table.applyAdvertisement(now, s, a)
}

// RemoveEndpoint drops all state of an endpoint.
func (r *Router) RemoveEndpoint(endpoint string) {
	if s, ok := r.table.bySlot[endpoint]; ok {
		r.serviceLoads.dropSlot(s)
	}
	r.table.removeEndpoint(endpoint)
}

// learnOutput updates the mean expected output, and its ratio to the maximum allowed, from a load
// summary.
func (r *Router) learnOutput(l *protocol.Load) {
	if l.OutputShare > 0 {
		learn(&r.outputShare, l.OutputShare)
	}
	if requests := l.Running + l.Queued; requests > 0 && l.DecodeTokens > 0 {
		learn(&r.output, float64(l.DecodeTokens)/float64(requests))
	}
}

func learn(value *float64, newest float64) {
	if *value == 0 {
		*value = newest
	}
	*value += outputLearningRate * (newest - *value)
}

// outputLearningRate is the weight of the newest load summary in the running means.
const outputLearningRate = 0.02

// expectedOutput estimates how many tokens q will generate.
func (r *Router) expectedOutput(q *Query) float64 {
	share := r.outputShare
	if share == 0 {
		share = defaultOutputShare
	}
	return share * float64(q.MaxTokens)
}

// defaultOutputShare is used until a load summary has reported a ratio.
const defaultOutputShare = 0.5

// serviceLoad is an estimate of the requests that an organisation has in service at one endpoint.
// It decays with their mean service time.
type serviceLoad struct {
	requests  float64
	serviceMs float64
	at        time.Duration
}

// serviceLoads is keyed by organisation and slot.
type serviceLoads map[shareKey]serviceLoad

// maxServiceLoads bounds the map; beyond it entries that have decayed away are removed.
const maxServiceLoads = 8192

func (l serviceLoads) estimate(now time.Duration, k shareKey) float64 {
	load, ok := l[k]
	if !ok {
		return 0
	}
	return load.requests * math.Exp(-ms(max(0, now-load.at))/load.serviceMs)
}

func (l serviceLoads) add(now time.Duration, k shareKey, serviceMs float64) {
	if len(l) >= maxServiceLoads {
		l.sweep(now)
	}
	l[k] = serviceLoad{l.estimate(now, k) + 1, max(1, serviceMs), now}
}

func (l serviceLoads) sweep(now time.Duration) {
	for k := range l {
		if l.estimate(now, k) < minServiceLoad {
			delete(l, k)
		}
	}
}

// minServiceLoad is the expected number of requests below which an entry is removed.
const minServiceLoad = 0.05

func (l serviceLoads) dropSlot(s uint16) {
	for k := range l {
		if k.slot == s {
			delete(l, k)
		}
	}
}
