package admit

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// bench drives a Core and checks what must always hold.
type bench struct {
	t       *rapid.T
	core    *Core
	params  Params
	now     time.Duration
	next    int
	items   map[ID]Item
	waiting map[ID]bool
	running map[ID]bool
	ended   map[ID]bool
	starts  []Item
}

func newBench(t *rapid.T, p Params) *bench {
	return &bench{
		t:       t,
		core:    NewCore(p),
		params:  p.withDefaults(),
		items:   map[ID]Item{},
		waiting: map[ID]bool{},
		running: map[ID]bool{},
		ended:   map[ID]bool{},
	}
}

func (b *bench) arrive(i Item) {
	b.next++
	i.ID = ID{byte(b.next), byte(b.next >> 8)}
	b.items[i.ID] = i
	b.waiting[i.ID] = true
	b.take(b.core.Arrive(b.now, i))
}

// take checks that each item gets one Start or one Refuse at most, and no Refuse
// after its Start.
func (b *bench) take(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Start:
			b.leaveQueue(a.ID, "start")
			b.running[a.ID] = true
			b.starts = append(b.starts, b.items[a.ID])
		case Refuse:
			b.leaveQueue(a.ID, "refusal")
			b.ended[a.ID] = true
			if a.Code == "" || a.Reason == "" || a.RetryAfter > maxRetryAfter {
				b.t.Fatalf("refusal without code or reason: %+v", a)
			}
			if a.Reason == reasonStanding && (a.RetryAfter < minRetryAfter || !b.waits(b.items[a.ID].Organisation)) {
				b.t.Fatalf("refused for a backlog that isn't there: %+v", a)
			}
		}
	}
	b.check()
}

func (b *bench) waits(organisation string) bool {
	for id := range b.waiting {
		if b.items[id].Organisation == organisation {
			return true
		}
	}
	return false
}

func (b *bench) leaveQueue(id ID, what string) {
	if !b.waiting[id] {
		b.t.Fatalf("%s of an item that doesn't wait: running %v, ended %v", what, b.running[id], b.ended[id])
	}
	delete(b.waiting, id)
}

func (b *bench) finish(id ID, a Actual) {
	delete(b.running, id)
	b.ended[id] = true
	b.take(b.core.Finish(b.now, id, a))
}

func (b *bench) cancel(id ID) {
	if b.waiting[id] {
		delete(b.waiting, id)
		b.ended[id] = true
	}
	b.take(b.core.Cancel(b.now, id))
}

func (b *bench) check() {
	if len(b.running) > b.params.MaxRunning {
		b.t.Fatalf("%d run, the bound is %d", len(b.running), b.params.MaxRunning)
	}
	s := b.core.Summary()
	if s.Running != len(b.running) || s.Queued != len(b.waiting) {
		b.t.Fatalf("summary %+v, %d run and %d wait", s, len(b.running), len(b.waiting))
	}
	if s.Queued > b.params.MaxQueue {
		b.t.Fatalf("%d wait, the bound is %d", s.Queued, b.params.MaxQueue)
	}
	b.checkAlone()
	b.checkConserving()
}

func (b *bench) checkAlone() {
	for id := range b.running {
		if b.items[id].Exclusive && len(b.running) > 1 {
			b.t.Fatal("a suspect runs beside others")
		}
	}
}

// checkConserving: no place outside of the reserve is empty while anything
// waits, and none at all while an organisation with nothing running waits.
func (b *bench) checkConserving() {
	for id := range b.running {
		if b.items[id].Exclusive {
			return
		}
	}
	perOrganisation := map[string]int{}
	for id := range b.running {
		perOrganisation[b.items[id].Organisation]++
	}
	reserved := b.params.reserved()
	for id := range b.waiting {
		if b.items[id].Exclusive {
			return
		}
	}
	for id := range b.waiting {
		free := b.params.MaxRunning - len(b.running)
		light := reserved > 0 && perOrganisation[b.items[id].Organisation] == 0
		if free > reserved || (free > 0 && light) {
			b.t.Fatalf("%d places are free, %d reserved, and %s waits", free, reserved, b.items[id].Organisation)
		}
	}
}

