package origin

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Use is a software version that serves a model, by their hashes. Streams of the model may begin at it.
type Use struct {
	Software Software
	Model    uint64
}

// UseName names a use. The model of a plain service is "".
type UseName struct {
	Service, Version, Model string
}

// Use returns the use that is named.
func (n UseName) Use() Use {
	return Use{SoftwareOf(n.Service, n.Version), modelOf(n.Model)}
}

func modelOf(name string) uint64 {
	if name == "" {
		return 0
	}
	return max(1, xxhash.Sum64String(name))
}

// Key is the key of the use's record.
func (u Use) Key() string {
	return strconv.FormatUint(uint64(u.Software), 16) + "-" + strconv.FormatUint(u.Model, 16)
}

// Evidence is what the records in the store say: each use is recorded there before the first stream begins
// at it, and removed when no stream that began at it can be taken up any more.
type Evidence struct {
	// Era is the store's era.
	Era uint64
	// Complete is set if the records of this era contain all uses at which a stream that may be taken up can
	// have begun.
	Complete bool
	Uses     map[Use]Recorded
}

// Recorded is the record of a use.
type Recorded struct {
	Name UseName
	// Closing is set if the record is about to be removed: no stream may begin at the use until it is
	// written again.
	Closing bool
	// At tells one write of the record from another.
	At uint64
}

// Only returns the version that began all streams of a model ("" for any) which can be taken up, Unknown if
// there may be several or none.
func (e *Evidence) Only(model string) Software {
	only := Unknown
	if !e.Complete {
		return Unknown
	}
	for use, record := range e.Uses {
		switch {
		case model != "" && use.Model != modelOf(model):
		case record.Name.isUnrecorded():
			return Unknown
		case use.Software == only:
		case only != Unknown:
			return Unknown
		default:
			only = use.Software
		}
	}
	return only
}

const (
	// writeSpread is the time by which the writes of two entries are apart, so that the first one's
	// announcement arrives before the next one writes; maxWriteRank bounds the wait of the last one.
	writeSpread  = 50 * time.Millisecond
	maxWriteRank = 40
	// tidySpread is the same for removals, which nothing waits for.
	tidySpread  = time.Second
	maxTidyRank = 8
	// ledgerRetry is the pause after a write or a removal that may have failed.
	ledgerRetry = 300 * time.Millisecond
)

// Ledger decides which uses an entry may begin streams at, and which records it writes and removes. Times
// are on the entry's own clock, as clocks of several machines differ and jump. It is not safe for concurrent
// use.
//
// Invariant: a use that May allows is in the store, and stays there for a stream's lifetime after the last
// stream began at it, if entries' lists are at most half a lifetime old.
type Ledger struct {
	lifetime time.Duration
	uses     map[Use]*useState
	// followedSince is the time since when no change of the list was missed, in the store's present era.
	followedSince time.Duration
	era           uint64
	complete      bool
	// tidyAt is when a removal may be tried next.
	tidyAt time.Duration
	// doubts are by the uses whose records stand for them.
	doubts map[Use]*doubt
	// storeDown is set while the store doesn't answer, returnedAt when it last answered again, 0 for never.
	storeDown  bool
	returnedAt time.Duration
	// isolated is set while the records of uses that are listed here may be gone.
	isolated bool
}

type useState struct {
	name UseName
	// listed is set once a replica was listed with the use, since and until listedAt but for short gaps.
	listed          bool
	since, listedAt time.Duration
	// recorded is set if streams may begin at the use, writtenAt when this entry learned of a write.
	recorded  bool
	writtenAt time.Duration
	// stored is set if the use has a record in the store's present era which isn't closing, exists if it has
	// any there.
	stored, exists bool
	// waitsSince is since when it waits to be stored, writeAt when a write may be tried next.
	waitsSince, writeAt time.Duration
	// seenAt is the Recorded.At of the last record that stands for a doubt.
	seenAt uint64
}

// NewLedger returns an empty ledger of an entry that begins to follow the list now. Streams may be taken up
// for lifetime after they began.
func NewLedger(lifetime, now time.Duration) *Ledger {
	return &Ledger{lifetime: lifetime, uses: make(map[Use]*useState), doubts: make(map[Use]*doubt), followedSince: now}
}

