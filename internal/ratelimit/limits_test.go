package ratelimit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against shares that sum to more than a limit, and against ones that leave most of it unused.
func TestALimitHoldsOverFleetsOfAllSizes(t *testing.T) {
	for _, entries := range []int{1, 3, 30, 103, 300} {
		for _, rate := range []float64{0, 0.2, 1.6, 8, 60} {
			t.Run(fmt.Sprintf("%d entries, %v a second", entries, rate), func(t *testing.T) {
				t.Parallel()
				f := newFleet(1, entries)
				f.run(time.Second)
				f.rate = rate
				f.run(12 * time.Second)
				if n := f.maxInformed(2*time.Second, window); n > allowed(rate) {
					t.Errorf("%d requests in %v, %d allowed", n, window, allowed(rate))
				}
				span := 8 * time.Second
				// Each simulated entry has one request under way, of some 80 ms.
				possible := min(rate, 8*float64(entries))
				if n := f.count(f.now-span, f.now); float64(n) < 0.7*possible*span.Seconds()-3 {
					t.Errorf("%d requests in %v at %v a second", n, span, rate)
				}
			})
		}
	}
}

// Guards against a bound that holds only while entries are in touch, stay in the list and keep running.
func TestALimitHoldsUnderAnyScheduleOfFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 40).Draw(t, "entries"))
		f.loss = rapid.Float64Range(0, 1).Draw(t, "loss")
		rate := rapid.Float64Range(0, 12).Draw(t, "rate")
		f.run(time.Second)
		f.rate = rate
		f.run(time.Second)
		for i := range rapid.IntRange(1, 4).Draw(t, "faults") {
			e := f.entries[rapid.IntRange(0, len(f.entries)-1).Draw(t, "of")]
			switch rapid.SampledFrom([]string{"cut", "restart", "replace", "add"}).Draw(t, "fault") {
			case "cut":
				e.cut = !e.cut
			case "restart":
				f.start(e)
			case "replace":
				f.remove(e)
				f.start(&simEntry{name: fmt.Sprint("replacement-", i)})
			case "add":
				f.start(&simEntry{name: fmt.Sprint("added-", i)})
			}
			f.run(time.Duration(rapid.IntRange(1, 4).Draw(t, "seconds")) * time.Second)
		}
		f.run(2 * time.Second)
		if n := f.maxInformed(2*time.Second, window); n > allowed(rate) {
			t.Fatalf("%d requests in %v at %v a second, %d allowed", n, window, rate, allowed(rate))
		}
	})
}

// Guards against accumulated requests that all entries send at the same moment.
func TestWhatIsSavedUpFitsALimit(t *testing.T) {
	for _, entries := range []int{3, 30, 300} {
		for _, rate := range []float64{0.2, 1.6, 20, 200} {
			t.Run(fmt.Sprintf("%d entries, %v a second", entries, rate), func(t *testing.T) {
				t.Parallel()
				f := newFleet(1, entries)
				f.run(time.Second)
				f.rate = rate
				f.run(2 * time.Second)
				f.idle = true
				f.run(3 * time.Minute)
				f.idle = false
				f.run(5 * time.Second)
				if n := f.maxInformed(2*time.Second, window); n > allowed(rate) {
					t.Errorf("%d requests in %v, %d allowed", n, window, allowed(rate))
				}
			})
		}
	}
}

// Guards against entries that divide a limit by an outdated list while the fleet has grown.
func TestALimitHoldsWhileAFleetGrowsUnheard(t *testing.T) {
	const rate = 20
	f := newFleet(1, 4)
	f.run(time.Second)
	f.rate = rate
	f.run(2 * time.Second)
	for _, e := range f.entries {
		e.cut = true
	}
	for i := range 12 {
		f.start(&simEntry{name: fmt.Sprint("added-", i)})
	}
	f.run(20 * time.Second)
	if n := f.maxInformed(2*time.Second, window); n > allowed(rate) {
		t.Errorf("%d requests in %v, %d allowed", n, window, allowed(rate))
	}
}

// Guards against a new entry that uses its share before the others have reduced theirs.
func TestANewEntryHasNoPartAtFirst(t *testing.T) {
	now := time.Minute
	l := New("new", DefaultParams)
	l.SetEntries([]string{"a", "new"}, now)
	l.ListConfirmed(now, now)
	l.Joined(false, now)
	l.AnswerWithLimit("r", 10, now)
	later := now + DefaultParams.MaxListAge
	l.ListConfirmed(later, later)
	if l.Allows("r", later) {
		t.Error("a new entry sends before all others account for it")
	}
	if !l.Allows("r", later+time.Second) {
		t.Error("a new entry has no share after all others account for it")
	}
}

