package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarklead/internal/protocol"
	"skylarklead/test/kit"
)

// simulationSteps is the number of random events in one simulation.
const simulationSteps = 200

// proc is a process with its own monotonic clock.
type proc struct {
	leases  *Leases
	permit  *Permit
	appends []Append
	base    time.Duration
	rate    float64
	paused  bool
}

// simulation is a group of processes that share a log. The log may be down, lose answers
// and append records long after their sender stopped waiting for them.
type simulation struct {
	t       *rapid.T
	now     time.Duration
	log     [][]byte
	up      bool
	delayed [][]byte
	procs   []*proc
	epoch   protocol.Epoch
	// permits is the group's number of permits to load weights.
	permits int
	order   Name
	orders  []uint64
	params  Params
	// oldest is the offset of the oldest record that the log still has.
	oldest uint64
}

func newSimulation(t *rapid.T, n, permits int) *simulation {
	s := &simulation{t: t, now: time.Minute, up: true, permits: permits, order: OrderName("endpoint-0"), params: DefaultParams, oldest: 1}
	s.addProcesses(n)
	return s
}

func (s *simulation) addProcesses(n int) {
	for i := range n {
		s.procs = append(s.procs, &proc{})
		s.restart(i)
	}
}

func (s *simulation) restart(i int) {
	s.epoch++
	for _, a := range s.procs[i].appends {
		s.delayed = append(s.delayed, a.Data)
	}
	rng := rand.New(rand.NewPCG(uint64(s.epoch), 7))
	l := NewLeases(fmt.Sprintf("endpoint-%d", i), s.epoch, s.params, rng)
	*s.procs[i] = proc{
		leases: l, permit: NewPermit(l, s.permits, rng),
		base: time.Duration(rapid.IntRange(0, 1000).Draw(s.t, "base")) * time.Second,
		rate: 1 + float64(rapid.IntRange(-2, 2).Draw(s.t, "drift"))/100,
	}
}

// clock is the time at a process: clocks start anywhere and drift by up to 2 %.
func (s *simulation) clock(i int) time.Duration {
	p := s.procs[i]
	return p.base + time.Duration(float64(s.now)*p.rate)
}

func (s *simulation) perform(i int, actions []Action) {
	for _, action := range actions {
		if a, ok := action.(Append); ok {
			s.procs[i].appends = append(s.procs[i].appends, a)
		}
	}
}

func (s *simulation) finishAppend(i int, how string) {
	p := s.procs[i]
	if len(p.appends) == 0 || p.paused {
		return
	}
	a := p.appends[0]
	p.appends = p.appends[1:]
	switch {
	case how == "late":
		// Its sender stops waiting; it may be appended at any time.
		s.delayed = append(s.delayed, a.Data)
	case s.up && how != "refused":
		s.log = append(s.log, a.Data)
	}
	if how != "ok" || !s.up {
		s.perform(i, p.leases.AppendFailed(a.Seq, s.clock(i)))
	}
}

func (s *simulation) read(i, limit int) {
	p := s.procs[i]
	if !s.up || p.paused {
		return
	}
	for range limit {
		at := p.leases.Table().Position()
		if at+1 < s.oldest {
			s.perform(i, p.leases.Truncated(s.oldest, s.clock(i)))
			continue
		}
		if at == uint64(len(s.log)) {
			s.perform(i, p.leases.CaughtUp(s.clock(i)))
			return
		}
		s.perform(i, p.leases.ApplyRecord(at+1, s.log[at], s.clock(i)))
	}
}

func (s *simulation) tick(i int) {
	p := s.procs[i]
	if p.paused {
		return
	}
	s.perform(i, p.leases.Tick(s.clock(i)))
	s.perform(i, p.permit.Tick(s.clock(i)))
}

// issueOrder has a process send the engine an order if its check allows it now. Orders may
// reach an engine that checks fencing numbers later and in any sequence.
func (s *simulation) issueOrder(i int) {
	if fence, ok := s.procs[i].leases.Check(s.order, s.clock(i)); ok && !s.procs[i].paused {
		s.orders = append(s.orders, fence)
	}
}