func anyOf(t *rapid.T, set map[ID]bool) (ID, bool) {
	if len(set) == 0 {
		return ID{}, false
	}
	first := true
	var least ID
	skip := rapid.IntRange(0, 3).Draw(t, "which")
	for n := range 1000 {
		id := ID{byte(n), byte(n >> 8)}
		if !set[id] {
			continue
		}
		if first || skip > 0 {
			least, first = id, false
			skip--
		}
	}
	return least, true
}

func drawItem(t *rapid.T, organisation string) Item {
	return Item{
		Organisation:   organisation,
		Weight:         rapid.SampledFrom([]float64{0, 1, 2}).Draw(t, "weight"),
		Priority:       rapid.IntRange(-1, 1).Draw(t, "priority"),
		UncachedTokens: rapid.IntRange(1, 5000).Draw(t, "uncached"),
		MaxTokens:      rapid.IntRange(1, 500).Draw(t, "max"),
	}
}

func drawParams(t *rapid.T) Params {
	return Params{
		MaxRunning:   rapid.IntRange(1, 6).Draw(t, "places"),
		MaxQueue:     rapid.IntRange(1, 40).Draw(t, "queue"),
		SmallReserve: rapid.SampledFrom([]float64{0, 0.25, 0.5}).Draw(t, "reserve"),
	}
}

func drawActual(t *rapid.T) Actual {
	return Actual{
		UncachedTokens: rapid.IntRange(0, 5000).Draw(t, "actual uncached"),
		OutputTokens:   rapid.IntRange(0, 500).Draw(t, "actual output"),
		Ran:            rapid.IntRange(0, 9).Draw(t, "ran") > 0,
	}
}

func TestCoreKeepsItsRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(t, drawParams(t))
		organisations := rapid.SampledFrom([]string{"large", "large", "large", "middle", "small"})
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				i := drawItem(t, organisations.Draw(t, "organisation"))
				i.Exclusive = rapid.IntRange(0, 9).Draw(t, "exclusive") == 0
				i.MaxInFlight = rapid.SampledFrom([]int{0, 0, 5}).Draw(t, "in flight")
				if rapid.Bool().Draw(t, "has deadline") {
					i.Deadline = b.now + time.Duration(rapid.IntRange(1, 20000).Draw(t, "deadline"))*time.Millisecond
				}
				b.arrive(i)
			},
			"finish": func(t *rapid.T) {
				if id, ok := anyOf(t, b.running); ok {
					b.finish(id, drawActual(t))
				}
			},
			"finish twice": func(t *rapid.T) {
				if id, ok := anyOf(t, b.ended); ok {
					b.take(b.core.Finish(b.now, id, Actual{Ran: true}))
				}
			},
			"finish what waits": func(t *rapid.T) {
				if id, ok := anyOf(t, b.waiting); ok {
					b.take(b.core.Finish(b.now, id, Actual{Ran: true}))
				}
			},
			"cancel": func(t *rapid.T) {
				if id, ok := anyOf(t, b.waiting); ok {
					b.cancel(id)
				}
			},
			"cancel running": func(t *rapid.T) {
				if id, ok := anyOf(t, b.running); ok {
					b.cancel(id)
				}
			},
			"arrive again": func(t *rapid.T) {
				if id, ok := anyOf(t, b.waiting); ok {
					b.take(b.core.Arrive(b.now, b.items[id]))
				}
			},
			"tick": func(t *rapid.T) {
				b.now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond
				b.take(b.core.Tick(b.now))
			},
		})
		b.runOut()
	})
}

