package origin

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	modelLifetime = 8 * time.Second
	modelMaxAge   = modelLifetime / 2
	modelEntries  = 3
)

var modelNames = []UseName{{"s", "v1", "m"}, {"s", "v2", "m"}, {"t", "v1", "m"}}

// storeModel is a store of the records of uses.
type storeModel struct {
	era      uint64
	writes   int
	complete map[uint64]bool
	uses     map[Use]Recorded
	// late are writes that weren't answered and may still take effect.
	late []func()
}

func (s *storeModel) evidence() Evidence {
	return Evidence{Era: s.era, Complete: s.complete[s.era], Uses: maps.Clone(s.uses)}
}

func (s *storeModel) clone() storeModel {
	return storeModel{writes: s.writes, complete: maps.Clone(s.complete), uses: maps.Clone(s.uses)}
}

// entryModel is an entry with its list of uses as of a time.
type entryModel struct {
	ledger *Ledger
	asOf   time.Duration
	listed map[UseName]bool
	// page is a read after which records may be removed, ended when it ended and end where.
	page  *Evidence
	ended time.Duration
	end   int
}

// ledgerModel is a deployment. changes are those of the list, since it began; begun are the streams.
type ledgerModel struct {
	t       *rapid.T
	rng     *rand.Rand
	now     time.Duration
	store   storeModel
	older   []storeModel
	listed  map[UseName]bool
	changes []listChange
	entries []*entryModel
	begun   []streamModel
	// informed has an entry that restarted learn what others know; nil if it learns nothing.
	informed func(i int)
	// calls does a write of uses.
	calls func(write func() bool) bool
}

type listChange struct {
	at     time.Duration
	name   UseName
	listed bool
}

type streamModel struct {
	at       time.Duration
	software Software
}

func (m *ledgerModel) restart(i int) {
	m.entries[i] = &entryModel{ledger: NewLedger(modelLifetime, m.now), asOf: m.now, listed: maps.Clone(m.listed)}
	for _, name := range modelNames {
		if m.listed[name] {
			m.entries[i].ledger.Listed(name, m.now)
		}
	}
	if m.informed != nil {
		m.informed(i)
	}
}

// follow has an entry read all changes of the list.
func (m *ledgerModel) follow(e *entryModel) {
	for _, c := range m.changes {
		if c.at > e.asOf {
			e.listed[c.name] = c.listed
			if c.listed {
				e.ledger.Listed(c.name, m.now)
			}
		}
	}
	e.asOf = m.now
	m.sweep(e)
}

func (m *ledgerModel) sweep(e *entryModel) {
	for _, name := range modelNames {
		if e.listed[name] {
			e.ledger.Listed(name, m.now)
		}
	}
}

// call does a write that is answered, lost, or takes effect later.
func (m *ledgerModel) call(write func() bool) (answered bool) {
	switch m.rng.IntN(8) {
	case 0:
		return false
	case 1:
		m.store.late = append(m.store.late, func() { write() })
		return false
	}
	return write()
}

func (m *ledgerModel) write(i int) {
	e := m.entries[i]
	due := e.ledger.Due(e.asOf, m.now, func(uint64) int { return 0 })
	for _, name := range append(modelNames[:len(modelNames):len(modelNames)], unrecordedUse("s", "m"), unrecordedUse("t", "m")) {
		if !slices.Contains(due.Write, name) {
			continue
		}
		if !m.calls(func() bool {
			m.store.writes++
			m.store.uses[name.Use()] = Recorded{Name: name, At: uint64(m.store.writes)}
			return true
		}) {
			continue
		}
		e.ledger.EraBegan(m.store.era, m.now)
		e.ledger.Written(name.Use(), m.store.era, m.now)
		for _, other := range m.entries {
			if m.rng.IntN(2) == 0 {
				other.ledger.EraBegan(m.store.era, m.now)
				other.ledger.Written(name.Use(), m.store.era, m.now)
			}
		}
	}
}

