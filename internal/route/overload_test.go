package route

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"skylarklead/internal/admit"
)

// The overload simulation has engines that read one chunk of prompts between the tokens of their
// streams, in the order of arrival, and entries that place short urgent and long other requests by
// their own loads and what the others report.
const (
	overloadStep     = 2 * time.Millisecond
	overloadReplicas = 12
	overloadEntries  = 4
	overloadSlots    = 64
	overloadLength   = 8 * time.Second
	// prefillPerMs is the engines' speed in tokens, chunkTokens what all prompts get in a step.
	prefillPerMs, chunkTokens = 150.0, 2048.0
	reportEvery               = 100 * time.Millisecond
)

// overloadClass is a kind of request.
type overloadClass struct {
	urgent          bool
	prompt, output  int
	target, timeout time.Duration
	// rate is in requests a second, over all entries.
	rate float64
}

type overloadRequest struct {
	class    *overloadClass
	arrived  time.Duration
	query    PickQuery
	choice   PickResult
	queued   *admit.QueuedRequest
	entry    *overloadEntry
	unread   float64 // prompt tokens
	left     int     // output tokens
	first    time.Duration
	pickedAt time.Duration
}

type overloadEntry struct {
	id     string
	picker *Picker
	queue  *admit.WaitQueue
	seq    uint64
}

type overloadEngine struct {
	running, waiting []*overloadRequest
	readyAt          time.Duration
}

type overloadSim struct {
	rng     *rand.Rand
	now     time.Duration
	entries []*overloadEntry
	engines map[string]*overloadEngine
	// candidates are the replicas in service.
	candidates []PickCandidate
	// queueTarget is the shortest target of any class.
	queueTarget time.Duration
	// inTime counts the requests whose first token came within the target, by urgency; asked all.
	inTime, asked map[bool]int
}

func newOverloadSim(seed uint64, replicas int) *overloadSim {
	s := &overloadSim{rng: rand.New(rand.NewPCG(seed, 3)), engines: map[string]*overloadEngine{}, inTime: map[bool]int{}, asked: map[bool]int{}}
	for i := range replicas {
		id := fmt.Sprint("r", i)
		s.engines[id] = &overloadEngine{}
		s.candidates = append(s.candidates, PickCandidate{ID: id, Slots: overloadSlots, Engine: true, MemoryTokens: 150_000})
	}
	for i := range overloadEntries {
		e := &overloadEntry{id: fmt.Sprint("e", i), picker: NewPicker(DefaultPickerParams, rand.New(rand.NewPCG(seed, uint64(i)))), queue: admit.NewWaitQueue()}
		s.entries = append(s.entries, e)
	}
	return s
}

func (s *overloadSim) run(classes []*overloadClass) {
	for _, c := range classes {
		if s.queueTarget == 0 || c.target < s.queueTarget {
			s.queueTarget = c.target
		}
	}
	for ; s.now < overloadLength; s.now += overloadStep {
		if s.now%reportEvery == 0 {
			s.report()
		}
		for _, c := range classes {
			if s.rng.Float64() < c.rate*overloadStep.Seconds() {
				s.arrive(c)
			}
		}
		for _, e := range s.entries {
			s.place(e)
		}
		for _, c := range s.candidates {
			s.step(s.engines[c.ID])
		}
	}
}

func (s *overloadSim) report() {
	for _, from := range s.entries {
		from.seq++
		for _, to := range s.entries {
			if to != from {
				to.picker.UpdatePeerLoads(from.id, 1, from.seq, from.picker.Loads(), s.now)
			}
		}
	}
}

func (s *overloadSim) arrive(c *overloadClass) {
	s.asked[c.urgent]++
	e := s.entries[s.rng.IntN(len(s.entries))]
	r := &overloadRequest{class: c, entry: e, arrived: s.now, unread: float64(c.prompt), left: c.output,
		query: PickQuery{Service: "s", PromptTokens: c.prompt, OutputTokens: c.output}}
	priority := 2
	if c.urgent {
		priority = 0
	}
	work := e.picker.PrefillMs(&r.query, c.prompt)
	r.queued = &admit.QueuedRequest{Priority: priority, Arrived: s.now,
		LatestStart: s.now + c.target - milliseconds(work+e.picker.OverheadMs(&r.query)),
		ExpiresAt:   s.now + c.timeout, Work: work, Value: r}
	e.queue.Add(r.queued)
}

// place places waiting requests as an entry does.
func (s *overloadSim) place(e *overloadEntry) {
	e.queue.RemoveExpired(s.now)
	for queued := e.queue.Next(s.now); queued != nil && s.placeNext(e, queued); queued = e.queue.Next(s.now) {
	}
}