// Guards against a limit that stays in force, after its end, at entries that send nothing to
// the replica and so get no answer without it.
func TestALimitEndsForAllEntries(t *testing.T) {
	for _, loss := range []float64{0, 1} {
		t.Run(fmt.Sprint("loss ", loss), func(t *testing.T) {
			t.Parallel()
			f := newFleet(1, 30)
			f.loss = loss
			f.run(time.Second)
			f.rate = 1.6
			f.run(5 * time.Second)
			f.rate = -1
			within := 3 * time.Second
			if loss == 1 {
				within = 2*DefaultParams.LimitTTL + 2*time.Second
			}
			f.run(within)
			for _, e := range f.entries {
				if s, limited := e.limits.State(simReplica, f.now); limited {
					t.Errorf("%s still has limit %+v after %v", e.name, s, within)
				}
			}
		})
	}
}

// Guards against a flood of probes by entries that get no updates on a limit that still holds.
func TestALimitThatGoesOnIsTriedRarely(t *testing.T) {
	f := newFleet(1, 30)
	f.loss = 1
	f.run(time.Second)
	f.rate = 0
	f.run(3 * time.Minute)
	if n := f.maxInformed(2*time.Second, window); n > allowed(0)+5 {
		t.Errorf("%d requests in %v at a limit of 0", n, window)
	}
	connected := newFleet(1, 30)
	connected.run(time.Second)
	connected.rate = 1.6
	connected.run(3 * time.Minute)
	if n := connected.maxInformed(2*time.Second, window); n > allowed(1.6) {
		t.Errorf("%d requests in %v at a limit of 1.6", n, window)
	}
}

// Guards against further probes while one is under way.
func TestOneTryAtATime(t *testing.T) {
	l := New("a", DefaultParams)
	l.AnswerWithLimit("r", 0, time.Second)
	l.Allows("r", DefaultParams.LimitTTL)
	now := l.Next("r", time.Second)
	if l.Allows("r", now-time.Millisecond) || !l.Allows("r", now) {
		t.Fatal("Next isn't the time from which on Allows reports true")
	}
	l.Take("r", now)
	if l.Allows("r", now+time.Second) {
		t.Error("a second probe before the answer to the first")
	}
}

// Guards against entries that all probe at the same moment while a limit of 0 still holds.
func TestTriesAreSpreadOut(t *testing.T) {
	for seed := range uint64(2) {
		f := newFleet(seed, 300)
		f.run(time.Second)
		f.rate = 0
		f.run(90 * time.Second)
		if n := f.maxInformed(2*time.Second, window); n > allowed(0) {
			t.Errorf("seed %d: %d requests in %v at a limit of 0", seed, n, window)
		}
	}
}

// Guards against probes that were due at each entry during a lull and are all sent at its end.
func TestProbesDoNotAccumulateInALull(t *testing.T) {
	for _, entries := range []int{3, 10, 30, 100, 300} {
		for _, rate := range []float64{0, 0.1, 0.4, 0.5} {
			for _, loss := range []float64{0, 1} {
				t.Run(fmt.Sprintf("%d entries, %v a second, loss %v", entries, rate, loss), func(t *testing.T) {
					t.Parallel()
					for _, lull := range []time.Duration{15 * time.Second, 20 * time.Second, 29 * time.Second} {
						f := newFleet(1, entries)
						f.loss = loss
						f.run(time.Second)
						f.rate = rate
						f.run(26 * time.Second)
						f.idle = true
						f.run(lull)
						f.idle = false
						f.run(8 * time.Second)
						if n := f.maxInformed(2*time.Second, window); n > allowed(rate) {
							t.Errorf("a lull of %v: %d requests in %v, %d allowed", lull, n, window, allowed(rate))
						}
					}
				})
			}
		}
	}
}

// Guards against a changed rate that is known only to the entry that got the answer.
func TestAChangedRateIsTold(t *testing.T) {
	l := New("a", DefaultParams)
	now := time.Minute
	for _, rate := range []float64{2, 20, 0.5} {
		l.AnswerWithLimit("r", rate, now)
		sent := 0
		for range 10 {
			now += 50 * time.Millisecond
			for _, w := range l.DueUpdates(now) {
				if w != (Update{Replica: "r", Rate: rate}) {
					t.Errorf("sent %+v at a rate of %v", w, rate)
				}
				sent++
			}
		}
		if sent != sendsPerUpdate {
			t.Errorf("a rate of %v was sent %d times, want sendsPerUpdate", rate, sent)
		}
	}
}

