package admit

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// The simulations drive Cores with simulated engines in virtual time. An engine
// computes prompts one after another, those of a lower priority number first, and
// generates tokens at the speed of the stand-in engine: 8 ms a step and 0.25 ms
// more for each running request. The figures are valid for this model only.
const (
	trialSlots    = 32
	trialPrefill  = 20000
	trialStep     = 8 * time.Millisecond
	trialPerItem  = 250 * time.Microsecond
	trialDeadline = 4 * time.Second
	trialLength   = 2 * time.Minute
)

// source describes one organisation's arrivals.
type source struct {
	organisation string
	rate         float64 // a second
	uncached     int
	output       float64 // mean tokens
	// engines are the engines that hold its prefixes; the first one if empty.
	engines []int
}

// simEvent is an arrival, the end of a prefill or the end of an item in a simulation.
type simEvent struct {
	at       time.Duration
	seq      int
	kind     int
	engines  []int
	engine   *simEngine
	item     Item
	out      int
	arrived  time.Duration
	priority int
}

const (
	arrival = iota
	prefilled
	end
)

type eventQueue []simEvent

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(a[i].at, a[j].at), cmp.Compare(a[i].seq, a[j].seq)) < 0
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(simEvent)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// counts are the results of a simulation for one organisation.
type counts struct {
	offered, good, late, refused int
	withinTarget                 int // first tokens within the target
	firstTokenMs                 []float64
}

func (t *counts) p99() float64 { return t.quantile(0.99) }

func (t *counts) quantile(q float64) float64 {
	if len(t.firstTokenMs) == 0 {
		return math.NaN()
	}
	slices.Sort(t.firstTokenMs)
	return t.firstTokenMs[int(float64(len(t.firstTokenMs))*q)]
}

// simEngine is an engine and its Core.
type simEngine struct {
	core         *Core
	prefillQueue []simEvent // sent to the engine, not computed yet
	prefilling   bool
	backlogs     []string // as last announced to the others
}

type simulation struct {
	engines  []*simEngine
	events   eventQueue
	seq      int
	arrivals map[ID]simEvent
	results  map[string]*counts
}

func (t *simulation) push(ev simEvent) {
	t.seq++
	ev.seq = t.seq
	heap.Push(&t.events, ev)
}

// runTrial offers the sources' requests to one engine and returns the results by
// organisation.
func runTrial(p Params, seed uint64, sources []source) map[string]*counts {
	return runGroup(p, 1, seed, sources)
}

// runGroup does the same with several engines. A request goes to the one with the
// fewest requests among those that hold its prefix. Every second the engines notify
// each other of backlogs.
func runGroup(p Params, engines int, seed uint64, sources []source) map[string]*counts {
	rng := rand.New(rand.NewPCG(seed, 1))
	t := &simulation{arrivals: map[ID]simEvent{}, results: map[string]*counts{}}
	for range engines {
		t.engines = append(t.engines, &simEngine{core: NewCore(p)})
	}
	n := 0
	for _, s := range sources {
		t.results[s.organisation] = &counts{}
		for at := 0.0; ; {
			at += rng.ExpFloat64() / s.rate
			when := time.Duration(at * float64(time.Second))
			if when > trialLength {
				break
			}
			n++
			out := 1 + int(rng.ExpFloat64()*s.output)
			t.push(simEvent{at: when, arrived: when, out: out, engines: s.engines, item: Item{
				ID: ID{byte(n), byte(n >> 8), byte(n >> 16)}, Organisation: s.organisation,
				UncachedTokens: s.uncached, MaxTokens: 1000, Deadline: when + trialDeadline,
			}})
		}
	}
	next := 100 * time.Millisecond
	for t.events.Len() > 0 {
		ev := heap.Pop(&t.events).(simEvent)
		for ; next < ev.at; next += 100 * time.Millisecond {
			for _, e := range t.engines {
				t.take(next, e, e.core.Tick(next))
				if next%time.Second == 0 {
					e.backlogs = e.core.Summary().Heavy
				}
			}
		}
		t.handle(ev)
	}
	return t.results
}

