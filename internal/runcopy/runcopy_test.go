package runcopy

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarklead/internal/fleet"
)

func place(id, host, domain string) Place {
	return Place{ID: id, Address: host + ":8024", FailureDomain: domain}
}

// testInterval is the pause between the parts of testRun's copy.
const testInterval = 300 * time.Millisecond

func testRun() *Run {
	return &Run{RequestID: 7, CopyInterval: testInterval, Tokens: 900, ExpectedTime: time.Second, Objective: time.Second, Version: 3, Software: "v1", Source: place("source", "10.0.0.1", "a")}
}

// tooLong is a backlog at which a replica keeps no backups of a run like testRun's.
func tooLong() time.Duration {
	return time.Duration(maxBacklogShare*float64(testRun().Objective)) + time.Millisecond
}

// Guards against a backup that can't serve: on the source's machine, on other weights, at a replica
// that soon loads weights, has recent faults or has no room.
func TestChooseLeavesOutReplicasThatCannotServe(t *testing.T) {
	good := Candidate{Place: place("good", "10.0.0.2", "a"), Version: 3, Software: "v1", FreeTokens: 100_000}
	for name, change := range map[string]func(*Candidate){
		"the source":       func(c *Candidate) { c.ID = "source" },
		"same machine":     func(c *Candidate) { c.Address = "10.0.0.1:9000" },
		"older weights":    func(c *Candidate) { c.Version = 2 },
		"other software":   func(c *Candidate) { c.Software = "v2" },
		"unknown software": func(c *Candidate) { c.Software = "" },
		"newer weights":    func(c *Candidate) { c.Version = 4 },
		"loads weights":    func(c *Candidate) { c.LoadPlanned, c.LoadIn = true, MinWork(testInterval)-1 },
		"recent faults":    func(c *Candidate) { c.Faulty = true },
		"no room":          func(c *Candidate) { c.FreeTokens = float64(testRun().Tokens)/maxMemoryShare - 1 },
		"prompts ahead":    func(c *Candidate) { c.Backlog = tooLong() },
		"running is full":  func(c *Candidate) { c.FreeTokens = -1 },
	} {
		bad := good
		change(&bad)
		if i, skip := Choose(testRun(), []Candidate{bad}, NewLedger(), 1, 0); i >= 0 || skip != SkipNoTarget {
			t.Errorf("%s: chosen", name)
		}
		if i, _ := Choose(testRun(), []Candidate{bad, good}, NewLedger(), 1, 0); i != 1 {
			t.Errorf("%s: chose %d; want the other one", name, i)
		}
	}
}

// Guards against copies that a planned load of weights discards before the run ends, while another
// replica, even in another failure domain, keeps its weights.
func TestChoosePrefersReplicasThatKeepTheirWeights(t *testing.T) {
	soon := Candidate{Place: place("soon", "10.0.0.2", "a"), Version: 3, Software: "v1", FreeTokens: 100_000, LoadPlanned: true, LoadIn: 900 * time.Millisecond}
	later := soon
	later.Place, later.LoadIn = place("later", "10.0.0.3", "b"), 1100*time.Millisecond
	if i, _ := Choose(testRun(), []Candidate{soon, later}, NewLedger(), 1, 0); i != 1 {
		t.Errorf("chose %d", i)
	}
	if i, _ := Choose(testRun(), []Candidate{soon}, NewLedger(), 1, 0); i != 0 {
		t.Error("no backup, although the copy is of use for a while")
	}
}

// Guards against copies that cost links and memory and are of no use.
func TestRunsThatNeedNoBackup(t *testing.T) {
	repeatable, short := testRun(), testRun()
	repeatable.Repeatable, short.ExpectedTime = true, MinWork(testInterval)-1
	for run, want := range map[*Run]SkipReason{repeatable: SkipRepeatable, short: SkipShort, testRun(): ""} {
		if skip := Wanted(run); skip != want {
			t.Errorf("%+v: %q; want %q", run, skip, want)
		}
	}
}

// Guards against copies that slow down a replica whose prompts already wait, as in a burst.
func TestRunsOfABusyReplicaGetNoBackup(t *testing.T) {
	source := Candidate{Place: testRun().Source, Version: 3, Software: "v1", FreeTokens: 100_000, Backlog: tooLong()}
	idle := Candidate{Place: place("b", "10.0.0.2", "a"), Version: 3, Software: "v1", FreeTokens: 100_000}
	if _, skip := Choose(testRun(), []Candidate{idle, source}, NewLedger(), 1, 0); skip != SkipBusy {
		t.Errorf("%q", skip)
	}
}