// forgetAfter is how long a use may be unlisted until it has to be recorded again: less than removeAfter by
// more than the lists of two entries differ in age.
func (l *Ledger) forgetAfter() time.Duration { return l.lifetime / 2 }

// removeAfter is how long a use must be unlisted until its record is removed: a stream may have begun there
// at an entry with an old list.
func (l *Ledger) removeAfter() time.Duration { return l.lifetime + l.lifetime/2 }

func (l *Ledger) state(u Use) *useState {
	s := l.uses[u]
	if s == nil {
		s = &useState{}
		l.uses[u] = s
	}
	return s
}

// Listed records that a replica is listed with a use. It reports whether the use waits to be recorded.
func (l *Ledger) Listed(name UseName, now time.Duration) bool {
	use := name.Use()
	if use.Software == Unknown {
		return false
	}
	s := l.state(use)
	if !s.listed || now-s.listedAt > l.forgetAfter() {
		s.since, s.waitsSince = now, now
		if !s.recorded || now-s.writtenAt > l.forgetAfter() {
			s.recorded, s.stored = false, false
		}
	}
	s.name, s.listed, s.listedAt = name, true, now
	if !name.isUnrecorded() {
		l.doubtListed(name, now)
	}
	return !s.recorded
}

// Heard records as of when the list is known, and whether another entry, if there is one, was heard of
// lately. An entry that is cut off from the store and from all others goes on with versions that the others
// no longer list, and whose records they remove. It reports whether streams may begin again.
func (l *Ledger) Heard(asOf time.Duration, ofOthers bool, now time.Duration) bool {
	was := l.isolated
	l.isolated = !ofOthers && now-asOf > l.forgetAfter()
	return was && !l.isolated
}

// Isolated reports whether no resumable stream may begin at all.
func (l *Ledger) Isolated() bool { return l.isolated }

// May reports whether streams of a model ("" for any) may begin at a version.
func (l *Ledger) May(software Software, model string) bool {
	if l.isolated {
		return false
	}
	if model != "" {
		s := l.uses[Use{software, modelOf(model)}]
		return s != nil && s.recorded
	}
	for use, s := range l.uses {
		if use.Software == software && s.recorded {
			return true
		}
	}
	return false
}

// Knows reports whether this entry can tell others that a use is recorded.
func (l *Ledger) Knows(u Use, now time.Duration) bool {
	s := l.uses[u]
	return s != nil && s.recorded && s.listed && now-s.listedAt <= l.forgetAfter()
}

// Era returns the store's era as far as it is known.
func (l *Ledger) Era() uint64 { return l.era }

// Unrecorded returns the uses that were listed and at which streams may not begin.
func (l *Ledger) Unrecorded() []UseName {
	var names []UseName
	for _, s := range l.uses {
		if s.listed && !s.recorded && !s.name.isUnrecorded() {
			names = append(names, s.name)
		}
	}
	return names
}

// Missed records that changes of the list may have been missed.
func (l *Ledger) Missed(now time.Duration) { l.followedSince = now }

// EraBegan records the store's era. In a new one any records may be missing.
func (l *Ledger) EraBegan(era uint64, now time.Duration) {
	if era <= l.era {
		return
	}
	l.era, l.complete, l.followedSince = era, false, now
	for _, s := range l.uses {
		s.stored, s.exists, s.waitsSince = false, false, now
	}
}

// Written records that a use that is listed somewhere was written to the store in an era. It reports whether
// that is news.
func (l *Ledger) Written(u Use, era uint64, now time.Duration) bool {
	s := l.state(u)
	news := !s.recorded
	s.recorded, s.writtenAt = true, now
	if era == l.era {
		s.stored, s.exists = true, true
	}
	return news
}

