package attempt

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"skylarklead/internal/protocol"
)

var testOnceParams = OnceParams{
	Retention: 2 * time.Minute, ClaimTimeout: 2 * time.Second, MaxLogStaleness: 5 * time.Second,
	OutageGrace: 1500 * time.Millisecond, OutageWait: 500 * time.Millisecond,
	IdleClaimTTL: 3 * time.Second, AppendInterval: 20 * time.Millisecond, SettlementDelay: 100 * time.Millisecond,
	MaxBackoff: time.Second, RetryAfter: time.Second,
	UndatedTTL: 10 * time.Minute, MaxUndated: 100, MaxResultBytes: 1 << 10,
}

// worldSteps is how many things happen in one run of a model.
const worldSteps = 150

// modelLog is the platform's log: it may be down, lose answers, apply an append
// long after its sender gave it up, and forget old records.
type modelLog struct {
	records [][]byte
	times   []time.Duration
	oldest  uint64
	up      bool
}

func (l *modelLog) next() uint64 { return l.oldest + uint64(len(l.records)) }

func (l *modelLog) append(data []byte, now time.Duration) {
	l.records = append(l.records, data)
	l.times = append(l.times, now)
}

func (l *modelLog) expire(before time.Duration) {
	for len(l.times) > 0 && l.times[0] < before {
		l.records, l.times = l.records[1:], l.times[1:]
		l.oldest++
	}
}

type modelAppend struct {
	AppendClaims
	proc  int
	epoch protocol.Epoch
}

type modelExecution struct {
	Execute
	handed bool
}

type modelProc struct {
	once        *Once
	epoch       protocol.Epoch
	appends     []modelAppend
	executions  []modelExecution
	readStarted time.Duration
}

type sending struct {
	key      int
	proc     int
	answered bool
	ran      bool
	notRun   bool
	code     protocol.Code
	// until is when it has to be decided or refused.
	until time.Duration
}

// onceWorld is a group of processes that get the same keys from many entries.
type onceWorld struct {
	t        *rapid.T
	now      time.Duration
	log      *modelLog
	procs    []*modelProc
	limbo    [][]byte
	born     []time.Duration
	dated    bool
	runs     map[KeyDigest]int
	sendings map[protocol.AttemptID]*sending
	epochs   protocol.Epoch
	attempts byte
	more     byte
}

func newOnceWorld(t *rapid.T, procs, keys int, dated bool) *onceWorld {
	w := &onceWorld{
		t: t, now: time.Second, log: &modelLog{oldest: 1, up: true}, dated: dated,
		runs: map[KeyDigest]int{}, sendings: map[protocol.AttemptID]*sending{}, born: make([]time.Duration, keys),
	}
	for i := range procs {
		w.procs = append(w.procs, &modelProc{})
		w.start(i)
	}
	return w
}

func procName(i int) string { return fmt.Sprintf("endpoint-%d", i) }

func (w *onceWorld) start(i int) {
	w.epochs++
	p := w.procs[i]
	for _, a := range p.appends {
		w.limbo = append(w.limbo, a.Data) // a dead process's append may still land
	}
	*p = modelProc{epoch: w.epochs, once: NewOnce(procName(i), w.epochs, testOnceParams), readStarted: w.now}
	p.once.SetCarryForward(true)
}

func (w *onceWorld) send(proc, key int, redirected bool) {
	w.attempts++
	if w.attempts == 0 {
		w.more++
	}
	a := protocol.AttemptID{w.attempts, w.more, 1}
	// Without one, at an even attempt, a sending waits for ClaimBound.
	patience := time.Duration(w.attempts%2) * time.Duration(w.attempts) * 20 * time.Millisecond
	s := &sending{key: key, proc: proc, until: w.now + testOnceParams.ClaimTimeout}
	if patience > 0 {
		s.until = min(s.until, w.now+patience/2)
	}
	w.sendings[a] = s
	r := KeyedRun{Attempt: a, Key: KeyDigest{byte(key), 1}, Fingerprint: uint64(key), CallerTimeout: patience, Redirected: redirected}
	if w.dated {
		if w.born[key] == 0 {
			w.born[key] = w.now
		}
		r.Age = max(w.now-w.born[key], time.Millisecond)
	}
	w.do(proc, w.procs[proc].once.Run(r, w.now))
}

