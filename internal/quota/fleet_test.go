package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"skylarklead/internal/fleet"
)

// simFleet simulates entries that lend to each other over a network which loses and
// delays messages.
type simFleet struct {
	rand    *rand.Rand
	now     time.Duration
	params  Params
	entries []*simEntry
	// listed has the names in the list of entries, which is read with a delay.
	listed []string
	events []simEvent
	loss   float64
	delay  time.Duration
	spent  map[string][]simSpent
	// asked counts requests, refused the refused ones, messages the loan requests.
	asked, refused, messages int
}

type simEntry struct {
	name   string
	ledger *Ledger
	epoch  uint64
	seq    uint64
	down   bool
	// read is the length of the list of entries when it was last read.
	read int
	// cut entries are cut off: they reach no other entry and read no list.
	cut    bool
	quotas map[string]fleet.Quota
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

func newSimulated(seed uint64, entries int, quotas map[string]fleet.Quota) *simFleet {
	return newSimulatedWith(seed, entries, quotas, simParams)
}

func newSimulatedWith(seed uint64, entries int, quotas map[string]fleet.Quota, params Params) *simFleet {
	s := &simFleet{
		rand: rand.New(rand.NewPCG(seed, 1)), params: params,
		spent: make(map[string][]simSpent), delay: 5 * time.Millisecond,
	}
	for i := range entries {
		s.add(fmt.Sprint("entry-", i), quotas)
	}
	s.run(2*DefaultMaxListAge, nil)
	return s
}

// add starts an entry that isn't in the list yet.
func (s *simFleet) add(name string, quotas map[string]fleet.Quota) {
	e := &simEntry{name: name, quotas: quotas}
	s.entries = append(s.entries, e)
	s.start(e)
}

func (s *simFleet) start(e *simEntry) {
	e.down = false
	e.epoch++
	known := slices.Contains(s.listed, e.name)
	if !known {
		s.listed = append(s.listed, e.name)
	}
	e.ledger, e.read = NewLedger(e.name, s.params, s.rand.IntN), 0
	e.ledger.SetQuotas(e.quotas, s.now)
	if !e.cut {
		s.read(e)
		e.ledger.Joined(known, s.now)
	}
}

// read has an entry read the list of entries.
func (s *simFleet) read(e *simEntry) {
	if e.read != len(s.listed) {
		e.ledger.SetEntries(slices.Clone(s.listed), s.now)
		e.read = len(s.listed)
	}
	e.ledger.ListConfirmed(s.now, s.now)
}

func (s *simFleet) after(d time.Duration, do func()) {
	s.events = append(s.events, simEvent{s.now + d, do})
}

// run advances time by d in steps of a millisecond and calls each in every step.
func (s *simFleet) run(d time.Duration, each func()) {
	for end := s.now + d; s.now < end; s.now += time.Millisecond {
		due := s.events
		s.events = nil
		for _, ev := range due {
			if ev.at <= s.now {
				ev.do()
			} else {
				s.events = append(s.events, ev)
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

func (s *simFleet) entryNamed(name string) *simEntry {
	for _, e := range s.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}

func (s *simFleet) reaches(a, b *simEntry) bool {
	return !a.cut && !b.cut && !b.down && s.rand.Float64() >= s.loss
}

// borrowedUnits are units from a lender.
type borrowedUnits struct {
	from  *simEntry
	units float64
	loan  LoanID
}

// request has an entry acquire the units of a request as a real entry does, and send the
// request within SpendWithin or return the units.
func (s *simFleet) request(e *simEntry, organisation string, units float64) bool {
	s.asked++
	at, epoch := s.now, e.epoch
	own, pieces := s.acquire(e, organisation, units)
	if own < 0 {
		s.refused++
		e.ledger.RecordRefusal(organisation, units, s.now)
		s.refund(e, organisation, 0, pieces, at)
		return false
	}
	// Some requests wait as long as they may, and some are never sent.
	wait := s.delay
	if s.rand.IntN(4) == 0 {
		wait = time.Duration(s.rand.Int64N(int64(s.params.SpendWithin)))
	}
	unsent := s.rand.IntN(20) == 0
	s.after(wait, func() {
		switch {
		case e.down || e.epoch != epoch || s.now-at > s.params.SpendWithin:
		case unsent:
			s.refund(e, organisation, own, pieces, at)
		default:
			s.spent[organisation] = append(s.spent[organisation], simSpent{s.now, units})
		}
	})
	return true
}

// acquire returns the units taken from an entry's own share, below 0 if there weren't enough,
// and those borrowed.
func (s *simFleet) acquire(e *simEntry, organisation string, units float64) (own float64, pieces []borrowedUnits) {
	if e.ledger.Take(organisation, units, s.now) {
		return units, nil
	}
	usable := func(string) bool { return true }
	left := units
	for _, name := range e.ledger.Lenders(organisation, left, usable, s.now) {
		lender := s.entryNamed(name)
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
			pieces = append(pieces, borrowedUnits{lender, lent.Units, id})
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

func (s *simFleet) refund(e *simEntry, organisation string, own float64, pieces []borrowedUnits, at time.Duration) {
	if own > 0 {
		e.ledger.Refund(organisation, own, at, s.now)
	}
	for _, p := range pieces {
		back := func() { p.from.ledger.LoanReturned(organisation, p.units, p.loan, s.now) }
		if s.reaches(e, p.from) {
			s.after(time.Duration(s.rand.Int64N(int64(4*s.delay))), back)
		}
		if s.rand.IntN(10) == 0 {
			s.after(time.Duration(s.rand.Int64N(int64(time.Second))), back) // duplicate, or late
		}
	}
}

// maxSpent returns the most units spent in any window of a length.
func (s *simFleet) maxSpent(organisation string, window time.Duration) float64 {
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

// running returns the entries that run.
func (s *simFleet) running() []*simEntry {
	var out []*simEntry
	for _, e := range s.entries {
		if !e.down {
			out = append(out, e)
		}
	}
	return out
}

// units draws a request's size: many short requests, some with long prompts.
func (s *simFleet) units() float64 {
	if s.rand.IntN(3) > 0 {
		return 200 + float64(s.rand.IntN(1600))
	}
	return 4000 + float64(s.rand.IntN(12_000))
}

// meanUnits is the mean of units.
const meanUnits = 2.0/3*1000 + 1.0/3*10_000