// check fails if two processes may use one lease at the same moment, if more processes have
// permits than there are, or if all may load weights, each having last been told that all
// others serve.
func (s *simulation) check() {
	orders, permits, loading := 0, 0, 0
	for i, p := range s.procs {
		if _, ok := p.leases.Check(s.order, s.clock(i)); ok {
			orders++
		}
		if p.permit.Check(s.clock(i)) {
			permits++
			if p.permit.EnoughServing(len(s.procs)-1, s.others(i), 0) {
				loading++
			}
		}
	}
	if orders > 1 {
		s.t.Fatalf("%d processes hold the order lease", orders)
	}
	if permits > s.permits {
		s.t.Fatalf("%d processes hold %d permits", permits, s.permits)
	}
	if loading >= len(s.procs) {
		s.t.Fatalf("all of %d processes load weights", loading)
	}
}

// others returns the IDs of all processes but one.
func (s *simulation) others(self int) (ids []string) {
	for i := range s.procs {
		if i != self {
			ids = append(ids, fmt.Sprintf("endpoint-%d", i))
		}
	}
	return ids
}

func (s *simulation) run() {
	kinds := []string{
		"nothing", "order", "order", "permit", "permit", "done", "drop", "append", "append", "append", "append", "read", "read",
		"read", "all", "all", "all", "land", "log", "up", "up", "pause", "go on", "go on", "restart", "trim", "time", "time", "time",
	}
	for range simulationSteps {
		i := rapid.IntRange(0, len(s.procs)-1).Draw(s.t, "proc")
		s.step(i, rapid.SampledFrom(kinds).Draw(s.t, "step"))
		s.check()
	}
}

func (s *simulation) step(i int, kind string) {
	p := s.procs[i]
	switch kind {
	case "order":
		s.perform(i, p.leases.Acquire(s.order, s.clock(i)))
		s.issueOrder(i)
	case "permit":
		s.perform(i, p.permit.Acquire(s.clock(i)))
	case "done":
		s.perform(i, p.permit.Release(s.clock(i)))
	case "drop":
		s.perform(i, p.leases.Release(s.order, s.clock(i)))
	case "append":
		s.finishAppend(i, rapid.SampledFrom([]string{"ok", "ok", "lost", "late", "refused"}).Draw(s.t, "how"))
	case "read":
		s.read(i, rapid.IntRange(1, 4).Draw(s.t, "limit"))
	case "all":
		s.stepAll()
	case "land":
		if len(s.delayed) > 0 && s.up {
			s.log = append(s.log, s.delayed[0])
			s.delayed = s.delayed[1:]
		}
	case "log":
		s.up = false
	case "trim":
		s.trim()
	case "up":
		s.up = true
	case "pause":
		p.paused = true
	case "go on":
		p.paused = false
	case "restart":
		if rapid.IntRange(0, 3).Draw(s.t, "really") == 0 {
			s.restart(i)
		}
	case "time":
		s.now += time.Duration(rapid.SampledFrom([]int{1, 100, 1000, 3000, 9000, 12000}).Draw(s.t, "ms")) * time.Millisecond
	}
}

// trim removes records from the beginning of the log.
func (s *simulation) trim() {
	if end := uint64(len(s.log)); s.oldest < end {
		s.oldest = rapid.Uint64Range(s.oldest, end).Draw(s.t, "oldest")
	}
}

func (s *simulation) stepAll() {
	for i := range s.procs {
		s.tick(i)
		s.finishAppend(i, "ok")
		s.read(i, 1000)
		s.issueOrder(i)
	}
}

// Guards against two processes that send orders to one engine, more replicas loading weights
// than there are permits, and no replica serving when there are as many permits as replicas.
// This comes about if a holder counts its lease from a later moment than when it sent the
// record, or if a claim succeeds on a lease that was renewed. The simulation pauses holders
// past their lease, fails or delays appends, loses their answers, stops the log and restarts
// processes.
func TestLeasesAndPermitsAreExclusive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 3, rapid.IntRange(2, 3).Draw(t, "permits"))
		s.run()
	})
}

