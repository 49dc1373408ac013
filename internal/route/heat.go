package route

import (
	"math"
	"time"
)

// meter is an exponentially decayed sum.
type meter struct {
	value float64
	at    time.Duration
}

func (m *meter) add(now, halfLife time.Duration, v float64) {
	m.value = m.read(now, halfLife) + v
	m.at = now
}

func (m *meter) read(now, halfLife time.Duration) float64 {
	if m.value == 0 || now <= m.at {
		return m.value
	}
	return m.value * math.Exp2(-float64(now-m.at)/float64(halfLife))
}

// rate returns the sum as a rate per second.
func (m *meter) rate(now, halfLife time.Duration) float64 {
	return m.read(now, halfLife) * math.Ln2 / halfLife.Seconds()
}

// smooth is a value smoothed over waitMemory. A prefix that is just being
// computed makes those behind it wait for a moment; a copy made for that would
// be ready no sooner.
type smooth struct {
	value float64
	at    time.Duration
}

const (
	waitMemory = 500 * time.Millisecond
	// maxWaitShare bounds the share of one observation, however long ago the
	// last one was: a single one says nothing of what stays.
	maxWaitShare = 0.2
)

func (s *smooth) add(now time.Duration, v float64) {
	share := 1 - math.Exp(-float64(now-s.at)/float64(waitMemory))
	s.value += min(maxWaitShare, max(0, share)) * (v - s.value)
	s.at = now
}

// heat is how hot one prefix is and how many endpoints are to hold it.
//
// A holder is added when the wait at the best one is over a threshold and a new
// copy would save more waiting within the horizon than it costs to compute. It is
// taken away when the wait has stayed under a lower threshold for a time and the
// others can carry the work. A single threshold would flap: each narrowing raises
// the wait that caused the widening, and each round computes the prefix again.
type heat struct {
	work      meter // milliseconds of engine time
	requests  meter
	wait      smooth // milliseconds, at the best holder
	holders   int
	changedAt time.Duration
	lowSince  time.Duration
	low       bool
}

// view is what one decision sees of a prefix's holders. Times are in
// milliseconds.
type view struct {
	held    int     // holders in use
	wait    float64 // at the best of them
	other   float64 // wait at the best of the rest
	copying float64 // cost of a new copy, harm included
	work    float64 // engine time of the request
}

// observe notes one request and moves the number of holders.
func (h *heat) observe(now time.Duration, p *Params, v view) {
	h.work.add(now, p.HeatHalfLife, v.work)
	h.requests.add(now, p.HeatHalfLife, 1)
	h.wait.add(now, v.wait)
	if h.wait.value > ms(p.WidenWait) {
		h.low = false
		h.widen(now, p, v)
		return
	}
	if h.wait.value > ms(p.NarrowWait) {
		h.low = false
		return
	}
	if !h.low {
		h.low = true
		h.lowSince = now
	}
	if now-h.lowSince >= p.NarrowHold {
		h.narrow(now, p)
	}
}

// widen adds a holder, at most one each WidenHold, when the last one that was
// added is there and a new one pays off.
func (h *heat) widen(now time.Duration, p *Params, v view) {
	if v.held < h.holders || (h.holders > 1 && now-h.changedAt < p.WidenHold) {
		return
	}
	if h.places(now, p) < widenUse*float64(v.held*p.MaxRunning) {
		return
	}
	expected := h.requests.rate(now, p.HeatHalfLife) * p.CacheHorizon.Seconds()
	if expected*(h.wait.value-v.other) <= v.copying {
		return
	}
	h.holders++
	h.changedAt = now
}

// narrow takes a holder away if the others can carry the work.
func (h *heat) narrow(now time.Duration, p *Params) {
	if h.holders <= 1 {
		return
	}
	if h.places(now, p) > narrowUse*float64((h.holders-1)*p.MaxRunning) {
		return
	}
	h.holders--
	h.changedAt = now
	h.lowSince = now
}

// places is how many places the prefix's work takes in the mean.
func (h *heat) places(now time.Duration, p *Params) float64 {
	return h.work.rate(now, p.HeatHalfLife) / 1000
}

const (
	// widenUse is the share of its holders' places that a prefix's own work must
	// take for another holder. Below it the prefix isn't what they are busy with,
	// and copies of it would be used too seldom to stay.
	widenUse = 0.2
	// narrowUse is the share of the remaining holders' places that a prefix's
	// work may take for one to be given up.
	narrowUse = 0.35
)
