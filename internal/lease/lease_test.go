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

// worldSteps is how many things happen in one run of the model.
const worldSteps = 200

// proc is one process with a monotonic clock of its own.
type proc struct {
	leases  *Leases
	permit  *Permit
	appends []Append
	base    time.Duration
	rate    float64
	paused  bool
}

// world is a group of processes that share a log. It may be down, lose answers
// and apply appends long after their sender gave them up.
type world struct {
	t     *rapid.T
	now   time.Duration
	log   [][]byte
	up    bool
	limbo [][]byte
	procs []*proc
	epoch protocol.Epoch
	// permits is the group's number of permits to load.
	permits int
	order   Name
	orders  []uint64
}

func newWorld(t *rapid.T, n, permits int) *world {
	w := &world{t: t, now: time.Minute, up: true, permits: permits, order: OrderName("endpoint-0")}
	for i := range n {
		w.procs = append(w.procs, &proc{})
		w.restart(i)
	}
	return w
}

func (w *world) restart(i int) {
	w.epoch++
	for _, a := range w.procs[i].appends {
		w.limbo = append(w.limbo, a.Data)
	}
	rng := rand.New(rand.NewPCG(uint64(w.epoch), 7))
	l := NewLeases(fmt.Sprintf("endpoint-%d", i), w.epoch, DefaultParams, rng)
	*w.procs[i] = proc{
		leases: l, permit: NewPermit(l, w.permits, rng),
		base: time.Duration(rapid.IntRange(0, 1000).Draw(w.t, "base")) * time.Second,
		rate: 1 + float64(rapid.IntRange(-2, 2).Draw(w.t, "drift"))/100,
	}
}

// clock is what a process reads: clocks start anywhere and drift by up to 2 %.
func (w *world) clock(i int) time.Duration {
	p := w.procs[i]
	return p.base + time.Duration(float64(w.now)*p.rate)
}

func (w *world) do(i int, actions []Action) {
	for _, action := range actions {
		if a, ok := action.(Append); ok {
			w.procs[i].appends = append(w.procs[i].appends, a)
		}
	}
}

func (w *world) settle(i int, how string) {
	p := w.procs[i]
	if len(p.appends) == 0 || p.paused {
		return
	}
	a := p.appends[0]
	p.appends = p.appends[1:]
	switch {
	case how == "late":
		// Its sender gives it up; it may land at any time.
		w.limbo = append(w.limbo, a.Data)
	case w.up && how != "refused":
		w.log = append(w.log, a.Data)
	}
	if how != "ok" || !w.up {
		w.do(i, p.leases.AppendFailed(a.Seq, w.clock(i)))
	}
}

func (w *world) read(i, limit int) {
	p := w.procs[i]
	if !w.up || p.paused {
		return
	}
	for range limit {
		at := p.leases.Table().Position()
		if at == uint64(len(w.log)) {
			w.do(i, p.leases.CaughtUp(w.clock(i)))
			return
		}
		w.do(i, p.leases.ApplyRecord(at+1, w.log[at], w.clock(i)))
	}
}

func (w *world) tick(i int) {
	p := w.procs[i]
	if p.paused {
		return
	}
	w.do(i, p.leases.Tick(w.clock(i)))
	w.do(i, p.permit.Tick(w.clock(i)))
}

// give lets a process order the engine, if its check allows it now. An engine
// that checks fencing numbers gets the order later, in any order.
func (w *world) give(i int) {
	if fence, ok := w.procs[i].leases.Check(w.order, w.clock(i)); ok && !w.procs[i].paused {
		w.orders = append(w.orders, fence)
	}
}

// check fails when two processes may use one lease at the same moment, or when all
// may load weights, each of them having last heard that all others serve.
func (w *world) check() {
	orders, permits, loading := 0, 0, 0
	for i, p := range w.procs {
		if _, ok := p.leases.Check(w.order, w.clock(i)); ok {
			orders++
		}
		if p.permit.Check(w.clock(i)) {
			permits++
			if p.permit.EnoughServing(len(w.procs)-1, w.others(i), 0) {
				loading++
			}
		}
	}
	if orders > 1 {
		w.t.Fatalf("%d processes hold the order lease", orders)
	}
	if permits > w.permits {
		w.t.Fatalf("%d processes hold %d permits", permits, w.permits)
	}
	if loading >= len(w.procs) {
		w.t.Fatalf("all of %d processes load weights", loading)
	}
}

// others are the IDs of all processes but one.
func (w *world) others(self int) (ids []string) {
	for i := range w.procs {
		if i != self {
			ids = append(ids, fmt.Sprintf("endpoint-%d", i))
		}
	}
	return ids
}