func TestSpared(t *testing.T) {
	s := &simulation{now: time.Minute, up: true, permits: 3, order: OrderName("endpoint-0")}
	for i := range 3 {
		rng := rand.New(rand.NewPCG(uint64(i), 7))
		l := NewLeases(fmt.Sprintf("endpoint-%d", i), 1, DefaultParams, rng)
		s.procs = append(s.procs, &proc{leases: l, permit: NewPermit(l, s.permits, rng), rate: 1})
	}
	s.stepAll()
	if s.procs[0].permit.EnoughServing(0, nil, 0) {
		t.Error("enough replicas serve without a permit")
	}
	for i, p := range s.procs {
		s.perform(i, p.permit.Acquire(s.clock(i)))
		for range 9 {
			s.now += time.Second / 4
			s.stepAll()
		}
	}
	const a, b, c = "endpoint-0", "endpoint-1", "endpoint-2"
	for _, tt := range []struct {
		name    string
		self    int
		others  int
		serving []string
		share   float64
		want    bool
	}{
		{"first of three", 0, 2, []string{b, c}, 0, true},
		{"second", 1, 2, []string{a, c}, 0, true},
		{"last", 2, 2, []string{a, b}, 0, false},
		{"the other is down", 0, 1, nil, 0, false},
		{"one has no permit", 2, 3, []string{a, b, "endpoint-3"}, 0, true},
		{"alone in the group", 2, 0, nil, 1, true},
		{"a third of three", 1, 2, []string{a, c}, 1. / 3, true},
		{"half of three, first", 0, 2, []string{b, c}, 0.5, true},
		{"half of three, second", 1, 2, []string{a, c}, 0.5, false},
		{"all, first", 0, 2, []string{b, c}, 1, true},
		{"all, and one is down", 0, 2, []string{b}, 1, false},
	} {
		if got := s.procs[tt.self].permit.EnoughServing(tt.others, tt.serving, tt.share); got != tt.want {
			t.Errorf("%s: %v", tt.name, got)
		}
	}
}

// Guards against leases that can't be acquired any more after an outage of the log.
func TestLeasesAreGrantedOnceTheLogIsBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 3, 2)
		s.run()
		s.up = true
		last := rapid.IntRange(0, 2).Draw(t, "wanting")
		for i, p := range s.procs {
			p.paused = false
			s.perform(i, p.permit.Release(s.clock(i)))
			s.perform(i, p.leases.Release(s.order, s.clock(i)))
		}
		s.perform(last, s.procs[last].permit.Acquire(s.clock(last)))
		s.perform(last, s.procs[last].leases.Acquire(s.order, s.clock(last)))
		for range 200 {
			s.now += 100 * time.Millisecond
			s.stepAll()
			s.check()
		}
		if !s.procs[last].permit.Check(s.clock(last)) {
			t.Fatalf("no permit was granted")
		}
		if _, ok := s.procs[last].leases.Check(s.order, s.clock(last)); !ok {
			t.Fatalf("the order lease was not granted")
		}
	})
}

// Guards against an engine that goes back to old weights: a holder is paused between its check
// and its order, another process is granted the lease and sends its order, and then the first
// order arrives. Only the fencing number lets the engine tell the two apart.
func TestNoOlderOrderTakesEffectAfterANewerOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 3, 2)
		s.run()
		arrived := rapid.Permutation(s.orders).Draw(t, "arrival")
		var newest uint64
		var effective []uint64
		for _, fence := range arrived {
			// What an engine that checks fencing numbers does.
			if fence >= newest { // what an engine that checks does
				newest = fence
				effective = append(effective, fence)
			}
		}
		grants := map[uint64]bool{}
		for _, f := range s.orders {
			grants[f] = true
		}
		for i, f := range effective {
			if i > 0 && f < effective[i-1] || !grants[f] {
				t.Fatalf("order %d takes effect after %v", f, effective[:i])
			}
		}
		for i := 1; i < len(s.orders); i++ {
			if s.orders[i] < s.orders[i-1] {
				t.Fatalf("a later holder has a lower fencing number: %v", s.orders)
			}
		}
	})
}

