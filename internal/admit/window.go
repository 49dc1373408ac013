package admit

import (
	"math"
	"time"
)

// WindowParams configures a CongestionWindow. Work is engine time in milliseconds.
type WindowParams struct {
	// Initial, Min and Max are the initial size of the window and its bounds.
	Initial, Min, Max float64
	// TargetFraction is the fraction of its objective that an admitted request may
	// take to begin; the rest is a margin for variation.
	TargetFraction float64
	// For each request that began in time while others waited, the window grows by
	// IncreaseFactor times that request's work. For one that began late, its size is
	// multiplied by DecreaseFactor.
	IncreaseFactor, DecreaseFactor float64
	// MinDecreaseInterval is the least time between two decreases: requests in flight
	// at a decrease were admitted by the larger window and carry no new information.
	MinDecreaseInterval time.Duration
}

// DefaultWindowParams leave a part of the objective for variation.
var DefaultWindowParams = WindowParams{
	Initial: 2000, Min: 100, Max: 20000, TargetFraction: 0.7, IncreaseFactor: 0.5, DecreaseFactor: 0.85, MinDecreaseInterval: 150 * time.Millisecond,
}

// CongestionWindow bounds the work that one entry has at the replicas of a service
// before the first answer. Entries don't learn what the others send, but each observes
// how long its own requests take to begin. When that approaches the objective, all of
// them reduce their windows, like senders that share a link. Work that doesn't fit
// waits at its entry, where urgent requests go first and the replica is chosen as late
// as possible.
type CongestionWindow struct {
	params       WindowParams
	size         float64
	work         float64
	lastDecrease time.Duration
	limited      bool
}

// NewCongestionWindow returns a window of its initial size.
func NewCongestionWindow(p WindowParams) *CongestionWindow {
	return &CongestionWindow{params: p, size: p.Initial}
}

// Fits reports whether more work fits. An empty window takes any amount.
func (w *CongestionWindow) Fits(work float64) bool {
	if w.work <= 0 || w.work+work <= w.size {
		return true
	}
	w.limited = true
	return false
}

// Sent adds work that goes to a replica. Done has to be called for it once.
func (w *CongestionWindow) Sent(work float64) { w.work += work }

// Done removes work that began to be answered or will not be answered.
func (w *CongestionWindow) Done(work float64) { w.work = math.Max(0, w.work-work) }

// ObserveStart adapts the window to a request that took the given time to begin at a
// replica, compared with its objective.
func (w *CongestionWindow) ObserveStart(work float64, took, objective, now time.Duration) {
	switch {
	case objective <= 0:
	case float64(took) > w.params.TargetFraction*float64(objective):
		if now-w.lastDecrease < w.params.MinDecreaseInterval {
			return
		}
		w.lastDecrease = now
		w.size = math.Max(w.params.Min, math.Min(w.size, w.work+work)*w.params.DecreaseFactor)
	case w.limited:
		w.limited = false
		w.size = math.Min(w.params.Max, w.size+w.params.IncreaseFactor*work)
	}
}

// Size is the window's size.
func (w *CongestionWindow) Size() float64 { return w.size }

// Work is the work in the window.
func (w *CongestionWindow) Work() float64 { return w.work }

// decayFactor is the factor by which a value that halves in each halfLife decays in d.
func decayFactor(d, halfLife time.Duration) float64 {
	return math.Exp2(-float64(d) / float64(halfLife))
}
