package lease

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	usesApart = 3 * time.Second
	usesMax   = time.Second
)

// separating keep the uses of two holders apart. The reserve covers clocks whose speeds differ by 2 %.
var separating = Params{
	Duration: 5200 * time.Millisecond, Margin: time.Second, RenewBefore: 4500 * time.Millisecond,
	OrderMargin: 3200 * time.Millisecond, RetryMin: 50 * time.Millisecond, RetryMax: 400 * time.Millisecond,
	Apart: usesApart + 200*time.Millisecond, MaxUse: usesMax, RestartReclaims: true,
}

// use is an order that a process sent, and when it arrives at the engine.
type use struct {
	proc    int
	leases  *Leases
	fence   uint64
	arrives time.Duration
	ended   bool
}

// useSimulation is a simulation whose processes send orders that take time to arrive, to an engine that
// carries out each order that it gets.
type useSimulation struct {
	*simulation
	uses []*use
}

func (s *useSimulation) begin(i int) {
	p := s.procs[i]
	if p.paused {
		return
	}
	fence, ok := p.leases.Check(s.order, s.clock(i))
	if !ok || !p.leases.Begin(s.order, fence, s.clock(i)) {
		return
	}
	took := time.Duration(rapid.SampledFrom([]int{0, 1, 620, 960}).Draw(s.t, "took")) * time.Millisecond
	s.uses = append(s.uses, &use{proc: i, leases: p.leases, fence: fence, arrives: s.now + took})
}

// end ends a process's uses that have arrived. A process that ended forgets its own.
func (s *useSimulation) end(i int) {
	p := s.procs[i]
	for _, u := range s.uses {
		if u.proc == i && u.leases == p.leases && !u.ended && u.arrives <= s.now && !p.paused {
			u.ended = true
			s.perform(i, p.leases.End(s.order, s.clock(i)))
		}
	}
}

func (s *useSimulation) run() {
	kinds := []string{
		"want", "want", "use", "use", "use", "end", "end", "drop", "append", "append", "read", "read", "read", "all", "all", "all",
		"land", "log", "up", "up", "pause", "go on", "go on", "restart", "trim", "time", "time", "time", "time",
	}
	for range simulationSteps {
		i := rapid.IntRange(0, len(s.procs)-1).Draw(s.t, "proc")
		switch kind := rapid.SampledFrom(kinds).Draw(s.t, "step"); kind {
		case "want":
			s.perform(i, s.procs[i].leases.Acquire(s.order, s.clock(i)))
		case "use":
			s.begin(i)
		case "end":
			s.end(i)
		case "all":
			for i := range s.procs {
				s.tick(i)
				s.finishAppend(i, "ok")
				s.read(i, 1000)
				s.begin(i)
			}
		case "time":
			s.now += time.Duration(rapid.SampledFrom([]int{1, 50, 300, 1000, 3000, 7000}).Draw(s.t, "ms")) * time.Millisecond
		default:
			s.step(i, kind)
		}
	}
}

// checkArrivals fails if orders of two processes arrived too close to each other, or one with a lower
// fencing number after one with a higher number.
func (s *useSimulation) checkArrivals() {
	slices.SortStableFunc(s.uses, func(a, b *use) int { return cmp.Compare(a.arrives, b.arrives) })
	for i := 1; i < len(s.uses); i++ {
		before, u := s.uses[i-1], s.uses[i]
		if u.proc != before.proc && u.arrives-before.arrives < usesApart {
			s.t.Fatalf("an order of process %d arrives %v after one of process %d", u.proc, u.arrives-before.arrives, before.proc)
		}
		if u.fence < before.fence {
			s.t.Fatalf("an order with fencing number %d arrives after one with %d", u.fence, before.fence)
		}
	}
}

// Guards against orders of two holders that reach one engine within the time by which they must be apart,
// and against an older one that arrives last: a next holder that counts on hearing of each order doesn't hear of
// the last one, or that order's packets were lost and sent again. The engine checks no fencing numbers.
func TestUsesOfTwoHoldersAreApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &useSimulation{simulation: &simulation{t: t, now: time.Minute, up: true, order: "rollout", params: separating, oldest: 1}}
		s.addProcesses(3)
		for _, p := range s.procs {
			p.rate = 1 + float64(rapid.IntRange(-1, 1).Draw(t, "drift"))/100
		}
		s.run()
		s.checkArrivals()
	})
}

// oneHolder returns a process that holds the lease since an hour, and its successor, which has read as much.
func oneHolder(t *testing.T) (holder, next *Leases, fence uint64) {
	t.Helper()
	holder = NewLeases("a", 1, separating, rand.New(rand.NewPCG(1, 1)))
	next = NewLeases("b", 2, separating, rand.New(rand.NewPCG(1, 2)))
	for _, l := range []*Leases{holder, next} {
		l.CaughtUp(0)
	}
	for _, a := range holder.Acquire("x", time.Hour) {
		if claim, ok := a.(Append); ok {
			holder.ApplyRecord(1, claim.Data, time.Hour)
			next.ApplyRecord(1, claim.Data, time.Hour)
		}
	}
	fence, ok := holder.Check("x", time.Hour)
	if !ok {
		t.Fatal("a free lease isn't granted")
	}
	return holder, next, fence
}

