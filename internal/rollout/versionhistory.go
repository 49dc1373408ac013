package rollout

import "time"

// VersionHistory has the versions of a model's weights that the operator announced, and when.
// No request may begin on a version once oldVersionTTL has passed since the announcement of a
// newer one.
//
// Invariant: announced is in ascending order of version and time.
type VersionHistory struct {
	oldVersionTTL time.Duration
	announced     []announcedVersion
}

type announcedVersion struct {
	version     uint64
	announcedAt time.Duration
	// readLate is set if the version may have been announced some time before it was read.
	// earliest is then the earliest time at which it can have been announced.
	readLate bool
	earliest time.Duration
}

// NewVersionHistory returns a history in which a version may be used for ttl after a newer one
// was announced.
func NewVersionHistory(ttl time.Duration) *VersionHistory { return &VersionHistory{oldVersionTTL: ttl} }

// Add adds a version that was announced at a time. It reports whether the version is higher
// than all before; others are ignored.
func (h *VersionHistory) Add(version uint64, at time.Duration) bool {
	if version <= h.Newest() {
		return false
	}
	h.announced = append(h.announced, announcedVersion{version: version, announcedAt: at})
	return true
}

// MarkReadLate records that a version may have been announced before it was read, but no earlier
// than a given time, because the reader had no contact with the operator's records in between.
func (h *VersionHistory) MarkReadLate(version uint64, earliest time.Duration) {
	for i := range h.announced {
		if v := &h.announced[i]; v.version == version {
			v.readLate, v.earliest = true, min(v.announcedAt, earliest)
		}
	}
}

// AnnouncedNoLater records that a version was announced at a time or before. It has an effect
// only on a version that was read late.
//
// Without it an entry that had lost contact begins requests on weights that were replaced longer
// ago than allowed, while its peers do not: the time allowed runs from the announcement, which
// the peers have read, and not from when this entry read it.
func (h *VersionHistory) AnnouncedNoLater(version uint64, at time.Duration) {
	for i := range h.announced {
		if v := &h.announced[i]; v.version == version && v.readLate {
			v.announcedAt = min(v.announcedAt, max(at, v.earliest))
		}
	}
}

// AddPrevious adds the version that was desired before the oldest one known, with the time of
// announcement assumed for it, at most that of the next version. Replicas may serve versions older
// than both.
func (h *VersionHistory) AddPrevious(version, before uint64, at time.Duration) {
	if before == 0 || before >= version || len(h.announced) == 0 || h.announced[0].version != version {
		return
	}
	at = min(at, h.announced[0].announcedAt)
	h.announced = append([]announcedVersion{{version: before, announcedAt: at}}, h.announced...)
}

// AnnouncedNoEarlier records that a version was announced at a time and no earlier. It has an
// effect if that is later than the time assumed so far, and is limited by the announcement of
// the next version. It is therefore called for the latest version first.
func (h *VersionHistory) AnnouncedNoEarlier(version uint64, at time.Duration) {
	for i := range h.announced {
		if h.announced[i].version != version {
			continue
		}
		if i+1 < len(h.announced) {
			at = min(at, h.announced[i+1].announcedAt)
		}
		h.announced[i].announcedAt = max(h.announced[i].announcedAt, at)
	}
}

// Newest is the version to be used, 0 if none was announced.
func (h *VersionHistory) Newest() uint64 {
	if len(h.announced) == 0 {
		return 0
	}
	return h.announced[len(h.announced)-1].version
}

// OldestAllowed is the oldest version on which a request may begin now, 0 if any. Versions older
// than it are forgotten.
func (h *VersionHistory) OldestAllowed(now time.Duration) uint64 {
	overdue := -1
	for i := range h.announced {
		if now >= h.announced[i].announcedAt+h.oldVersionTTL {
			overdue = i
		}
	}
	if overdue < 0 {
		return 0
	}
	h.announced = h.announced[overdue:]
	return h.announced[0].version
}
