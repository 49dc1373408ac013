package admit

import (
	"math"
	"slices"
	"time"
)

// useMemory is how far back an organisation's use is averaged.
const useMemory = 10 * time.Second

// use is the decayed mean of the places that an organisation's items take.
type use struct {
	mean    float64
	running int
	at      time.Duration
}

func (u *use) read(now time.Duration) float64 {
	keep := math.Exp(-float64(max(0, now-u.at)) / float64(useMemory))
	return u.mean*keep + float64(u.running)*(1-keep)
}

func (u *use) set(now time.Duration, running int) {
	u.mean = u.read(now)
	u.running = running
	u.at = max(now, u.at)
}

// shares tells which organisations may take reserved places.
type shares struct {
	now     time.Duration
	places  float64
	weights float64 // of all organisations that have items here
}

// light reports whether an organisation uses no more than its share of the
// places. Its mean use counts, since a small one may well ask several things at
// once; but one burst doesn't get more than half of the places, so that a large
// one that comes after a pause doesn't take all before its mean has risen.
func (s *shares) light(o *organisation) bool {
	fair := s.places * o.weight / max(s.weights, o.weight)
	return o.use.read(s.now) <= fair && float64(o.running) < max(1, s.places/2)
}

// present keeps the organisations that have items here.
type present struct{ list []*organisation }

func (p *present) update(o *organisation) {
	at := slices.Index(p.list, o)
	switch {
	case at < 0 && !o.idle():
		p.list = append(p.list, o)
	case at >= 0 && o.idle():
		p.list = slices.Delete(p.list, at, at+1)
	}
}

func (c *Core) shares(now time.Duration) shares {
	s := shares{now: now, places: float64(c.params.MaxRunning)}
	for _, o := range c.present.list {
		s.weights += o.weight
	}
	return s
}