// renew lets a process renew its lease from one time to another, and reports whether it might have used the
// lease before until.
func renew(l *Leases, from, until time.Duration) (usable bool) {
	const pause = 100 * time.Millisecond
	for now := from; now < until; now += pause {
		if renewal := appended(l.Tick(now)); renewal != nil {
			l.ApplyRecord(l.Table().Position()+1, renewal, now)
		}
		_, ok := l.Check("x", now)
		usable = usable || ok
	}
	return usable
}

// Guards against a lease that is returned with an order under way, whose answer never comes.
func TestLeaseIsKeptWhileAnOrderIsUnderWay(t *testing.T) {
	holder, _, fence := oneHolder(t)
	if !holder.Begin("x", fence, time.Hour) {
		t.Fatal("the holder may not use its lease")
	}
	if appended(holder.Release("x", time.Hour)) != nil {
		t.Error("the lease is returned while an order is under way")
	}
	if holder.Begin("x", fence, time.Hour) {
		t.Error("another order begins after the release")
	}
	if !holder.HeldOrReleasing("x") {
		t.Error("the process may exit though its lease isn't returned")
	}
	if appended(holder.End("x", time.Hour+time.Second)) == nil {
		t.Error("the lease isn't returned after the last order")
	}
}

// Guards against a next holder whose order follows the last one of the former holder at once: it has read the
// former holder's return of the lease, and nothing of its orders.
func TestNextHolderWaitsFromTheLastOrder(t *testing.T) {
	for _, tt := range []struct {
		name string
		// used is set if an order was sent, age is how long before the return it ended.
		used bool
		age  time.Duration
		want time.Duration
	}{
		{"no order", false, 0, 0},
		{"just now", true, 0, separating.Apart},
		{"a while ago", true, 2 * time.Second, separating.Apart - 2*time.Second},
		{"long ago", true, 4 * time.Second, 0},
	} {
		holder, next, fence := oneHolder(t)
		if tt.used {
			if !holder.Begin("x", fence, time.Hour) {
				t.Fatalf("%s: the holder may not use its lease", tt.name)
			}
			holder.End("x", time.Hour)
		}
		now := time.Hour + tt.age
		next.ApplyRecord(2, appended(holder.Release("x", now)), now)
		claim := appended(next.Acquire("x", now))
		if claim == nil {
			t.Fatalf("%s: a lease that was returned isn't claimed", tt.name)
		}
		next.ApplyRecord(3, claim, now)
		if renew(next, now, now+tt.want) {
			t.Errorf("%s: the next holder may send an order after less than %v", tt.name, tt.want)
		}
		if _, ok := next.Check("x", now+tt.want); !ok {
			t.Errorf("%s: the next holder may send no order after %v", tt.name, tt.want)
		}
	}
}

// Guards against a restarted holder whose order overtakes the last one of the process before it.
func TestRestartedHolderLetsItsLastOrderArrive(t *testing.T) {
	l := NewLeases("a", 3, separating, rand.New(rand.NewPCG(1, 3)))
	data, err := Encode(&Record{Kind: KindClaim, Name: "x", Holder: "a", Epoch: 1, DurationMs: 5200, Seq: 1})
	if err != nil {
		t.Fatal(err)
	}
	l.ApplyRecord(1, data, time.Hour)
	l.CaughtUp(time.Hour)
	l.ApplyRecord(2, appended(l.Acquire("x", time.Hour)), time.Hour)
	if renew(l, time.Hour, time.Hour+usesMax) {
		t.Errorf("an order may be sent before %v", usesMax)
	}
	if _, ok := l.Check("x", time.Hour+usesMax); !ok {
		t.Errorf("no order may be sent after %v", usesMax)
	}
}

// Guards against an order that overtakes one which its sender has sent under an earlier grant.
func TestNoOrderWhileOneUnderAnEarlierGrantIsUnderWay(t *testing.T) {
	l, _, fence := oneHolder(t)
	if !l.Begin("x", fence, time.Hour) {
		t.Fatal("the holder may not use its lease")
	}
	now := time.Hour + separating.Duration
	l.ApplyRecord(2, appended(l.Tick(now)), now)
	again, ok := l.Check("x", now)
	if !ok || again == fence {
		t.Fatalf("fencing number %d, %t; want a new grant", again, ok)
	}
	if l.Begin("x", again, now) {
		t.Error("an order may be sent while an earlier one is under way")
	}
	l.End("x", now)
	if !l.Begin("x", again, now) {
		t.Error("no order may be sent after the earlier one has ended")
	}
}
