package lease

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"skylarklead/internal/protocol"
)

// Timing of the log that claimants contend for: an append occupies a partition for a few
// milliseconds, and its answer takes as long again. Records of other processes are read by a
// long poll or, where that would take too many calls, about once a second.
const (
	appendTime        = 4 * time.Millisecond
	networkDelay      = 5 * time.Millisecond
	longPollInterval  = 20 * time.Millisecond
	plainReadInterval = 1200 * time.Millisecond
	tickInterval      = 25 * time.Millisecond
)

// event is a function to run at a simulated time.
type event struct {
	at  time.Duration
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// contention simulates claimants of one lease on a log that processes one append at a time.
type contention struct {
	now       time.Duration
	queue     events
	log       [][]byte
	logFreeAt time.Duration
	params    Params
	appends   int
	// conditional is set where the log supports conditional appends; there are then no long
	// polls.
	conditional bool
}

func (c *contention) after(d time.Duration, run func()) {
	heap.Push(&c.queue, event{c.now + d, run})
}

// claimant is one process that wants the lease.
type claimant struct {
	c      *contention
	leases *Leases
	// releasesAtOnce makes it release the lease as soon as it is granted.
	releasesAtOnce, released bool
}

func (p *claimant) perform(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Append:
			p.append(a)
		case Granted:
			if p.releasesAtOnce {
				p.released = true
				p.perform(p.leases.Release(a.Name, p.c.now))
			}
		}
	}
}

// append queues a record at the log. Where the log supports conditional appends, a claim is
// appended only directly after what its claimant had read.
func (p *claimant) append(a Append) {
	c := p.c
	c.appends++
	read := p.leases.Table().Position()
	c.logFreeAt = max(c.logFreeAt, c.now+networkDelay) + appendTime
	c.after(c.logFreeAt-c.now, func() {
		appended := !c.conditional || !a.Claim || read == uint64(len(c.log))
		if appended {
			c.log = append(c.log, a.Data)
		}
		c.after(networkDelay, func() {
			if !appended {
				p.perform(p.leases.AppendFailed(a.Seq, c.now))
			}
			c.after(networkDelay, p.read)
		})
	})
}

// read applies what the log had one network delay ago.
func (p *claimant) read() {
	records := p.c.log
	p.c.after(networkDelay, func() {
		for at := p.leases.Table().Position(); at < uint64(len(records)); at++ {
			p.perform(p.leases.ApplyRecord(at+1, records[at], p.c.now))
		}
		p.perform(p.leases.CaughtUp(p.c.now))
	})
}

func (p *claimant) every(d time.Duration, run func()) {
	run()
	p.c.after(d, func() { p.every(d, run) })
}

func (c *contention) readEvery() time.Duration {
	if c.conditional {
		return plainReadInterval
	}
	return longPollInterval
}

// countHolders returns how many claimants may use the lease now.
func (c *contention) countHolders(claimants []*claimant, name Name) int {
	n := 0
	for _, p := range claimants {
		if _, ok := p.leases.Check(name, c.now); ok {
			n++
		}
	}
	return n
}

// Guards against a rollout of weights that stops for good, even across a restart of all entries,
// while requests are refused because the replicas' weights are overdue and the entries make four
// times as many calls to the store as usual.
//
// The holder is disconnected and its lease expires. Thirty entries claim it at the same moment.
// The one that gets it is shutting down and releases it at once, so that the others' invalid
// claims are appended after the release. Then thirty entries claim the free lease.
//
// A claim is valid only if it supersedes the last record of its lease, and an invalid claim counts
// as the last record too. If each entry claims again as soon as it has read its own claim back,
// another entry's record is always appended between reading the log and appending the claim, and
// no claim is ever valid.
func TestManyClaimantsOfAReleasedLease(t *testing.T) {
	const within = 5 * time.Second
	for _, conditional := range []bool{false, true} {
		for _, n := range []int{3, 31, 100} {
			for seed := range uint64(10) {
				took, appends := contend(t, n, seed, conditional)
				if took > within {
					t.Errorf("%d claimants, seed %d, conditional appends %v: not granted within %v, %d appends",
						n, seed, conditional, took, appends)
				}
			}
		}
	}
}

func contend(t *testing.T, n int, seed uint64, conditional bool) (time.Duration, int) {
	const name = Name("rollout")
	c := &contention{conditional: conditional, now: time.Minute, params: Params{
		Duration: 2 * time.Second, Margin: 300 * time.Millisecond, RenewBefore: 1200 * time.Millisecond,
		OrderMargin: 400 * time.Millisecond, RetryMin: 50 * time.Millisecond, RetryMax: 400 * time.Millisecond,
	}}
	first, err := Encode(&Record{Kind: KindClaim, Name: name, Holder: "gone", Epoch: 99, Seq: 1, DurationMs: 2000})
	if err != nil {
		t.Fatal(err)
	}
	c.log = append(c.log, first)
	rng := rand.New(rand.NewPCG(seed, 3))
	var claimants []*claimant
	for i := range n {
		id := fmt.Sprintf("entry-%d", i)
		p := &claimant{c: c, leases: NewLeases(id, protocol.Epoch(i+1), c.params, rand.New(rand.NewPCG(seed, uint64(i))))}
		// A fifth of the claimants are shutting down.
		p.releasesAtOnce = i%5 == 0
		claimants = append(claimants, p)
		c.after(time.Duration(rng.Int64N(int64(30*time.Millisecond))), func() {
			p.every(c.readEvery(), p.read)
			p.every(tickInterval, func() {
				if !p.released {
					p.perform(p.leases.Acquire(name, c.now))
				}
			})
		})
	}
	began := c.now
	for c.now < began+20*time.Second {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
		switch holders := c.countHolders(claimants, name); holders {
		case 0:
		case 1:
			return c.now - began, c.appends
		default:
			t.Fatalf("%d claimants hold the lease at once", holders)
		}
	}
	return c.now - began, c.appends
}
