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

// The trials drive one Core with a fake engine in virtual time. The engine
// computes prompts one after another, those of a lower priority number first,
// and generates tokens at the stand-in engine's speeds: 8 ms a step and 0.25 ms
// more for each running request. Figures are of this model only.
const (
	trialPlaces   = 32
	trialPrefill  = 20000
	trialStep     = 8 * time.Millisecond
	trialPerItem  = 250 * time.Microsecond
	trialDeadline = 4 * time.Second
	trialLength   = 2 * time.Minute
)

// source is one organisation's arrivals.
type source struct {
	organisation string
	rate         float64 // a second
	uncached     int
	output       float64 // mean tokens
	nodes        []int   // that hold its prefixes, the first if empty
}

// happening is an arrival, an end of prefill or an end in a trial.
type happening struct {
	at       time.Duration
	seq      int
	kind     int
	nodes    []int
	node     *node
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

type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(a[i].at, a[j].at), cmp.Compare(a[i].seq, a[j].seq)) < 0
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// tally is what a trial counted for one organisation.
type tally struct {
	offered, good, late, refused int
	prompt                       int       // first tokens within the target
	firstToken                   []float64 // ms
}

func (t *tally) p99() float64 { return t.quantile(0.99) }

func (t *tally) quantile(q float64) float64 {
	if len(t.firstToken) == 0 {
		return math.NaN()
	}
	slices.Sort(t.firstToken)
	return t.firstToken[int(float64(len(t.firstToken))*q)]
}

// node is an engine and its Core.
type node struct {
	core      *Core
	prefills  []happening // handed to the engine, not computed yet
	computing bool
	heavy     []string // as the others were last told
}

type trial struct {
	nodes   []*node
	agenda  agenda
	seq     int
	known   map[ID]happening
	tallies map[string]*tally
}

func (t *trial) push(h happening) {
	t.seq++
	h.seq = t.seq
	heap.Push(&t.agenda, h)
}

// runTrial offers the sources' requests to one node and returns what became of
// them.
func runTrial(p Params, seed uint64, sources []source) map[string]*tally {
	return runGroup(p, 1, seed, sources)
}

// runGroup does so with several nodes. A request goes to the one with the fewest
// requests of those that hold its prefix; each second, the nodes tell each other of
// backlogs.
func runGroup(p Params, nodes int, seed uint64, sources []source) map[string]*tally {
	rng := rand.New(rand.NewPCG(seed, 1))
	t := &trial{known: map[ID]happening{}, tallies: map[string]*tally{}}
	for range nodes {
		t.nodes = append(t.nodes, &node{core: NewCore(p)})
	}
	n := 0
	for _, s := range sources {
		t.tallies[s.organisation] = &tally{}
		for at := 0.0; ; {
			at += rng.ExpFloat64() / s.rate
			when := time.Duration(at * float64(time.Second))
			if when > trialLength {
				break
			}
			n++
			out := 1 + int(rng.ExpFloat64()*s.output)
			t.push(happening{at: when, arrived: when, out: out, nodes: s.nodes, item: Item{
				ID: ID{byte(n), byte(n >> 8), byte(n >> 16)}, Organisation: s.organisation,
				UncachedTokens: s.uncached, MaxTokens: 1000, Deadline: when + trialDeadline,
			}})
		}
	}
	next := 100 * time.Millisecond
	for t.agenda.Len() > 0 {
		h := heap.Pop(&t.agenda).(happening)
		for ; next < h.at; next += 100 * time.Millisecond {
			for _, n := range t.nodes {
				t.take(next, n, n.core.Tick(next))
				if next%time.Second == 0 {
					n.heavy = n.core.Summary().Heavy
				}
			}
		}
		t.handle(h)
	}
	return t.tallies
}

func (t *trial) handle(h happening) {
	count := t.tallies[h.item.Organisation]
	switch h.kind {
	case arrival:
		h.node = t.place(&h)
		t.known[h.item.ID] = h
		count.offered++
		t.take(h.at, h.node, h.node.core.Arrive(h.at, h.item))
	case prefilled:
		if h.at-h.arrived <= DefaultFirstTokenTarget {
			count.prompt++
		}
		count.firstToken = append(count.firstToken, ms(h.at-h.arrived))
		h.kind = end
		step := trialStep + time.Duration(h.node.core.Summary().Running)*trialPerItem
		t.push(h.after(time.Duration(h.out) * step))
		h.node.computing = false
		t.compute(h.at, h.node)
	case end:
		if h.at <= h.item.Deadline {
			count.good++
		} else {
			count.late++
		}
		t.take(h.at, h.node, h.node.core.Finish(h.at, h.item.ID, Actual{UncachedTokens: h.item.UncachedTokens, OutputTokens: h.out, Ran: true}))
	}
}

// place returns the node for a request and sets how many others have a backlog of
// its organisation.
func (t *trial) place(h *happening) *node {
	chosen := t.nodes[0]
	for i, n := range h.nodes {
		if i == 0 || len(t.nodes[n].core.entries) < len(chosen.core.entries) {
			chosen = t.nodes[n]
		}
	}
	for _, n := range t.nodes {
		if n != chosen && slices.Contains(n.heavy, h.item.Organisation) {
			h.item.BacklogsElsewhere++
		}
	}
	return chosen
}

