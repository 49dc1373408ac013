package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"skylarklead/internal/fleet"
)

// simulated is a fleet of entries that lend to each other over a network which loses and
// delays messages.
type simulated struct {
	rand    *rand.Rand
	now     time.Duration
	params  Params
	entries []*simEntry
	// listed are the names in the list of entries, which is read with a delay.
	listed []string
	later  []simEvent
	loss   float64
	delay  time.Duration
	spent  map[string][]simSpent
	// asked, refused and messages count requests and questions.
	asked, refused, messages int
}

type simEntry struct {
	name   string
	ledger *Ledger
	epoch  uint64
	seq    uint64
	down   bool
	// read is how many entries the list had when it was read last.
	read int
	// cut entries hear nobody and read no list.
	cut    bool
	limits map[string]fleet.Quota
}

type simEvent struct {
	at time.Duration
	do func()
}

type simSpent struct {
	at    time.Duration
	units float64
}

var simParams = Params{
	Window: 8 * time.Second, Excess: 0.1, Slack: 110_000,
	SpendWithin: DefaultSpendWithin, MaxListAge: DefaultMaxListAge,
}

func newSimulated(seed uint64, entries int, limits map[string]fleet.Quota) *simulated {
	return newSimulatedWith(seed, entries, limits, simParams)
}

func newSimulatedWith(seed uint64, entries int, limits map[string]fleet.Quota, params Params) *simulated {
	s := &simulated{
		rand: rand.New(rand.NewPCG(seed, 1)), params: params,
		spent: make(map[string][]simSpent), delay: 5 * time.Millisecond,
	}
	for i := range entries {
		s.add(fmt.Sprint("entry-", i), limits)
	}
	s.run(2*DefaultMaxListAge, nil)
	return s
}

// add starts an entry that the list doesn't have yet.
func (s *simulated) add(name string, limits map[string]fleet.Quota) {
	e := &simEntry{name: name, limits: limits}
	s.entries = append(s.entries, e)
	s.start(e)
}

func (s *simulated) start(e *simEntry) {
	e.down = false
	e.epoch++
	known := slices.Contains(s.listed, e.name)
	if !known {
		s.listed = append(s.listed, e.name)
	}
	e.ledger, e.read = NewLedger(e.name, s.params, s.rand.IntN), 0
	e.ledger.SetLimits(e.limits, s.now)
	if !e.cut {
		s.read(e)
		e.ledger.Joined(known, s.now)
	}
}

// read has an entry read the list of entries.
func (s *simulated) read(e *simEntry) {
	if e.read != len(s.listed) {
		e.ledger.SetEntries(slices.Clone(s.listed), s.now)
		e.read = len(s.listed)
	}
	e.ledger.ListConfirmed(s.now, s.now)
}

func (s *simulated) after(d time.Duration, do func()) {
	s.later = append(s.later, simEvent{s.now + d, do})
}

// run lets time pass, a millisecond at a time; each is called in each.
func (s *simulated) run(d time.Duration, each func()) {
	for end := s.now + d; s.now < end; s.now += time.Millisecond {
		due := s.later
		s.later = nil
		for _, ev := range due {
			if ev.at <= s.now {
				ev.do()
			} else {
				s.later = append(s.later, ev)
			}
		}
		if s.now%(500*time.Millisecond) == 0 {
			for _, e := range s.entries {
				if !e.down && !e.cut {
					s.read(e)
				}
			}
		}
		if each != nil {
			each()
		}
	}
}

func (s *simulated) named(name string) *simEntry {
	for _, e := range s.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}

func (s *simulated) reaches(a, b *simEntry) bool {
	return !a.cut && !b.cut && !b.down && s.rand.Float64() >= s.loss
}

// borrowed are units of a lender.
type borrowed struct {
	from  *simEntry
	units float64
	loan  LoanID
}

