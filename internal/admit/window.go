package admit

import (
	"math"
	"time"
)

// WindowParams shape a Window. Work is engine time in milliseconds.
type WindowParams struct {
	// Start, Min and Max bound the window.
	Start, Min, Max float64
	// Target is the part of its objective that an admitted request may take to begin;
	// the rest is for what varies.
	Target float64
	// Grow is what the window grows by for each request that began in time while
	// others waited, as a part of that request's work. Shrink is the factor for one
	// that didn't.
	Grow, Shrink float64
	// ShrinkEvery is the least time between two shrinkings: what is under way when the
	// window shrinks was admitted by the wider one and tells nothing new.
	ShrinkEvery time.Duration
}

// DefaultWindowParams allow some hundred milliseconds of reading at each of a dozen
// replicas at the start, and give a third of the objective to variation.
var DefaultWindowParams = WindowParams{
	Start: 2000, Min: 100, Max: 20000, Target: 0.7, Grow: 0.5, Shrink: 0.85, ShrinkEvery: 150 * time.Millisecond,
}

// CongestionWindow bounds the work that one entry has at the replicas of a service before its
// first answer. No entry hears what the others send, but each sees how long its
// own requests take to begin: when that comes near the objective all of them
// narrow their windows, as senders that share a link do. What doesn't fit waits at
// its entry, where the urgent goes first and the replica is chosen last.
type CongestionWindow struct {
	params  WindowParams
	size    float64
	work    float64
	shrunk  time.Duration
	limited bool
}

// NewCongestionWindow returns a window at its start.
func NewCongestionWindow(p WindowParams) *CongestionWindow {
	return &CongestionWindow{params: p, size: p.Start}
}

// Fits reports whether more work fits. An empty window takes any.
func (w *CongestionWindow) Fits(work float64) bool {
	if w.work <= 0 || w.work+work <= w.size {
		return true
	}
	w.limited = true
	return false
}

// Sent counts work that goes to a replica; Done is called for it once.
func (w *CongestionWindow) Sent(work float64) { w.work += work }

// Done takes work off that began to be answered or won't be.
func (w *CongestionWindow) Done(work float64) { w.work = math.Max(0, w.work-work) }

// ObserveStart learns from a request that took the time given to begin at a replica, of an
// objective.
func (w *CongestionWindow) ObserveStart(work float64, took, objective, now time.Duration) {
	switch {
	case objective <= 0:
	case float64(took) > w.params.Target*float64(objective):
		if now-w.shrunk < w.params.ShrinkEvery {
			return
		}
		w.shrunk = now
		w.size = math.Max(w.params.Min, math.Min(w.size, w.work+work)*w.params.Shrink)
	case w.limited:
		w.limited = false
		w.size = math.Min(w.params.Max, w.size+w.params.Grow*work)
	}
}

// Size is the window's size, Work what is in it.
func (w *CongestionWindow) Size() float64 { return w.size }

// Work is told in Size.
func (w *CongestionWindow) Work() float64 { return w.work }

// halves is the factor by which something halves in each halfLife shrinks in d.
func halves(d, halfLife time.Duration) float64 {
	return math.Exp2(-float64(d) / float64(halfLife))
}
