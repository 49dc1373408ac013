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

// modelSteps is the number of steps in one run of the model.
const modelSteps = 150

// modelLog models the platform's log: it may be down, lose answers, apply an append
// long after its sender gave up on it, and drop old records.
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
	dispatched bool
}

type modelProc struct {
	once        *Once
	epoch       protocol.Epoch
	appends     []modelAppend
	executions  []modelExecution
	readStarted time.Duration
}

type modelRun struct {
	key      int
	proc     int
	answered bool
	ran      bool
	notRun   bool
	code     protocol.Code
	// until is when the Run has to be decided or refused.
	until time.Duration
}

// onceModel models a group of processes that receive the same keys from many entries.
type onceModel struct {
	t            *rapid.T
	now          time.Duration
	log          *modelLog
	procs        []*modelProc
	lateAppends  [][]byte
	createdAt    []time.Duration
	dated        bool
	runs         map[KeyDigest]int
	modelRuns    map[protocol.AttemptID]*modelRun
	epochs       protocol.Epoch
	attempts     byte
	attemptsHigh byte
}

func newOnceModel(t *rapid.T, procs, keys int, dated bool) *onceModel {
	w := &onceModel{
		t: t, now: time.Second, log: &modelLog{oldest: 1, up: true}, dated: dated,
		runs: map[KeyDigest]int{}, modelRuns: map[protocol.AttemptID]*modelRun{}, createdAt: make([]time.Duration, keys),
	}
	for i := range procs {
		w.procs = append(w.procs, &modelProc{})
		w.start(i)
	}
	return w
}

func procName(i int) string { return fmt.Sprintf("endpoint-%d", i) }

func (w *onceModel) start(i int) {
	w.epochs++
	p := w.procs[i]
	for _, a := range p.appends {
		w.lateAppends = append(w.lateAppends, a.Data) // a dead process's append may still take effect
	}
	*p = modelProc{epoch: w.epochs, once: NewOnce(procName(i), w.epochs, testOnceParams), readStarted: w.now}
	p.once.SetCarryForward(true)
}

func (w *onceModel) send(proc, key int, redirected bool) {
	w.attempts++
	if w.attempts == 0 {
		w.attemptsHigh++
	}
	a := protocol.AttemptID{w.attempts, w.attemptsHigh, 1}
	// At even attempt numbers the caller's time-out is unknown, and the Run waits for
	// ClaimTimeout.
	callerTimeout := time.Duration(w.attempts%2) * time.Duration(w.attempts) * 20 * time.Millisecond
	s := &modelRun{key: key, proc: proc, until: w.now + testOnceParams.ClaimTimeout}
	if callerTimeout > 0 {
		s.until = min(s.until, w.now+callerTimeout/2)
	}
	w.modelRuns[a] = s
	r := KeyedRun{Attempt: a, Key: KeyDigest{byte(key), 1}, Fingerprint: uint64(key), CallerTimeout: callerTimeout, Redirected: redirected}
	if w.dated {
		if w.createdAt[key] == 0 {
			w.createdAt[key] = w.now
		}
		r.Age = max(w.now-w.createdAt[key], time.Millisecond)
	}
	w.do(proc, w.procs[proc].once.Run(r, w.now))
}

func (w *onceModel) do(i int, actions []OnceAction) {
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
			w.mustHaveRun(w.modelRuns[a.Attempt].key)
		case Answer:
			w.answered(a)
		}
	}
}

func (w *onceModel) answer(a protocol.AttemptID) *modelRun {
	s := w.modelRuns[a]
	if s.answered {
		w.t.Fatalf("attempt %v answered twice", a)
	}
	s.answered = true
	return s
}