// Guards against an answer from before the limit that is taken for its end.
func TestAnAnswerToAnEarlierRequestEndsNoLimit(t *testing.T) {
	l := New("a", DefaultParams)
	l.AnswerWithLimit("r", 2, 10*time.Second)
	if l.AnswerWithoutLimit("r", 9*time.Second) {
		t.Error("the answer to a request from before the limit has ended it")
	}
	if !l.AnswerWithoutLimit("r", 11*time.Second) {
		t.Error("the answer to a later request has not ended the limit")
	}
}

// Guards against outdated updates that override what the replica itself has just announced.
func TestTheReplicasOwnWordGoesFirst(t *testing.T) {
	l := New("a", DefaultParams)
	l.AnswerWithLimit("r", 2, 10*time.Second)
	if l.UpdateReceived(Update{Replica: "r", Lifted: true}, 10*time.Second+DefaultParams.ReplicaPrecedence/2) {
		t.Error("an update ended a limit that the replica just announced")
	}
	if !l.UpdateReceived(Update{Replica: "r", Lifted: true}, 10*time.Second+2*DefaultParams.ReplicaPrecedence) {
		t.Error("a later update on the end of the limit is ignored")
	}
	if l.UpdateReceived(Update{Replica: "r", Rate: -1}, 20*time.Second) {
		t.Error("a rate below 0 is accepted")
	}
}

// Guards against a lowered limit whose accumulated requests are still spent, and a raised one that can't be used.
func TestALimitFollowsTheAnswers(t *testing.T) {
	now := 10 * time.Second
	l := New("a", DefaultParams)
	l.SetEntries([]string{"a"}, now)
	l.ListConfirmed(now, now)
	l.Joined(true, now)
	l.AnswerWithLimit("r", 100, now)
	now += time.Second
	l.ListConfirmed(now, now)
	l.AnswerWithLimit("r", 1, now)
	sent := 0
	for ; l.Allows("r", now); sent++ {
		l.Take("r", now)
	}
	if sent > 1 {
		t.Errorf("%d requests sent at once after a limit was lowered to 1 a second", sent)
	}
	if next := l.Next("r", now); next <= now || next > now+time.Second {
		t.Errorf("the next request may be sent in %v", next-now)
	}
	now += 100 * time.Millisecond
	l.AnswerWithLimit("r", 1000, now)
	now += 100 * time.Millisecond
	if !l.Allows("r", now) {
		t.Error("a raised limit allows nothing")
	}
}

// Guards against shares whose rates sum to more or less than what a replica accepts.
func TestPartsSumToTheRate(t *testing.T) {
	for _, n := range []int{1, 3, 30, 300} {
		names := make([]string, n)
		for i := range names {
			names[i] = fmt.Sprint("entry-", i)
		}
		for _, whole := range []float64{0, 0.3, 1.6, 50, 1e9} {
			sum, with := 0.0, 0
			for _, name := range names {
				share := DefaultParams.share(name, "r", whole, names)
				sum += share.rate
				if share.depth > 0 {
					with++
				}
				if share.sharers > n || share.sharers < 1 {
					t.Errorf("%v is divided among %d of %d entries", whole, share.sharers, n)
				}
			}
			if math.Abs(sum-whole) > 1e-6*whole || with == 0 {
				t.Errorf("%d entries: shares of %v sum to %v; %d entries have one", n, whole, sum, with)
			}
		}
	}
}

// Guards against a cost per request or answer that grows with the number of known limits and entries.
func BenchmarkAllowsUnlimited(b *testing.B) {
	l := New("a", DefaultParams)
	l.SetEntries([]string{"a", "b", "c"}, 0)
	l.AnswerWithLimit("other", 2, 0)
	for b.Loop() {
		l.Allows("r", time.Second)
	}
}

func BenchmarkNamedAgain(b *testing.B) {
	l := New("a", DefaultParams)
	var names []string
	for i := range 300 {
		names = append(names, fmt.Sprint("entry-", i))
	}
	l.SetEntries(names, 0)
	l.Joined(true, 0)
	now := time.Second
	for b.Loop() {
		now += time.Millisecond
		l.AnswerWithLimit("r", 2, now)
	}
}