func (h happening) after(d time.Duration) happening {
	h.at += d
	return h
}

func (t *trial) take(now time.Duration, n *node, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Refuse:
			t.tallies[t.known[a.ID].item.Organisation].refused++
		case Start:
			h := t.known[a.ID]
			h.priority = a.EnginePriority
			n.prefills = append(n.prefills, h)
		}
	}
	t.compute(now, n)
}

// compute lets a node's engine compute the next prompt, lowest priority number first.
func (t *trial) compute(now time.Duration, n *node) {
	if n.computing || len(n.prefills) == 0 {
		return
	}
	first := 0
	for i := range n.prefills {
		if n.prefills[i].priority < n.prefills[first].priority {
			first = i
		}
	}
	h := n.prefills[first]
	n.prefills = slices.Delete(n.prefills, first, first+1)
	n.computing = true
	h.kind = prefilled
	h.at = now
	t.push(h.after(time.Duration(float64(h.item.UncachedTokens) / trialPrefill * float64(time.Second))))
}

func trialParams(reserve float64) Params {
	return Params{MaxRunning: trialPlaces, MaxQueue: 256, SmallReserve: reserve,
		PrefillTokensPerSecond: trialPrefill, DecodeTokenTime: 10 * time.Millisecond}
}

// An output has trialOutput tokens in the mean, exponentially distributed.
// trialCapacity is what the engine can do in requests a second: 32 places for
// 0.98 s each.
const (
	trialOutput   = 60
	trialCapacity = trialPlaces / 0.98
)

// evenLoad is eight organisations at a multiple of the engine's capacity.
func evenLoad(multiple float64) []source {
	var sources []source
	for i := range 8 {
		sources = append(sources, source{organisation: fmt.Sprint("o", i), rate: multiple * trialCapacity / 8, uncached: 400, output: trialOutput})
	}
	return sources
}

// Symptom: past saturation fewer and fewer callers get an answer in time.
// Sequence: more is asked for than the engine can do, for minutes.
// Cause: it serves what nobody waits for any more.
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

// Symptom: small organisations' answers come late when a large one asks for ten
// times its share.
// Sequence: seven ask for 5 % of capacity each, one for ten times its eighth.
// Cause: they wait behind its backlog.
func TestSmallOnesBesideALargeOne(t *testing.T) {
	for _, reserve := range []float64{0, 0.125, 0.25, 0.375, 0.5} {
		var small []source
		for i := range 7 {
			small = append(small, source{organisation: fmt.Sprint("small", i), rate: 0.05 * trialCapacity, uncached: 400, output: trialOutput})
		}
		large := source{organisation: "large", rate: 10 * trialCapacity / 8, uncached: 400, output: trialOutput}
		alone := smallOnes(runTrial(trialParams(reserve), 7, small))
		tallies := runTrial(trialParams(reserve), 7, append(slices.Clone(small), large))
		beside := smallOnes(tallies)
		t.Logf("reserve %.3f: small ones' p99 first token %.0f ms alone, %.0f ms beside; in time %d of %d alone, %d beside; large %.1f/s of %.1f/s in time",
			reserve, alone.p99(), beside.p99(), alone.good, alone.offered, beside.good,
			float64(tallies["large"].good)/trialLength.Seconds(), large.rate)
		if reserve > 0 && beside.good < alone.good*97/100 {
			t.Errorf("reserve %.3f: %d in time beside the large one, %d alone", reserve, beside.good, alone.good)
		}
		if reserve == 0.25 && beside.p99() > 2*alone.p99() {
			t.Errorf("p99 first token %.0f ms beside the large one, %.0f ms alone", beside.p99(), alone.p99())
		}
	}
}

// unevenGroup is a group of trialNodes: three organisations that ask for 35, 25
// and 20 % of a multiple of its capacity and are in all caches, five that ask for 4 %
// and are in four.
const trialNodes = 12

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

// Symptom: past saturation of the group, small organisations' answers are late or
// refused, though they ask for less than an eighth of it each.
// Sequence: three large ones keep every endpoint busy; the small ones' prefixes are
// held by a third of them.
// Cause: a large one has a share of every endpoint, a small one of those alone; and
// queues grow to what the deadlines allow.
func TestSmallOnesPastSaturationOfTheGroup(t *testing.T) {
	peak := 0.0
	for _, multiple := range []float64{0.7, 1, 1.5, 2} {
		tallies := runGroup(trialParams(0.25), trialNodes, 7, unevenGroup(multiple))
		small, prompt := smallOnes(tallies), 0
		for _, count := range tallies {
			prompt += count.prompt
		}
		goodput := float64(prompt) / trialLength.Seconds()
		large := tallies["large0"]
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

// smallOnes sums up all but the large ones.
func smallOnes(tallies map[string]*tally) *tally {
	var all tally
	for name, count := range tallies {
		if strings.HasPrefix(name, "large") {
			continue
		}
		all.offered += count.offered
		all.good += count.good
		all.prompt += count.prompt
		all.refused += count.refused
		all.firstToken = append(all.firstToken, count.firstToken...)
	}
	return &all
}
