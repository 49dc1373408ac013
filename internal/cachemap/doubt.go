package cachemap

import (
	"slices"
	"time"
)

// doubt is a gap in the events: blocks last confirmed before it may be gone.
type doubt struct {
	from, last uint64 // the missing sequence numbers
	before     Revision
	until      time.Duration
	// unfillable is set when the engine no longer has the missing events. The
	// doubt then only ends by ageing out with the blocks that it is on.
	unfillable bool
}

// maxDoubts bounds the gaps remembered; beyond it the oldest two become one.
const maxDoubts = 16

// doubts are the gaps that nothing has made up for yet, oldest first.
type doubts struct{ list []doubt }

func (d *doubts) cast(n doubt) {
	for i := range d.list {
		old := &d.list[i]
		if old.unfillable || old.from != n.from {
			continue
		}
		if n.unfillable {
			d.list = slices.Delete(d.list, i, i+1)
			break
		}
		old.last = max(old.last, n.last)
		return
	}
	d.list = append(d.list, n)
	if len(d.list) > maxDoubts {
		d.merge()
	}
}

// merge makes the oldest two doubts one that is on the blocks of both and ages
// out with the first, so it never keeps a block longer than either would.
func (d *doubts) merge() {
	d.list[1].until = min(d.list[0].until, d.list[1].until)
	d.list[1].unfillable = true
	d.list = slices.Delete(d.list, 0, 1)
}

// settle ends the doubts whose events have all come: the replay is the evidence.
func (d *doubts) settle(next uint64) {
	d.list = slices.DeleteFunc(d.list, func(x doubt) bool { return !x.unfillable && x.last < next })
}

// expire ends the doubts that have lasted too long and returns the mark before
// which their blocks must be dropped, or 0.
func (d *doubts) expire(now time.Duration) Revision {
	var bound Revision
	d.list = slices.DeleteFunc(d.list, func(x doubt) bool {
		if now < x.until {
			return false
		}
		bound = max(bound, x.before)
		return true
	})
	return bound
}

// bound is the mark before which blocks are in doubt, or 0.
func (d *doubts) bound() Revision {
	var bound Revision
	for _, x := range d.list {
		bound = max(bound, x.before)
	}
	return bound
}

func (d *doubts) clear() { d.list = d.list[:0] }