func (t *simulation) handle(ev simEvent) {
	count := t.results[ev.item.Organisation]
	switch ev.kind {
	case arrival:
		ev.engine = t.place(&ev)
		t.arrivals[ev.item.ID] = ev
		count.offered++
		t.take(ev.at, ev.engine, ev.engine.core.Arrive(ev.at, ev.item))
	case prefilled:
		if ev.at-ev.arrived <= DefaultFirstTokenTarget {
			count.withinTarget++
		}
		count.firstTokenMs = append(count.firstTokenMs, ms(ev.at-ev.arrived))
		ev.kind = end
		step := trialStep + time.Duration(ev.engine.core.Summary().Running)*trialPerItem
		t.push(ev.after(time.Duration(ev.out) * step))
		ev.engine.prefilling = false
		t.compute(ev.at, ev.engine)
	case end:
		if ev.at <= ev.item.Deadline {
			count.good++
		} else {
			count.late++
		}
		t.take(ev.at, ev.engine, ev.engine.core.Finish(ev.at, ev.item.ID, Actual{UncachedTokens: ev.item.UncachedTokens, OutputTokens: ev.out, Ran: true}))
	}
}

// place returns the engine for a request and sets how many others have a backlog of
// its organisation.
func (t *simulation) place(ev *simEvent) *simEngine {
	chosen := t.engines[0]
	for i, e := range ev.engines {
		if i == 0 || len(t.engines[e].core.entries) < len(chosen.core.entries) {
			chosen = t.engines[e]
		}
	}
	for _, e := range t.engines {
		if e != chosen && slices.Contains(e.backlogs, ev.item.Organisation) {
			ev.item.BacklogsElsewhere++
		}
	}
	return chosen
}

func (ev simEvent) after(d time.Duration) simEvent {
	ev.at += d
	return ev
}

func (t *simulation) take(now time.Duration, e *simEngine, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Refuse:
			t.results[t.arrivals[a.ID].item.Organisation].refused++
		case Start:
			ev := t.arrivals[a.ID]
			ev.priority = a.EnginePriority
			e.prefillQueue = append(e.prefillQueue, ev)
		}
	}
	t.compute(now, e)
}

// compute lets an engine compute the next prompt, lowest priority number first.
func (t *simulation) compute(now time.Duration, e *simEngine) {
	if e.prefilling || len(e.prefillQueue) == 0 {
		return
	}
	first := 0
	for i := range e.prefillQueue {
		if e.prefillQueue[i].priority < e.prefillQueue[first].priority {
			first = i
		}
	}
	ev := e.prefillQueue[first]
	e.prefillQueue = slices.Delete(e.prefillQueue, first, first+1)
	e.prefilling = true
	ev.kind = prefilled
	ev.at = now
	t.push(ev.after(time.Duration(float64(ev.item.UncachedTokens) / trialPrefill * float64(time.Second))))
}

func trialParams(reserve float64) Params {
	return Params{MaxRunning: trialSlots, MaxQueue: 256, SmallReserve: reserve,
		PrefillTokensPerSecond: trialPrefill, DecodeTokenTime: 10 * time.Millisecond}
}

// The length of an output is exponentially distributed with a mean of trialOutput
// tokens. trialCapacity is the engine's capacity in requests per second: 32 slots,
// 0.98 s for each request.
const (
	trialOutput   = 60
	trialCapacity = trialSlots / 0.98
)

// evenLoad is eight organisations that together ask for a multiple of the engine's
// capacity.
func evenLoad(multiple float64) []source {
	var sources []source
	for i := range 8 {
		sources = append(sources, source{organisation: fmt.Sprint("o", i), rate: multiple * trialCapacity / 8, uncached: 400, output: trialOutput})
	}
	return sources
}

// Guards against goodput that falls past saturation: for minutes more is asked for
// than the engine can do, and it serves requests whose callers no longer wait.
func TestGoodputPastSaturation(t *testing.T) {
	peak, atDouble := 0.0, 0.0
	for _, multiple := range []float64{0.5, 0.8, 1, 1.25, 1.5, 2, 3} {
		good, late, refused := 0, 0, 0
		for _, count := range runTrial(trialParams(0.25), 7, evenLoad(multiple)) {
			good += count.good
			late += count.late
			refused += count.refused
		}
		goodput := float64(good) / trialLength.Seconds()
		t.Logf("offered %.2f x capacity: goodput %.2f/s, late %d, refused %d", multiple, goodput, late, refused)
		peak = max(peak, goodput)
		if multiple == 2 {
			atDouble = goodput
		}
	}
	if atDouble < 0.95*peak {
		t.Errorf("goodput at 2 x is %.2f/s, its peak %.2f/s", atDouble, peak)
	}
}