// Guards against backups in one heap, and across failure domains without need, under a steady load of
// streams that may run only once: the load is spread, and no replica's memory is overbooked by all
// entries together.
func TestBackupsAreSpreadUnderSteadyLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, sharers := rapid.IntRange(2, 12).Draw(t, "replicas"), rapid.IntRange(1, 30).Draw(t, "entries")
		const free = 100_000.0
		candidates := make([]Candidate, n)
		for i := range candidates {
			id := strconv.Itoa(i)
			candidates[i] = Candidate{Place: place(id, "10.0.1."+id, string(rune('a'+i%2))), Version: 3, Software: "v1", FreeTokens: free}
		}
		ledger := NewLedger()
		for i := range rapid.IntRange(1, 200).Draw(t, "runs") {
			run := testRun()
			run.RequestID = uint64(i)
			chosen, skip := Choose(run, candidates, ledger, sharers, 0)
			if skip != "" {
				continue
			}
			c := candidates[chosen]
			ledger.Begin(c.ID, run.Tokens)
			held := ledger.Held(c.ID, 0)
			if all := float64((held-run.Tokens)*sharers + run.Tokens); all > maxMemoryShare*free {
				t.Fatalf("%v tokens of backups at %s", all, c.ID)
			}
			if all := float64(ledger.Total(0)-run.Tokens) * float64(sharers); all > maxMemoryShare*free*float64(n) {
				t.Fatalf("%v tokens of backups at %d replicas", all, n)
			}
			for _, o := range candidates {
				if o.FailureDomain == c.FailureDomain && ledger.Held(o.ID, 0) < held-run.Tokens {
					t.Fatalf("%s got one more than %s", c.ID, o.ID)
				}
			}
			if c.FailureDomain != "a" && ledger.Held("0", 0) == 0 {
				t.Fatal("another failure domain while the own one has room")
			}
		}
	})
}

// Guards against copies that stay counted, or are forgotten while the replica still has them.
func TestLedgerCountsCopiesUntilTheyExpire(t *testing.T) {
	l := NewLedger()
	l.Begin("b", 100)
	l.Begin("b", 50)
	l.End("b", 100, 0)
	l.End("b", 50, 5*time.Second)
	if before, after := l.Held("b", 4*time.Second), l.Held("b", 5*time.Second); before != 50 || after != 0 {
		t.Errorf("%d before and %d after the end; want 50 and 0", before, after)
	}
	l.Begin("b", 70)
	l.Forget("b")
	l.End("b", 70, 0)
	if held := l.Held("b", time.Minute); held != 0 {
		t.Errorf("%d at a replica that is gone", held)
	}
}

// Guards against going on where the run may go on twice, on memory of other weights, at a replica that
// can't, for a request that crashes replicas, or for a caller that has left.
func TestDecide(t *testing.T) {
	const lifetime = 5 * time.Second
	good := Situation{
		Source: SourceGone, Events: 2, Worked: MinWork(testInterval), Silence: maxSilence, SinceEvent: lifetime - testInterval - 1,
		Transfer:   fleet.RunTransfer{CopyInterval: testInterval, CopyLifetime: lifetime},
		CopyTokens: 100, TargetReport: &fleet.Report{UsedTokens: 400, MemoryTokens: 1000},
		Version: 3, TargetUsable: true, TargetVersion: 3, PatienceLeft: 1,
	}
	for want, change := range map[StopReason]func(*Situation){
		"":                 func(*Situation) {},
		StopSuspect:        func(s *Situation) { s.Suspect = true },
		StopSourceAlive:    func(s *Situation) { s.Source = SourceAlive },
		StopSourceUnknown:  func(s *Situation) { s.Source = SourceUnknown },
		StopSourceChanged:  func(s *Situation) { s.SourceChanged = true },
		StopTargetUnusable: func(s *Situation) { s.TargetUsable = false },
		StopNoEvents:       func(s *Situation) { s.Events = 0 },
		StopNoCopyYet:      func(s *Situation) { s.Worked-- },
		StopCopyExpired:    func(s *Situation) { s.SinceEvent++ },
		StopSourceSilent:   func(s *Situation) { s.Silence++ },
		StopTargetSilent:   func(s *Situation) { s.TargetReport = nil },
		StopTargetFull:     func(s *Situation) { s.CopyTokens++ },
		StopTargetDoubtful: func(s *Situation) { s.TargetDoubtful = true },
		StopSoftware:       func(s *Situation) { s.SoftwareDiffers = true },
		StopTooLate:        func(s *Situation) { s.PatienceLeft = 0 },
	} {
		s := good
		change(&s)
		if got := Decide(&s); got != want {
			t.Errorf("%+v: %q; want %q", s, got, want)
		}
	}
	for _, change := range []func(*Situation){
		func(s *Situation) { s.TargetVersion = 4 },
		func(s *Situation) { s.TargetVersion = 2 }, func(s *Situation) { s.TargetOrdered = true },
	} {
		s := good
		change(&s)
		if got := Decide(&s); got != StopTargetChanged {
			t.Errorf("%+v: %q", s, got)
		}
	}
}

