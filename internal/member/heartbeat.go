package member

import (
	"slices"
	"strings"
	"time"
)

const (
	// maxStretch bounds the period at this many times Interval, and with it how long the
	// failure of a peer of a very large group goes unnoticed. It is reached at
	// maxStretch × PeersPerInterval peers; beyond that the heartbeat bytes grow with the
	// group again.
	maxStretch = 10
	// maxAnnouncedPeriod bounds the period that a peer may announce: a peer that
	// mistakenly announced an hour would count as alive for three hours after it died.
	maxAnnouncedPeriod = time.Minute
)

// Peer is a member to which heartbeats are sent.
type Peer struct {
	ID      string
	Address string
}

// Tick returns the peers whose heartbeat is due, in order of ID. Each peer has a
// phase of its own, so that a group's heartbeats aren't sent in bursts. A peer that
// is down gets one after its backoff. A leaving peer gets heartbeats until it is gone,
// since it still answers for the requests that it runs.
func (v *View) Tick(now time.Duration) []Peer {
	due := v.peersWhere(func(r *record) bool { return now >= r.nextHeartbeat && now >= r.downUntil })
	if len(due) == 0 {
		return nil
	}
	period := v.period()
	for _, p := range due {
		r := v.records[p.ID]
		wait := period
		if r.nextHeartbeat == 0 {
			// The first heartbeat is sent at once: a peer that receives none would
			// suspect this process.
			wait = time.Duration(v.rng.Int64N(int64(period) + 1))
		}
		r.nextHeartbeat, r.period = now+wait, period
	}
	return due
}

// Peers returns all peers with an address, in order of ID, for messages that can't wait
// until the next heartbeat is due.
func (v *View) Peers() []Peer { return v.peersWhere(func(*record) bool { return true }) }

// peersWhere returns the peers with an address for which include holds, in order of
// ID, so that the same seed of the random generator gives the same phases.
func (v *View) peersWhere(include func(*record) bool) []Peer {
	var peers []Peer
	for _, r := range v.records {
		if r.Address != "" && include(r) {
			peers = append(peers, Peer{ID: r.ID, Address: r.Address})
		}
	}
	slices.SortFunc(peers, func(a, b Peer) int { return strings.Compare(a.ID, b.ID) })
	return peers
}

// HeartbeatPeriod returns the period to announce in a heartbeat to a peer: the longest
// time until the next one to it. The receiver judges silence by the announced period and
// not by its own view of the group's size: while a group grows, two members may know
// different sizes, and the one that knows the smaller size would suspect the other.
func (v *View) HeartbeatPeriod(id string) time.Duration {
	if r := v.records[id]; r != nil && r.period > 0 {
		return r.period
	}
	return v.period()
}

// period is the time between heartbeats to one peer. It is Interval for up to
// PeersPerInterval peers and grows in proportion beyond, so that the number of heartbeats
// per Interval, and with it a member's bytes, doesn't depend on the group's size.
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

// suspectAfter is the silence after which r is suspected. It allows for as many lost
// heartbeats at the period that r announced as SuspectAfter does at Interval.
func (v *View) suspectAfter(r *record) time.Duration {
	return scale(v.params.SuspectAfter, max(1, float64(r.announcedPeriod)/float64(v.params.Interval)))
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
