package direct

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/fleet"
	"skylarklead/internal/rollout"
)

// plainHeaders sets no headers of its own.
type plainHeaders struct{ Headers }

func (plainHeaders) Refusal(http.Header, string) {}

// newPoisonRequest is a request with a part in its prompt, and the placement that it got.
func newPoisonRequest(e *Entry) (*request, *placement, *httptest.ResponseRecorder) {
	w := httptest.NewRecorder()
	req := newStreamRequest(e, &fleet.Service{Name: "s"}, nil)
	req.w, req.firstByte = w, 0
	req.params.Parts = []fleet.PromptPart{{ID: "dead", Tokens: 100}, {ID: "own", Tokens: 10}}
	req.keys = attempt.RequestKeys{Parts: []uint64{7}, Fingerprint: 8}
	req.plan = attempt.NewDispatchPlan(attempt.DispatchSpec{MaxRuns: 1, MaxDispatches: 1, Deadline: req.deadline}, attempt.NewBudget(attempt.BudgetParams{}))
	return req, &placement{replica: &fleet.Replica{ID: "a", Name: "a"}, pickedAt: e.clock.now()}, w
}

// Guards against a request that reaches a replica since it waited in the queue when what it has in its
// prompt was given up.
func TestWaitingRequestIsGivenUpToo(t *testing.T) {
	e := newQueueEntry(t)
	e.platform.Headers = plainHeaders{}
	req, p, w := newPoisonRequest(e)
	if req.rejectPlaced(p) {
		t.Fatal("rejected before anything was given up")
	}
	now := e.clock.now()
	e.state.crashes.Merge(attempt.CrashReport{Fingerprint: req.keys.Parts[0], Replica: "r", GivenUp: true}, now)
	e.state.crashNews.announced.Add(req.keys.Parts[0], now)
	if !req.rejectPlaced(p) || w.Code != http.StatusServiceUnavailable || req.givenUpBy != "dead" {
		t.Errorf("rejected with %d for part %q", w.Code, req.givenUpBy)
	}
}

// Guards against a crash that isn't counted: the replica accepts connections again, under another name, before
// the entry has tried one, and its record is removed.
func TestARunLostWithItsNameIsCounted(t *testing.T) {
	e := newPeerNodes(t, 1, 1)[0].Entry
	req, p, _ := newPoisonRequest(e)
	list := func(r *fleet.Replica, offset uint64) {
		e.state.mu.Lock()
		update := e.state.replicas.Put(r, offset, e.clock.now())
		e.applyReplicaUpdate(r, &update, false)
		e.state.mu.Unlock()
		e.endPredecessor(r, &update)
	}
	p.replica = &fleet.Replica{ID: "old", Name: "old", Address: "10.0.0.1:80", StartedAtMs: 1}
	list(p.replica, 1)
	e.state.crashes.RecordBrokenRun(req.keys, p.replica.ID, p.sentAt, e.clock.now())
	list(&fleet.Replica{ID: "new", Name: "new", Address: "10.0.0.1:80", StartedAtMs: 2}, 2)
	if lost := e.state.crashes.LostReplicas(req.keys.Fingerprint, e.clock.now()); lost != 1 {
		t.Errorf("%d lost replicas counted, want 1", lost)
	}
}

// Guards against blaming the prompts of streams that ran for long when their replica was lost: what
// crashes replicas by its prompt does so when the answer begins.
func TestLongStreamIsNoEvidenceAgainstItsPrompt(t *testing.T) {
	for written, parts := range map[time.Duration]int{0: 1, writingProvesSound / 2: 1, 2 * writingProvesSound: 0} {
		e := newQueueEntry(t)
		req, p, _ := newPoisonRequest(e)
		if written > 0 {
			p.events, p.firstEventAt = 1, e.clock.now()-written
		}
		req.recordBrokenRun(p)
		reports := e.state.crashes.RecordLostReplica(p.replica.ID, e.clock.now())
		if len(reports) != 1 || reports[0].Fingerprint != req.keys.Fingerprint || len(reports[0].Parts) != parts {
			t.Errorf("%v after the first event: reports %+v; want one with %d parts", written, reports, parts)
		}
	}
}

// Guards against sound requests that are refused after all entries have started again: the topic has the losses of
// several outages, and not the good answers between them.
func TestEntryThatStartsGivesNothingUpForOldRecords(t *testing.T) {
	e := newQueueEntry(t)
	r := newRollouts(e)
	part := uint64(7)
	records := func(replicas ...string) {
		for i, replica := range replicas {
			report := attempt.CrashReport{Fingerprint: uint64(100 + i), Parts: []uint64{part}, Replica: replica, Reporter: uint64(i + 1)}
			envelope := rollout.Envelope{Crash: &report}
			r.applyStoreRecord(fleet.Record{Offset: uint64(i), Value: envelope.Encode()})
		}
	}
	lifted := rollout.Envelope{Crash: &attempt.CrashReport{Fingerprint: part, Replica: "r0", GivenUp: true}}
	r.applyStoreRecord(fleet.Record{Value: lifted.Encode()})
	records("r1", "r2", "r3")
	if e.state.isGivenUp(part, e.clock.now()) {
		t.Error("given up for losses from before the start")
	}
	r.caughtUp = true
	records("r4")
	if !e.state.isGivenUp(part, e.clock.now()) {
		t.Error("not given up after one more loss")
	}
}

// Guards against losses that an entry takes for new ones since it reads of them late, and against those that it
// forgets since the clocks of two machines differ.
func TestRecordOfACrashIsAsOldAsItsRun(t *testing.T) {
	for _, c := range []struct {
		what     string
		written  time.Duration // ago, by the clock of the entry that reads
		caughtUp bool
		want     int
	}{
		{"before the start", 10 * time.Minute, false, 1},
		{"too old", 2 * attempt.DefaultCrashTrackerParams.TTL, false, 0},
		{"by a clock that is behind", 2 * attempt.DefaultCrashTrackerParams.TTL, true, 1},
		{"by a clock that is ahead", -time.Hour, true, 1},
	} {
		e := newQueueEntry(t)
		r := newRollouts(e)
		r.caughtUp, r.caughtUpAt = c.caughtUp, e.clock.now()
		envelope := rollout.Envelope{Crash: &attempt.CrashReport{Fingerprint: 5, Replica: "r", AgeMs: 100}, AtMs: time.Now().Add(-c.written).UnixMilli()}
		r.applyStoreRecord(fleet.Record{Value: envelope.Encode()})
		if got := e.state.crashes.CrashCount(5, e.clock.now()); got != c.want {
			t.Errorf("%s: %d crashes, want %d", c.what, got, c.want)
		}
	}
	e := newQueueEntry(t)
	e.state.crashes.RecordSuccess(attempt.RequestKeys{Parts: []uint64{5}}, e.clock.now())
	e.receiveCrashes([]attempt.CrashReport{{Fingerprint: 4, Parts: []uint64{5}, Replica: "r", AgeMs: 1000}}, "peer")
	if n := e.state.crashes.CrashCount(5, e.clock.now()); n != 0 {
		t.Errorf("%d crashes count that ended before a good answer", n)
	}
}
