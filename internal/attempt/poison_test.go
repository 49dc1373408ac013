package attempt

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarklead/internal/protocol"
)

// Fingerprints of the model: the first two crash every engine that runs them,
// the third every other one, the rest are innocent.
const (
	deadly      = 0
	deadlyToo   = 1
	flaky       = 2
	innocents   = 3
	modelPrints = 8
)

// poisonWorld is a group of endpoint processes, each before its engine. Each
// judges for itself; what they tell one another may be late.
type poisonWorld struct {
	t       *rapid.T
	now     time.Duration
	group   []*PoisonTracker
	engines []map[uint64]int
	news    []modelNews
	crashes map[uint64]int
	local   []map[uint64]int
	flips   int
	late    []lateEnd
}

// lateEnd is the end of a run that a crash took, told some time after.
type lateEnd struct {
	endpoint    int
	fingerprint uint64
}

type modelNews struct {
	to      int
	strikes []protocol.CrashCount
}

func newPoisonWorld(t *rapid.T, n int) *poisonWorld {
	w := &poisonWorld{t: t, now: time.Second, crashes: map[uint64]int{}}
	for range n {
		w.group = append(w.group, NewPoisonTracker(DefaultPoisonParams))
		w.engines = append(w.engines, map[uint64]int{})
		w.local = append(w.local, map[uint64]int{})
	}
	return w
}

func (w *poisonWorld) start(i int, f uint64) {
	before, suspect := w.running(i), w.suspectAlone(i)
	if w.group[i].Start(f, w.now) != StartNow {
		return
	}
	if suspect {
		w.t.Fatalf("a request was started beside a suspect that ran alone")
	}
	if w.group[i].Judge(f, w.now).Kind == VerdictExclusive && before > 0 {
		w.t.Fatalf("a suspect was started beside %d others", before)
	}
	w.engines[i][f]++
}

func (w *poisonWorld) running(i int) int {
	n := 0
	for _, c := range w.engines[i] {
		n += c
	}
	return n
}

// suspectAlone reports whether an endpoint takes its engine to run one request
// that is a suspect. By the world's own count there are other cases: told of the
// end of a run that a crash took after that of the next one, it mistakes the two.
func (w *poisonWorld) suspectAlone(i int) bool {
	p := w.group[i]
	for f := range p.running {
		return p.total == 1 && p.Judge(f, w.now).Kind != VerdictClear
	}
	return false
}

// end lets a request end as is its nature.
func (w *poisonWorld) end(i int, f uint64) {
	if w.engines[i][f] == 0 {
		return
	}
	if f == flaky {
		w.flips++
	}
	if f == deadly || f == deadlyToo || f == flaky && w.flips%2 == 1 {
		w.crash(i, f)
		return
	}
	w.engines[i][f]--
	w.group[i].RecordEnd(f, true, w.now)
}

func (w *poisonWorld) crash(i int, culprit uint64) {
	w.crashes[culprit]++
	w.local[i][culprit]++
	strikes := w.group[i].RecordCrash(w.now)
	for f := range uint64(modelPrints) {
		for range w.engines[i][f] {
			w.late = append(w.late, lateEnd{i, f})
		}
	}
	clear(w.engines[i])
	for to := range w.group {
		if to != i {
			w.news = append(w.news, modelNews{to, strikes})
		}
	}
}

func (w *poisonWorld) endLate() {
	if len(w.late) > 0 {
		w.group[w.late[0].endpoint].RecordEnd(w.late[0].fingerprint, false, w.now)
		w.late = w.late[1:]
	}
}

func (w *poisonWorld) hear(n int) {
	if n < len(w.news) {
		w.group[w.news[n].to].Merge(w.news[n].strikes, w.now)
		w.news = append(w.news[:n:n], w.news[n+1:]...)
	}
}

func (w *poisonWorld) beat(from int) {
	strikes := w.group[from].HeartbeatStrikes(w.now)
	for to := range w.group {
		if to != from {
			w.group[to].Merge(strikes, w.now)
		}
	}
}

