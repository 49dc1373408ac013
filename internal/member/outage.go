package member

import "time"

// OutageParams are the time bounds by which an entry judges an outage of the record store.
type OutageParams struct {
	// ReregisterWithin is how long after the store's return a replica may take to write
	// again a record that expired during the outage.
	ReregisterWithin time.Duration
	// ActWithin is how long after the start of an unanswered call an entry may take to act
	// on what was written then. The store was not back before that call was made.
	ActWithin time.Duration
	// DetectWithin is the time within which a reader notices that the store doesn't answer it.
	DetectWithin time.Duration
	// ReportTTL is how old a peer's report on the store may be.
	ReportTTL time.Duration
}

// Outage tracks the last outage of the replica record store as seen by one entry, and
// what its peers report of that time. It decides whether a removal that the entry reads
// may be a record that expired because its replica couldn't renew it.
//
// Without a grace period no replica would be left after an outage, though all run. With
// one that is too generous this entry, alone, would go on sending requests to a replica
// that has left. The grace period therefore follows from the store's state and not from
// the entry's: it runs from the store's return, never from when a removal is read, and
// if the store answered peers throughout, it answered the replicas too. Outage is pure
// and not safe for concurrent use.
//
// Invariant: until an outage has ended, answeredAt is from before it.
type Outage struct {
	params  OutageParams
	ongoing bool
	known   bool
	// beganAt is when the first call failed, lastFailedCall when the last call that
	// failed was made, endedAt when the first answer after the outage came, and
	// answeredBefore when the last answer before it came.
	beganAt, lastFailedCall, endedAt, answeredBefore time.Duration
	// answered is set once a call was answered, last at answeredAt. servedSince is the
	// start of the current time of service without a gap.
	answered                bool
	answeredAt, servedSince time.Duration
	peers                   map[string]peerService
}

// peerService is a peer's report on the store.
type peerService struct {
	receivedAt time.Duration
	// since is when the store began to answer the peer without a gap, if served is set.
	since  time.Duration
	served bool
}

// NewOutage returns the state of an entry that hasn't called the store yet.
func NewOutage(p OutageParams) *Outage {
	return &Outage{params: p, peers: make(map[string]peerService)}
}

// CallFailed records an unanswered call that was made at calledAt. It reports whether an
// outage begins.
func (o *Outage) CallFailed(calledAt, now time.Duration) bool {
	o.lastFailedCall = max(o.lastFailedCall, calledAt)
	if o.ongoing {
		return false
	}
	o.ongoing, o.known = true, true
	o.beganAt, o.answeredBefore = now, o.answeredAt
	return true
}

// CheckSilence is called as time passes and reports whether an outage begins: no answer,
// the entry's own or a peer's, has come for longer than a reader may take to notice that
// the store doesn't answer it. An entry that receives the store's records from peers
// rarely calls the store itself; without this check the first removals after an outage
// would count as replicas that left, though their records had expired. The age of the
// last answered call says nothing, since a long poll may be under way. Nothing shows that
// the store was unavailable later than its last answer, so silence alone gives no removal a
// grace period.
func (o *Outage) CheckSilence(now time.Duration) bool {
	if !o.answered || now-o.answeredAt <= o.params.DetectWithin {
		return false
	}
	return o.CallFailed(o.answeredAt, now)
}

// SaysNothing reports whether an answer that came at a time, and was passed on since, leaves open whether an
// outage goes on: a call that was made later has failed, or the store has been silent since for too long.
func (o *Outage) SaysNothing(answeredAt, now time.Duration) bool {
	return o.ongoing && (answeredAt <= o.lastFailedCall || now-answeredAt > o.params.DetectWithin)
}

// CallAnswered records an answer. It reports whether an outage ends.
func (o *Outage) CallAnswered(now time.Duration) bool {
	ended := o.ongoing
	if ended || !o.answered || now-o.answeredAt > o.params.DetectWithin {
		o.servedSince = now
	}
	if ended {
		o.ongoing, o.endedAt = false, now
	}
	o.answered, o.answeredAt = true, now
	return ended
}

// ServedFor returns for how long the store has answered this entry without a gap, 0 if it
// doesn't. Entries send this value to their peers.
func (o *Outage) ServedFor(now time.Duration) time.Duration {
	if o.ongoing || !o.answered || now-o.answeredAt > o.params.DetectWithin {
		return 0
	}
	return now - o.servedSince
}

// PeerReported records a peer's report: for how long the store has answered it, 0 if it doesn't.
func (o *Outage) PeerReported(peer string, served, now time.Duration) {
	o.peers[peer] = peerService{receivedAt: now, since: now - served, served: served > 0}
}

// ForgetPeers drops the reports that were received before a time.
func (o *Outage) ForgetPeers(before time.Duration) {
	for peer, p := range o.peers {
		if p.receivedAt < before {
			delete(o.peers, peer)
		}
	}
}

// PeerEvidence is what the reports of peers show about an entry's outage.
type PeerEvidence uint8

// The kinds of evidence.
const (
	// EvidenceNone: no peer's report allows a conclusion.
	EvidenceNone PeerEvidence = iota
	// EvidenceOutage: the store didn't answer peers either, so presumably not the replicas.
	EvidenceOutage
	// EvidenceServed: the store answered a peer throughout, and so the replicas.
	EvidenceServed
)

var evidenceNames = [...]string{"none", "away", "served"}

// String returns the name used in logs.
func (e PeerEvidence) String() string { return evidenceNames[e] }

// GracePeriod says how long a replica whose removal is read now may be kept in use.
type GracePeriod struct {
	// Until is when the replica counts as gone unless its record is back. It is not in
	// the future if the removal gets no grace period.
	Until    time.Duration
	Evidence PeerEvidence
	// Began, LastFailed and Ended are the outage's times, for the log; valid if OutageKnown.
	OutageKnown              bool
	Began, LastFailed, Ended time.Duration
}

// GracePeriod decides on a removal that is read now.
func (o *Outage) GracePeriod(now time.Duration) GracePeriod {
	if !o.known {
		return GracePeriod{}
	}
	grace := GracePeriod{Evidence: o.evidence(now), OutageKnown: true, Began: o.beganAt, LastFailed: o.lastFailedCall, Ended: o.endedAt}
	switch grace.Evidence {
	case EvidenceServed:
	case EvidenceOutage:
		grace.Until = o.endedAt + o.params.ReregisterWithin
	default:
		// The store may have been back since the last failed call was made.
		grace.Until = min(o.endedAt+o.params.ReregisterWithin, o.lastFailedCall+o.params.ActWithin)
	}
	return grace
}

// evidence returns what recent reports of peers show about the last outage.
//
// A peer whose service began before the outage was served throughout if its report came long
// enough after the outage began for the peer to notice a gap of its own. A shorter gap goes
// unnoticed, but no record expires in one: that takes three missed heartbeats.
func (o *Outage) evidence(now time.Duration) PeerEvidence {
	strongest := EvidenceNone
	for _, p := range o.peers {
		if now-p.receivedAt > o.params.ReportTTL {
			continue
		}
		if !p.served || p.since > o.answeredBefore {
			strongest = max(strongest, EvidenceOutage)
			continue
		}
		if p.receivedAt-o.beganAt >= o.params.DetectWithin {
			strongest = EvidenceServed
		}
	}
	return strongest
}