func (w *world) run() {
	kinds := []string{
		"nothing", "order", "order", "permit", "permit", "done", "drop", "append", "append", "append", "append", "read", "read",
		"read", "all", "all", "all", "land", "log", "up", "up", "pause", "go on", "go on", "restart", "time", "time", "time",
	}
	for range worldSteps {
		i := rapid.IntRange(0, len(w.procs)-1).Draw(w.t, "proc")
		w.step(i, rapid.SampledFrom(kinds).Draw(w.t, "step"))
		w.check()
	}
}

func (w *world) step(i int, kind string) {
	p := w.procs[i]
	switch kind {
	case "order":
		w.do(i, p.leases.Acquire(w.order, w.clock(i)))
		w.give(i)
	case "permit":
		w.do(i, p.permit.Acquire(w.clock(i)))
	case "done":
		w.do(i, p.permit.Release(w.clock(i)))
	case "drop":
		w.do(i, p.leases.Release(w.order, w.clock(i)))
	case "append":
		w.settle(i, rapid.SampledFrom([]string{"ok", "ok", "lost", "late", "refused"}).Draw(w.t, "how"))
	case "read":
		w.read(i, rapid.IntRange(1, 4).Draw(w.t, "limit"))
	case "all":
		w.pump()
	case "land":
		if len(w.limbo) > 0 && w.up {
			w.log = append(w.log, w.limbo[0])
			w.limbo = w.limbo[1:]
		}
	case "log":
		w.up = false
	case "up":
		w.up = true
	case "pause":
		p.paused = true
	case "go on":
		p.paused = false
	case "restart":
		if rapid.IntRange(0, 3).Draw(w.t, "really") == 0 {
			w.restart(i)
		}
	case "time":
		w.now += time.Duration(rapid.SampledFrom([]int{1, 100, 1000, 3000, 9000, 12000}).Draw(w.t, "ms")) * time.Millisecond
	}
}

func (w *world) pump() {
	for i := range w.procs {
		w.tick(i)
		w.settle(i, "ok")
		w.read(i, 1000)
		w.give(i)
	}
}

// Symptom: two processes order one engine, or three replicas load weights where
// two may; or nobody in the group serves, since there are as many permits.
// Sequence: a holder is stopped past its lease and goes on; renewals and claims
// are refused, lose their answers or land long after they were sent; the log is
// down; processes restart.
// Cause looked for: a holder that counts its lease from a later moment than the
// sending of what the log took, or a claim on a lease that was renewed.
func TestLeasesAndPermitsAreExclusive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3, rapid.IntRange(2, 3).Draw(t, "permits"))
		w.run()
	})
}

func TestSpared(t *testing.T) {
	w := &world{now: time.Minute, up: true, permits: 3, order: OrderName("endpoint-0")}
	for i := range 3 {
		rng := rand.New(rand.NewPCG(uint64(i), 7))
		l := NewLeases(fmt.Sprintf("endpoint-%d", i), 1, DefaultParams, rng)
		w.procs = append(w.procs, &proc{leases: l, permit: NewPermit(l, w.permits, rng), rate: 1})
	}
	w.pump()
	if w.procs[0].permit.EnoughServing(0, nil, 0) {
		t.Error("spared without a permit")
	}
	for i, p := range w.procs {
		w.do(i, p.permit.Acquire(w.clock(i)))
		for range 9 {
			w.now += time.Second / 4
			w.pump()
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
		if got := w.procs[tt.self].permit.EnoughServing(tt.others, tt.serving, tt.share); got != tt.want {
			t.Errorf("%s: %v", tt.name, got)
		}
	}
}

// Symptom: nobody can load weights any more after an outage.
func TestLeasesAreGrantedOnceTheLogIsBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3, 2)
		w.run()
		w.up = true
		last := rapid.IntRange(0, 2).Draw(t, "wanting")
		for i, p := range w.procs {
			p.paused = false
			w.do(i, p.permit.Release(w.clock(i)))
			w.do(i, p.leases.Release(w.order, w.clock(i)))
		}
		w.do(last, w.procs[last].permit.Acquire(w.clock(last)))
		w.do(last, w.procs[last].leases.Acquire(w.order, w.clock(last)))
		for range 200 {
			w.now += 100 * time.Millisecond
			w.pump()
			w.check()
		}
		if !w.procs[last].permit.Check(w.clock(last)) {
			t.Fatalf("no permit")
		}
		if _, ok := w.procs[last].leases.Check(w.order, w.clock(last)); !ok {
			t.Fatalf("no order lease")
		}
	})
}

