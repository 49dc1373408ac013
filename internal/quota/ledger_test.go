package quota

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarklead/internal/fleet"
)

func tokens(rate float64) fleet.Quota {
	return fleet.Quota{Rate: rate, Burst: rate, Tokens: true, DefaultUnits: 200}
}

// Guards against more usage than a quota allows in any window, however messages are lost and
// entries stop, start, join and are cut off.
func TestNoWindowExceedsALimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{5_000, 29_000, 150_000, 400_000}).Draw(t, "rate")
		n := rapid.IntRange(1, 30).Draw(t, "entries")
		quotas := map[string]fleet.Quota{"derwent": tokens(rate)}
		s := newSimulated(rapid.Uint64().Draw(t, "seed"), n, quotas)
		s.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
		perMs := rapid.SampledFrom([]float64{0.5, 2, 8}).Draw(t, "load") * rate / meanUnits / 1000
		added := 0
		fault := func() {
			e := s.entries[s.rand.IntN(len(s.entries))]
			switch s.rand.IntN(8) {
			case 0, 1:
				if !e.down {
					e.down = true
					s.after(time.Duration(500+s.rand.IntN(3000))*time.Millisecond, func() { s.start(e) })
				}
			case 2:
				if !e.cut {
					e.cut = true
					s.after(time.Duration(s.rand.IntN(12_000))*time.Millisecond, func() { e.cut = false })
				}
			case 3:
				if added < n/3 {
					added++
					s.add(fmt.Sprint("added-", added), quotas)
				}
			}
		}
		due := 0.0
		s.run(30*time.Second, func() {
			if s.rand.IntN(400) == 0 {
				fault()
			}
			up := s.running()
			for due += perMs; due >= 1 && len(up) > 0; due-- {
				s.request(up[s.rand.IntN(len(up))], "derwent", s.units())
			}
		})
		q := quotas["derwent"]
		for _, window := range []time.Duration{s.params.Window, 2 * s.params.Window} {
			if got, most := s.maxSpent("derwent", window), s.params.Bound(&q, window); got > most {
				t.Fatalf("%.0f units in %v, %.0f allowed", got, window, most)
			}
		}
	})
}

// Guards against refusals below a quota for lack of units that another entry holds idle.
func TestLoadBelowALimitIsServed(t *testing.T) {
	for _, entries := range []int{3, 30, 103, 300} {
		for _, rate := range []float64{60_000, 400_000} {
			for _, users := range []int{1, 3, entries} {
				t.Run(fmt.Sprintf("%d entries, %.0f a second, from %d", entries, rate, users), func(t *testing.T) {
					s := newSimulated(1, entries, map[string]fleet.Quota{"derwent": tokens(rate)})
					const requests = 1000
					perMs := 0.55 * rate / meanUnits / 1000
					due := 0.0
					s.run(time.Duration(requests/perMs)*time.Millisecond, func() {
						for due += perMs; due >= 1; due-- {
							s.request(s.entries[s.rand.IntN(users)], "derwent", s.units())
						}
					})
					if share := float64(s.refused) / float64(s.asked); share > 0.01 {
						t.Errorf("%d of %d requests refused", s.refused, s.asked)
					}
					t.Logf("%d requests, %d refused, %d loan requests", s.asked, s.refused, s.messages)
				})
			}
		}
	}
}

// Guards against units that stay at the entries that got an organisation's requests before those moved elsewhere.
func TestRequestsThatMoveToOtherEntriesAreServed(t *testing.T) {
	const rate, entries, users = 300_000, 30, 5
	quotas := map[string]fleet.Quota{"derwent": tokens(rate), "huon": tokens(rate)}
	s := newSimulated(1, entries, quotas)
	due := 0.0
	s.run(20*time.Second, func() {
		// The two organisations swap entries every two seconds.
		swapped := int(s.now/(2*time.Second)) % 2
		for due += 2 * 0.8 * rate / meanUnits / 1000; due >= 1; due-- {
			which := s.rand.IntN(2)
			from := users*((which+swapped)%2) + s.rand.IntN(users)
			s.request(s.entries[from], []string{"derwent", "huon"}[which], s.units())
		}
	})
	if share := float64(s.refused) / float64(s.asked); share > 0.01 {
		t.Errorf("%d of %d requests refused", s.refused, s.asked)
	}
}

