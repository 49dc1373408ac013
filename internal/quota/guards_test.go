package quota

import (
	"math"
	"testing"
	"time"

	"skylarklead/internal/fleet"
)

const guardRate = 10_000

// onlyEntry returns the ledger of the only entry in the list, its capacity, and a time at which its bucket is full.
func onlyEntry(t *testing.T, known bool) (l *Ledger, capacity float64, now time.Duration) {
	t.Helper()
	l = NewLedger("a", simParams, func(int) int { return 0 })
	l.SetEntries([]string{"a"}, 0)
	l.SetQuotas(map[string]fleet.Quota{"derwent": tokens(guardRate)}, 0)
	l.ListConfirmed(time.Hour, 0)
	l.Joined(known, 0)
	q := tokens(guardRate)
	return l, simParams.capacity(&q), time.Minute
}

func levelOf(t *testing.T, l *Ledger, now time.Duration) float64 {
	t.Helper()
	s, ok := l.State("derwent", now)
	if !ok {
		t.Fatal("no account")
	}
	return s.Level
}

func wantLevel(t *testing.T, l *Ledger, now time.Duration, want float64) {
	t.Helper()
	if got := levelOf(t, l, now); math.Abs(got-want) > 1e-6 {
		t.Errorf("level is %.1f units, want %.1f", got, want)
	}
}

// Guards against units that accumulate without a bound.
func TestNoMoreIsSavedUpThanTheLimitAllows(t *testing.T) {
	l, capacity, now := onlyEntry(t, true)
	levelOf(t, l, time.Second)
	wantLevel(t, l, now, capacity)
	l.Refund("derwent", 500, now, now)
	wantLevel(t, l, now, capacity)
}

// Guards against a duplicated loan request that gets units twice.
func TestAQuestionIsAnsweredWithUnitsOnce(t *testing.T) {
	l, capacity, now := onlyEntry(t, true)
	id := LoanID{"b", 1, 1}
	if lent := l.Lend("derwent", 1000, id, now); lent.Units != 1000 {
		t.Errorf("%+v for a loan of 1,000 units", lent)
	}
	if lent := l.Lend("derwent", 1000, id, now); lent.Units != 0 {
		t.Errorf("%+v for the same loan request again", lent)
	}
	wantLevel(t, l, now, capacity-1000)
}

// Guards against the return of units twice, late, for an unknown loan, or beyond the loan.
func TestUnitsComeBackOnceAndInTime(t *testing.T) {
	l, capacity, now := onlyEntry(t, true)
	first, second := LoanID{"b", 1, 1}, LoanID{"b", 1, 2}
	l.Lend("derwent", 20_000, first, now)
	l.Lend("derwent", 20_000, second, now)
	l.LoanReturned("derwent", 20_000, LoanID{"b", 1, 3}, now)
	wantLevel(t, l, now, capacity-40_000)
	l.LoanReturned("derwent", 30_000, first, now)
	wantLevel(t, l, now, capacity-20_000)
	l.LoanReturned("derwent", 20_000, first, now)
	wantLevel(t, l, now, capacity-20_000)
	late := now + simParams.SpendWithin + time.Millisecond
	before := levelOf(t, l, late)
	l.LoanReturned("derwent", 20_000, second, late)
	wantLevel(t, l, late, before)
	l.Refund("derwent", 20_000, now, late)
	wantLevel(t, l, late, before)
}

// Guards against a new entry that spends before all others account for it.
func TestANewEntryWaitsUntilAllOthersKnowOfIt(t *testing.T) {
	l, _, _ := onlyEntry(t, false)
	if l.Take("derwent", 1, simParams.MaxListAge-time.Millisecond) {
		t.Error("a new entry spends before MaxListAge has passed")
	}
	if !l.Take("derwent", 1, simParams.MaxListAge+time.Second) {
		t.Error("a new entry can't spend after MaxListAge")
	}
}

// Guards against an entry with an outdated list of entries that spends its whole share.
func TestAnOldListHalvesWhatComesIn(t *testing.T) {
	l, _, _ := onlyEntry(t, true)
	l.ListConfirmed(2*time.Hour, time.Hour)
	stale := 2*time.Hour + simParams.MaxListAge
	if !l.Take("derwent", levelOf(t, l, stale), stale) {
		t.Fatal("the level can't be taken")
	}
	q := tokens(guardRate)
	wantLevel(t, l, stale+time.Second, simParams.rate(&q)/2)
}

// Guards against shares of a quota that sum to more than the whole, for any number of entries.
func TestPartsSumToTheWhole(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 5, 30, 103, 300} {
		entries := make([]string, n)
		for i := range entries {
			entries[i] = string(rune('a'+i%26)) + string(rune('a'+i/26))
		}
		for _, rate := range []float64{1, 1000, 100_000, 10_000_000} {
			q := tokens(rate)
			s := computeShares("derwent", &q, simParams.capacity(&q), entries)
			sum := 0.0
			for _, e := range entries {
				sum += s.of(e)
			}
			if math.Abs(sum-1) > 1e-9 {
				t.Errorf("%d entries, %.0f a second: shares sum to %v", n, rate, sum)
			}
		}
	}
}

// Guards against parameters by which a window could exceed its bound.
func TestWhatComesInFitsTheWindow(t *testing.T) {
	for _, q := range []fleet.Quota{tokens(1000), tokens(1_000_000), {Rate: 100, Burst: 10_000, Tokens: true}, {Rate: 5, Burst: 0}} {
		p := simParams
		window := p.rate(&q)*(p.Window+p.SpendWithin).Seconds() + p.capacity(&q) + listSlack*p.Slack
		if most := p.Bound(&q, p.Window); window > most {
			t.Errorf("%+v: %.0f in a window, %.0f allowed", q, window, most)
		}
	}
}

// Guards against a small quota that is divided until no request fits any share.
func TestASmallLimitServesARequest(t *testing.T) {
	for name, q := range map[string]fleet.Quota{
		"requests":    {Rate: 1, Burst: 1},
		"no burst":    {Rate: 20},
		"few tokens":  {Rate: 500, Burst: 2000, Tokens: true},
		"many tokens": tokens(29_000),
	} {
		t.Run(name, func(t *testing.T) {
			params := simParams
			params.Window, params.Excess, params.Slack = 0, 0, 0
			s := newSimulatedWith(1, 30, map[string]fleet.Quota{"derwent": q}, params)
			if !s.request(s.entries[3], "derwent", min(1, q.Rate)*min(q.Units(&fleet.Request{HasTokenCounts: true, PromptTokens: 1000}), 2000)) {
				t.Errorf("%+v: refused", q)
			}
		})
	}
}