func (w *onceWorld) do(i int, actions []OnceAction) {
	p := w.procs[i]
	for _, action := range actions {
		switch a := action.(type) {
		case AppendClaims:
			p.appends = append(p.appends, modelAppend{AppendClaims: a, proc: i, epoch: p.epoch})
		case Execute:
			p.executions = append(p.executions, modelExecution{Execute: a})
		case Attach:
			w.answer(a.Attempt)
		case Replay:
			w.answer(a.Attempt)
			w.mustHaveRun(w.sendings[a.Attempt].key)
		case Answer:
			w.answered(a)
		}
	}
}

func (w *onceWorld) answer(a protocol.AttemptID) *sending {
	s := w.sendings[a]
	if s.answered {
		w.t.Fatalf("attempt %v answered twice", a)
	}
	s.answered = true
	return s
}

func (w *onceWorld) answered(a Answer) {
	s := w.answer(a.Attempt)
	s.code = a.End.Code
	switch a.End.Outcome {
	case protocol.NotRun:
		s.notRun = true
		if s.ran {
			w.t.Fatalf("not_run said of a sending that ran")
		}
	case protocol.Done:
		w.mustHaveRun(s.key)
	}
	if a.End.Redirect == nil {
		return
	}
	for i := range w.procs {
		if procName(i) == a.End.Redirect.Endpoint {
			w.send(i, s.key, true)
		}
	}
}

func (w *onceWorld) mustHaveRun(key int) {
	if w.runs[KeyDigest{byte(key), 1}] != 1 {
		w.t.Fatalf("key %d is called done with %d runs", key, w.runs[KeyDigest{byte(key), 1}])
	}
}

// handOver lets the back end have an execution: from here on it has run.
func (w *onceWorld) handOver(e *modelExecution) {
	if e.handed {
		return
	}
	e.handed = true
	w.runs[e.Key]++
	if w.runs[e.Key] > 1 {
		w.t.Fatalf("key %v ran twice", e.Key)
	}
	s := w.sendings[e.Attempt]
	s.ran = true
	if s.notRun {
		w.t.Fatalf("a sending ran after not_run was said of it")
	}
}

func (w *onceWorld) finish(i int) {
	p := w.procs[i]
	if len(p.executions) == 0 {
		return
	}
	e := p.executions[0]
	p.executions = p.executions[1:]
	outcome := protocol.NotRun
	var result *Result
	if e.handed {
		outcome = rapid.SampledFrom([]protocol.Outcome{protocol.Done, protocol.Done, protocol.Unknown}).Draw(w.t, "outcome")
		result = &Result{Chunks: [][]byte{make([]byte, 300)}}
	}
	w.do(i, p.once.Finished(e.Key, outcome, result, w.now))
}

// settleAppend lets one append in flight have its effect or not, and its answer.
func (w *onceWorld) settleAppend(i int, how string) {
	p := w.procs[i]
	if len(p.appends) == 0 {
		return
	}
	a := p.appends[0]
	p.appends = p.appends[1:]
	if !w.log.up && how != "late" {
		how = "refused"
	}
	switch how {
	case "ok":
		w.log.append(a.Data, w.now)
		w.do(i, p.once.Appended(a.Batch, w.now))
	case "answer lost":
		w.log.append(a.Data, w.now)
		w.do(i, p.once.AppendUnknown(a.Batch, w.now))
	case "late":
		w.limbo = append(w.limbo, a.Data)
		w.do(i, p.once.AppendUnknown(a.Batch, w.now))
	case "refused":
		w.do(i, p.once.AppendFailed(a.Batch, 0, w.now))
	}
}

// land lets an append that was given up take effect after all.
func (w *onceWorld) land() {
	if len(w.limbo) == 0 || !w.log.up {
		return
	}
	w.log.append(w.limbo[0], w.now)
	w.limbo = w.limbo[1:]
}

func (w *onceWorld) read(i, limit int) {
	if !w.log.up {
		return
	}
	p := w.procs[i]
	started := p.readStarted
	p.readStarted = w.now
	if p.once.Position()+1 < w.log.oldest {
		w.do(i, p.once.Truncated(w.log.oldest, w.now))
	}
	for range limit {
		next := p.once.Position() + 1
		if next >= w.log.next() {
			w.do(i, p.once.CaughtUp(started, w.now))
			return
		}
		w.do(i, p.once.ApplyRecord(next, w.log.records[next-w.log.oldest], w.now))
	}
}

