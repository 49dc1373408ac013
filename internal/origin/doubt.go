package origin

import (
	"cmp"
	"slices"
	"time"
)

// unrecordedVersion stands, in the name of a use, for versions without a record. It is none that a replica
// can run.
const unrecordedVersion = "\x00unrecorded"

const (
	// doubtNewsDivisor is the divisor of a stream's lifetime that gives the pause between messages about the
	// same doubt.
	doubtNewsDivisor = 8
	// doubtRepeats is how many times the first message about a doubt is repeated, doubtRepeatPause apart: a
	// datagram may be lost.
	doubtRepeats     = 2
	doubtRepeatPause = 200 * time.Millisecond
	// returnSettle is how long after the store's return other entries may take to record what they began
	// meanwhile: the retries of a call, and a write.
	returnSettle = 2 * time.Second
)

// Doubt says that streams of a service's model may have begun at software that has no record, and for how
// much longer one of them may be taken up. The zero names stand for all services and models.
type Doubt struct {
	Service, Model string
	Left           time.Duration
}

// doubt is what a Ledger knows of a Doubt.
type doubt struct {
	service, model string
	// until is when the last stream can't be taken up any more.
	until time.Duration
	// toldAt is when another entry last told this one, or was told by it; repeats how many more times it
	// tells soon.
	toldAt  time.Duration
	repeats int
}

// unrecordedUse names the use whose record in the store stands for a doubt. For entries of builds that know
// no doubts it is one more version.
func unrecordedUse(service, model string) UseName {
	return UseName{Service: service, Version: unrecordedVersion, Model: model}
}

func (n UseName) isUnrecorded() bool { return n.Version == unrecordedVersion }

func (l *Ledger) newsPause() time.Duration { return l.lifetime / doubtNewsDivisor }

// BeganUnrecorded records that a stream begins at software without a record. It reports whether the other
// entries must be told, before the caller has a part of the stream.
func (l *Ledger) BeganUnrecorded(service, model string, now time.Duration) bool {
	use := unrecordedUse(service, model).Use()
	if d := l.doubts[use]; d != nil && d.until >= now+l.lifetime {
		return false // they have been told of what begins now
	}
	d := l.addDoubt(service, model, now+l.lifetime+l.newsPause(), now)
	d.toldAt, d.repeats = now, doubtRepeats
	return true
}

// Told records a doubt that another entry has.
func (l *Ledger) Told(told Doubt, now time.Duration) {
	l.addDoubt(told.Service, told.Model, now+min(told.Left, l.lifetime+l.newsPause()), now).toldAt = now
}

// StartedInOutage records that this entry started while the store didn't answer, and that no entry is left
// that ran before: nobody knows what began.
func (l *Ledger) StartedInOutage(now time.Duration) {
	l.addDoubt("", "", now+l.lifetime, now)
	for _, s := range l.uses {
		if s.listed && !s.name.isUnrecorded() {
			l.doubtListed(s.name, now)
		}
	}
}

// doubtListed extends a doubt of all services and models to a listed use, so that it is recorded.
func (l *Ledger) doubtListed(name UseName, now time.Duration) {
	if len(l.doubts) == 0 {
		return
	}
	if all := l.doubts[unrecordedUse("", "").Use()]; all != nil && all.until > now {
		l.addDoubt(name.Service, name.Model, all.until, now)
	}
}

func (l *Ledger) addDoubt(service, model string, until, now time.Duration) *doubt {
	name := unrecordedUse(service, model)
	use := name.Use()
	d := l.doubts[use]
	if d == nil {
		d = &doubt{service: service, model: model}
		l.doubts[use] = d
	}
	if until <= d.until {
		return d
	}
	d.until = until
	// A record that is older may be removed too early.
	if s := l.uses[use]; s != nil && now-max(s.listedAt, s.writtenAt) > l.forgetAfter() {
		s.stored, s.waitsSince = false, now
	}
	return d
}

// StoreFailed records that the store doesn't answer.
func (l *Ledger) StoreFailed() { l.storeDown = true }

// StoreReturned records that the store answers again.
func (l *Ledger) StoreReturned(now time.Duration) {
	l.storeDown, l.returnedAt = false, now
	for use := range l.doubts {
		if s := l.uses[use]; s != nil {
			s.waitsSince = now
		}
	}
}

// Doubtful reports whether a stream of a model ("" for any) that may be taken up can have begun at software
// without a record, whatever the records say.
func (l *Ledger) Doubtful(model string, now time.Duration) bool {
	if l.storeDown || l.returnedAt > 0 && now-l.returnedAt < returnSettle {
		return true
	}
	for _, d := range l.doubts {
		if d.until > now && (model == "" || d.model == model || d.service == "" && d.model == "") {
			return true
		}
	}
	return false
}

// Doubts returns what other entries are to know.
func (l *Ledger) Doubts(now time.Duration) []Doubt {
	var list []Doubt
	for _, d := range l.doubts {
		if d.until > now {
			list = append(list, Doubt{Service: d.service, Model: d.model, Left: d.until - now})
		}
	}
	slices.SortFunc(list, func(a, b Doubt) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
	})
	return list
}

// RecordedDoubts returns the uses of doubts that are recorded.
func (l *Ledger) RecordedDoubts(doubts []Doubt) []Use {
	var uses []Use
	for _, d := range doubts {
		use := unrecordedUse(d.Service, d.Model).Use()
		if s := l.uses[use]; s != nil && s.stored {
			uses = append(uses, use)
		}
	}
	return uses
}

// dueDoubts lists the doubts that aren't recorded, and returns those to tell the other entries of. One of
// them tells all, the first in the order of ranks that hasn't been told for a while.
func (l *Ledger) dueDoubts(now time.Duration, rank func(key uint64) int) []Doubt {
	var tell []Doubt
	for use, d := range l.doubts {
		if d.until <= now {
			delete(l.doubts, use)
			continue
		}
		if s := l.uses[use]; d.service != "" && (s == nil || !s.stored) {
			l.Listed(unrecordedUse(d.service, d.model), now)
		}
		pause := l.newsPause() + writeSpread*time.Duration(min(rank(uint64(use.Software)), maxWriteRank))
		if d.repeats > 0 {
			pause = doubtRepeatPause
		}
		if now-d.toldAt >= pause {
			d.toldAt, d.repeats = now, max(0, d.repeats-1)
			tell = append(tell, Doubt{Service: d.service, Model: d.model, Left: d.until - now})
		}
	}
	return tell
}

// seen records that a record stands for a doubt. It stays for as long as one that was written now: what
// began last isn't known.
func (s *useState) seen(record Recorded, now time.Duration) {
	if record.Name.isUnrecorded() && !record.Closing && record.At != s.seenAt {
		s.seenAt, s.writtenAt = record.At, max(s.writtenAt, now)
	}
}