func (w *poisonWorld) step() {
	i := rapid.IntRange(0, len(w.group)-1).Draw(w.t, "endpoint")
	f := uint64(rapid.IntRange(0, modelPrints-1).Draw(w.t, "request"))
	switch rapid.SampledFrom([]string{"nothing", "start", "start", "start", "end", "end", "late end", "late end", "late end", "beat", "hear", "withdraw", "time"}).Draw(w.t, "step") {
	case "start":
		w.start(i, f)
	case "end":
		w.end(i, f)
	case "late end":
		w.endLate()
	case "beat":
		w.beat(i)
	case "hear":
		w.hear(rapid.IntRange(0, 3).Draw(w.t, "which"))
	case "withdraw":
		w.group[i].Withdraw(f)
	case "time":
		w.now += time.Second
	}
}

// Symptom: one request takes down engine after engine, or an innocent one is
// refused for an hour in its place.
// Sequence: two requests crash each engine that runs them, one every other; their
// callers and those of innocent ones send them again and again to any endpoint;
// news of crashes comes late, in any order, or only by heartbeats.
// Cause looked for: strikes that are lost, cleared without a bound, or counted
// against what ran beside the culprit.
func TestPoisonIsBoundedAndInnocentsAreNotGivenUp(t *testing.T) {
	p := DefaultPoisonParams
	rapid.Check(t, func(t *rapid.T) {
		w := newPoisonWorld(t, 4)
		for range 300 {
			w.step()
		}
		for i := range w.group {
			for f := uint64(innocents); f < modelPrints; f++ {
				if w.group[i].Judge(f, w.now).Kind == VerdictGivenUp {
					t.Fatalf("innocent request %d is given up at endpoint %d", f, i)
				}
			}
			if n := w.local[i][deadly]; n > p.MaxCrashes {
				t.Fatalf("%d crashes by one request at one endpoint, even unheard", n)
			}
			if n := w.local[i][flaky]; n > p.MaxCrashes+int(p.Pardons) {
				t.Fatalf("%d crashes at one endpoint by a request that sometimes completes", n)
			}
		}
	})
}

// Symptom: copies of one request sent to many endpoints at once crash them all
// again and again.
// Bound: engines that ran a copy when the first one crashed, and Limit-1 more.
func TestPoisonCrashesOverTheGroupWhenStrikesAreHeard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newPoisonWorld(t, 5)
		copies := rapid.IntRange(1, 5).Draw(t, "copies")
		for i := range copies {
			w.start(i, deadly)
		}
		for range 100 {
			i := rapid.IntRange(0, 4).Draw(t, "endpoint")
			if rapid.Bool().Draw(t, "end") {
				w.end(i, deadly)
			} else if w.crashes[deadly] > 0 {
				// Suspects have one owner, who sends them to one executor.
				w.start(0, deadly)
			}
			w.endLate()
			for len(w.news) > 0 {
				w.hear(0)
			}
		}
		if limit := copies + DefaultPoisonParams.MaxCrashes - 1; w.crashes[deadly] > limit {
			t.Fatalf("%d crashes with %d copies at first", w.crashes[deadly], copies)
		}
	})
}

// Symptom: a request given up once is refused for ever.
// Sequence: peers tell one another of it until long after.
// Cause: news that don't age.
func TestStrikesPassedToAndFroExpire(t *testing.T) {
	w := newPoisonWorld(nil, 3)
	for range DefaultPoisonParams.MaxCrashes {
		w.start(0, deadly)
		w.crash(0, deadly)
		w.endLate()
	}
	w.now += 30 * time.Second
	w.beat(0)
	v := w.group[1].Judge(deadly, w.now)
	if v.Kind != VerdictGivenUp || v.RetryAfter <= 0 || v.RetryAfter > DefaultPoisonParams.Memory {
		t.Fatalf("given up by a peer: %+v", v)
	}
	for range int(DefaultPoisonParams.Memory/time.Second) + 1 {
		w.now += time.Second
		for i := range w.group {
			w.beat(i)
		}
	}
	for i, p := range w.group {
		if got := p.Judge(deadly, w.now); got.Kind != VerdictClear {
			t.Errorf("endpoint %d after its time: %+v", i, got)
		}
	}
}

