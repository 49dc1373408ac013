package member

import "time"

// OutageParams time what an entry makes of a store of records that doesn't answer it.
type OutageParams struct {
	// ReregisterWithin is how long after the store's return a replica may take to write a record
	// again that lapsed meanwhile.
	ReregisterWithin time.Duration
	// ActWithin is how long after a call without an answer an entry may leave unheeded
	// what was written then. The store has not come back before that call was made.
	ActWithin time.Duration
	// DetectWithin is within which time a reader notices that the store doesn't answer it.
	DetectWithin time.Duration
	// ReportTTL is how old a peer's word of the store may be.
	ReportTTL time.Duration
}

// Outage is an entry's account of the last time in which the store of replicas' records
// didn't answer it, and of what its peers say of that time. It decides whether a removal
// that the entry reads may be a record that lapsed, as its replica couldn't renew it.
//
// Symptom without it: after an outage no replica is left, though all run. Symptom where it
// excuses too much: requests go to a replica that has left, from this entry only. So it
// excuses by what is known of the store, not of the entry: the time runs from the store's
// return, never from the reading of a removal, and where peers were served all along the
// replicas were too. Pure and not safe for concurrent use.
//
// Invariant: until an outage has ended, answeredAt is from before it.
type Outage struct {
	params OutageParams
	away   bool
	known  bool
	// beganAt is when the first call failed, missedAt when the last one that failed was
	// made, endedAt when the first answer after it came; before is when the last answer
	// before it came.
	beganAt, missedAt, endedAt, before time.Duration
	// answered is set once a call was answered, last at answeredAt. servedSince is since
	// when there was no break.
	answered                bool
	answeredAt, servedSince time.Duration
	peers                   map[string]peerService
}

// peerService is a peer's word on the store.
type peerService struct {
	heardAt time.Duration
	// since is since when the store has answered it, where served is set.
	since  time.Duration
	served bool
}

// NewOutage returns the account of an entry that hasn't called yet.
func NewOutage(p OutageParams) *Outage {
	return &Outage{params: p, peers: make(map[string]peerService)}
}

// CallFailed takes a call that got no answer, with when it was made. It reports whether an
// outage begins.
func (o *Outage) CallFailed(made, now time.Duration) bool {
	o.missedAt = max(o.missedAt, made)
	if o.away {
		return false
	}
	o.away, o.known = true, true
	o.beganAt, o.before = now, o.answeredAt
	return true
}

// CheckSilence takes it that time goes by, and reports whether an outage begins: nobody's answer has
// come for longer than a reader may take to notice that the store doesn't answer it. An entry
// that others tell what the store says calls rarely itself; without this the first removals after
// an outage would count as replicas that left, though their records had lapsed. A long time since
// the last answer's call says nothing: a read that waits may be under way. Nothing shows that
// the store was away later than its last answer, so that alone excuses no removal.
func (o *Outage) CheckSilence(now time.Duration) bool {
	if !o.answered || now-o.answeredAt <= o.params.DetectWithin {
		return false
	}
	return o.CallFailed(o.answeredAt, now)
}

// CallAnswered takes an answer. It reports whether an outage ends.
func (o *Outage) CallAnswered(now time.Duration) bool {
	ended := o.away
	if ended || !o.answered || now-o.answeredAt > o.params.DetectWithin {
		o.servedSince = now
	}
	if ended {
		o.away, o.endedAt = false, now
	}
	o.answered, o.answeredAt = true, now
	return ended
}

// ServedFor is for how long the store has answered this entry without a break, 0 if it
// doesn't. It is what peers are told.
func (o *Outage) ServedFor(now time.Duration) time.Duration {
	if o.away || !o.answered || now-o.answeredAt > o.params.DetectWithin {
		return 0
	}
	return now - o.servedSince
}

// PeerReported takes a peer's word: for how long the store has answered it, 0 if it doesn't.
func (o *Outage) PeerReported(peer string, served, now time.Duration) {
	o.peers[peer] = peerService{heardAt: now, since: now - served, served: served > 0}
}

// ForgetPeers drops the words of peers that were last heard before a time.
func (o *Outage) ForgetPeers(before time.Duration) {
	for peer, p := range o.peers {
		if p.heardAt < before {
			delete(o.peers, peer)
		}
	}
}

// PeerEvidence is what peers say of an entry's outage.
type PeerEvidence uint8

// The witnesses.
const (
	// EvidenceNone: no peer says anything that tells.
	EvidenceNone PeerEvidence = iota
	// EvidenceOutage: the store didn't answer peers either, nor the replicas, it seems.
	EvidenceOutage
	// EvidenceServed: the store has answered a peer all along, and so the replicas.
	EvidenceServed
)

var witnessNames = [...]string{"none", "away", "served"}

// String names the witness as logs have it.
func (w PeerEvidence) String() string { return witnessNames[w] }

// GracePeriod is how long a replica may be kept in use whose removal is read now.
type GracePeriod struct {
	// Until is when it is taken as gone if its record isn't back, not after now where
	// nothing excuses the removal.
	Until    time.Duration
	Evidence PeerEvidence
	// Began, Missed and Ended are those of the outage, for the log, where there was one.
	OutageKnown              bool
	Began, LastFailed, Ended time.Duration
}

// GracePeriod decides on a removal that is read now.
func (o *Outage) GracePeriod(now time.Duration) GracePeriod {
	if !o.known {
		return GracePeriod{}
	}
	x := GracePeriod{Evidence: o.witness(now), OutageKnown: true, Began: o.beganAt, LastFailed: o.missedAt, Ended: o.endedAt}
	switch x.Evidence {
	case EvidenceServed:
	case EvidenceOutage:
		x.Until = o.endedAt + o.params.ReregisterWithin
	default:
		// The store may have been back for as long as the last call hung.
		x.Until = min(o.endedAt+o.params.ReregisterWithin, o.missedAt+o.params.ActWithin)
	}
	return x
}

// witness is what the peers heard lately say of the last outage.
//
// A peer that was served since before it, and says so long enough after it began to have
// noticed a break of its own, was served through it. A break that is over sooner goes
// unnoticed, but no record lapses in one: that takes three heartbeats.
func (o *Outage) witness(now time.Duration) PeerEvidence {
	w := EvidenceNone
	for _, p := range o.peers {
		if now-p.heardAt > o.params.ReportTTL {
			continue
		}
		if !p.served || p.since > o.before {
			w = max(w, EvidenceOutage)
			continue
		}
		if p.heardAt-o.beganAt >= o.params.DetectWithin {
			w = EvidenceServed
		}
	}
	return w
}
