package route

import (
	"math"
	"time"
)

const (
	// arrivalTick is the resolution at which own decisions are remembered, arrivalTicks the
	// number of ticks.
	arrivalTick  = 50 * time.Millisecond
	arrivalTicks = 64
	// transit bounds the time from a decision until the request appears in its executor's load
	// report.
	transit = 50 * time.Millisecond
	// Intervals between reports from which the rate of other owners' requests is estimated.
	minReportInterval = 200 * time.Millisecond
	maxReportInterval = 5 * time.Second
	// othersLearningRate is the weight of the newest interval in that rate.
	othersLearningRate = 0.5
	minServiceMs       = 10 // lower bound of the mean service time
)

// amount is work at an endpoint: requests of the group's mean service time, and milliseconds of
// prefill.
type amount struct {
	requests  float64
	prefillMs float64
}

// arrivals is the work placed by own decisions within one tick.
type arrivals struct {
	tick int64
	sum  amount
}

// occupancy estimates the work at one endpoint between its load reports. A report may be a whole
// interval old. If it were used as it is, every decision of that interval would see the same idle
// endpoint and all would go there, and a reported queue would keep requests away long after it
// has drained; the load would swing from endpoint to endpoint each interval.
//
// The endpoint is therefore modelled as a queue with a number of servers, the running slots. From
// each report on, own decisions are added at the time they were made, other owners' requests at
// the rate seen between the last two reports, and requests leave at the rate that the slots in
// use allow.
type occupancy struct {
	estimate         amount
	at               time.Duration
	othersRate       float64 // requests per millisecond from other owners
	reportedRequests float64 // requests in the last report
	reportAt         time.Duration
	hasReport        bool
	history          [arrivalTicks]arrivals
}

// advance moves the estimate to now. capacity is the number of running slots, serviceMs the mean
// service time.
func (o *occupancy) advance(now time.Duration, capacity, serviceMs float64) {
	elapsed := ms(now - o.at)
	if elapsed <= 0 {
		return
	}
	o.at = now
	o.estimate.prefillMs = max(0, o.estimate.prefillMs-elapsed)
	o.estimate.requests = requestsAfter(o.estimate.requests, elapsed, o.othersRate, capacity, max(serviceMs, minServiceMs))
}

// requestsAfter returns how many requests are present after elapsed milliseconds. While all slots
// are taken they leave at a constant rate, after that exponentially.
func requestsAfter(requests, elapsed, arriving, capacity, serviceMs float64) float64 {
	if requests > capacity {
		drain := capacity/serviceMs - arriving
		if drain <= 0 || (requests-capacity)/drain >= elapsed {
			return requests - drain*elapsed
		}
		elapsed -= (requests - capacity) / drain
		requests = capacity
	}
	steady := arriving * serviceMs
	return steady + (requests-steady)*math.Exp(-elapsed/serviceMs)
}

// add records a decision of this process.
func (o *occupancy) add(now time.Duration, v amount) {
	o.estimate.requests += v.requests
	o.estimate.prefillMs += v.prefillMs
	tick := int64(now / arrivalTick)
	a := &o.history[tick%arrivalTicks]
	if a.tick != tick {
		*a = arrivals{tick: tick}
	}
	a.sum.requests += v.requests
	a.sum.prefillMs += v.prefillMs
}

// report applies a load report made at reportAt; one that is already known is ignored.
func (o *occupancy) report(now, reportAt time.Duration, v amount, capacity, serviceMs float64) {
	if o.hasReport && reportAt <= o.reportAt+time.Millisecond {
		return
	}
	o.learnOthers(reportAt, v.requests, capacity, max(serviceMs, minServiceMs))
	o.hasReport = true
	o.reportedRequests = v.requests
	o.reportAt = reportAt
	o.estimate = v
	o.at = max(0, reportAt)
	o.replay(now, capacity, serviceMs)
}

// replay re-applies the decisions since the report at the times they were made.
func (o *occupancy) replay(now time.Duration, capacity, serviceMs float64) {
	last := int64(now / arrivalTick)
	first := max(0, int64((o.reportAt-transit)/arrivalTick)+1, last-arrivalTicks+1)
	for tick := first; tick <= last; tick++ {
		a := &o.history[tick%arrivalTicks]
		if a.tick != tick || a.sum.requests == 0 {
			continue
		}
		o.advance(time.Duration(tick)*arrivalTick, capacity, serviceMs)
		o.estimate.requests += a.sum.requests
		o.estimate.prefillMs += a.sum.prefillMs
	}
	o.advance(now, capacity, serviceMs)
}

// learnOthers updates the rate of other owners' requests from the arrivals between two reports
// that own decisions don't account for.
func (o *occupancy) learnOthers(reportAt time.Duration, requests, capacity, serviceMs float64) {
	interval := reportAt - o.reportAt
	if !o.hasReport || interval < minReportInterval || interval > maxReportInterval {
		return
	}
	completed := min(capacity, (o.reportedRequests+requests)/2) / serviceMs * ms(interval)
	arrived := requests - o.reportedRequests + completed - o.ownArrivals(o.reportAt, reportAt)
	o.othersRate += othersLearningRate * (max(0, arrived)/ms(interval) - o.othersRate)
}

// ownArrivals counts the requests placed by own decisions between two reports.
func (o *occupancy) ownArrivals(from, until time.Duration) float64 {
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
