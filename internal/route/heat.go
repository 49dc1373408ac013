package route

import (
	"math"
	"time"
)

// decayedSum is an exponentially decaying sum.
type decayedSum struct {
	value float64
	at    time.Duration
}

func (s *decayedSum) add(now, halfLife time.Duration, v float64) {
	s.value = s.read(now, halfLife) + v
	s.at = now
}

func (s *decayedSum) read(now, halfLife time.Duration) float64 {
	if s.value == 0 || now <= s.at {
		return s.value
	}
	return s.value * math.Exp2(-float64(now-s.at)/float64(halfLife))
}

// rate returns the sum as a rate per second.
func (s *decayedSum) rate(now, halfLife time.Duration) float64 {
	return s.read(now, halfLife) * math.Ln2 / halfLife.Seconds()
}

// smoothedWait is an exponential moving average with time constant waitTimeConstant. Requests
// behind a prefix that is just being computed wait for a moment; a copy made for them would be
// ready no sooner, so a short wait must not add a holder.
type smoothedWait struct {
	value float64
	at    time.Duration
}

const (
	waitTimeConstant = 500 * time.Millisecond
	// maxWaitWeight bounds the weight of one observation, however long ago the previous one was:
	// a single one doesn't show that a wait lasts.
	maxWaitWeight = 0.2
)

func (s *smoothedWait) add(now time.Duration, v float64) {
	weight := 1 - math.Exp(-float64(now-s.at)/float64(waitTimeConstant))
	s.value += min(maxWaitWeight, max(0, weight)) * (v - s.value)
	s.at = now
}

// heat tracks how hot one prefix is and how many endpoints should hold it.
//
// A holder is added when the wait at the best one exceeds WidenWait and a new copy would save
// more waiting within CacheHorizon than it costs to compute. One is removed when the wait has
// stayed below NarrowWait for NarrowHold and the others can carry the work. With a single
// threshold the number would oscillate: each removal raises the wait that caused the addition,
// and each cycle computes the prefix again.
type heat struct {
	work            decayedSum // milliseconds of engine time
	requests        decayedSum
	wait            smoothedWait // milliseconds, at the best holder
	holders         int
	changedAt       time.Duration
	belowSince      time.Duration
	belowNarrowWait bool
}

// holderView is what one decision sees of a prefix's holders.
type holderView struct {
	activeHolders int     // holders in use
	waitMs        float64 // wait at the best of them
	otherWaitMs   float64 // wait at the best of the other endpoints
	copyCostMs    float64 // cost of a new copy, evictions included
	workMs        float64 // engine time of the request
}

// observe records one request and adjusts the number of holders.
func (h *heat) observe(now time.Duration, p *Params, v holderView) {
	h.work.add(now, p.HeatHalfLife, v.workMs)
	h.requests.add(now, p.HeatHalfLife, 1)
	h.wait.add(now, v.waitMs)
	if h.wait.value > ms(p.WidenWait) {
		h.belowNarrowWait = false
		h.widen(now, p, v)
		return
	}
	if h.wait.value > ms(p.NarrowWait) {
		h.belowNarrowWait = false
		return
	}
	if !h.belowNarrowWait {
		h.belowNarrowWait = true
		h.belowSince = now
	}
	if now-h.belowSince >= p.NarrowHold {
		h.narrow(now, p)
	}
}

// widen adds a holder, at most one per WidenHold, if the one added before is in use and a new one
// pays off.
func (h *heat) widen(now time.Duration, p *Params, v holderView) {
	if v.activeHolders < h.holders || (h.holders > 1 && now-h.changedAt < p.WidenHold) {
		return
	}
	if h.usedCapacity(now, p) < widenUtilisation*float64(v.activeHolders*p.MaxRunning) {
		return
	}
	expected := h.requests.rate(now, p.HeatHalfLife) * p.CacheHorizon.Seconds()
	if expected*(h.wait.value-v.otherWaitMs) <= v.copyCostMs {
		return
	}
	h.holders++
	h.changedAt = now
}

// narrow removes a holder if the others can carry the work.
func (h *heat) narrow(now time.Duration, p *Params) {
	if h.holders <= 1 {
		return
	}
	if h.usedCapacity(now, p) > narrowUtilisation*float64((h.holders-1)*p.MaxRunning) {
		return
	}
	h.holders--
	h.changedAt = now
	h.belowSince = now
}

// usedCapacity is the mean number of running slots that the prefix's requests occupy.
func (h *heat) usedCapacity(now time.Duration, p *Params) float64 {
	return h.work.rate(now, p.HeatHalfLife) / 1000
}

const (
	// widenUtilisation is the fraction of its holders' running slots that a prefix's own requests
	// must occupy before a holder is added. Below it the holders are busy with other prefixes,
	// and copies of this one would be used too seldom to stay cached.
	widenUtilisation = 0.2
	// narrowUtilisation is the fraction of the remaining holders' running slots that a prefix's
	// requests may occupy for a holder to be removed.
	narrowUtilisation = 0.35
)
