package admit

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// coreModel drives a Core and checks its invariants.
type coreModel struct {
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

func newCoreModel(t *rapid.T, p Params) *coreModel {
	return &coreModel{
		t:       t,
		core:    NewCore(p),
		params:  p.withDefaults(),
		items:   map[ID]Item{},
		waiting: map[ID]bool{},
		running: map[ID]bool{},
		ended:   map[ID]bool{},
	}
}

func (m *coreModel) arrive(i Item) {
	m.next++
	i.ID = ID{byte(m.next), byte(m.next >> 8)}
	m.items[i.ID] = i
	m.waiting[i.ID] = true
	m.take(m.core.Arrive(m.now, i))
}

// take checks that each item gets at most one Start or one Refuse, and no Refuse after
// its Start.
func (m *coreModel) take(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Start:
			m.leaveQueue(a.ID, "start")
			m.running[a.ID] = true
			m.starts = append(m.starts, m.items[a.ID])
		case Refuse:
			m.leaveQueue(a.ID, "refusal")
			m.ended[a.ID] = true
			if a.Code == "" || a.Reason == "" || a.RetryAfter > maxRetryAfter {
				m.t.Fatalf("refusal without code or reason: %+v", a)
			}
			if a.Reason == reasonStandingBacklog && (a.RetryAfter < minRetryAfter || !m.waits(m.items[a.ID].Organisation)) {
				m.t.Fatalf("refused for a standing backlog that does not exist: %+v", a)
			}
		}
	}
	m.check()
}

func (m *coreModel) waits(organisation string) bool {
	for id := range m.waiting {
		if m.items[id].Organisation == organisation {
			return true
		}
	}
	return false
}

func (m *coreModel) leaveQueue(id ID, event string) {
	if !m.waiting[id] {
		m.t.Fatalf("%s of an item that doesn't wait: running %v, ended %v", event, m.running[id], m.ended[id])
	}
	delete(m.waiting, id)
}

func (m *coreModel) finish(id ID, a Actual) {
	delete(m.running, id)
	m.ended[id] = true
	m.take(m.core.Finish(m.now, id, a))
}

func (m *coreModel) cancel(id ID) {
	if m.waiting[id] {
		delete(m.waiting, id)
		m.ended[id] = true
	}
	m.take(m.core.Cancel(m.now, id))
}

func (m *coreModel) check() {
	if len(m.running) > m.params.MaxRunning {
		m.t.Fatalf("%d items run, the bound is %d", len(m.running), m.params.MaxRunning)
	}
	s := m.core.Summary()
	if s.Running != len(m.running) || s.Queued != len(m.waiting) {
		m.t.Fatalf("summary %+v, %d run and %d wait", s, len(m.running), len(m.waiting))
	}
	if s.Queued > m.params.MaxQueue {
		m.t.Fatalf("%d items wait, the bound is %d", s.Queued, m.params.MaxQueue)
	}
	m.checkAlone()
	m.checkConserving()
}

func (m *coreModel) checkAlone() {
	for id := range m.running {
		if m.items[id].Exclusive && len(m.running) > 1 {
			m.t.Fatal("a suspect runs beside others")
		}
	}
}

// checkConserving checks that no unreserved slot is empty while any item waits, and no
// slot at all while an organisation with nothing running waits.
func (m *coreModel) checkConserving() {
	for id := range m.running {
		if m.items[id].Exclusive {
			return
		}
	}
	perOrganisation := map[string]int{}
	for id := range m.running {
		perOrganisation[m.items[id].Organisation]++
	}
	reserved := m.params.reservedSlots()
	for id := range m.waiting {
		if m.items[id].Exclusive {
			return
		}
	}
	for id := range m.waiting {
		free := m.params.MaxRunning - len(m.running)
		mayUseReserve := reserved > 0 && perOrganisation[m.items[id].Organisation] == 0
		if free > reserved || (free > 0 && mayUseReserve) {
			m.t.Fatalf("%d slots are free, %d reserved, and %s waits", free, reserved, m.items[id].Organisation)
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
		m := newCoreModel(t, drawParams(t))
		organisations := rapid.SampledFrom([]string{"large", "large", "large", "middle", "small"})
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				i := drawItem(t, organisations.Draw(t, "organisation"))
				i.Exclusive = rapid.IntRange(0, 9).Draw(t, "exclusive") == 0
				i.MaxInFlight = rapid.SampledFrom([]int{0, 0, 5}).Draw(t, "in flight")
				if rapid.Bool().Draw(t, "has deadline") {
					i.Deadline = m.now + time.Duration(rapid.IntRange(1, 20000).Draw(t, "deadline"))*time.Millisecond
				}
				m.arrive(i)
			},
			"finish": func(t *rapid.T) {
				if id, ok := anyOf(t, m.running); ok {
					m.finish(id, drawActual(t))
				}
			},
			"finish twice": func(t *rapid.T) {
				if id, ok := anyOf(t, m.ended); ok {
					m.take(m.core.Finish(m.now, id, Actual{Ran: true}))
				}
			},
			"finish what waits": func(t *rapid.T) {
				if id, ok := anyOf(t, m.waiting); ok {
					m.take(m.core.Finish(m.now, id, Actual{Ran: true}))
				}
			},
			"cancel": func(t *rapid.T) {
				if id, ok := anyOf(t, m.waiting); ok {
					m.cancel(id)
				}
			},
			"cancel running": func(t *rapid.T) {
				if id, ok := anyOf(t, m.running); ok {
					m.cancel(id)
				}
			},
			"arrive again": func(t *rapid.T) {
				if id, ok := anyOf(t, m.waiting); ok {
					m.take(m.core.Arrive(m.now, m.items[id]))
				}
			},
			"tick": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond
				m.take(m.core.Tick(m.now))
			},
		})
		m.runOut()
	})
}

