package attempt

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarklead/internal/protocol"
)

// Guards against running a payment twice, or reporting not_run for one that was made.
// Entries send the same key at the same time to several endpoints; appends are
// refused, lose their answer or take effect after their sender gave up; the log goes
// down and drops old records; processes are killed and restarted. Faults to detect:
// running a key before the process has read back its own claim in order, or under a
// claim that was released or belongs to an earlier epoch.
func TestOnceRunsAtMostOnceAndSaysNotRunTruthfully(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newOnceModel(t, rapid.IntRange(2, 3).Draw(t, "procs"), rapid.IntRange(1, 6).Draw(t, "keys"), rapid.Bool().Draw(t, "dated"))
		w.run()
		w.drain()
		for a, s := range w.modelRuns {
			k := w.procs[s.proc].once.keys[KeyDigest{byte(s.key), 1}]
			if k != nil && k.hasWaiter(a) {
				t.Fatalf("a Run still waits although the log is up")
			}
		}
	})
}

// Guards against refusing payments although the log is back up: an outage must not
// leave a key's claim in a state that is neither queued nor uncertain.
func TestOnceMakesProgressWhenTheLogIsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newOnceModel(t, 2, 6, false)
		w.run("leave")
		w.drain()
		w.createdAt = append(w.createdAt, 0)
		newKey := len(w.createdAt) - 1
		clear(w.modelRuns)
		for k := range w.createdAt {
			w.send(rapid.IntRange(0, len(w.procs)-1).Draw(t, "proc"), k, false)
		}
		w.drain()
		w.mustHaveRun(newKey)
		for _, s := range w.modelRuns {
			if s.code == protocol.CodeLogUnavailable {
				t.Fatalf("key %d is refused although the log is up", s.key)
			}
		}
	})
}

// Guards against running an undated key again after the log's retention: it runs,
// retention removes its claim, every process restarts, and the caller sends it again.
// The claim must have been carried forward.
func TestOnceCarriesUndatedKeysPastRetention(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newOnceModel(t, 2, 1, false)
		w.drain()
		w.send(0, 0, false)
		w.drain()
		w.mustHaveRun(0)
		for range rapid.IntRange(10, 40).Draw(t, "steps") {
			if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
				w.start(rapid.IntRange(0, 1).Draw(t, "proc"))
			}
			w.advance(10 * time.Second)
			w.drain()
		}
		w.start(0)
		w.start(1)
		w.drain()
		w.send(rapid.IntRange(0, 1).Draw(t, "again at"), 0, false)
		w.drain()
	})
}

// Guards against a payment that runs at two endpoints. A claim without a waiting Run
// is released; the answer to the release is lost, and it is sent again; the same
// process claims the key anew and runs it; then the first release takes effect, and
// another endpoint claims the key. The release must free only the claim that it names.
func TestOnceReleaseThatLandsTwiceFreesOneClaim(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newOnceModel(t, 2, 1, false)
		w.drain()
		w.send(0, 0, false)
		w.procs[0].once.Withdraw(KeyDigest{0, 1}, protocol.AttemptID{1, 0, 1})
		w.settleAppend(0, "ok")
		w.read(0, 1)
		w.advance(testOnceParams.IdleClaimTTL)
		w.settleAppend(0, "late")
		w.read(0, 1)
		w.advance(time.Second)
		w.read(0, 1)
		w.drain()
		w.send(0, 0, false)
		w.drain()
		w.mustHaveRun(0)
		w.applyLateAppend()
		w.drain()
		w.send(1, 0, false)
		w.drain()
		w.mustHaveRun(0)
	})
}

func TestOnceRefusals(t *testing.T) {
	o := NewOnce("endpoint-0", 1, testOnceParams)
	o.CaughtUp(0, 0)
	old := o.Run(KeyedRun{Attempt: protocol.AttemptID{1}, Key: KeyDigest{1}, Age: time.Minute}, 0)
	if got := old[0].(Answer).End; got.Code != protocol.CodeKeyTooOld || got.Outcome != protocol.Unknown {
		t.Errorf("key beyond the age limit: got %+v", got)
	}
	o.Run(KeyedRun{Attempt: protocol.AttemptID{2}, Key: KeyDigest{2}, Fingerprint: 7}, 0)
	other := o.Run(KeyedRun{Attempt: protocol.AttemptID{3}, Key: KeyDigest{2}, Fingerprint: 8}, 0)
	if got := other[0].(Answer).End; got.Code != protocol.CodeKeyConflict || got.Outcome != protocol.NotRun {
		t.Errorf("key reused with another request: got %+v", got)
	}
	late := o.Tick(testOnceParams.ClaimTimeout)
	if got := late[0].(Answer).End; got.Code != protocol.CodeLogUnavailable || got.Outcome != protocol.NotRun || got.RetryAfterMs == 0 {
		t.Errorf("log did not answer: got %+v", got)
	}
}

// Guards against a single fixed wait for slow logs, short outages and long ones: it
// refuses payments in an outage that ends before their callers would have given up, or
// lets them wait in vain through all of a long one.
func TestOnceWaitsAsLongAsItHelps(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	for _, c := range []struct {
		name                     string
		failsAt, arrives         time.Duration
		callerTimeout, refusedAt time.Duration
	}{
		{"slow log", 0, 10 * s, 0, 10*s + testOnceParams.ClaimTimeout},
		{"slow log, short caller time-out", 0, 10 * s, 600 * ms, 10*s + 300*ms},
		{"outage begins while it waits", 10*s + 100*ms, 10 * s, 0, 11*s + 600*ms},
		{"arrives early in an outage", 10 * s, 10*s + 100*ms, 0, 11*s + 500*ms},
		{"arrives late in an outage", 10 * s, 13 * s, 0, 13*s + 500*ms},
		{"outage, short caller time-out", 10 * s, 13 * s, 200 * ms, 13*s + 100*ms},
	} {
		o := NewOnce("endpoint-0", 1, testOnceParams)
		o.CaughtUp(c.arrives, c.arrives)
		fail := func(now time.Duration) {
			batch := o.Run(KeyedRun{Attempt: protocol.AttemptID{9}, Key: KeyDigest{9}}, now)[0].(AppendClaims).Batch
			o.AppendFailed(batch, time.Hour, now)
		}
		r := KeyedRun{Attempt: protocol.AttemptID{1}, Key: KeyDigest{1}, CallerTimeout: c.callerTimeout}
		if c.failsAt != 0 && c.failsAt <= c.arrives {
			fail(c.failsAt)
			o.Run(r, c.arrives)
		} else if out := o.Run(r, c.arrives); c.failsAt != 0 {
			o.AppendFailed(out[0].(AppendClaims).Batch, time.Hour, c.failsAt)
		}
		refused := func(now time.Duration) bool {
			return slices.ContainsFunc(o.Tick(now), func(a OnceAction) bool {
				answer, ok := a.(Answer)
				return ok && answer.Attempt == r.Attempt && answer.End.Code == protocol.CodeLogUnavailable
			})
		}
		if refused(c.refusedAt - 1) {
			t.Errorf("%s: refused before %v", c.name, c.refusedAt)
		} else if !refused(c.refusedAt) {
			t.Errorf("%s: not refused at %v", c.name, c.refusedAt)
		}
	}
}

func TestMalformedClaimsAreSkipped(t *testing.T) {
	o := NewOnce("endpoint-0", 1, testOnceParams)
	o.ApplyRecord(1, []byte("not a record"), 0)
	if o.Malformed() != 1 || o.Position() != 1 {
		t.Errorf("malformed %d, position %d", o.Malformed(), o.Position())
	}
}
