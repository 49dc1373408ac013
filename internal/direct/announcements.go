package direct

import (
	"context"
	"math/rand/v2"
	"time"

	"skylarklead/internal/rollout"
	"skylarklead/internal/wait"
)

// announcementSpread spreads the entries' attempts to record when a version was announced: the
// first entry records it, and the others have read that when their own attempt is due.
const announcementSpread = 300 * time.Millisecond

// relayedAnnouncementDelay is the least wait of an entry that received the version from a peer. By
// then the entry that read the version has recorded the announcement, and that record was forwarded
// too. announcementSpreadPerEntry spreads the remaining attempts in case the recording entry was
// lost.
const (
	relayedAnnouncementDelay   = time.Second
	announcementSpreadPerEntry = 50 * time.Millisecond
)

// A starting entry that finds an announced version of weights can't tell when it was announced. If
// it took the version for overdue, it would reject all replicas that serve the previous one.
// Therefore an entry that reads a new version records the time.

// recordAnnouncement records when a version was announced, unless another entry does so first.
// relayed says that a peer read the version.
func (e *Entry) recordAnnouncement(a rollout.Announcement, relayed bool) {
	pause := rand.N(announcementSpread)
	if relayed {
		pause = relayedAnnouncementDelay + rand.N(announcementSpreadPerEntry*time.Duration(e.state.entryCount()))
	}
	if wait.For(context.Background(), pause) != nil || e.announcementKnown(&a) {
		return
	}
	e.writeAnnouncement(&a)
}

// rewriteAnnouncements records the announcement times of the newest versions again after the store
// was restored from an older copy that may lack them. The first entry whose delay ends does so.
func (e *Entry) rewriteAnnouncements() {
	e.state.mu.Lock()
	defer e.state.mu.Unlock()
	clear(e.state.announcementsRead)
	for model, history := range e.state.versionHistories {
		if a := e.state.announcements[modelVersion{model, history.Newest()}]; a != nil {
			go e.rewriteAnnouncement(*a)
		}
	}
}

func (e *Entry) rewriteAnnouncement(a rollout.Announcement) {
	pause := relayedAnnouncementDelay + rand.N(announcementSpreadPerEntry*time.Duration(e.state.entryCount()))
	if wait.For(context.Background(), pause) != nil {
		return
	}
	e.state.mu.Lock()
	read := e.state.announcementsRead[modelVersion{a.Model, a.Version}]
	e.state.mu.Unlock()
	if !read {
		e.writeAnnouncement(&a)
	}
}

func (e *Entry) writeAnnouncement(a *rollout.Announcement) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	envelope := rollout.Envelope{Announcement: a}
	if _, err := e.platform.Store.Append(ctx, topicEntries, nil, [][]byte{envelope.Encode()}); err != nil {
		e.tel.Log.Warn("version announcement not written to the store", "model", a.Model, "version", a.Version, "error", err)
		return
	}
	trySignal(e.rollouts.reread)
}

func (e *Entry) announcementKnown(a *rollout.Announcement) bool {
	e.state.mu.Lock()
	defer e.state.mu.Unlock()
	return e.state.announcements[modelVersion{a.Model, a.Version}] != nil
}

// applyAnnouncement applies an entry's record of when a version was announced. Of several records
// the earliest counts, because each entry read the version a little after its announcement.
func (e *Entry) applyAnnouncement(a *rollout.Announcement) {
	s := e.state
	s.mu.Lock()
	key := modelVersion{a.Model, a.Version}
	s.announcementsRead[key] = true
	known := s.announcements[key]
	isNew := known == nil || a.AtMs < known.AtMs
	if isNew {
		s.announcements[key] = a
		e.applyAnnouncements(a.Model)
	}
	s.mu.Unlock()
	if isNew {
		e.tel.Log.Info("weights version announced", "model", a.Model, "version", a.Version, "at_ms", a.AtMs)
	}
}

type modelVersion struct {
	model   string
	version uint64
}

// applyAnnouncements applies the recorded announcement times of a model's versions, newest first,
// to versions that were already there at the start, and to the versions before them. The caller
// holds the state's lock.
func (e *Entry) applyAnnouncements(model string) {
	history := e.state.versionHistories[model]
	if history == nil {
		return
	}
	overdue := e.announcedAt(true)
	for version := history.Newest(); version != 0; {
		a := e.state.announcements[modelVersion{model, version}]
		if a == nil {
			return
		}
		history.AddPrevious(version, a.Before, overdue)
		if at, ok := e.announcedSince(a); ok {
			history.AnnouncedNoEarlier(version, at)
			history.AnnouncedNoLater(version, at)
		}
		version = a.Before
	}
}

// announcedSince returns since when a version counts as announced according to a record. Clocks of
// two instances may differ by up to the configured skew, so the version counts as announced earlier
// by that much. A time in the future shows that they differ by more, and is ignored.
func (e *Entry) announcedSince(a *rollout.Announcement) (time.Duration, bool) {
	age := time.Since(time.UnixMilli(a.AtMs))
	return e.clock.now() - age - e.directSettings().ClockSkew.D(), age >= 0
}