func (m *ledgerModel) read(i int) {
	evidence := m.store.evidence()
	m.entries[i].ledger.Read(&evidence, m.now, m.now)
}

func (m *ledgerModel) tidy(i int) {
	e := m.entries[i]
	if e.page == nil {
		evidence := m.store.evidence()
		if e.ledger.Read(&evidence, m.now, m.now) {
			e.page, e.ended, e.end = &evidence, m.now, m.store.writes
		}
		return
	}
	if e.asOf < e.ended {
		return
	}
	change, end := e.ledger.Tidy(e.page, e.asOf), e.end
	page := e.page
	e.page = nil
	m.call(func() bool {
		if change.Empty() || m.store.writes != end {
			return false
		}
		m.store.writes++
		for _, use := range change.Close {
			m.store.uses[use] = Recorded{Name: page.Uses[use].Name, Closing: true}
		}
		for _, use := range change.Remove {
			delete(m.store.uses, use)
		}
		if change.Complete {
			m.store.complete[page.Era] = true
		}
		return true
	})
}

func (m *ledgerModel) begin(i int) {
	e := m.entries[i]
	for _, name := range modelNames {
		if use := name.Use(); e.listed[name] && e.ledger.May(use.Software, name.Model) {
			m.begun = append(m.begun, streamModel{m.now, use.Software})
		}
	}
}

// serve has an entry begin streams at what is listed now.
func (m *ledgerModel) serve(i int) {
	m.follow(m.entries[i])
	m.write(i)
	m.begin(i)
}

// list changes the list.
func (m *ledgerModel) list(name UseName, listed bool) {
	m.now++
	m.listed[name] = listed
	m.changes = append(m.changes, listChange{m.now, name, listed})
}

// advance lets time pass, during which no entry's list gets too old.
func (m *ledgerModel) advance(d time.Duration) {
	m.now += d
	for _, e := range m.entries {
		if m.now-e.asOf > modelMaxAge {
			m.follow(e)
		}
		m.sweep(e)
	}
}

// check checks what an entry would say now of a stream that is taken up.
func (m *ledgerModel) check() {
	evidence := m.store.evidence()
	only := evidence.Only("m")
	for _, s := range m.begun {
		if m.now-s.at <= modelLifetime && only != Unknown && only != s.software {
			m.t.Fatalf("at %v a stream that began at %v is taken up at another version", m.now, s.at)
		}
	}
}

// step does something that may happen at any time. Removals, replacements and calm take several steps in
// practice, and are one here so that they come together often.
func (m *ledgerModel) step() {
	i := m.rng.IntN(modelEntries)
	e, name := m.entries[i], modelNames[m.rng.IntN(len(modelNames))]
	switch m.rng.IntN(17) {
	case 0:
		m.advance(time.Duration(1+m.rng.IntN(4)) * time.Second)
	case 1:
		m.list(name, !m.listed[name])
	case 2:
		m.follow(e)
	case 3:
		m.write(i)
	case 4:
		m.read(i)
	case 5:
		m.tidy(i)
	case 6:
		m.begin(i)
	case 7, 8:
		m.serve(i)
	case 9:
		m.restart(i)
	case 10:
		for i := range m.entries {
			m.restart(i)
		}
	case 11:
		if n := len(m.store.late); n > 0 {
			at := m.rng.IntN(n)
			m.store.late[at]()
			m.store.late = slices.Delete(m.store.late, at, at+1)
		}
	case 12:
		if m.rng.IntN(4) == 0 {
			m.older = append(m.older, m.store.clone())
		} else if n := len(m.older); n > 0 && m.rng.IntN(4) == 0 {
			era, late := m.store.era, m.store.late
			m.store = m.older[m.rng.IntN(n)].clone()
			m.store.era, m.store.late = era+1, late
		}
	case 13:
		m.list(name, true)
		m.serve(i)
		for _, other := range modelNames {
			if other != name {
				m.list(other, false)
			}
		}
	case 14:
		m.calm(e)
		m.remove(i, 4)
	case 15:
		// The use comes back while its record is being removed, at an entry that has just started.
		m.calm(e)
		m.remove(i, 1+2*m.rng.IntN(2))
		m.now++
		m.follow(e)
		other := m.rng.IntN(modelEntries)
		m.list(name, true)
		m.restart(other)
		m.now++
		m.read(other)
		m.begin(other)
		m.tidy(i)
	case 16:
		// A stream begins at an entry with an old list just before the record is removed.
		other := m.entries[m.rng.IntN(modelEntries)]
		m.follow(other)
		m.list(name, false)
		m.calm(e)
		m.begin(m.rng.IntN(modelEntries))
		m.calm(e)
		m.remove(i, 4)
	}
}