func (w *onceModel) answered(a Answer) {
	s := w.answer(a.Attempt)
	s.code = a.End.Code
	switch a.End.Outcome {
	case protocol.NotRun:
		s.notRun = true
		if s.ran {
			w.t.Fatalf("not_run reported for a Run that was executed")
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

func (w *onceModel) mustHaveRun(key int) {
	if w.runs[KeyDigest{byte(key), 1}] != 1 {
		w.t.Fatalf("key %d is reported as done with %d runs", key, w.runs[KeyDigest{byte(key), 1}])
	}
}

// dispatch sends an execution to the back end. From then on it has run.
func (w *onceModel) dispatch(e *modelExecution) {
	if e.dispatched {
		return
	}
	e.dispatched = true
	w.runs[e.Key]++
	if w.runs[e.Key] > 1 {
		w.t.Fatalf("key %v ran twice", e.Key)
	}
	s := w.modelRuns[e.Attempt]
	s.ran = true
	if s.notRun {
		w.t.Fatalf("a Run was executed after not_run was reported for it")
	}
}

func (w *onceModel) finish(i int) {
	p := w.procs[i]
	if len(p.executions) == 0 {
		return
	}
	e := p.executions[0]
	p.executions = p.executions[1:]
	outcome := protocol.NotRun
	var result *Result
	if e.dispatched {
		outcome = rapid.SampledFrom([]protocol.Outcome{protocol.Done, protocol.Done, protocol.Unknown}).Draw(w.t, "outcome")
		result = &Result{Chunks: [][]byte{make([]byte, 300)}}
	}
	w.do(i, p.once.Finished(e.Key, outcome, result, w.now))
}

// settleAppend ends one append in flight: with or without effect, and with or without
// an answer.
func (w *onceModel) settleAppend(i int, how string) {
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
		w.lateAppends = append(w.lateAppends, a.Data)
		w.do(i, p.once.AppendUnknown(a.Batch, w.now))
	case "refused":
		w.do(i, p.once.AppendFailed(a.Batch, 0, w.now))
	}
}

// applyLateAppend lets an append whose sender gave up on it take effect.
func (w *onceModel) applyLateAppend() {
	if len(w.lateAppends) == 0 || !w.log.up {
		return
	}
	w.log.append(w.lateAppends[0], w.now)
	w.lateAppends = w.lateAppends[1:]
}

func (w *onceModel) read(i, limit int) {
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

func (w *onceModel) advance(d time.Duration) {
	w.now += d
	w.log.expire(w.now - testOnceParams.Retention)
	for i, p := range w.procs {
		w.do(i, p.once.Tick(w.now))
	}
	for a, s := range w.modelRuns {
		k := w.procs[s.proc].once.keys[KeyDigest{byte(s.key), 1}]
		if w.now >= s.until && k != nil && k.hasWaiter(a) {
			w.t.Fatalf("a Run still waits at %v; it should have been refused at %v", w.now, s.until)
		}
	}
}

func (w *onceModel) announceEpoch(i, j int) {
	if i != j {
		w.procs[i].once.SetPeerEpoch(procName(j), w.procs[j].epoch)
	}
}

func (w *onceModel) actions() map[string]func(*rapid.T) {
	proc := func(t *rapid.T) int { return rapid.IntRange(0, len(w.procs)-1).Draw(t, "proc") }
	key := func(t *rapid.T) int { return rapid.IntRange(0, len(w.createdAt)-1).Draw(t, "key") }
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
		"land":   func(*rapid.T) { w.applyLateAppend() },
		"read":   func(t *rapid.T) { w.read(proc(t), rapid.IntRange(1, 8).Draw(t, "limit")) },
		"hand over": func(t *rapid.T) {
			if p := w.procs[proc(t)]; len(p.executions) > 0 {
				w.dispatch(&p.executions[0])
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
		// A process receives the current epoch of another one.
		"hear":      func(t *rapid.T) { w.announceEpoch(proc(t), proc(t)) },
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

// pump lets one process do all it can without failures.
func (w *onceModel) pump(i int) {
	w.settleAppend(i, "ok")
	w.read(i, 1000)
	for len(w.procs[i].executions) > 0 {
		w.dispatch(&w.procs[i].executions[0])
		w.finish(i)
	}
}

// run takes modelSteps random steps. A kind of step that is listed several times is
// that much likelier.
func (w *onceModel) run(without ...string) {
	actions := w.actions()
	kinds := []string{
		"nothing", "send", "send", "both", "pump", "pump", "append", "append", "read", "read", "hand over", "finish",
		"pump", "pump", "read", "land", "log", "log up", "log up", "crash", "leave", "hear", "hear", "lose peer", "time", "time", "long time",
	}
	kinds = slices.DeleteFunc(kinds, func(k string) bool { return slices.Contains(without, k) })
	for range modelSteps {
		actions[rapid.SampledFrom(kinds).Draw(w.t, "step")](w.t)
	}
}

// drain brings the log back up and lets everything in progress complete.
func (w *onceModel) drain() {
	w.log.up = true
	for range 40 {
		for i := range w.procs {
			w.pump(i)
		}
		w.advance(100 * time.Millisecond)
	}
}
