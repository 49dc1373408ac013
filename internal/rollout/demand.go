package rollout

import "time"

// Demand is which versions of a model's weights the operator has named, and when.
// From a given time after a version was named no request may begin on an older one.
//
// Invariant: named is in ascending order of version and time.
type Demand struct {
	within time.Duration
	named  []naming
}

type naming struct {
	version uint64
	at      time.Duration
}

// NewDemand returns the demand for versions that must be in use within a time.
func NewDemand(within time.Duration) *Demand { return &Demand{within: within} }

// Named takes a version that was named at a time and reports whether it is newer
// than all before.
func (d *Demand) Named(version uint64, at time.Duration) bool {
	if version <= d.Newest() {
		return false
	}
	d.named = append(d.named, naming{version, at})
	return true
}

// Newest is the version wanted, 0 if none was named.
func (d *Demand) Newest() uint64 {
	if len(d.named) == 0 {
		return 0
	}
	return d.named[len(d.named)-1].version
}

// Oldest is the oldest version that a request may begin on now. Those that are
// overdue have been named, and not superseded by one that is overdue too.
func (d *Demand) Oldest(now time.Duration) uint64 {
	overdue := -1
	for i := range d.named {
		if now >= d.named[i].at+d.within {
			overdue = i
		}
	}
	if overdue < 0 {
		return 0
	}
	d.named = d.named[overdue:]
	return d.named[0].version
}
