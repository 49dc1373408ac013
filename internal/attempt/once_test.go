package attempt

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarklead/internal/protocol"
)

// Symptom: a payment is made twice, or one that was made is called not_run.
// Sequence: entries send the same key at the same moment to several endpoints;
// appends are refused, lose their answer or land long after they were given up;
// the log goes down; processes are killed and come back; the log forgets.
// Cause looked for: running before one's own claim was read back in order,
// running under a claim that was released or belongs to an earlier epoch.
func TestOnceRunsAtMostOnceAndSaysNotRunTruthfully(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newOnceWorld(t, rapid.IntRange(2, 3).Draw(t, "procs"), rapid.IntRange(1, 6).Draw(t, "keys"), rapid.Bool().Draw(t, "dated"))
		w.run()
		w.drain()
		for a, s := range w.sendings {
			k := w.procs[s.proc].once.keys[KeyDigest{byte(s.key), 1}]
			if k != nil && k.waits(a) {
				t.Fatalf("a sending still waits with the log up")
			}
		}
	})
}

// Symptom: with the log back up, payments are still refused.
// Cause looked for: a state left behind by an outage in which a key's claim is
// neither queued nor in doubt.
func TestOnceMakesProgressWhenTheLogIsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newOnceWorld(t, 2, 6, false)
		w.run("leave")
		w.drain()
		w.born = append(w.born, 0)
		fresh := len(w.born) - 1
		clear(w.sendings)
		for k := range w.born {
			w.send(rapid.IntRange(0, len(w.procs)-1).Draw(t, "proc"), k, false)
		}
		w.drain()
		w.mustHaveRun(fresh)
		for _, s := range w.sendings {
			if s.code == protocol.CodeLogUnavailable {
				t.Fatalf("key %d is refused with the log up", s.key)
			}
		}
	})
}

// Symptom: a key without a date runs again an hour later.
// Sequence: it runs; the log's retention takes its claim; every process is
// restarted; its caller sends it again.
// Cause looked for: nobody carried the claim forward.
func TestOnceCarriesUndatedKeysPastRetention(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newOnceWorld(t, 2, 1, false)
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

// Symptom: a payment runs twice, at two endpoints.
// Sequence: a claim is won for nobody and released; the release's answer is lost
// and it is sent again; the same process claims the key anew and runs it; the
// first release lands; another endpoint claims the key.
// Cause: a release that names no claim frees whatever claim stands.
func TestOnceReleaseThatLandsTwiceFreesOneClaim(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newOnceWorld(t, 2, 1, false)
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
		w.land()
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
		t.Errorf("an old key: got %+v", got)
	}
	o.Run(KeyedRun{Attempt: protocol.AttemptID{2}, Key: KeyDigest{2}, Fingerprint: 7}, 0)
	other := o.Run(KeyedRun{Attempt: protocol.AttemptID{3}, Key: KeyDigest{2}, Fingerprint: 8}, 0)
	if got := other[0].(Answer).End; got.Code != protocol.CodeKeyConflict || got.Outcome != protocol.NotRun {
		t.Errorf("a key with another body: got %+v", got)
	}
	late := o.Tick(testOnceParams.ClaimTimeout)
	if got := late[0].(Answer).End; got.Code != protocol.CodeLogUnavailable || got.Outcome != protocol.NotRun || got.RetryAfterMs == 0 {
		t.Errorf("no answer from the log: got %+v", got)
	}
}

// Symptom: payments are refused in an outage that is over before their callers
// would have given up, or wait in vain for all of a long one.
// Cause: one fixed wait for slow logs, short outages and long ones.
func TestOnceWaitsAsLongAsItHelps(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	for _, c := range []struct {
		name             string
		fails, came      time.Duration
		patience, refuse time.Duration
	}{
		{"slow log", 0, 10 * s, 0, 10*s + testOnceParams.ClaimTimeout},
		{"slow log, impatient caller", 0, 10 * s, 600 * ms, 10*s + 300*ms},
		{"outage begins while it waits", 10*s + 100*ms, 10 * s, 0, 11*s + 600*ms},
		{"came early in an outage", 10 * s, 10*s + 100*ms, 0, 11*s + 500*ms},
		{"came late in an outage", 10 * s, 13 * s, 0, 13*s + 500*ms},
		{"outage, impatient caller", 10 * s, 13 * s, 200 * ms, 13*s + 100*ms},
	} {
		o := NewOnce("endpoint-0", 1, testOnceParams)
		o.CaughtUp(c.came, c.came)
		fail := func(now time.Duration) {
			batch := o.Run(KeyedRun{Attempt: protocol.AttemptID{9}, Key: KeyDigest{9}}, now)[0].(AppendClaims).Batch
			o.AppendFailed(batch, time.Hour, now)
		}
		r := KeyedRun{Attempt: protocol.AttemptID{1}, Key: KeyDigest{1}, CallerTimeout: c.patience}
		if c.fails != 0 && c.fails <= c.came {
			fail(c.fails)
			o.Run(r, c.came)
		} else if out := o.Run(r, c.came); c.fails != 0 {
			o.AppendFailed(out[0].(AppendClaims).Batch, time.Hour, c.fails)
		}
		refused := func(now time.Duration) bool {
			return slices.ContainsFunc(o.Tick(now), func(a OnceAction) bool {
				answer, ok := a.(Answer)
				return ok && answer.Attempt == r.Attempt && answer.End.Code == protocol.CodeLogUnavailable
			})
		}
		if refused(c.refuse - 1) {
			t.Errorf("%s: refused before %v", c.name, c.refuse)
		} else if !refused(c.refuse) {
			t.Errorf("%s: not refused at %v", c.name, c.refuse)
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
