package admit

import (
	"math"
	"slices"
	"time"
)

// slotUseWindow is the time constant of the mean over an organisation's use of slots.
const slotUseWindow = 10 * time.Second

// slotUse is the exponentially decayed mean number of slots that an organisation's
// items occupy.
type slotUse struct {
	mean    float64
	running int
	at      time.Duration
}

func (u *slotUse) meanAt(now time.Duration) float64 {
	keep := math.Exp(-float64(max(0, now-u.at)) / float64(slotUseWindow))
	return u.mean*keep + float64(u.running)*(1-keep)
}

func (u *slotUse) update(now time.Duration, running int) {
	u.mean = u.meanAt(now)
	u.running = running
	u.at = max(now, u.at)
}

// shares determines which organisations may take reserved slots.
type shares struct {
	now   time.Duration
	slots float64
	// totalWeight is the sum over all organisations that have items here.
	totalWeight float64
}

// withinShare reports whether an organisation uses no more than its share of the
// slots. Its mean use counts, since a small organisation may well send several
// requests at once. But a single burst gets no more than half of the slots, so that a
// large organisation that returns after a pause doesn't take all of them before its
// mean has risen.
func (s *shares) withinShare(o *organisation) bool {
	fair := s.slots * o.weight / max(s.totalWeight, o.weight)
	return o.use.meanAt(s.now) <= fair && float64(o.running) < max(1, s.slots/2)
}

// activeSet holds the organisations that have items here.
type activeSet struct{ organisations []*organisation }

func (s *activeSet) update(o *organisation) {
	at := slices.Index(s.organisations, o)
	switch {
	case at < 0 && !o.idle():
		s.organisations = append(s.organisations, o)
	case at >= 0 && o.idle():
		s.organisations = slices.Delete(s.organisations, at, at+1)
	}
}

func (c *Core) shares(now time.Duration) shares {
	s := shares{now: now, slots: float64(c.params.MaxRunning)}
	for _, o := range c.active.organisations {
		s.totalWeight += o.weight
	}
	return s
}
