package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// simFleet simulates entries that all send to one replica as often as they may. Updates
// between entries are lost and late.
type simFleet struct {
	rand    *rand.Rand
	now     time.Duration
	entries []*simEntry
	listed  []string
	events  []event
	loss    float64
	// rate is the rate that the replica announces, below 0 for none.
	rate float64
	// idle is set while no entry has requests.
	idle bool
	// arrivals are the requests that reached the replica.
	arrivals []arrival
}

type simEntry struct {
	name   string
	limits *Limits
	// cut entries get no updates and read no list, but reach the replica.
	cut bool
	// underWay is set while a request is unanswered: each entry sends one at a time.
	underWay bool
	epoch    int
	// informedAt is when an answer first announced the limit, 0 for never.
	informedAt time.Duration
}

type event struct {
	at time.Duration
	do func()
}

type arrival struct {
	at time.Duration
	// informed is set if the sender got an answer with the limit at least half a second before.
	informed bool
}

const simReplica = "replica-1"

func newFleet(seed uint64, entries int) *simFleet {
	f := &simFleet{rand: rand.New(rand.NewPCG(seed, 1)), rate: -1}
	for i := range entries {
		f.start(&simEntry{name: fmt.Sprint("entry-", i)})
	}
	return f
}

// start starts or restarts an entry.
func (f *simFleet) start(e *simEntry) {
	known := slices.Contains(f.listed, e.name)
	if !known {
		f.listed = append(f.listed, e.name)
	}
	if !slices.Contains(f.entries, e) {
		f.entries = append(f.entries, e)
	}
	e.limits = New(e.name, DefaultParams)
	e.epoch++
	e.underWay, e.informedAt = false, 0
	f.read(e)
	e.limits.Joined(known || f.now == 0, f.now)
}

func (f *simFleet) read(e *simEntry) {
	e.limits.SetEntries(slices.Clone(f.listed), f.now)
	e.limits.ListConfirmed(f.now, f.now)
}

// remove removes an entry.
func (f *simFleet) remove(e *simEntry) {
	f.entries = slices.DeleteFunc(f.entries, func(other *simEntry) bool { return other == e })
	f.listed = slices.DeleteFunc(f.listed, func(name string) bool { return name == e.name })
	e.epoch++
}

func (f *simFleet) after(d time.Duration, do func()) {
	f.events = append(f.events, event{f.now + d, do})
}

// step is the time step of the simulation.
const step = 5 * time.Millisecond

// run advances time; each entry sends a request whenever it may and has none under way.
func (f *simFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += step {
		due := f.events
		f.events = nil
		for _, ev := range due {
			if ev.at <= f.now {
				ev.do()
			} else {
				f.events = append(f.events, ev)
			}
		}
		for _, e := range f.entries {
			if f.now%(2*time.Second) == 0 && !e.cut {
				f.read(e)
			}
			if f.now%(50*time.Millisecond) == 0 {
				f.advertise(e)
			}
			f.send(e)
		}
	}
}

func (f *simFleet) advertise(e *simEntry) {
	for _, w := range e.limits.DueUpdates(f.now) {
		for _, other := range f.entries {
			if other == e || e.cut || other.cut || f.rand.Float64() < f.loss {
				continue
			}
			f.after(time.Duration(f.rand.Int64N(int64(20*time.Millisecond))), func() { other.limits.UpdateReceived(w, f.now) })
		}
	}
}

// send has an entry send a request if it may; the answer comes some time later.
func (f *simFleet) send(e *simEntry) {
	if f.idle || e.underWay || !e.limits.Allows(simReplica, f.now) {
		return
	}
	e.limits.Take(simReplica, f.now)
	e.underWay = true
	sent, epoch := f.now, e.epoch
	f.after(2*time.Millisecond, func() {
		informed := e.informedAt != 0 && f.now-e.informedAt >= 500*time.Millisecond
		f.arrivals = append(f.arrivals, arrival{f.now, informed && e.epoch == epoch})
		rate := f.rate
		f.after(time.Duration(20+f.rand.IntN(100))*time.Millisecond, func() {
			if e.epoch != epoch {
				return
			}
			e.underWay = false
			if rate < 0 {
				e.limits.AnswerWithoutLimit(simReplica, sent)
				return
			}
			if e.informedAt == 0 {
				e.informedAt = f.now
			}
			e.limits.AnswerWithLimit(simReplica, rate, f.now)
		})
	})
}

// maxInformed returns the largest number of requests, from entries that knew the limit, in any
// window that begins after a time.
func (f *simFleet) maxInformed(after, window time.Duration) int {
	var times []time.Duration
	for _, a := range f.arrivals {
		if a.informed && a.at >= after {
			times = append(times, a.at)
		}
	}
	most, first := 0, 0
	for i, t := range times {
		for t-times[first] > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// count returns how many requests arrived in a span.
func (f *simFleet) count(from, to time.Duration) int {
	n := 0
	for _, a := range f.arrivals {
		if a.at >= from && a.at < to {
			n++
		}
	}
	return n
}

const window = 4 * time.Second

// allowed is how many requests a replica may get within window at a limit.
func allowed(rate float64) int { return int(1.5*rate*window.Seconds() + 5) }