// placeNext places one request. A replica may hold up to 0.4 of the shortest target.
func (s *overloadSim) placeNext(e *overloadEntry, queued *admit.QueuedRequest) bool {
	r := queued.Value.(*overloadRequest)
	r.query.MaxWaitMs = queued.LoadBound(s.now, 0.4*float64(s.queueTarget.Milliseconds()))
	choice, ok := e.picker.Pick(s.now, &r.query, s.candidates)
	if !ok {
		return false
	}
	e.queue.Remove(queued)
	e.queue.RecordDispatch("", queued.Work, s.now)
	e.picker.Dispatched(s.now, &r.query, &choice)
	r.choice, r.pickedAt = choice, s.now
	engine := s.engines[choice.ID]
	engine.waiting = append(engine.waiting, r)
	return true
}

// step has an engine run the steps that end up to now.
func (s *overloadSim) step(engine *overloadEngine) {
	engine.admit()
	for engine.readyAt <= s.now && len(engine.running) > 0 {
		took := 3.5 + 0.05*float64(len(engine.running))
		chunk := chunkTokens
		for _, r := range engine.running {
			read := min(r.unread, chunk)
			r.unread -= read
			chunk -= read
			took += read / prefillPerMs
		}
		engine.readyAt = max(engine.readyAt, s.now) + time.Duration(took*float64(time.Millisecond))
		var still []*overloadRequest
		for _, r := range engine.running {
			if r.unread == 0 {
				s.token(r, engine.readyAt)
			}
			if r.left > 0 {
				still = append(still, r)
			}
		}
		engine.running = still
		engine.admit()
	}
}

// admit takes waiting requests into free slots, in the order of arrival.
func (e *overloadEngine) admit() {
	free := min(overloadSlots-len(e.running), len(e.waiting))
	e.running = append(e.running, e.waiting[:free]...)
	e.waiting = e.waiting[free:]
}

func (s *overloadSim) token(r *overloadRequest, at time.Duration) {
	r.left--
	p := r.entry.picker
	if r.first == 0 {
		r.first = at
		p.FirstEvent(at, &r.query, &r.choice, at-r.pickedAt)
		if at-r.arrived <= r.class.target {
			s.inTime[r.class.urgent]++
		}
	}
	if r.left == 0 {
		p.Finished(&r.query, &r.choice, true)
	}
}

// overloadClasses are short urgent requests and long prompts, at a multiple of the prompts that
// the engines can read.
func overloadClasses(multiple float64) []*overloadClass {
	const long = 6000
	capacity := overloadReplicas * prefillPerMs * 1000 / long
	return []*overloadClass{
		{urgent: true, prompt: 700, output: 36, target: 250 * time.Millisecond, timeout: time.Second, rate: 150},
		{prompt: long, output: 7, target: 600 * time.Millisecond, timeout: time.Second, rate: multiple * capacity},
	}
}

// bySchedule is how many long prompts the engines begin to answer in time by a schedule that knows
// all: each reads one at a time, without a pause, beside the urgent requests.
func bySchedule(classes []*overloadClass) float64 {
	urgent, long := classes[0], classes[1]
	steps := math.Ceil(float64(long.prompt) / chunkTokens)
	running := urgent.rate / overloadReplicas * 0.5 // half a second each
	perPrompt := float64(long.prompt)/prefillPerMs + steps*(3.5+0.05*running)
	busy := urgent.rate / overloadReplicas * float64(urgent.prompt) / prefillPerMs / 1000
	return overloadReplicas * (1 - busy) * ms(overloadLength) / perPrompt
}

// Guards against goodput that falls past the capacity, as each long prompt waits until it is late.
func TestLongPromptsAreInTimePastTheCapacity(t *testing.T) {
	for _, multiple := range []float64{1.5, 2.5} {
		classes := overloadClasses(multiple)
		s := newOverloadSim(1, overloadReplicas)
		s.run(classes)
		if best := bySchedule(classes); float64(s.inTime[false]) < 0.8*best {
			t.Errorf("%.1f of the capacity: %d prompts in time, %.0f by a schedule that knows all", multiple, s.inTime[false], best)
		}
	}
}

// Guards against urgent requests that wait at the entries while long prompts fill each replica up to
// the bound of their own, longer target. The load is that of a burst of long prompts.
func TestUrgentRequestsAreInTimeWhateverIsAskedBeside(t *testing.T) {
	for _, multiple := range []float64{0.5, 1, 1.5, 2.5} {
		s := newOverloadSim(1, overloadReplicas)
		s.run(overloadClasses(multiple))
		share := float64(s.inTime[true]) / float64(s.asked[true])
		t.Logf("%.1f of the capacity: %.3f of the urgent in time, %d of %d others", multiple, share, s.inTime[false], s.asked[false])
		if share < 0.8 {
			t.Errorf("%.1f of the capacity: %.3f of the urgent requests in time", multiple, share)
		}
	}
}
