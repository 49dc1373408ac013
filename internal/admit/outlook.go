package admit

import (
	"math"
	"time"
)

const (
	// outlookWindow is the time constant with which placements are counted, and how long a backlog
	// must have lasted before its outlook is known.
	outlookWindow = time.Second
	// outlookMargin is the factor by which placements may get faster than they were: a request is
	// given up only if even then its turn would come too late.
	outlookMargin = 2
)

// Outlook forecasts when requests that wait at an entry are placed, by the rate at which requests of
// each rank were placed while others of that rank waited. Without it a request that is too far back in
// the queue waits until its time is over, though its caller could have come back meanwhile; and all
// callers that were refused in a moment would come back in one.
//
// It does no I/O.
type Outlook struct {
	ranks map[int]*rankOutlook
}

// rankOutlook is the outlook of one rank.
type rankOutlook struct {
	// placed is the number of placements, decayed with outlookWindow, as of at.
	placed float64
	at     time.Duration
	// backlogSince is when the backlog began; valid while backlogged.
	backlogSince time.Duration
	backlogged   bool
	// promisedUntil is the time up to which room has been promised to callers that were refused.
	promisedUntil time.Duration
}

// NewOutlook returns an Outlook without a backlog.
func NewOutlook() *Outlook { return &Outlook{ranks: make(map[int]*rankOutlook)} }

func (o *Outlook) rank(rank int) *rankOutlook {
	r := o.ranks[rank]
	if r == nil {
		r = &rankOutlook{}
		o.ranks[rank] = r
	}
	return r
}

// Placed records that a request of a rank was placed.
func (o *Outlook) Placed(rank int, now time.Duration) {
	r := o.rank(rank)
	r.placed = r.count(now) + 1
	r.at = now
}

// count is the decayed number of placements. With a steady rate it is that rate times outlookWindow.
func (r *rankOutlook) count(now time.Duration) float64 {
	return r.placed * math.Exp(-float64(now-r.at)/float64(outlookWindow))
}

// ObserveBacklogs records which ranks have waiting requests now.
func (o *Outlook) ObserveBacklogs(backlogs map[int]Backlog, now time.Duration) {
	for rank := range backlogs {
		o.rank(rank)
	}
	for rank, r := range o.ranks {
		switch {
		case backlogs[rank].Count == 0:
			r.backlogged = false
		case !r.backlogged:
			r.backlogged, r.backlogSince = true, now
		}
	}
}

// Rate is how many requests of a rank are placed in a second; false while that isn't known, since no
// backlog has lasted for long.
func (o *Outlook) Rate(rank int, now time.Duration) (float64, bool) {
	r := o.ranks[rank]
	if r == nil || !r.backlogged || now-r.backlogSince < outlookWindow {
		return 0, false
	}
	return r.count(now) / outlookWindow.Seconds(), true
}

// PlacedWithin is how many waiting requests of a rank may be placed in a time at the utmost, at least
// one; false if that isn't known.
func (o *Outlook) PlacedWithin(rank int, d, now time.Duration) (int, bool) {
	rate, known := o.Rate(rank, now)
	if !known {
		return 0, false
	}
	return max(1, int(math.Ceil(outlookMargin*rate*d.Seconds()))), true
}

// Promise returns the time from now at which there will be room for a caller of a rank that is refused
// while others wait, between least and most. Later calls get later times: the callers come back one by
// one, as fast as requests are placed.
func (o *Outlook) Promise(rank, waiting int, least, most, now time.Duration) time.Duration {
	rate, known := o.Rate(rank, now)
	if !known {
		return least
	}
	step := most
	if rate > 0 {
		step = min(most, time.Duration(float64(time.Second)/rate))
	}
	r := o.rank(rank)
	behindQueue := now + min(most, time.Duration(waiting)*step)
	r.promisedUntil = min(max(r.promisedUntil, behindQueue, now+least)+step, now+most)
	return max(least, r.promisedUntil-now)
}