// runOut ends all that runs until nothing waits: no item may starve.
func (b *bench) runOut() {
	for rounds := 0; len(b.running)+len(b.waiting) > 0; rounds++ {
		if rounds > 1000 || len(b.running) == 0 {
			b.t.Fatalf("%d wait for ever beside %d running", len(b.waiting), len(b.running))
		}
		for id := range b.running {
			b.finish(id, Actual{Ran: true})
			break
		}
	}
	b.now += time.Hour // past the estimated end of any prefill
	b.take(b.core.Tick(b.now))
	s := b.core.Summary()
	s.OutputShare = 0 // is learnt, and stays
	if !reflect.DeepEqual(s, Summary{}) || b.core.queue.cost != 0 || len(b.core.present.list) != 0 {
		b.t.Fatalf("left over: %+v, cost %f", s, b.core.queue.cost)
	}
}

// A newcomer waits for a place and for one item at most of each organisation
// that waits already, whatever their backlogs.
func TestNewcomerPassesBacklogs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawParams(t)
		p.MaxQueue = 500
		b := newBench(t, p)
		others := rapid.IntRange(1, 4).Draw(t, "others")
		for range rapid.IntRange(1, 60).Draw(t, "backlog") {
			name := fmt.Sprint("large", rapid.IntRange(1, others).Draw(t, "organisation"))
			b.arrive(drawItem(t, name))
			if id, ok := anyOf(t, b.running); ok && rapid.IntRange(0, 4).Draw(t, "finish") == 0 {
				b.finish(id, drawActual(t))
			}
		}
		free := len(b.running) < p.MaxRunning
		before := len(b.starts)
		b.arrive(drawItem(t, "small"))
		if p.reserved() > 0 && free && len(b.starts) == before {
			t.Fatal("did not take a free place of the reserve")
		}
		passed := map[string]int{}
		for finishes := 0; ; finishes++ {
			for _, i := range b.starts[before:] {
				if i.Organisation == "small" {
					return
				}
				passed[i.Organisation]++
				if passed[i.Organisation] > 1 {
					t.Fatalf("%s started twice before the newcomer", i.Organisation)
				}
			}
			before = len(b.starts)
			id, ok := anyOf(t, b.running)
			if !ok || finishes > others+p.MaxRunning {
				t.Fatalf("not started after %d finishes", finishes)
			}
			b.finish(id, drawActual(t))
			if rapid.Bool().Draw(t, "more") {
				b.arrive(drawItem(t, "large1"))
			}
		}
	})
}

// Two organisations that both always wait get work by their weights, of which one
// with backlogs at other endpoints has a part here, up to one item of each (the bound
// of start-time fair queueing).
func TestBackloggedShareByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Params{MaxRunning: rapid.IntRange(1, 4).Draw(t, "places"), MaxQueue: 1000, MaxWait: 24 * time.Hour}
		b := newBench(t, p)
		weights := map[string]float64{"a": 1, "b": rapid.SampledFrom([]float64{1, 2, 3}).Draw(t, "weight")}
		elsewhere := map[string]int{"b": rapid.IntRange(0, 2).Draw(t, "elsewhere")}
		here := map[string]float64{"a": 1, "b": weights["b"] / float64(1+elsewhere["b"])}
		most := map[string]float64{}
		for range 100 {
			for _, name := range []string{"a", "b"} {
				i := drawItem(t, name)
				i.Weight, i.BacklogsElsewhere = weights[name], elsewhere[name]
				i.ExpectedTokens = i.MaxTokens
				most[name] = max(most[name], b.params.cost(i.UncachedTokens, i.MaxTokens)/here[name])
				b.arrive(i)
			}
		}
		got := map[string]float64{}
		from := len(b.starts)
		for range 60 {
			id, _ := anyOf(t, b.running)
			i := b.items[id]
			b.finish(id, Actual{UncachedTokens: i.UncachedTokens, OutputTokens: i.MaxTokens, Ran: true})
		}
		for _, i := range b.starts[from:] {
			got[i.Organisation] += b.params.cost(i.UncachedTokens, i.MaxTokens) / here[i.Organisation]
		}
		if gap := got["a"] - got["b"]; gap > most["a"]+most["b"] || -gap > most["a"]+most["b"] {
			t.Fatalf("work by weight: %v, largest items %v", got, most)
		}
	})
}
