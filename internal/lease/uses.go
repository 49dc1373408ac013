package lease

import "time"

// leaseUse is what this process knows of the uses of one lease.
type leaseUse struct {
	// running is how many uses of this process are under way, fence the grant that they are under,
	// lastEnd when the last one ended, if used is set.
	running int
	fence   uint64
	used    bool
	lastEnd time.Duration
	// quietUntil is when uses of other processes, or of this one's predecessor, are far enough in the past.
	quietUntil time.Duration
}

func (l *Leases) useOf(n Name) *leaseUse {
	u, ok := l.uses[n]
	if !ok {
		u = &leaseUse{}
		l.uses[n] = u
	}
	return u
}

// Begin begins a use of a lease under a fencing number: an order that is about to be sent. It reports
// whether that is allowed now, as Check does; if so, the lease isn't released until End. It fails while a
// use under another fencing number is under way: what was sent last must not arrive first.
func (l *Leases) Begin(n Name, fence uint64, now time.Duration) bool {
	held, ok := l.Check(n, now)
	if !ok || held != fence {
		return false
	}
	u := l.useOf(n)
	if u.running > 0 && u.fence != fence {
		return false
	}
	u.running++
	u.fence = fence
	return true
}

// End ends a use that was begun: its order was answered, or can't arrive any more.
func (l *Leases) End(n Name, now time.Duration) []Action {
	u := l.useOf(n)
	u.running--
	u.used, u.lastEnd = true, now
	return l.Tick(now)
}

func (l *Leases) inUse(n Name) bool {
	u, ok := l.uses[n]
	return ok && u.running > 0
}

// inheritUse counts what the process before this one, of the same name, may have sent last: this process
// sends nothing before that has arrived, and speaks for both when it releases the lease.
func (l *Leases) inheritUse(n Name) {
	u := l.useOf(n)
	arrived := l.started + l.params.MaxUse
	u.used, u.lastEnd = true, max(u.lastEnd, arrived)
	u.quietUntil = max(u.quietUntil, arrived)
}

// restAfterUse returns for how long others must leave a lease unused that this process releases now.
func (l *Leases) restAfterUse(n Name, now time.Duration) time.Duration {
	u, ok := l.uses[n]
	if !ok || !u.used {
		return 0
	}
	// Rounded up to the unit of the record.
	return max(0, u.lastEnd+l.params.Apart-now+time.Millisecond-1)
}

// noteRelease keeps this process from using a lease for as long as another one's release states. The
// record may be void, since a claim came first: its sender has used the lease all the same.
func (l *Leases) noteRelease(r *Record, now time.Duration) {
	if r.Kind != KindRelease || r.Holder == l.self || r.DurationMs == 0 {
		return
	}
	u := l.useOf(r.Name)
	u.quietUntil = max(u.quietUntil, now+r.duration())
}

// noteStart notes the time of the first event.
func (l *Leases) noteStart(now time.Duration) {
	if !l.hasStarted {
		l.hasStarted, l.started = true, now
	}
}

// usableAt returns from when this process may use a lease that it holds.
func (l *Leases) usableAt(n Name) time.Duration {
	if u, ok := l.uses[n]; ok {
		return u.quietUntil
	}
	return 0
}