// request has an entry acquire a request's units as an entry of the product does, and
// send it within SpendWithin or give the units back.
func (s *simulated) request(e *simEntry, organisation string, units float64) bool {
	s.asked++
	at, epoch := s.now, e.epoch
	own, pieces := s.acquire(e, organisation, units)
	if own < 0 {
		s.refused++
		e.ledger.RecordRefusal(organisation, units, s.now)
		s.giveBack(e, organisation, 0, pieces, at)
		return false
	}
	// Some wait as long as they may, and some are not sent in the end.
	wait := s.delay
	if s.rand.IntN(4) == 0 {
		wait = time.Duration(s.rand.Int64N(int64(s.params.SpendWithin)))
	}
	unsent := s.rand.IntN(20) == 0
	s.after(wait, func() {
		switch {
		case e.down || e.epoch != epoch || s.now-at > s.params.SpendWithin:
		case unsent:
			s.giveBack(e, organisation, own, pieces, at)
		default:
			s.spent[organisation] = append(s.spent[organisation], simSpent{s.now, units})
		}
	})
	return true
}

// acquire returns the units of an entry's own part, below 0 if there weren't enough, and
// those borrowed.
func (s *simulated) acquire(e *simEntry, organisation string, units float64) (own float64, pieces []borrowed) {
	if e.ledger.Take(organisation, units, s.now) {
		return units, nil
	}
	usable := func(string) bool { return true }
	left := units
	for _, name := range e.ledger.Lenders(organisation, left, usable, s.now) {
		lender := s.named(name)
		s.messages++
		e.seq++
		id := LoanID{e.name, e.epoch, e.seq}
		if lender == nil || !s.reaches(e, lender) {
			continue
		}
		lent := lender.ledger.Lend(organisation, left, id, s.now)
		if !s.reaches(lender, e) {
			continue
		}
		e.ledger.LenderReported(organisation, name, lent.Remaining, s.now)
		if lent.Units > 0 {
			pieces = append(pieces, borrowed{lender, lent.Units, id})
			left -= lent.Units
		}
		if left <= 0 {
			return 0, pieces
		}
	}
	if len(pieces) > 0 && e.ledger.Take(organisation, left, s.now) {
		return left, pieces
	}
	return -1, pieces
}

func (s *simulated) giveBack(e *simEntry, organisation string, own float64, pieces []borrowed, at time.Duration) {
	if own > 0 {
		e.ledger.Refund(organisation, own, at, s.now)
	}
	for _, p := range pieces {
		back := func() { p.from.ledger.LoanReturned(organisation, p.units, p.loan, s.now) }
		if s.reaches(e, p.from) {
			s.after(time.Duration(s.rand.Int64N(int64(4*s.delay))), back)
		}
		if s.rand.IntN(10) == 0 {
			s.after(time.Duration(s.rand.Int64N(int64(time.Second))), back) // once more, or late
		}
	}
}

// busiest is the most that was spent in any window of a length.
func (s *simulated) busiest(organisation string, window time.Duration) float64 {
	spent := slices.SortedFunc(slices.Values(s.spent[organisation]), func(a, b simSpent) int { return int(a.at - b.at) })
	most, sum, first := 0.0, 0.0, 0
	for _, x := range spent {
		sum += x.units
		for x.at-spent[first].at > window {
			sum -= spent[first].units
			first++
		}
		most = max(most, sum)
	}
	return most
}

// up are the entries that run.
func (s *simulated) up() []*simEntry {
	var out []*simEntry
	for _, e := range s.entries {
		if !e.down {
			out = append(out, e)
		}
	}
	return out
}

// units draws a request's size: many short ones, some with long prompts.
func (s *simulated) units() float64 {
	if s.rand.IntN(3) > 0 {
		return 200 + float64(s.rand.IntN(1600))
	}
	return 4000 + float64(s.rand.IntN(12_000))
}

// meanUnits is the mean of units.
const meanUnits = 2.0/3*1000 + 1.0/3*10_000