// runOut ends all running items until nothing waits: no item may starve.
func (m *coreModel) runOut() {
	for rounds := 0; len(m.running)+len(m.waiting) > 0; rounds++ {
		if rounds > 1000 || len(m.running) == 0 {
			m.t.Fatalf("%d items wait for ever beside %d running", len(m.waiting), len(m.running))
		}
		for id := range m.running {
			m.finish(id, Actual{Ran: true})
			break
		}
	}
	m.now += time.Hour // past the estimated end of any prefill
	m.take(m.core.Tick(m.now))
	s := m.core.Summary()
	s.OutputShare = 0 // an estimate, kept when idle
	if !reflect.DeepEqual(s, Summary{}) || m.core.queue.cost != 0 || len(m.core.active.organisations) != 0 {
		m.t.Fatalf("state left after all items ended: %+v, cost %f", s, m.core.queue.cost)
	}
}

// A newcomer waits for a slot and for at most one item of each organisation that waits
// already, whatever their backlogs.
func TestNewcomerPassesBacklogs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawParams(t)
		p.MaxQueue = 500
		m := newCoreModel(t, p)
		others := rapid.IntRange(1, 4).Draw(t, "others")
		for range rapid.IntRange(1, 60).Draw(t, "backlog") {
			name := fmt.Sprint("large", rapid.IntRange(1, others).Draw(t, "organisation"))
			m.arrive(drawItem(t, name))
			if id, ok := anyOf(t, m.running); ok && rapid.IntRange(0, 4).Draw(t, "finish") == 0 {
				m.finish(id, drawActual(t))
			}
		}
		free := len(m.running) < p.MaxRunning
		before := len(m.starts)
		m.arrive(drawItem(t, "small"))
		if p.reservedSlots() > 0 && free && len(m.starts) == before {
			t.Fatal("did not take a free reserved slot")
		}
		passed := map[string]int{}
		for finishes := 0; ; finishes++ {
			for _, i := range m.starts[before:] {
				if i.Organisation == "small" {
					return
				}
				passed[i.Organisation]++
				if passed[i.Organisation] > 1 {
					t.Fatalf("%s started twice before the newcomer", i.Organisation)
				}
			}
			before = len(m.starts)
			id, ok := anyOf(t, m.running)
			if !ok || finishes > others+p.MaxRunning {
				t.Fatalf("not started after %d finishes", finishes)
			}
			m.finish(id, drawActual(t))
			if rapid.Bool().Draw(t, "more") {
				m.arrive(drawItem(t, "large1"))
			}
		}
	})
}

// Two organisations that always have items waiting get work in proportion to their
// weights at this endpoint, up to one item of each (the bound of start-time fair
// queueing). The weight of one with backlogs at other endpoints is divided among them.
func TestBackloggedShareByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Params{MaxRunning: rapid.IntRange(1, 4).Draw(t, "places"), MaxQueue: 1000, MaxWait: 24 * time.Hour}
		m := newCoreModel(t, p)
		weights := map[string]float64{"a": 1, "b": rapid.SampledFrom([]float64{1, 2, 3}).Draw(t, "weight")}
		elsewhere := map[string]int{"b": rapid.IntRange(0, 2).Draw(t, "elsewhere")}
		here := map[string]float64{"a": 1, "b": weights["b"] / float64(1+elsewhere["b"])}
		most := map[string]float64{}
		for range 100 {
			for _, name := range []string{"a", "b"} {
				i := drawItem(t, name)
				i.Weight, i.BacklogsElsewhere = weights[name], elsewhere[name]
				i.ExpectedTokens = i.MaxTokens
				most[name] = max(most[name], m.params.cost(i.UncachedTokens, i.MaxTokens)/here[name])
				m.arrive(i)
			}
		}
		got := map[string]float64{}
		from := len(m.starts)
		for range 60 {
			id, _ := anyOf(t, m.running)
			i := m.items[id]
			m.finish(id, Actual{UncachedTokens: i.UncachedTokens, OutputTokens: i.MaxTokens, Ran: true})
		}
		for _, i := range m.starts[from:] {
			got[i.Organisation] += m.params.cost(i.UncachedTokens, i.MaxTokens) / here[i.Organisation]
		}
		if gap := got["a"] - got["b"]; gap > most["a"]+most["b"] || -gap > most["a"]+most["b"] {
			t.Fatalf("work by weight: %v, largest items %v", got, most)
		}
	})
}
