package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// fleet is a simulated fleet of entries that all send to one replica as often as they may. Words
// between entries are lost and late.
type fleet struct {
	rand    *rand.Rand
	now     time.Duration
	entries []*simEntry
	listed  []string
	later   []event
	loss    float64
	// rate is what the replica names, below 0 for none.
	rate float64
	// idle says that no entry has requests.
	idle bool
	// arrivals are the requests that reached the replica, with who had sent them.
	arrivals []arrival
}

type simEntry struct {
	name   string
	limits *Limits
	// cut entries hear no other entry and read no list, but reach the replica.
	cut bool
	// underWay is a request without an answer so far: each entry sends one at a time.
	underWay bool
	epoch    int
	// told is when an answer first named the limit, 0 for never.
	told time.Duration
}

type event struct {
	at time.Duration
	do func()
}

type arrival struct {
	at time.Duration
	// told says that its sender had been told by an answer half a second before.
	told bool
}

const simReplica = "replica-1"

func newFleet(seed uint64, entries int) *fleet {
	f := &fleet{rand: rand.New(rand.NewPCG(seed, 1)), rate: -1}
	for i := range entries {
		f.start(&simEntry{name: fmt.Sprint("entry-", i)})
	}
	return f
}

// start starts an entry, or starts it again.
func (f *fleet) start(e *simEntry) {
	known := slices.Contains(f.listed, e.name)
	if !known {
		f.listed = append(f.listed, e.name)
	}
	if !slices.Contains(f.entries, e) {
		f.entries = append(f.entries, e)
	}
	e.limits = New(e.name, DefaultParams, f.rand.Float64)
	e.epoch++
	e.underWay, e.told = false, 0
	f.read(e)
	e.limits.Joined(known || f.now == 0, f.now)
}

func (f *fleet) read(e *simEntry) {
	e.limits.SetEntries(slices.Clone(f.listed), f.now)
	e.limits.ListConfirmed(f.now, f.now)
}

// remove takes an entry away.
func (f *fleet) remove(e *simEntry) {
	f.entries = slices.DeleteFunc(f.entries, func(other *simEntry) bool { return other == e })
	f.listed = slices.DeleteFunc(f.listed, func(name string) bool { return name == e.name })
	e.epoch++
}

func (f *fleet) after(d time.Duration, do func()) {
	f.later = append(f.later, event{f.now + d, do})
}

// step is the time between looks at the simulated fleet.
const step = 5 * time.Millisecond

// run lets time pass; each entry sends a request whenever it may and has none under way.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += step {
		due := f.later
		f.later = nil
		for _, ev := range due {
			if ev.at <= f.now {
				ev.do()
			} else {
				f.later = append(f.later, ev)
			}
		}
		for _, e := range f.entries {
			if f.now%(2*time.Second) == 0 && !e.cut {
				f.read(e)
			}
			if f.now%(50*time.Millisecond) == 0 {
				f.tell(e)
			}
			f.send(e)
		}
	}
}

func (f *fleet) tell(e *simEntry) {
	for _, w := range e.limits.DueUpdates(f.now) {
		for _, other := range f.entries {
			if other == e || e.cut || other.cut || f.rand.Float64() < f.loss {
				continue
			}
			f.after(time.Duration(f.rand.Int64N(int64(20*time.Millisecond))), func() { other.limits.UpdateReceived(w, f.now) })
		}
	}
}

// send has an entry send a request if it may, with an answer some time later.
func (f *fleet) send(e *simEntry) {
	if f.idle || e.underWay || !e.limits.Allows(simReplica, f.now) {
		return
	}
	e.limits.Take(simReplica, f.now)
	e.underWay = true
	sent, epoch := f.now, e.epoch
	f.after(2*time.Millisecond, func() {
		told := e.told != 0 && f.now-e.told >= 500*time.Millisecond
		f.arrivals = append(f.arrivals, arrival{f.now, told && e.epoch == epoch})
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
			if e.told == 0 {
				e.told = f.now
			}
			e.limits.AnswerWithLimit(simReplica, rate, f.now)
		})
	})
}

// most is the largest number of requests, from entries that had been told, in a window that begins
// after a time.
func (f *fleet) most(after, window time.Duration) int {
	var times []time.Duration
	for _, a := range f.arrivals {
		if a.told && a.at >= after {
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

// count is how many requests arrived in a span.
func (f *fleet) count(from, to time.Duration) int {
	n := 0
	for _, a := range f.arrivals {
		if a.at >= from && a.at < to {
			n++
		}
	}
	return n
}

const window = 4 * time.Second

// allowed is what a replica may get in window at a limit.
func allowed(rate float64) int { return int(1.5*rate*window.Seconds() + 5) }