// Guards against late answers for small organisations beside a large one's backlog:
// seven ask for 5 % of the capacity each, one for ten times its eighth.
func TestSmallOnesBesideALargeOne(t *testing.T) {
	for _, reserve := range []float64{0, 0.125, 0.25, 0.375, 0.5} {
		var small []source
		for i := range 7 {
			small = append(small, source{organisation: fmt.Sprint("small", i), rate: 0.05 * trialCapacity, uncached: 400, output: trialOutput})
		}
		large := source{organisation: "large", rate: 10 * trialCapacity / 8, uncached: 400, output: trialOutput}
		alone := smallOnes(runTrial(trialParams(reserve), 7, small))
		results := runTrial(trialParams(reserve), 7, append(slices.Clone(small), large))
		beside := smallOnes(results)
		t.Logf("reserve %.3f: small ones' p99 first token %.0f ms alone, %.0f ms beside; in time %d of %d alone, %d beside; large %.1f/s of %.1f/s in time",
			reserve, alone.p99(), beside.p99(), alone.good, alone.offered, beside.good,
			float64(results["large"].good)/trialLength.Seconds(), large.rate)
		if reserve > 0 && beside.good < alone.good*97/100 {
			t.Errorf("reserve %.3f: %d in time beside the large one, %d alone", reserve, beside.good, alone.good)
		}
		if reserve == 0.25 && beside.p99() > 2*alone.p99() {
			t.Errorf("p99 first token %.0f ms beside the large one, %.0f ms alone", beside.p99(), alone.p99())
		}
	}
}

// trialNodes is the number of engines of unevenGroup.
const trialNodes = 12

// unevenGroup is the load of a group of trialNodes engines: three organisations that
// ask for 35, 25 and 20 % of a multiple of its capacity and have their prefixes in all
// caches, and five that ask for 4 % and have theirs in four.
func unevenGroup(multiple float64) []source {
	all := make([]int, trialNodes)
	for i := range all {
		all[i] = i
	}
	rate := func(share float64) float64 { return share * multiple * trialNodes * trialCapacity }
	var sources []source
	for i, share := range []float64{0.35, 0.25, 0.2} {
		sources = append(sources, source{fmt.Sprint("large", i), rate(share), 400, trialOutput, all})
	}
	for i := range 5 {
		sources = append(sources, source{fmt.Sprint("small", i), rate(0.04), 400, trialOutput, all[2*i : 2*i+4]})
	}
	return sources
}

// Guards against late or refused answers for small organisations past saturation of
// the group, although each asks for less than an eighth of it: three large ones keep
// every endpoint busy, while the small ones' prefixes are held by a third of them. A
// large one would get a share of every endpoint, a small one of that third only; and
// queues would grow to what the deadlines allow.
func TestSmallOnesPastSaturationOfTheGroup(t *testing.T) {
	peak := 0.0
	for _, multiple := range []float64{0.7, 1, 1.5, 2} {
		results := runGroup(trialParams(0.25), trialNodes, 7, unevenGroup(multiple))
		small, withinTarget := smallOnes(results), 0
		for _, count := range results {
			withinTarget += count.withinTarget
		}
		goodput := float64(withinTarget) / trialLength.Seconds()
		large := results["large0"]
		t.Logf("offered %.1f x capacity: %.0f/s within the target; small ones: p99 %.0f ms, %d of %d refused; largest: p50 %.0f ms, p95 %.0f ms, %d of %d refused",
			multiple, goodput, small.p99(), small.refused, small.offered, large.quantile(0.5), large.quantile(0.95), large.refused, large.offered)
		peak = max(peak, goodput)
		if goodput < 0.95*peak {
			t.Errorf("goodput %.0f/s, its peak %.0f/s", goodput, peak)
		}
		if small.p99() > ms(DefaultFirstTokenTarget) || small.refused*100 > small.offered {
			t.Errorf("small ones' p99 %.0f ms, %d of %d refused", small.p99(), small.refused, small.offered)
		}
	}
}

// smallOnes sums up all but the large organisations.
func smallOnes(results map[string]*counts) *counts {
	var all counts
	for name, count := range results {
		if strings.HasPrefix(name, "large") {
			continue
		}
		all.offered += count.offered
		all.good += count.good
		all.withinTarget += count.withinTarget
		all.refused += count.refused
		all.firstTokenMs = append(all.firstTokenMs, count.firstTokenMs...)
	}
	return &all
}
