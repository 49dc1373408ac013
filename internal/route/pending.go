package route

import (
	"math"
	"time"
)

const (
	// pendingTick is the resolution of the history, pendingTicks its length. A
	// request takes up to a tick from its decision to its executor's report.
	pendingTick  = 100 * time.Millisecond
	pendingTicks = 32
	// maxGrowth bounds the exponent with which a decayed amount is traced back.
	maxGrowth = 8
)

// amount is work at an endpoint: requests in service and milliseconds of prefill
// that wait.
type amount struct {
	requests float64
	prefill  float64
}

// pending estimates what this process has itself sent to one endpoint and is
// still there, now and at the time of the endpoint's last load report. The
// difference is what the report can't know. Without it every decision between
// two reports sees the same idle endpoint and goes there as one herd; were all
// decisions since the report added instead, short requests that have come and
// gone would make a steadily used endpoint look overloaded.
//
// Requests leave at the rate of their mean service time, prefill is worked off
// as time passes.
type pending struct {
	value   amount
	at      time.Duration
	service float64 // mean, ms
	history [pendingTicks]pendingEntry
}

// pendingEntry is the amount just before a tick's first decision.
type pendingEntry struct {
	tick   int64
	at     time.Duration
	before amount
}

// serviceMemory is the share of the newest request in the mean service time.
const serviceMemory = 0.05

func (p *pending) read(now time.Duration) amount {
	elapsed := ms(now - p.at)
	if p.value.requests == 0 || elapsed <= 0 {
		return p.value
	}
	return amount{
		requests: p.value.requests * math.Exp(-elapsed/p.service),
		prefill:  max(0, p.value.prefill-elapsed),
	}
}

// add notes a decision for a request with the given prefill and service time in
// milliseconds.
func (p *pending) add(now time.Duration, prefill, service float64) {
	before := p.read(now)
	tick := int64(now/pendingTick) + 1
	if e := &p.history[tick%pendingTicks]; e.tick != tick {
		*e = pendingEntry{tick, now, before}
	}
	if p.service == 0 {
		p.service = service
	}
	p.service += serviceMemory * (service - p.service)
	p.service = max(p.service, 1)
	p.value = amount{before.requests + 1, before.prefill + prefill}
	p.at = now
}

// then returns the amount at an earlier time, from the first decision since.
func (p *pending) then(now, at time.Duration) amount {
	last := int64(now/pendingTick) + 1
	first := max(int64(at/pendingTick)+1, last-pendingTicks+1)
	for tick := first; tick <= last; tick++ {
		e := &p.history[tick%pendingTicks]
		if e.tick == tick && e.at >= at {
			return p.back(e.before, ms(e.at-at))
		}
	}
	return p.back(p.read(now), ms(now-at))
}

// back traces an amount back by elapsed milliseconds.
func (p *pending) back(v amount, elapsed float64) amount {
	if v.requests == 0 || elapsed <= 0 {
		return v
	}
	v.requests *= math.Exp(min(elapsed/p.service, maxGrowth))
	if v.prefill > 0 {
		v.prefill += elapsed
	}
	return v
}

// unreported returns what has changed since a load report that is age old.
func (p *pending) unreported(now, age time.Duration) (change, present amount) {
	present = p.read(now)
	then := p.then(now, max(0, now-age-pendingTick))
	return amount{present.requests - then.requests, present.prefill - then.prefill}, present
}