// Read records what a read that began at a time returned. It reports false if that is of an era that has
// ended. A record counts only for uses that were listed before: one that comes back may have been removed
// just after the read, by an entry that doesn't know it yet.
func (l *Ledger) Read(e *Evidence, began, now time.Duration) bool {
	l.EraBegan(e.Era, now)
	if e.Era < l.era {
		return false
	}
	l.complete = e.Complete
	for use, record := range e.Uses {
		s := l.state(use)
		s.exists = true
		s.seen(record, now)
		switch {
		case record.Closing && s.writtenAt < began:
			s.stored = false
		case !record.Closing && s.listed && s.since <= began:
			s.recorded, s.stored = true, true
		}
	}
	for use, s := range l.uses {
		if _, exists := e.Uses[use]; exists || s.writtenAt >= began {
			continue
		}
		s.exists, s.stored = false, false
		if now-max(s.listedAt, s.writtenAt) > l.removeAfter() {
			delete(l.uses, use)
		}
	}
	return true
}

// Due is what an entry does next.
type Due struct {
	// Write are the uses to record, Ask those that other entries may know to be recorded.
	Write, Ask []UseName
	// Tell are the doubts that the other entries are to be told of.
	Tell []Doubt
	// Tidy is set if Tidy may have something to do.
	Tidy bool
	// In is how long until more may be due, 0 for no time.
	In time.Duration
}

// Due returns what is due for an entry whose rank among all for a key is given by rank and whose list is as
// of a time.
func (l *Ledger) Due(asOf, now time.Duration, rank func(key uint64) int) Due {
	due := Due{Tell: l.dueDoubts(now, rank)}
	for use, s := range l.uses {
		if s.stored || !s.listed || now-s.listedAt > l.forgetAfter() || s.name.isUnrecorded() && l.storeDown {
			continue
		}
		at := max(s.writeAt, s.waitsSince+writeSpread*time.Duration(min(rank(uint64(use.Software)), maxWriteRank)))
		switch {
		case at <= now:
			due.Write = append(due.Write, s.name)
			s.writeAt = now + ledgerRetry
		case due.In == 0 || at-now < due.In:
			due.In = at - now
		}
		if !s.recorded && now-s.waitsSince > ledgerRetry && !s.name.isUnrecorded() {
			due.Ask = append(due.Ask, s.name)
		}
	}
	delay := tidySpread * time.Duration(min(rank(0), maxTidyRank))
	if now >= l.tidyAt && l.untidy(asOf-delay) {
		due.Tidy = true
	}
	return due
}

// TidyFailed has the next removal wait.
func (l *Ledger) TidyFailed(now time.Duration) { l.tidyAt = now + tidySpread }

func (l *Ledger) untidy(asOf time.Duration) bool {
	if !l.complete && l.followedFor(asOf) {
		return true
	}
	for use, s := range l.uses {
		if s.exists && l.over(use, asOf) {
			return true
		}
	}
	return false
}

func (l *Ledger) followedFor(asOf time.Duration) bool { return asOf-l.followedSince > l.removeAfter() }

// over reports whether no stream that began at a use can be taken up any more, as far as this entry's list
// as of a time shows.
func (l *Ledger) over(u Use, asOf time.Duration) bool {
	s := l.uses[u]
	return l.followedFor(asOf) && (s == nil || asOf-max(s.listedAt, s.writtenAt) > l.removeAfter())
}

// Change is what to write to the store on the condition that nothing was written since a read.
type Change struct {
	// Close are the uses whose records are to be closing, Remove those whose records were.
	Close, Remove []Use
	// Complete is set if the records are complete then though they weren't.
	Complete bool
}

// Empty reports whether nothing is to be written.
func (c *Change) Empty() bool { return len(c.Close)+len(c.Remove) == 0 && !c.Complete }

// Tidy returns what to change after a read. The list must be as of a time after the read's end: an entry
// that relies on a record that isn't closing has listed its use before, and one that finds it closing writes
// it again.
func (l *Ledger) Tidy(e *Evidence, asOf time.Duration) Change {
	var c Change
	if e.Era != l.era {
		return c
	}
	for use, record := range e.Uses {
		switch {
		case !l.over(use, asOf):
		case record.Closing:
			c.Remove = append(c.Remove, use)
		default:
			c.Close = append(c.Close, use)
		}
	}
	c.Complete = !e.Complete && l.followedFor(asOf)
	for use := range l.uses {
		if record, exists := e.Uses[use]; !l.over(use, asOf) && (!exists || record.Closing) {
			c.Complete = false
		}
	}
	return c
}
