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

// heat is how hot one prefix is and how many endpoints are to hold it.
//
// Holders are added when the wait at the best of them is over one threshold and
// taken away when it has stayed under a lower one for a time. A single threshold
// would flap: each narrowing raises the wait that caused the widening, and each
// round of it computes the prefix again.
type heat struct {
	work      meter // milliseconds of engine time
	holders   int
	changedAt time.Duration
	lowSince  time.Duration
	low       bool
}

// observe notes one request of cost milliseconds whose best holder has a wait of
// waitMs, and moves the number of holders. held is how many hold it now.
func (h *heat) observe(now time.Duration, p *Params, cost, waitMs float64, held int) {
	h.work.add(now, p.HeatHalfLife, cost)
	h.holders = max(h.holders, 1)
	if waitMs > ms(p.WidenWait) {
		h.low = false
		h.widen(now, p, held)
		return
	}
	if waitMs > ms(p.NarrowWait) {
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

// widen adds a holder, at most one each WidenHold, and only when the last one
// that was added is there.
func (h *heat) widen(now time.Duration, p *Params, held int) {
	if held < h.holders || (h.changedAt > 0 && now-h.changedAt < p.WidenHold) {
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
	places := h.work.rate(now, p.HeatHalfLife) / 1000
	if places > narrowUse*float64((h.holders-1)*p.MaxRunning) {
		return
	}
	h.holders--
	h.changedAt = now
	h.lowSince = now
}

// narrowUse is the share of the remaining holders' places that a prefix's work
// may take for one to be given up.
const narrowUse = 0.35