// Guards against readers that started at different offsets and disagree on who holds a lease,
// because the rule needs early records that retention has removed: one process has read them,
// another was started later, and each of them claims.
func TestReadersFromAnyOffsetAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 3, 2)
		s.run()
		if len(s.log) == 0 {
			return
		}
		oldest := uint64(rapid.IntRange(1, len(s.log)).Draw(t, "oldest"))
		whole, late := NewTable(), NewTable()
		late.SkipTo(oldest)
		for offset := uint64(1); offset <= uint64(len(s.log)); offset++ {
			whole.Apply(offset, s.log[offset-1], s.now)
			late.Apply(offset, s.log[offset-1], s.now)
		}
		for _, claimFrom := range []*Table{whole, late} {
			last := claimFrom.LastOffset(s.order)
			claim := &Record{Kind: KindClaim, Name: s.order, Holder: "endpoint-9", Epoch: 99, Supersedes: last, Seq: 1, DurationMs: 1}
			if last < oldest {
				claim.Supersedes, claim.Oldest = 0, oldest
			}
			data := kit.Must(Encode(claim))(t)
			_, a := whole.Apply(whole.Position()+1, data, s.now)
			_, b := late.Apply(late.Position()+1, data, s.now)
			if a != b || !a && claimFrom == whole {
				t.Fatalf("a claim that supersedes %d: %v for one reader, %v for the other", last, a, b)
			}
		}
	})
}

// Guards against two holders of the order lease for a second or two. The answer to a renewal
// that took effect is lost; its sender reads the log late, sends a second renewal, which is
// lost, and then reads the first one. If it counts the first one from when the second was sent,
// it holds the lease longer than another process, which counts from when it read the first.
func TestRenewalCountsFromItsOwnSending(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 2, 2)
		s.procs[0].rate, s.procs[1].rate = 1, 1
		s.stepAll()
		s.perform(0, s.procs[0].leases.Acquire(s.order, s.clock(0)))
		s.stepAll()
		s.perform(1, s.procs[1].leases.Acquire(s.order, s.clock(1)))
		s.now += DefaultParams.Duration - DefaultParams.RenewBefore
		s.tick(0)
		s.finishAppend(0, "lost")
		s.read(1, 9)
		s.now += 5 * time.Second
		s.tick(0)
		s.finishAppend(0, "refused")
		s.read(0, 9)
		for range 200 {
			s.now += 100 * time.Millisecond
			s.tick(1)
			s.finishAppend(1, "ok")
			s.read(1, 9)
			s.check()
		}
	})
}

func TestMalformedRecordsAreSkipped(t *testing.T) {
	table := NewTable()
	for i, data := range [][]byte{nil, []byte("nonsense"), {0xa0}} {
		if r, valid := table.Apply(uint64(i+1), data, 0); r != nil || valid {
			t.Errorf("malformed record %q was applied", data)
		}
	}
	if table.Position() != 3 {
		t.Errorf("position %d after 3 malformed records", table.Position())
	}
}

// Guards against a full lease duration without any orders after a power loss at all processes:
// the restarted holder reads its own old grant and waits for it to expire, although the process
// that held it was its own predecessor.
func TestRestartedHolderReclaims(t *testing.T) {
	params := DefaultParams
	params.RestartReclaims = true
	claims := func(l *Leases) bool {
		for _, a := range l.Acquire("x", 0) {
			if a, ok := a.(Append); ok && a.Claim {
				return true
			}
		}
		return false
	}
	started := func(self string, epoch protocol.Epoch, params Params) *Leases {
		l := NewLeases(self, epoch, params, rand.New(rand.NewPCG(1, 1)))
		data, err := Encode(&Record{Kind: KindClaim, Name: "x", Holder: "a@1", Epoch: 7, DurationMs: 4000, Seq: 1})
		if err != nil {
			t.Fatal(err)
		}
		l.ApplyRecord(1, data, 0)
		l.CaughtUp(0)
		return l
	}
	if !claims(started("a@1", 8, params)) {
		t.Error("the successor of the holder waits for the lease to expire")
	}
	if claims(started("b@2", 8, params)) {
		t.Error("another process doesn't wait for the lease to expire")
	}
	if claims(started("a@1", 8, DefaultParams)) {
		t.Error("a process of the same name claims at once though two may run at a time")
	}
}