// Symptom: a request that crashes every other engine does so for ever, each
// completion clearing it.
func TestCompletionsClearABoundedNumberOfTimes(t *testing.T) {
	w := newPoisonWorld(nil, 1)
	for range 100 {
		w.start(0, flaky)
		w.end(0, flaky)
		w.endLate()
	}
	if limit := DefaultPoisonParams.MaxCrashes + int(DefaultPoisonParams.Pardons); w.crashes[flaky] != limit {
		t.Errorf("%d crashes, want %d", w.crashes[flaky], limit)
	}
}

// Symptom: a request that was cleared stays a suspect.
// Sequence: it completes at one endpoint; another, which has not heard of that,
// still tells of its strike.
// Cause: merging by the larger count alone.
func TestAClearedStrikeOutdoesOlderNews(t *testing.T) {
	a, b := NewPoisonTracker(DefaultPoisonParams), NewPoisonTracker(DefaultPoisonParams)
	a.Start(innocents, 0)
	old := a.RecordCrash(0)
	a.RecordEnd(innocents, false, 0)
	b.Merge(old, 0)
	a.Start(innocents, 0)
	a.RecordEnd(innocents, true, 0)
	b.Merge(a.HeartbeatStrikes(0), 0)
	b.Merge(old, 0)
	a.Merge(old, 0)
	if a.Judge(innocents, 0).Kind != VerdictClear || b.Judge(innocents, 0).Kind != VerdictClear {
		t.Errorf("after completion: %v and %v", a.Judge(innocents, 0).Kind, b.Judge(innocents, 0).Kind)
	}
}

// Symptom: an engine stands idle although requests wait for it.
// Sequence: a suspect waited to run alone; its caller hung up unnoticed.
func TestASuspectHoldsBackOthersForAWhileOnly(t *testing.T) {
	p := NewPoisonTracker(DefaultPoisonParams)
	for range DefaultPoisonParams.ExclusiveFrom() {
		p.Start(innocents, 0)
		p.RecordCrash(0)
		p.RecordEnd(innocents, false, 0)
	}
	p.Start(innocents+1, 0)
	if p.Start(innocents, 0) != StartWait || p.Start(innocents+2, 0) != StartWait {
		t.Error("a suspect doesn't hold back others")
	}
	if p.Start(innocents+2, DefaultPoisonParams.AloneWait) != StartNow {
		t.Error("a suspect that nobody asks for holds back others for good")
	}
	p.RecordEnd(innocents+1, true, 0)
	p.RecordEnd(innocents+2, true, 0)
	now := DefaultPoisonParams.AloneWait
	if p.Start(innocents, now) != StartNow || p.Start(innocents+1, now) != StartWait {
		t.Error("a suspect doesn't run alone")
	}
	p.RecordEnd(innocents, false, now)
	p.Start(innocents+3, now)
	p.Start(innocents, now)
	if p.Start(innocents+1, now) != StartNow {
		t.Error("suspects leave no gap for others")
	}
}

func TestHeartbeatsCarryAllStrikesInTurn(t *testing.T) {
	p := NewPoisonTracker(DefaultPoisonParams)
	for f := range uint64(100) {
		p.Start(f, 0)
	}
	p.RecordCrash(0)
	told := map[uint64]bool{}
	for range 10 {
		beat := p.HeartbeatStrikes(time.Second)
		if len(beat) > DefaultPoisonParams.Beat {
			t.Fatalf("%d strikes in one heartbeat", len(beat))
		}
		for _, s := range beat {
			told[s.Fingerprint] = true
		}
	}
	if len(told) != 100 {
		t.Errorf("told %d of 100", len(told))
	}
}
