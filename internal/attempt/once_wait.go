package attempt

import (
	"cmp"
	"slices"
	"time"

	"skylarklead/internal/protocol"
)

// deadline is when a sending that came at since is refused, if its claim isn't
// decided by then.
type deadline struct {
	at, since time.Duration
	key       KeyDigest
	attempt   protocol.AttemptID
}

// bound sets how long a sending waits for its claim. It gets half of its caller's
// patience: a slow log decides in time what a fixed second refuses, a refusal
// still reaches the caller, and a claim that is won leaves time for the run.
func (o *Once) bound(r KeyedRun, now time.Duration) {
	wait := o.params.ClaimTimeout
	if r.CallerTimeout > 0 {
		wait = min(wait, r.CallerTimeout/2)
	}
	d := o.inOutage(deadline{at: now + wait, since: now, key: r.Key, attempt: r.Attempt})
	i, _ := slices.BinarySearchFunc(o.deadlines, d.at+1, func(d deadline, at time.Duration) int { return cmp.Compare(d.at, at) })
	o.deadlines = slices.Insert(o.deadlines, i, d)
}

// inOutage brings a deadline forward while appends fail. A short outage refuses
// nobody. In a longer one each sending would wait in vain for as long as its
// caller allows, and all of them would come back together.
func (o *Once) inOutage(d deadline) deadline {
	if o.failingSince != 0 {
		d.at = min(d.at, max(d.since+o.params.OutageWait, o.failingSince+o.params.OutageGrace))
	}
	return d
}

// failing notes that an append failed, or that its answer was lost.
func (o *Once) failing(now time.Duration) {
	if o.failingSince != 0 {
		return
	}
	o.failingSince = max(now, 1) // 0 is for none
	for i, d := range o.deadlines {
		o.deadlines[i] = o.inOutage(d)
	}
	slices.SortStableFunc(o.deadlines, func(a, b deadline) int { return cmp.Compare(a.at, b.at) })
}

// refuseLate refuses the sendings whose deadline has passed.
func (o *Once) refuseLate(now time.Duration) {
	for len(o.deadlines) > 0 && o.deadlines[0].at <= now {
		d := o.deadlines[0]
		o.deadlines = o.deadlines[1:]
		if k, ok := o.keys[d.key]; ok && k.dropWaiter(d.attempt) {
			o.refuseOutage(d)
		}
	}
}

// refuseOutage: the claim isn't decided, so this sending has not run, and it
// will not: should the claim turn up as the winner, it waits for a later caller.
// An earlier sending of the key may have run elsewhere unless the log was read to
// its end shortly before this one came.
func (o *Once) refuseOutage(d deadline) {
	ran := protocol.NotRun
	if !o.caughtUp || d.since-o.freshAt > o.params.MaxLogStaleness {
		ran = protocol.Unknown
	}
	o.answer(d.attempt, ran, protocol.CodeLogUnavailable, "the log is not available; send the same key again", o.params.RetryAfter)
}