// Symptom: an engine goes back to old weights.
// Sequence: a holder is stopped between its check and its order; another is
// granted the lease and orders; the first goes on and its order arrives.
// Cause: without the fencing number the engine can't tell the two apart.
func TestNoOlderOrderTakesEffectAfterANewerOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3, 2)
		w.run()
		arrived := rapid.Permutation(w.orders).Draw(t, "arrival")
		var newest uint64
		var effective []uint64
		for _, fence := range arrived {
			if fence >= newest { // what an engine that checks does
				newest = fence
				effective = append(effective, fence)
			}
		}
		grants := map[uint64]bool{}
		for _, f := range w.orders {
			grants[f] = true
		}
		for i, f := range effective {
			if i > 0 && f < effective[i-1] || !grants[f] {
				t.Fatalf("order %d takes effect after %v", f, effective[:i])
			}
		}
		for i := 1; i < len(w.orders); i++ {
			if w.orders[i] < w.orders[i-1] {
				t.Fatalf("a later holder has the older number: %v", w.orders)
			}
		}
	})
}

// Symptom: readers that began at different offsets disagree on who holds a lease.
// Sequence: the log's retention takes a lease's early records; one process read
// them, another was started later; each claims.
// Cause looked for: a rule that needs records which are gone.
func TestReadersFromAnyOffsetAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3, 2)
		w.run()
		if len(w.log) == 0 {
			return
		}
		oldest := uint64(rapid.IntRange(1, len(w.log)).Draw(t, "oldest"))
		whole, late := NewTable(), NewTable()
		late.SkipTo(oldest)
		for offset := uint64(1); offset <= uint64(len(w.log)); offset++ {
			whole.Apply(offset, w.log[offset-1], w.now)
			late.Apply(offset, w.log[offset-1], w.now)
		}
		for _, claimFrom := range []*Table{whole, late} {
			last := claimFrom.LastOffset(w.order)
			claim := &Record{Kind: KindClaim, Name: w.order, Holder: "endpoint-9", Epoch: 99, Supersedes: last, Seq: 1, DurationMs: 1}
			if last < oldest {
				claim.Supersedes, claim.Oldest = 0, oldest
			}
			data := kit.Must(Encode(claim))(t)
			_, a := whole.Apply(whole.Position()+1, data, w.now)
			_, b := late.Apply(late.Position()+1, data, w.now)
			if a != b || !a && claimFrom == whole {
				t.Fatalf("a claim that supersedes %d: %v for one reader, %v for the other", last, a, b)
			}
		}
	})
}

// Symptom: two processes hold the order lease for a second or two.
// Sequence: a renewal's answer is lost, though it took effect; its sender, which
// reads the log late, sends another one and then reads the first; the second is
// lost. Another process counts from when it saw the first.
// Cause: counting the first renewal from when the second was sent.
func TestRenewalCountsFromItsOwnSending(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 2, 2)
		w.procs[0].rate, w.procs[1].rate = 1, 1
		w.pump()
		w.do(0, w.procs[0].leases.Acquire(w.order, w.clock(0)))
		w.pump()
		w.do(1, w.procs[1].leases.Acquire(w.order, w.clock(1)))
		w.now += DefaultParams.Duration - DefaultParams.RenewBefore
		w.tick(0)
		w.settle(0, "lost")
		w.read(1, 9)
		w.now += 5 * time.Second
		w.tick(0)
		w.settle(0, "refused")
		w.read(0, 9)
		for range 200 {
			w.now += 100 * time.Millisecond
			w.tick(1)
			w.settle(1, "ok")
			w.read(1, 9)
			w.check()
		}
	})
}

func TestMalformedRecordsAreSkipped(t *testing.T) {
	table := NewTable()
	for i, data := range [][]byte{nil, []byte("nonsense"), {0xa0}} {
		if r, valid := table.Apply(uint64(i+1), data, 0); r != nil || valid {
			t.Errorf("%q was taken", data)
		}
	}
	if table.Position() != 3 {
		t.Errorf("position %d", table.Position())
	}
}

// Symptom: after a loss of power at all processes nobody gives orders for a lease's whole
// time. Sequence: the holder is back and reads its own old grant. Cause: it waits for the
// end of a process that was its own predecessor.
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
		t.Error("the holder's successor waits for the lease's end")
	}
	if claims(started("b@2", 8, params)) {
		t.Error("another process doesn't wait for the lease's end")
	}
	if claims(started("a@1", 8, DefaultParams)) {
		t.Error("a process of the holder's name claims where two may run at once")
	}
}