// calm has time pass during which an entry follows all changes.
func (m *ledgerModel) calm(e *entryModel) {
	for range m.rng.IntN(14) {
		m.advance(time.Second)
		m.follow(e)
	}
}

// remove has an entry do some steps of a removal, each on a list that is newer.
func (m *ledgerModel) remove(i, steps int) {
	for range steps {
		m.now++
		m.follow(m.entries[i])
		m.tidy(i)
	}
}

const modelSteps = 80

// Guards against a stream that is taken up at another version than the one that began it, in any order of releases,
// kills, late and lost writes, old lists, removals and restores of the store.
func TestNoScheduleJoinsTwoVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &ledgerModel{t: t, now: time.Minute, listed: map[UseName]bool{}, entries: make([]*entryModel, modelEntries)}
		// Schedules are drawn from a seed: rapid itself draws some steps far more often than others.
		m.rng = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		m.store = storeModel{complete: map[uint64]bool{}, uses: map[Use]Recorded{}}
		m.listed[modelNames[0]] = true
		if m.rng.IntN(4) > 0 {
			m.store.complete[0] = true
		} else {
			// Entries that recorded nothing ran until now.
			m.begun = append(m.begun, streamModel{m.now, modelNames[1].Use().Software})
		}
		m.calls = m.call
		for i := range m.entries {
			m.restart(i)
		}
		for range modelSteps {
			m.step()
			m.check()
		}
	})
}

// Guards against a removal that is under way, or a read from before it, and an entry that goes by the record
// which is about to go.
func TestUseThatComesBackIsWrittenAgain(t *testing.T) {
	name := modelNames[0]
	use := name.Use()
	for what, c := range map[string]struct {
		record Recorded
		began  time.Duration
		want   bool
	}{
		"read after it was listed":  {Recorded{Name: name}, 2, true},
		"read before it was listed": {Recorded{Name: name}, 0, false},
		"closing":                   {Recorded{Name: name, Closing: true}, 2, false},
	} {
		l := NewLedger(modelLifetime, 0)
		l.Listed(name, 1)
		l.Read(&Evidence{Complete: true, Uses: map[Use]Recorded{use: c.record}}, c.began, 3)
		if got := l.May(use.Software, name.Model); got != c.want {
			t.Errorf("%s: streams may begin: %t", what, got)
		}
		if due := l.Due(3, 3, func(uint64) int { return 0 }); len(due.Write) == 0 != c.want {
			t.Errorf("%s: due %+v", what, due)
		}
	}
}