func (w *onceWorld) advance(d time.Duration) {
	w.now += d
	w.log.expire(w.now - testOnceParams.Retention)
	for i, p := range w.procs {
		w.do(i, p.once.Tick(w.now))
	}
	for a, s := range w.sendings {
		k := w.procs[s.proc].once.keys[KeyDigest{byte(s.key), 1}]
		if w.now >= s.until && k != nil && k.waits(a) {
			w.t.Fatalf("a sending waits at %v; it was to be refused at %v", w.now, s.until)
		}
	}
}

func (w *onceWorld) tell(i, j int) {
	if i != j {
		w.procs[i].once.SetPeerEpoch(procName(j), w.procs[j].epoch)
	}
}

func (w *onceWorld) actions() map[string]func(*rapid.T) {
	proc := func(t *rapid.T) int { return rapid.IntRange(0, len(w.procs)-1).Draw(t, "proc") }
	key := func(t *rapid.T) int { return rapid.IntRange(0, len(w.born)-1).Draw(t, "key") }
	how := rapid.SampledFrom([]string{"ok", "ok", "answer lost", "late", "refused"})
	return map[string]func(*rapid.T){
		"nothing": func(*rapid.T) {},
		"send":    func(t *rapid.T) { w.send(proc(t), key(t), false) },
		"pump":    func(t *rapid.T) { w.pump(proc(t)) },
		"both": func(t *rapid.T) { // two entries send the same key at once
			k := key(t)
			w.send(proc(t), k, false)
			w.send(proc(t), k, false)
		},
		"append": func(t *rapid.T) { w.settleAppend(proc(t), how.Draw(t, "how")) },
		"land":   func(*rapid.T) { w.land() },
		"read":   func(t *rapid.T) { w.read(proc(t), rapid.IntRange(1, 8).Draw(t, "limit")) },
		"hand over": func(t *rapid.T) {
			if p := w.procs[proc(t)]; len(p.executions) > 0 {
				w.handOver(&p.executions[0])
			}
		},
		"finish": func(t *rapid.T) { w.finish(proc(t)) },
		"log up": func(*rapid.T) { w.log.up = true },
		"log":    func(*rapid.T) { w.log.up = !w.log.up },
		"crash":  func(t *rapid.T) { w.start(proc(t)) },
		"leave": func(t *rapid.T) {
			if i := proc(t); rapid.IntRange(0, 4).Draw(t, "really") == 0 {
				w.do(i, w.procs[i].once.Drain(w.now))
			}
		},
		"hear":      func(t *rapid.T) { w.tell(proc(t), proc(t)) },
		"lose peer": func(t *rapid.T) { w.procs[proc(t)].once.SetPeerDown(procName(proc(t))) },
		"time": func(t *rapid.T) {
			w.advance(time.Duration(rapid.SampledFrom([]int{1, 20, 100, 500, 1200, 3500}).Draw(t, "ms")) * time.Millisecond)
		},
		"long time": func(t *rapid.T) {
			if w.dated {
				w.advance(time.Duration(rapid.IntRange(5, 50).Draw(t, "s")) * time.Second)
			}
		},
	}
}

// pump lets one process do all that it can while nothing fails.
func (w *onceWorld) pump(i int) {
	w.settleAppend(i, "ok")
	w.read(i, 1000)
	for len(w.procs[i].executions) > 0 {
		w.handOver(&w.procs[i].executions[0])
		w.finish(i)
	}
}

// run takes worldSteps steps; each kind is as likely as often as it is listed.
func (w *onceWorld) run(without ...string) {
	actions := w.actions()
	kinds := []string{
		"nothing", "send", "send", "both", "pump", "pump", "append", "append", "read", "read", "hand over", "finish",
		"pump", "pump", "read", "land", "log", "log up", "log up", "crash", "leave", "hear", "hear", "lose peer", "time", "time", "long time",
	}
	kinds = slices.DeleteFunc(kinds, func(k string) bool { return slices.Contains(without, k) })
	for range worldSteps {
		actions[rapid.SampledFrom(kinds).Draw(w.t, "step")](w.t)
	}
}

// drain brings the log back and lets everything under way come to its end.
func (w *onceWorld) drain() {
	w.log.up = true
	for range 40 {
		for i := range w.procs {
			w.pump(i)
		}
		w.advance(100 * time.Millisecond)
	}
}
