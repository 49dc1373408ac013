package member

import (
	"slices"
	"strings"
	"time"
)

// Beat is a peer to send a heartbeat to.
type Beat struct {
	ID      string
	Address string
}

// Tick returns the peers whose heartbeat is due, in order of ID. Each peer has a
// phase of its own, so that a group's heartbeats don't fall together. A peer that
// is down is tried at its backoff, a leaving one is told until it is gone: it
// still answers for what it runs.
func (v *View) Tick(now time.Duration) []Beat {
	var due []Beat
	for _, r := range v.records {
		if r.Address == "" || now < r.nextBeat || now < r.downUntil {
			continue
		}
		if r.nextBeat == 0 {
			// The first one is sent at once: a peer that isn't told of us would
			// hold us suspect.
			r.nextBeat = now + time.Duration(v.rng.Int64N(int64(v.params.Interval)+1))
		} else {
			r.nextBeat = now + v.params.Interval
		}
		due = append(due, Beat{ID: r.ID, Address: r.Address})
	}
	slices.SortFunc(due, func(a, b Beat) int { return strings.Compare(a.ID, b.ID) })
	return due
}