// Guards against a record that is never removed, so that streams are refused for ever after a release, and against
// entries that all write the same record.
func TestRecordsAreWrittenOnceAndRemoved(t *testing.T) {
	m := &ledgerModel{rng: rand.New(rand.NewPCG(1, 1)), now: time.Minute, listed: map[UseName]bool{modelNames[0]: true}, entries: make([]*entryModel, 1)}
	m.store = storeModel{complete: map[uint64]bool{0: true}, uses: map[Use]Recorded{modelNames[1].Use(): {Name: modelNames[1]}}}
	m.restart(0)
	l := m.entries[0].ledger
	if due := l.Due(m.now, m.now, func(uint64) int { return 1 }); len(due.Write) != 0 || due.In != writeSpread {
		t.Fatalf("an entry that isn't the first one has %+v due", due)
	}
	l.Written(modelNames[0].Use(), 0, m.now)
	if due := l.Due(m.now, m.now+time.Second, func(uint64) int { return 1 }); len(due.Write) != 0 {
		t.Fatalf("written by another entry, and %+v is due", due)
	}
	m.store.uses[modelNames[0].Use()] = Recorded{Name: modelNames[0]}
	for range 2 * modelLifetime / time.Second {
		m.advance(time.Second)
		m.follow(m.entries[0])
	}
	for range 16 { // some writes fail
		m.now++
		m.follow(m.entries[0])
		m.tidy(0)
	}
	if evidence := m.store.evidence(); evidence.Only("m") != modelNames[0].Use().Software || evidence.Only("") == Unknown || evidence.Only("other") != Unknown {
		t.Fatalf("the store has %+v", evidence)
	}
}

// Guards against a stream at a use that came back, whose record is removed just after it was read.
func TestUseComesBackWhileItsRecordIsRemoved(t *testing.T) {
	const L = modelLifetime
	v1, v2 := UseName{"s", "v1", "m"}, UseName{"s", "v2", "m"}
	store := map[Use]Recorded{v1.Use(): {Name: v1}, v2.Use(): {Name: v2}}
	page := func() *Evidence {
		e := &Evidence{Complete: true, Uses: map[Use]Recorded{}}
		for u, r := range store {
			e.Uses[u] = r
		}
		return e
	}
	remover := NewLedger(L, 0)
	now := time.Duration(0)
	for ; now < 2*L; now += time.Second {
		remover.Listed(v2, now)
	}
	e := page()
	remover.Read(e, now, now)
	change := remover.Tidy(e, now) // decided; takes effect after the other one's read
	other := NewLedger(L, now)
	other.Listed(v2, now)
	other.Listed(v1, now)
	other.Read(page(), now, now)
	for _, u := range change.Close {
		r := store[u]
		r.Closing = true
		store[u] = r
	}
	for _, u := range change.Remove {
		delete(store, u)
	}
	if got := page().Only("m"); got == v2.Use().Software && other.May(v1.Use().Software, "m") {
		t.Errorf("a stream may begin at v1, and the records name v2 alone")
	}
}

// Guards against records that count as complete right after the store was restored: a version that came after this
// entry's last read of the list, and began streams at another entry, may be lost with the list's newest changes.
func TestRecordsAreCompleteALifetimeAfterARestore(t *testing.T) {
	const L = modelLifetime
	v1, v2 := UseName{"s", "v1", "m"}, UseName{"s", "v2", "m"}
	older := map[Use]Recorded{v1.Use(): {Name: v1}}
	l, other := NewLedger(L, 0), NewLedger(L, 0)
	now := time.Duration(0)
	for ; now <= 2*L; now += time.Second {
		l.Listed(v1, now)
		other.Listed(v1, now)
	}
	l.Read(&Evidence{Complete: true, Uses: older}, now, now)
	other.Listed(v2, now)
	other.Written(v2.Use(), 0, now)
	if !other.May(v2.Use().Software, "m") {
		t.Fatal("no stream begins at the version that came")
	}
	began := now
	restored := &Evidence{Era: 1, Uses: older}
	for now += time.Second; now-began <= L; now += time.Second {
		l.Listed(v1, now)
		l.Read(restored, now, now)
		if change := l.Tidy(restored, now); change.Complete {
			t.Fatalf("complete %v after a stream began at a version without a record", now-began)
		}
	}
	for ; !l.Tidy(restored, now).Complete; now += time.Second {
		l.Listed(v1, now)
		l.Read(restored, now, now)
		if now-began > 3*L {
			t.Fatal("never complete again")
		}
	}
}
