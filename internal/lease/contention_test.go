package lease

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"skylarklead/internal/protocol"
)

// Figures of the log that claimants contend on: an append takes a partition a few
// milliseconds, an answer as long again. Records that a process doesn't write itself
// are read by a long poll, or, where that costs too many calls, about once a second.
const (
	contendAppend = 4 * time.Millisecond
	contendTrip   = 5 * time.Millisecond
	contendPoll   = 20 * time.Millisecond
	contendRead   = 1200 * time.Millisecond
	contendTick   = 25 * time.Millisecond
)

// event is something that happens at a time of the simulation.
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

// contention is a number of claimants of one lease on a log that takes one append
// at a time.
type contention struct {
	now     time.Duration
	queue   events
	log     [][]byte
	free    time.Duration
	params  Params
	appends int
	// conditional is set where the log takes appends under a condition; long polls
	// are then left out.
	conditional bool
}

func (c *contention) after(d time.Duration, run func()) {
	heap.Push(&c.queue, event{c.now + d, run})
}

// claimant is one process that wants the lease.
type claimant struct {
	c      *contention
	leases *Leases
	// leaves makes it give the lease back as soon as it has it.
	leaves, left bool
}

func (p *claimant) do(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Append:
			p.append(a)
		case Granted:
			if p.leaves {
				p.left = true
				p.do(p.leases.Release(a.Name, p.c.now))
			}
		}
	}
}

// append queues a record at the log. Where the log has conditional appends, a claim
// lands only right after what its claimant had read.
func (p *claimant) append(a Append) {
	c := p.c
	c.appends++
	read := p.leases.Table().Position()
	c.free = max(c.free, c.now+contendTrip) + contendAppend
	c.after(c.free-c.now, func() {
		landed := !c.conditional || !a.Claim || read == uint64(len(c.log))
		if landed {
			c.log = append(c.log, a.Data)
		}
		c.after(contendTrip, func() {
			if !landed {
				p.do(p.leases.AppendFailed(a.Seq, c.now))
			}
			c.after(contendTrip, p.read)
		})
	})
}

// read takes what the log had half a trip ago.
func (p *claimant) read() {
	records := p.c.log
	p.c.after(contendTrip, func() {
		for at := p.leases.Table().Position(); at < uint64(len(records)); at++ {
			p.do(p.leases.ApplyRecord(at+1, records[at], p.c.now))
		}
		p.do(p.leases.CaughtUp(p.c.now))
	})
}

func (p *claimant) every(d time.Duration, run func()) {
	run()
	p.c.after(d, func() { p.every(d, run) })
}

func (c *contention) readEvery() time.Duration {
	if c.conditional {
		return contendRead
	}
	return contendPoll
}

// held is how many claimants may use the lease now.
func (c *contention) held(claimants []*claimant, name Name) int {
	n := 0
	for _, p := range claimants {
		if _, ok := p.leases.Check(name, c.now); ok {
			n++
		}
	}
	return n
}

// TestManyClaimantsOfAReleasedLease
//
// Symptom: a rollout of weights stands still for as long as the day lasts, even
// through a restart of all entries; requests are refused since the replicas' weights
// are overdue; calls to the store are four times as many as usual.
//
// Sequence: the holder is cut off, and its lease ends. Thirty entries claim it in the
// same moment. The one that gets it is shutting down and gives it back at once, so
// that the others' claims, without effect, land after the release. Thirty entries
// claim the free lease.
//
// Cause: a claim is valid if it names the last record of its lease. One without
// effect counts as the last record too. Each entry claimed again as soon as it had
// read its own claim back, so that a record of another landed between each claim's
// reading and its own landing: no claim was ever valid.
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
		// A fifth of them are shutting down.
		p.leaves = i%5 == 0
		claimants = append(claimants, p)
		c.after(time.Duration(rng.Int64N(int64(30*time.Millisecond))), func() {
			p.every(c.readEvery(), p.read)
			p.every(contendTick, func() {
				if !p.left {
					p.do(p.leases.Acquire(name, c.now))
				}
			})
		})
	}
	began := c.now
	for c.now < began+20*time.Second {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
		switch held := c.held(claimants, name); held {
		case 0:
		case 1:
			return c.now - began, c.appends
		default:
			t.Fatalf("%d hold the lease", held)
		}
	}
	return c.now - began, c.appends
}
