package route

import (
	"math"
	"time"

	"skylarklead/internal/protocol"
)

// Router decides for the prefixes that its process owns.
type Router struct {
	params  Params
	table   *Table
	scratch []candidate
	cached  []int32 // by slot, tokens of this query
	key     int32   // the node that binds this query, or none
	flights flights
	// output is the mean expected output of the group's requests in tokens,
	// outputShare the mean of output over the most allowed; 0 is not known.
	output      float64
	outputShare float64
}

// NewRouter returns a Router that knows nothing yet.
func NewRouter(p Params) *Router {
	r := &Router{params: p.withDefaults()}
	r.table = newTable(&r.params)
	r.flights = make(flights)
	return r
}

// Table returns the router's table, for explanations and tests.
func (r *Router) Table() *Table { return r.table }

// RequestFinished takes the engine's own account of a request: what it had cached, and
// that it now holds the whole prompt.
func (r *Router) RequestFinished(now time.Duration, f Outcome) {
	s, ok := r.table.bySlot[f.Endpoint]
	if !ok || r.table.slots[s].epoch != f.Epoch || !f.Ran {
		return
	}
	r.table.finished(now, OrganisationHash(f.Organisation), f.Levels, s)
}

// ApplyAdvertisement takes an endpoint's word on what its engine holds.
func (r *Router) ApplyAdvertisement(now time.Duration, a Advertisement) {
	s := r.table.slotOf(a.Endpoint)
	r.table.identify(s, a.Epoch, a.Incarnation, a.Version)
	r.table.advertised(now, s, a)
}

// RemoveEndpoint forgets an endpoint.
func (r *Router) RemoveEndpoint(endpoint string) {
	if s, ok := r.table.bySlot[endpoint]; ok {
		r.flights.dropSlot(s)
	}
	r.table.gone(endpoint)
}

// learnOutput takes the mean expected output, and its share of the most allowed,
// from a load summary.
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
	*value += outputMemory * (newest - *value)
}

// outputMemory is the share of the newest load summary in what is learnt.
const outputMemory = 0.02

// expectedOutput is how many tokens q will probably generate.
func (r *Router) expectedOutput(q *Query) float64 {
	share := r.outputShare
	if share == 0 {
		share = defaultOutputShare
	}
	return share * float64(q.MaxTokens)
}

// defaultOutputShare is used until an endpoint has told one.
const defaultOutputShare = 0.5

// flight is an organisation's requests in service at one endpoint, decaying with
// their mean service time.
type flight struct {
	requests float64
	service  float64 // ms
	at       time.Duration
}

// flights are by organisation and slot.
type flights map[shareKey]flight

// maxFlights bounds the map; beyond it those that have ended are forgotten.
const maxFlights = 8192

func (f flights) read(now time.Duration, k shareKey) float64 {
	v, ok := f[k]
	if !ok {
		return 0
	}
	return v.requests * math.Exp(-ms(max(0, now-v.at))/v.service)
}

func (f flights) add(now time.Duration, k shareKey, service float64) {
	if len(f) >= maxFlights {
		f.sweep(now)
	}
	f[k] = flight{f.read(now, k) + 1, max(1, service), now}
}

func (f flights) sweep(now time.Duration) {
	for k := range f {
		if f.read(now, k) < endedFlight {
			delete(f, k)
		}
	}
}

// endedFlight is the expected number of requests below which none is left.
const endedFlight = 0.05

func (f flights) dropSlot(s uint16) {
	for k := range f {
		if k.slot == s {
			delete(f, k)
		}
	}
}
