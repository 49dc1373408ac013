package direct

import (
	"context"
	"math/rand/v2"
	"time"

	"skylarklead/internal/rollout"
	"skylarklead/internal/wait"
)

// namingSpread spreads the entries that would write down when a version was named: the
// first does, the others have read it by their turn.
const namingSpread = 300 * time.Millisecond

// namingHeard is what an entry waits beside that has the version from a peer: the one that
// has read it has written it down by then, and that was passed on too. namingEach
// spreads those entries further where it hasn't, as it was lost.
const (
	namingHeard = time.Second
	namingEach  = 50 * time.Millisecond
)

// An entry that starts finds a version of weights named and can't tell since when. Taken
// for overdue, all replicas on the one before would be refused. So who reads a new version
// writes down when.

// tellNaming writes down when a version was named unless another entry does first; relayed
// says that a peer has read the version.
func (e *Entry) tellNaming(n rollout.Announcement, relayed bool) {
	pause := rand.N(namingSpread)
	if relayed {
		pause = namingHeard + rand.N(namingEach*time.Duration(e.state.entryCount()))
	}
	if wait.For(context.Background(), pause) != nil || e.namingKnown(&n) {
		return
	}
	e.writeNaming(&n)
}

// rewriteAnnouncements writes again when the newest versions were named, after the store came back
// from an older copy that may lack it; the first one to come to its turn does.
func (e *Entry) rewriteAnnouncements() {
	e.state.mu.Lock()
	defer e.state.mu.Unlock()
	clear(e.state.announcementsRead)
	for model, d := range e.state.demands {
		if n := e.state.announcements[modelVersion{model, d.Newest()}]; n != nil {
			go e.rewriteNaming(*n)
		}
	}
}

func (e *Entry) rewriteNaming(n rollout.Announcement) {
	pause := namingHeard + rand.N(namingEach*time.Duration(e.state.entryCount()))
	if wait.For(context.Background(), pause) != nil {
		return
	}
	e.state.mu.Lock()
	read := e.state.announcementsRead[modelVersion{n.Model, n.Version}]
	e.state.mu.Unlock()
	if !read {
		e.writeNaming(&n)
	}
}

func (e *Entry) writeNaming(n *rollout.Announcement) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	envelope := rollout.Envelope{Announcement: n}
	if _, err := e.platform.Store.Append(ctx, topicEntries, nil, [][]byte{envelope.Encode()}); err != nil {
		e.tel.Log.Warn("time of a version's naming not written", "model", n.Model, "version", n.Version, "error", err)
		return
	}
	trySignal(e.rollouts.reread)
}

func (e *Entry) namingKnown(n *rollout.Announcement) bool {
	e.state.mu.Lock()
	defer e.state.mu.Unlock()
	return e.state.announcements[modelVersion{n.Model, n.Version}] != nil
}

// applyAnnouncement takes an entry's word when a version was named. Of several the earliest
// counts: each has read the version a little after it was named.
func (e *Entry) applyAnnouncement(n *rollout.Announcement) {
	s := e.state
	s.mu.Lock()
	key := modelVersion{n.Model, n.Version}
	s.announcementsRead[key] = true
	known := s.announcements[key]
	news := known == nil || n.AtMs < known.AtMs
	if news {
		s.announcements[key] = n
		e.applyNamings(n.Model)
	}
	s.mu.Unlock()
	if news {
		e.tel.Log.Info("weights named", "model", n.Model, "version", n.Version, "at_ms", n.AtMs)
	}
}

// modelVersion is a version of a model's weights.
type modelVersion struct {
	model   string
	version uint64
}

// applyNamings has versions that were there at the start count as named when entries say
// that they were, those before them too. The caller holds the state's lock.
func (e *Entry) applyNamings(model string) {
	d := e.state.demands[model]
	if d == nil {
		return
	}
	overdue := e.namedAt(true)
	for version := d.Newest(); version != 0; {
		n := e.state.announcements[modelVersion{model, version}]
		if n == nil {
			return
		}
		d.AddPrevious(version, n.Before, overdue)
		if at, ok := e.namedSince(n); ok {
			d.AnnouncedNoEarlier(version, at)
			d.AnnouncedNoLater(version, at)
		}
		version = n.Before
	}
}

// namedSince is since when a version counts as named by an entry's word. Clocks of two
// instances may differ, by a skew for which it counts as named earlier. A time that lies
// ahead tells that they differ by more, and says nothing.
func (e *Entry) namedSince(n *rollout.Announcement) (time.Duration, bool) {
	age := time.Since(time.UnixMilli(n.AtMs))
	return e.clock.now() - age - e.directSettings().ClockSkew.D(), age >= 0
}
