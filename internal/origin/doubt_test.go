package origin

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// doubtModel is a deployment whose store is down at times. Streams begin at software without a record then.
type doubtModel struct {
	*ledgerModel
	// lossy is set if messages of doubts may be lost; then no entry is. Otherwise entries are lost too.
	lossy bool
	// unrecorded are the times at which streams began.
	unrecorded []time.Duration
}

func newDoubtModel(t *rapid.T) *doubtModel {
	m := &doubtModel{ledgerModel: &ledgerModel{t: t, now: time.Minute, listed: map[UseName]bool{modelNames[0]: true}, entries: make([]*entryModel, modelEntries)}}
	m.rng = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	m.lossy = m.rng.IntN(2) == 0
	m.store = storeModel{complete: map[uint64]bool{0: true}, uses: map[Use]Recorded{modelNames[0].Use(): {Name: modelNames[0]}}}
	for i := range m.entries {
		m.restart(i)
	}
	m.informed, m.calls = m.inform, m.call
	return m
}

// inform has an entry that restarted learn what another one knows.
func (m *doubtModel) inform(i int) {
	other := m.entries[(i+1+m.rng.IntN(modelEntries-1))%modelEntries]
	for _, d := range other.ledger.Doubts(m.now) {
		m.entries[i].ledger.Told(d, m.now)
	}
}

// beginUnrecorded has an entry begin a stream while the store is down.
func (m *doubtModel) beginUnrecorded(i int) {
	m.unrecorded = append(m.unrecorded, m.now)
	l := m.entries[i].ledger
	if !l.BeganUnrecorded("s", "m", m.now) {
		return
	}
	for j, e := range m.entries {
		if j != i && !(m.lossy && m.rng.IntN(2) == 0) {
			for _, d := range l.Doubts(m.now) {
				e.ledger.Told(d, m.now)
			}
		}
	}
}

// outage is a time in which the store is down, and what follows until the entries have written.
func (m *doubtModel) outage() {
	for _, e := range m.entries {
		e.ledger.StoreFailed()
	}
	for range 1 + m.rng.IntN(6) {
		switch m.rng.IntN(4) {
		case 0:
			m.advance(time.Duration(m.rng.IntN(4000)) * time.Millisecond)
		case 1, 2:
			m.beginUnrecorded(m.rng.IntN(modelEntries))
		case 3:
			if !m.lossy {
				m.restartWithoutStore()
			}
		}
		m.check()
	}
	for _, e := range m.entries {
		e.ledger.StoreReturned(m.now)
	}
	m.check()
	// Calls may fail, and entries may be slow to notice, but not for longer than the others wait.
	for began := m.now; m.now < began+returnSettle/2; m.check() {
		m.advance(time.Duration(1+m.rng.IntN(500)) * time.Millisecond)
		m.write(m.rng.IntN(modelEntries))
	}
	m.advance(ledgerRetry)
	m.check()
	m.calls = func(write func() bool) bool { return write() }
	for i := range m.entries {
		m.write(i)
	}
	m.calls = m.call
	m.check()
	m.advance(returnSettle)
}

// restartWithoutStore restarts some entries during an outage, or all of them.
func (m *doubtModel) restartWithoutStore() {
	all := m.rng.IntN(3) == 0
	lost := m.rng.IntN(modelEntries)
	for i := range m.entries {
		if all {
			m.entries[i].ledger = NewLedger(modelLifetime, m.now)
			m.sweep(m.entries[i])
		}
	}
	for i := range m.entries {
		switch {
		case all:
			m.entries[i].ledger.StartedInOutage(m.now)
			m.entries[i].ledger.StoreFailed()
		case i == lost:
			m.restart(i)
			m.entries[i].ledger.StoreFailed()
		}
	}
}

func (m *doubtModel) check() {
	evidence := m.store.evidence()
	for i, e := range m.entries {
		if only := evidence.Only("m"); only == Unknown || e.ledger.Doubtful("m", m.now) {
			continue
		}
		for _, at := range m.unrecorded {
			if m.now-at <= modelLifetime {
				m.t.Fatalf("at %v entry %d takes a stream that began without a record at %v up by the records", m.now, i, at)
			}
		}
	}
}

// Guards against a stream that began at software without a record and is taken up by the records: its entry is lost,
// starts again or didn't reach the others, in any order with outages of the store and with removals.
func TestNoScheduleForgetsADoubt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newDoubtModel(t)
		for range modelSteps / 2 {
			if m.rng.IntN(5) == 0 {
				m.outage()
			}
			m.step()
			m.check()
		}
	})
}

// Guards against take-ups that are refused for ever after an outage.
func TestDoubtEnds(t *testing.T) {
	m := &ledgerModel{rng: rand.New(rand.NewPCG(1, 1)), now: time.Minute, listed: map[UseName]bool{modelNames[0]: true}, entries: make([]*entryModel, 1)}
	m.store = storeModel{complete: map[uint64]bool{0: true}, uses: map[Use]Recorded{modelNames[0].Use(): {Name: modelNames[0]}}}
	m.calls = m.call
	m.restart(0)
	l := m.entries[0].ledger
	l.StoreFailed()
	if !l.BeganUnrecorded("s", "m", m.now) || l.BeganUnrecorded("s", "m", m.now) {
		t.Error("the others are told never, or of each stream")
	}
	l.StoreReturned(m.now)
	for l.Doubtful("m", m.now) || len(m.store.uses) > 1 {
		m.advance(time.Second)
		m.follow(m.entries[0])
		m.write(0)
		m.tidy(0)
		if m.now > time.Minute+4*modelLifetime {
			t.Fatalf("doubtful: %v, records %+v", l.Doubtful("m", m.now), m.store.uses)
		}
	}
	if m.now < time.Minute+modelLifetime {
		t.Errorf("ends after %v, while streams may be taken up", m.now-time.Minute)
	}
}

// Guards against an outage of which each entry tells all others all the while.
func TestOneEntryTellsOfADoubt(t *testing.T) {
	first, second := NewLedger(modelLifetime, 0), NewLedger(modelLifetime, 0)
	first.BeganUnrecorded("s", "m", time.Minute)
	for _, d := range first.Doubts(time.Minute) {
		second.Told(d, time.Minute)
	}
	told := 0
	for now := time.Minute; now < time.Minute+modelLifetime; now += writeSpread / 2 {
		for _, d := range first.Due(now, now, func(uint64) int { return 0 }).Tell {
			told++
			second.Told(d, now)
		}
		if tell := second.Due(now, now, func(uint64) int { return 1 }).Tell; len(tell) > 0 {
			t.Fatalf("the second entry tells %v at %v", tell, now)
		}
	}
	if most := doubtNewsDivisor + doubtRepeats; told < doubtNewsDivisor || told > most {
		t.Errorf("told %d times in a lifetime, want %d to %d", told, doubtNewsDivisor, most)
	}
}
