package route

import (
	"math"
	"time"
)

const (
	// arrivalTick is the resolution in which own decisions are remembered,
	// arrivalTicks how many ticks.
	arrivalTick  = 50 * time.Millisecond
	arrivalTicks = 64
	// transit is how long a request may take from its decision until its
	// executor's load report has it.
	transit = 50 * time.Millisecond
	// Reports at these intervals tell how much others send.
	minReportInterval = 200 * time.Millisecond
	maxReportInterval = 5 * time.Second
	// othersMemory is the share of the newest interval in what others send.
	othersMemory = 0.5
	minService   = 10 // ms
)

// amount is work at an endpoint: requests of the group's mean service time, and
// milliseconds of prefill.
type amount struct {
	requests float64
	prefill  float64
}

// arrivals are the decisions of one tick.
type arrivals struct {
	tick int64
	sum  amount
}

// occupancy estimates the work at one endpoint between its load reports. A
// report is up to an interval old. Taken as it is, every decision of that
// interval sees the same idle endpoint and goes there as one herd, and a queue
// that was reported keeps all away long after it has drained; the load then
// swings from endpoint to endpoint each interval.
//
// So the endpoint is followed as a queue with so many places: from each report
// on, this process's own decisions are added when they were made, others' work at
// the rate seen between the last two reports, and requests leave at the rate that
// the places in use allow.
type occupancy struct {
	value    amount
	at       time.Duration
	others   float64 // requests a millisecond
	reported float64 // requests in the last report
	reportAt time.Duration
	known    bool // there was a report
	history  [arrivalTicks]arrivals
}

// advance moves the estimate to now, with places of service milliseconds a
// request.
func (o *occupancy) advance(now time.Duration, places, service float64) {
	elapsed := ms(now - o.at)
	if elapsed <= 0 {
		return
	}
	o.at = now
	o.value.prefill = max(0, o.value.prefill-elapsed)
	o.value.requests = after(o.value.requests, elapsed, o.others, places, max(service, minService))
}

// after returns how many of n requests are there after elapsed milliseconds.
// While all places are taken they leave one after another, then each at the end
// of its service.
func after(n, elapsed, arriving, places, service float64) float64 {
	if n > places {
		drain := places/service - arriving
		if drain <= 0 || (n-places)/drain >= elapsed {
			return n - drain*elapsed
		}
		elapsed -= (n - places) / drain
		n = places
	}
	steady := arriving * service
	return steady + (n-steady)*math.Exp(-elapsed/service)
}

// add notes a decision of this process.
func (o *occupancy) add(now time.Duration, v amount) {
	o.value.requests += v.requests
	o.value.prefill += v.prefill
	tick := int64(now / arrivalTick)
	a := &o.history[tick%arrivalTicks]
	if a.tick != tick {
		*a = arrivals{tick: tick}
	}
	a.sum.requests += v.requests
	a.sum.prefill += v.prefill
}

// report takes a load report as of reportAt; one that is known already is
// ignored.
func (o *occupancy) report(now, reportAt time.Duration, v amount, places, service float64) {
	if o.known && reportAt <= o.reportAt+time.Millisecond {
		return
	}
	o.learnOthers(reportAt, v.requests, places, max(service, minService))
	o.known = true
	o.reported = v.requests
	o.reportAt = reportAt
	o.value = v
	o.at = max(0, reportAt)
	o.replay(now, places, service)
}

// replay adds the decisions since the report, when they were made.
func (o *occupancy) replay(now time.Duration, places, service float64) {
	last := int64(now / arrivalTick)
	first := max(0, int64((o.reportAt-transit)/arrivalTick)+1, last-arrivalTicks+1)
	for tick := first; tick <= last; tick++ {
		a := &o.history[tick%arrivalTicks]
		if a.tick != tick || a.sum.requests == 0 {
			continue
		}
		o.advance(time.Duration(tick)*arrivalTick, places, service)
		o.value.requests += a.sum.requests
		o.value.prefill += a.sum.prefill
	}
	o.advance(now, places, service)
}

// learnOthers sets the rate at which others send, from what came between two
// reports beyond this process's own decisions.
func (o *occupancy) learnOthers(reportAt time.Duration, requests, places, service float64) {
	interval := reportAt - o.reportAt
	if !o.known || interval < minReportInterval || interval > maxReportInterval {
		return
	}
	left := min(places, (o.reported+requests)/2) / service * ms(interval)
	came := requests - o.reported + left - o.sent(o.reportAt, reportAt)
	o.others += othersMemory * (max(0, came)/ms(interval) - o.others)
}

// sent counts own decisions between two reports.
func (o *occupancy) sent(from, until time.Duration) float64 {
	sum := 0.0
	for i := range o.history {
		a := &o.history[i]
		at := time.Duration(a.tick)*arrivalTick + transit
		if at > from && at <= until {
			sum += a.sum.requests
		}
	}
	return sum
}
