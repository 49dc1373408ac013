package member

import (
	"slices"
	"strings"
	"time"
)

const (
	// maxStretch bounds how many times Interval the period gets, and with it how
	// long a silent peer of a very large group goes unnoticed. It is reached at
	// maxStretch × PeersPerInterval peers; beyond, their bytes grow again.
	maxStretch = 10
	// maxAnnounced bounds what a peer may announce: one that says an hour by
	// mistake would keep its place for three when it dies.
	maxAnnounced = time.Minute
)

// Peer is a peer to send a heartbeat to.
type Peer struct {
	ID      string
	Address string
}

// Tick returns the peers whose heartbeat is due, in order of ID. Each peer has a
// phase of its own, so that a group's heartbeats don't fall together. A peer that
// is down is tried at its backoff, a leaving one is told until it is gone: it
// still answers for what it runs.
func (v *View) Tick(now time.Duration) []Peer {
	due := v.beats(func(r *record) bool { return now >= r.nextBeat && now >= r.downUntil })
	if len(due) == 0 {
		return nil
	}
	period := v.period()
	for _, b := range due {
		r := v.records[b.ID]
		wait := period
		if r.nextBeat == 0 {
			// The first one is sent at once: a peer that isn't told of us would
			// hold us suspect.
			wait = time.Duration(v.rng.Int64N(int64(period) + 1))
		}
		r.nextBeat, r.period = now+wait, period
	}
	return due
}

// Peers returns all that have an address, in order of ID, for what can't wait
// until their heartbeats are due.
func (v *View) Peers() []Peer { return v.beats(func(*record) bool { return true }) }

// beats returns the peers with an address that are wanted. They are in order, so
// that equal random numbers give equal phases.
func (v *View) beats(wanted func(*record) bool) []Peer {
	var beats []Peer
	for _, r := range v.records {
		if r.Address != "" && wanted(r) {
			beats = append(beats, Peer{ID: r.ID, Address: r.Address})
		}
	}
	slices.SortFunc(beats, func(a, b Peer) int { return strings.Compare(a.ID, b.ID) })
	return beats
}

// HeartbeatPeriod returns the period to announce in a heartbeat to a peer: the longest
// time until the next one that is due to it. A peer judges silence by this and
// not by the group's size as it sees it: while a group grows, two members know of
// different sizes, and the one that knows of fewer would suspect the other.
func (v *View) HeartbeatPeriod(id string) time.Duration {
	if r := v.records[id]; r != nil && r.period > 0 {
		return r.period
	}
	return v.period()
}

// period is how often each peer is told: Interval while there are PeersPerInterval
// at most, and then longer, so that the heartbeats sent in an Interval, and with
// them a member's bytes, stay the same whatever the group's size.
func (v *View) period() time.Duration {
	peers := 0
	for _, r := range v.records {
		if r.Address != "" {
			peers++
		}
	}
	stretch := float64(peers) / float64(v.params.PeersPerInterval)
	return scale(v.params.Interval, min(max(1, stretch), maxStretch))
}

// suspectAfter is the silence after which r is suspected. It leaves room for as
// many lost heartbeats of the period that r announced as SuspectAfter does of
// Interval.
func (v *View) suspectAfter(r *record) time.Duration {
	return scale(v.params.SuspectAfter, max(1, float64(r.announced)/float64(v.params.Interval)))
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
