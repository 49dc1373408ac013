package attempt

import (
	"cmp"
	"slices"
	"time"

	"skylarklead/internal/protocol"
)

// deadline is when a Run that arrived at since is refused if its claim is not decided
// by then.
type deadline struct {
	at, since time.Duration
	key       KeyDigest
	attempt   protocol.AttemptID
}

// setDeadline sets how long a Run waits for its claim. It waits for at most half of
// the caller's remaining time: a slow log then still decides in time where a fixed
// wait of one second would refuse, a refusal still reaches the caller, and a claim
// that is won leaves time for the run.
func (o *Once) setDeadline(r KeyedRun, now time.Duration) {
	wait := o.params.ClaimTimeout
	if r.CallerTimeout > 0 {
		wait = min(wait, r.CallerTimeout/2)
	}
	d := o.limitInOutage(deadline{at: now + wait, since: now, key: r.Key, attempt: r.Attempt})
	i, _ := slices.BinarySearchFunc(o.deadlines, d.at+1, func(d deadline, at time.Duration) int { return cmp.Compare(d.at, at) })
	o.deadlines = slices.Insert(o.deadlines, i, d)
}

// limitInOutage brings a deadline forward while appends fail. A short outage refuses
// no Run. In a longer one each Run would wait in vain for as long as its caller
// allows, and all of them would return together.
func (o *Once) limitInOutage(d deadline) deadline {
	if o.failingSince != 0 {
		d.at = min(d.at, max(d.since+o.params.OutageWait, o.failingSince+o.params.OutageGrace))
	}
	return d
}

// recordAppendFailure records that an append failed or that its answer was lost.
func (o *Once) recordAppendFailure(now time.Duration) {
	if o.failingSince != 0 {
		return
	}
	o.failingSince = max(now, 1) // 0 means no failure
	for i, d := range o.deadlines {
		o.deadlines[i] = o.limitInOutage(d)
	}
	slices.SortStableFunc(o.deadlines, func(a, b deadline) int { return cmp.Compare(a.at, b.at) })
}

// refuseExpired refuses the Runs whose deadline has passed.
func (o *Once) refuseExpired(now time.Duration) {
	for len(o.deadlines) > 0 && o.deadlines[0].at <= now {
		d := o.deadlines[0]
		o.deadlines = o.deadlines[1:]
		if k, ok := o.keys[d.key]; ok && k.dropWaiter(d.attempt) {
			o.refuseUndecided(d)
		}
	}
}

// refuseUndecided refuses a Run whose claim isn't decided. It has not run and will not
// run: if the claim turns out to be the winner, it is kept for a later caller. But an
// earlier Run of the key may have been executed elsewhere, unless the log was read to
// its end shortly before this one arrived.
func (o *Once) refuseUndecided(d deadline) {
	ran := protocol.NotRun
	if !o.caughtUp || d.since-o.lastReadStart > o.params.MaxLogStaleness {
		ran = protocol.Unknown
	}
	o.answer(d.attempt, ran, protocol.CodeLogUnavailable, "the log is not available; send the same key again", o.params.RetryAfter)
}