// Guards against a run that begins anew at the replica of its backup: its source couldn't be reached, ended the run by
// itself, and had the copy dropped.
func TestRunOfASourceOutOfReachDoesNotGoOn(t *testing.T) {
	s := Situation{
		Source: SourceLost, Events: 9, Worked: time.Second,
		Transfer:   fleet.RunTransfer{CopyInterval: testInterval, CopyLifetime: 5 * time.Second},
		CopyTokens: 100, TargetReport: &fleet.Report{UsedTokens: 400, MemoryTokens: 1000},
		Version: 3, TargetUsable: true, TargetVersion: 3, PatienceLeft: time.Second,
	}
	for _, silence := range []time.Duration{0, maxSilence, 2 * time.Second} {
		s.Silence, s.SinceEvent = silence, silence
		if got := Decide(&s); got != StopSourceSilent {
			t.Errorf("after %v: %q; want %q", silence, got, StopSourceSilent)
		}
	}
}

// Guards against a stream with a piece missing or one that comes twice after it changed replicas,
// whatever the second replica sends.
func TestJoinedStreamHasEachEventOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		begin, first := rapid.IntRange(0, 5).Draw(t, "begin"), rapid.IntRange(0, 8).Draw(t, "events")
		last := begin + first
		id := func(n int) string {
			if n == 0 {
				return ""
			}
			return strconv.Itoa(n)
		}
		j := NewJoin(id(begin), id(last), first)
		for _, n := range rapid.SliceOf(rapid.IntRange(1, 20)).Draw(t, "second") {
			verdict := j.Next(strconv.Itoa(n))
			switch {
			case n <= last && verdict != Drop:
				t.Fatalf("%d after %d: %v", n, last, verdict)
			case n > last+1 && first > 0 && verdict != BreakOff:
				t.Fatalf("%d after %d: %v", n, last, verdict)
			case n == last+1 && verdict != Forward:
				t.Fatalf("%d after %d: %v", n, last, verdict)
			}
			if verdict == BreakOff {
				return
			}
			last = max(last, n)
		}
	})
	for _, c := range []struct{ last, next string }{{"x", "2"}, {"1", ""}, {"1", "x"}} {
		if got := NewJoin("", c.last, 1).Next(c.next); got != BreakOff {
			t.Errorf("%q after %q: %v; its place isn't known", c.next, c.last, got)
		}
	}
}

// Guards against callers that wait for checks of replicas, up to a second, though their run can't go on.
func TestRunsThatCannotGoOnAreCutAtOnce(t *testing.T) {
	const lifetime = 5 * time.Second
	good := Situation{
		Events: 2, Worked: MinWork(testInterval), Silence: maxSilence, SinceEvent: lifetime - testInterval - 1,
		Transfer: fleet.RunTransfer{CopyInterval: testInterval, CopyLifetime: lifetime},
	}
	for want, change := range map[StopReason]func(*Situation){
		"":               func(*Situation) {},
		StopSuspect:      func(s *Situation) { s.Suspect = true },
		StopNoEvents:     func(s *Situation) { s.Events = 0 },
		StopNoCopyYet:    func(s *Situation) { s.Worked-- },
		StopCopyExpired:  func(s *Situation) { s.SinceEvent++ },
		StopSourceSilent: func(s *Situation) { s.Silence++ },
	} {
		s := good
		change(&s)
		if got := Preclude(&s); got != want {
			t.Errorf("%+v: %q; want %q", s, got, want)
		}
	}
}