// Guards against a flood of loan requests when an organisation sends many times its quota.
func TestAnOrganisationFarBeyondItsLimitAsksLittle(t *testing.T) {
	const rate = 400_000
	s := newSimulated(1, 30, map[string]fleet.Quota{"derwent": tokens(rate)})
	perMs := 10.0 * rate / meanUnits / 1000
	due := 0.0
	s.run(20*time.Second, func() {
		for due += perMs; due >= 1; due-- {
			s.request(s.entries[s.rand.IntN(len(s.entries))], "derwent", s.units())
		}
	})
	served := 0.0
	for _, x := range s.spent["derwent"] {
		served += x.units
	}
	if served < 0.9*rate*20 {
		t.Errorf("%.0f units served in 20 s, the limit has %d", served, rate*20)
	}
	// Half the rate of datagrams that an entry sends to its peers anyway.
	if perEntry := float64(s.messages) / 30 / 20; perEntry > 100 {
		t.Errorf("%.0f loan requests a second and entry", perEntry)
	}
	t.Logf("%.2f of the limit served, %.1f loan requests a second and entry", served/(rate*20), float64(s.messages)/30/20)
}

// Guards against an entry without peers that serves no requests of an organisation with a large quota.
func TestAnEntryCutOffServesItsPart(t *testing.T) {
	const rate, entries = 400_000, 30
	s := newSimulated(1, entries, map[string]fleet.Quota{"derwent": tokens(rate)})
	e := s.entries[0]
	e.cut = true
	perMs := 0.55 * rate / entries / 1000 / 1000
	due := 0.0
	s.run(5*time.Second, func() {
		for due += perMs; due >= 1; due-- {
			s.request(e, "derwent", 1000)
		}
	})
	if s.refused > s.asked/2 {
		t.Errorf("%d of %d requests refused", s.refused, s.asked)
	}
}

// Guards against a new burst after each restart.
func TestRestartsMintNoBurst(t *testing.T) {
	const rate = 400_000
	s := newSimulated(1, 3, map[string]fleet.Quota{"derwent": tokens(rate)})
	for range 4 {
		for _, e := range s.entries {
			s.start(e)
		}
		for range 1000 {
			s.request(s.entries[s.rand.IntN(3)], "derwent", 1000)
		}
		s.run(100*time.Millisecond, nil)
	}
	if got, most := s.maxSpent("derwent", s.params.Window), 0.5*rate; got > most {
		t.Errorf("%.0f units after four restarts, at most %.0f", got, most)
	}
}

// Guards against a part of the slack with each start of an entry that is alone and restarts often.
func TestASoleEntryThatRestartsOftenStaysWithinAWindow(t *testing.T) {
	const rate = 5_000
	q := tokens(rate)
	s := newSimulated(1, 1, map[string]fleet.Quota{"derwent": q})
	for range 12 {
		s.run(2*time.Second, func() { s.request(s.entries[0], "derwent", 200) })
		s.start(s.entries[0])
	}
	for _, window := range []time.Duration{s.params.Window, 2 * s.params.Window} {
		if got, most := s.maxSpent("derwent", window), s.params.Bound(&q, window); got > most {
			t.Errorf("%.0f units in %v, %.0f allowed", got, window, most)
		}
	}
}

// Guards against a wait that the quota doesn't need, and one that is too short for the quota.
func TestWaitGrowsWithWhatWasRefused(t *testing.T) {
	s := newSimulated(1, 30, map[string]fleet.Quota{"derwent": tokens(29_000)})
	l := s.entries[0].ledger
	first := l.RecordRefusal("derwent", 9_000, s.now)
	if want := 310 * time.Millisecond; first < want-10*time.Millisecond || first > want+10*time.Millisecond {
		t.Errorf("wait %v for 9,000 units at 29,000 a second", first)
	}
	if again := l.RecordRefusal("derwent", 9_000, s.now); again <= first {
		t.Errorf("wait %v after a wait of %v", again, first)
	}
	if later := l.RecordRefusal("derwent", 9_000, s.now+2*refusalWindow); later != first {
		t.Errorf("wait %v after a pause, %v before", later, first)
	}
}

// Guards against quotas that stay in force after they were lowered, raised or removed.
func TestLimitsFollowTheConfiguration(t *testing.T) {
	l := NewLedger("a", simParams, func(int) int { return 0 })
	l.SetEntries([]string{"a"}, 0)
	l.ListConfirmed(time.Hour, 0)
	l.Joined(true, 0)
	l.SetQuotas(map[string]fleet.Quota{"derwent": tokens(100_000)}, 0)
	if !l.Take("derwent", 100_000, 10*time.Second) {
		t.Error("accumulated units are refused")
	}
	l.SetQuotas(map[string]fleet.Quota{"derwent": tokens(10_000)}, 20*time.Second)
	lower := tokens(10_000)
	if l.Take("derwent", l.params.capacity(&lower)+1, 20*time.Second) {
		t.Error("more units than the lower limit can accumulate")
	}
	l.SetQuotas(map[string]fleet.Quota{}, 20*time.Second)
	if l.HasQuota("derwent") {
		t.Error("a removed limit is still in force")
	}
}
