// Package member decides who is alive, suspect, leaving or dead in a group or in
// the fleet. The platform's instance list lags, so it only proposes members; heartbeats,
// connection failures and an endpoint's own announcements decide.
//
// A View is pure and not safe for concurrent use: the owner serialises calls and
// passes the time since process start.
package member

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"skylarklead/internal/protocol"
)

// State is the state of a member in a View.
type State uint8

// The states. Only Alive and Unknown members get new work. Unknown members are listed but
// have sent no heartbeat; they stay Unknown only where no heartbeats are sent.
const (
	Unknown State = iota
	Alive
	Suspect
	Dead
	Leaving
)

var stateNames = [...]string{"unknown", "alive", "suspect", "dead", "leaving"}

// String returns the name used in logs and status pages.
func (s State) String() string { return stateNames[s] }

// Reason is why a member is in its state.
type Reason string

// The reasons.
const (
	ReasonListed              Reason = "listed"
	ReasonReachable           Reason = "heard"
	ReasonNoHeartbeat         Reason = "never_heard"
	ReasonSilent              Reason = "silent"
	ReasonConnectionFailed    Reason = "connection_failed"
	ReasonReportedUnavailable Reason = "reported_unavailable"
	ReasonAnnouncedLeaving    Reason = "said_leaving"
	ReasonListedLeaving       Reason = "listed_leaving"
)

// Instance is one line of the platform's instance list.
type Instance struct {
	ID            string
	Address       string
	FailureDomain string
	Group         string
	Leaving       bool
}

// Member is the state of one instance as a View returns it.
type Member struct {
	Instance
	Epoch  protocol.Epoch
	State  State
	Reason Reason
	// Since is when its last heartbeat was received, or when it was first listed.
	Since time.Duration
}

// Usable reports whether new work may be sent to the member.
func (m Member) Usable() bool { return m.State == Alive || m.State == Unknown }

// Params are the times of a View.
type Params struct {
	// Heartbeats is set at a group's endpoints, which send each other heartbeats;
	// entries learn of failures from their connections and from owners instead.
	Heartbeats bool
	// Interval is the time between heartbeats to one peer, for up to PeersPerInterval
	// peers. With more peers the period grows in proportion.
	Interval         time.Duration
	PeersPerInterval int
	// SuspectAfter is the silence after which a peer gets no new work, DeadAfter the
	// silence after which it counts as gone. Both grow with the period that the peer
	// announces if that is longer than Interval.
	SuspectAfter time.Duration
	DeadAfter    time.Duration
	// BackoffMin and BackoffMax bound how long a failed connection keeps a member
	// down; the time doubles with each consecutive failure.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// ReportTTL is how long an owner's report that a member is unavailable holds.
	ReportTTL time.Duration
	// LeavingTTL is how long an entry treats a member that announced that it leaves as
	// leaving while the list calls it live. An entry opens no session to a leaving
	// member and so doesn't see its new epoch. It has to exceed the list's lag.
	LeavingTTL time.Duration
	// ForgetAfter is how long an unlisted member without heartbeats is remembered. It
	// has to exceed the list's lag, or a stale list would bring back an endpoint that
	// left.
	ForgetAfter time.Duration
}

// DefaultParams detect a silent peer in 3 s (in a group of up to 11) and tolerate ten
// times a list lag of half a minute.
var DefaultParams = Params{
	Interval: time.Second, PeersPerInterval: 10, SuspectAfter: 3 * time.Second, DeadAfter: 10 * time.Second,
	BackoffMin: 250 * time.Millisecond, BackoffMax: 10 * time.Second,
	ReportTTL: 3 * time.Second, LeavingTTL: 2 * time.Minute, ForgetAfter: 5 * time.Minute,
}

// record is what is known of one instance.
//
// Invariants: leaving, which the member itself announced, is never unset within an epoch;
// lastHeartbeat, downUntil and reportedUntil refer to the current epoch only; past epochs
// never become the current one again.
type record struct {
	Instance
	epoch         protocol.Epoch
	pastEpochs    [2]protocol.Epoch
	listed        bool
	firstSeen     time.Duration
	hasHeartbeat  bool
	lastHeartbeat time.Duration
	seq           uint64
	leaving       bool
	leavingAt     time.Duration
	failures      uint8
	downUntil     time.Duration
	reportedUntil time.Duration
	nextHeartbeat time.Duration
	// period is the longest time until the next heartbeat to the member,
	// announcedPeriod the one that it announced for its own; 0 if not known.
	period          time.Duration
	announcedPeriod time.Duration
}

// View is one process's view of the other members.
type View struct {
	params  Params
	self    string
	rng     *rand.Rand
	records map[string]*record
}

// NewView returns an empty view of the process self.
func NewView(self string, params Params, rng *rand.Rand) *View {
	return &View{params: params, self: self, rng: rng, records: map[string]*record{}}
}

// InstancesListed takes a snapshot of the instance list. A member that is missing from it
// is kept as long as it sends heartbeats.
func (v *View) InstancesListed(instances []Instance, now time.Duration) {
	for _, r := range v.records {
		r.listed = false
	}
	for _, in := range instances {
		if in.ID == v.self {
			continue
		}
		r := v.record(in.ID, now)
		r.Instance = in
		r.listed = true
	}
	v.forget(now)
}

// HeartbeatReceived takes a peer's heartbeat. It returns false for a duplicate or one of a
// past epoch, which must not be used.
func (v *View) HeartbeatReceived(hb *protocol.Heartbeat, now time.Duration) bool {
	r := v.record(hb.ID, now)
	if r.epoch == hb.Epoch && r.hasHeartbeat && hb.Seq <= r.seq || r.isPastEpoch(hb.Epoch) {
		return false
	}
	r.enterEpoch(hb.Epoch)
	if !r.hasHeartbeat {
		// Until the peer receives a heartbeat it may suspect this process; after its start
		// it doesn't know this process's period yet, so don't wait for a whole one.
		r.nextHeartbeat = 0
	}
	r.hasHeartbeat, r.lastHeartbeat, r.seq = true, now, hb.Seq
	r.announcedPeriod = min(time.Duration(hb.PeriodMs)*time.Millisecond, maxAnnouncedPeriod)
	r.failures, r.downUntil, r.reportedUntil = 0, 0, 0
	if hb.Leaving {
		r.markLeaving(now)
	}
	return true
}

// EpochObserved takes the epoch that a member gave when a session was opened. It reports
// whether the member was restarted, so that what was known of it is void.
func (v *View) EpochObserved(id string, epoch protocol.Epoch, now time.Duration) bool {
	r := v.record(id, now)
	if r.isPastEpoch(epoch) {
		return false
	}
	changed := r.enterEpoch(epoch)
	r.failures, r.downUntil = 0, 0
	return changed
}

// EpochReported takes a member's epoch as given by another process, such as the executor
// of a decision. It reports the same as EpochObserved, but is no evidence that the member
// can be reached from here.
func (v *View) EpochReported(id string, epoch protocol.Epoch, now time.Duration) bool {
	r := v.record(id, now)
	if epoch == 0 || r.isPastEpoch(epoch) {
		return false
	}
	return r.enterEpoch(epoch)
}

// LeavingAnnounced takes a member's own announcement, made in an epoch, that it is leaving.
func (v *View) LeavingAnnounced(id string, epoch protocol.Epoch, now time.Duration) {
	r := v.record(id, now)
	if r.isPastEpoch(epoch) {
		return
	}
	r.enterEpoch(epoch)
	r.markLeaving(now)
}

// ConnectionFailed takes a failed connection. The member is down for a short time that
// doubles with each consecutive failure, with jitter so that entries don't all try it
// again at the same moment.
func (v *View) ConnectionFailed(id string, now time.Duration) {
	r := v.record(id, now)
	down := min(v.params.BackoffMin<<min(r.failures, 16), v.params.BackoffMax)
	if r.failures < 16 {
		r.failures++
	}
	r.downUntil = now + down/2 + time.Duration(v.rng.Int64N(int64(down/2)+1))
	// A heartbeat that couldn't be sent isn't delayed by a whole period of a large group.
	r.nextHeartbeat = min(r.nextHeartbeat, now+v.params.Interval)
}

// HeartbeatFailed is ConnectionFailed for a heartbeat whose sending began at a time. A peer that was heard
// since stays up, and the heartbeat is due again: the attempt may have met it before it listened.
func (v *View) HeartbeatFailed(id string, began, now time.Duration) {
	if r := v.record(id, now); r.hasHeartbeat && r.lastHeartbeat >= began {
		r.nextHeartbeat = min(r.nextHeartbeat, now)
		return
	}
	v.ConnectionFailed(id, now)
}

// UnavailableReported takes an owner's list of members that are dead or leaving. It holds
// for a limited time: the owner may be wrong or out of date. In a group it holds until the
// member sends a heartbeat or is suspected for its silence; otherwise a stopped process
// would get work again in between.
func (v *View) UnavailableReported(ids []string, now time.Duration) {
	for _, id := range ids {
		if id == v.self {
			continue
		}
		r := v.record(id, now)
		r.reportedUntil = now + v.params.ReportTTL
		if v.params.Heartbeats {
			r.reportedUntil = max(r.reportedUntil, now+v.suspectAfter(r))
		}
	}
}

// Get returns one member.
func (v *View) Get(id string, now time.Duration) (Member, bool) {
	r, ok := v.records[id]
	if !ok {
		return Member{}, false
	}
	return v.member(r, now), true
}

// Members returns all members in order of ID.
func (v *View) Members(now time.Duration) []Member {
	members := make([]Member, 0, len(v.records))
	for _, r := range v.records {
		members = append(members, v.member(r, now))
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return members
}

// AppendUsable appends the members of a group that may get new work, in no particular
// order.
func (v *View) AppendUsable(dst []Member, group string, now time.Duration) []Member {
	for _, r := range v.records {
		if r.Group != group {
			continue
		}
		if m := v.member(r, now); m.Usable() {
			dst = append(dst, m)
		}
	}
	return dst
}

func (v *View) member(r *record, now time.Duration) Member {
	state, why := v.state(r, now)
	since := r.firstSeen
	if r.hasHeartbeat {
		since = r.lastHeartbeat
	}
	return Member{Instance: r.Instance, Epoch: r.epoch, State: state, Reason: why, Since: since}
}

func (v *View) state(r *record, now time.Duration) (State, Reason) {
	if r.leaving && !v.leavingExpired(r, now) {
		return Leaving, ReasonAnnouncedLeaving
	}
	if r.Leaving && !v.contradictsList(r, now) {
		return Leaving, ReasonListedLeaving
	}
	if now < r.downUntil {
		return Dead, ReasonConnectionFailed
	}
	if now < r.reportedUntil {
		return Suspect, ReasonReportedUnavailable
	}
	if !v.params.Heartbeats {
		return v.stateWithoutHeartbeats(r)
	}
	if !r.hasHeartbeat {
		return v.stateBySilence(r, now-r.firstSeen, Unknown, ReasonListed, ReasonNoHeartbeat)
	}
	return v.stateBySilence(r, now-r.lastHeartbeat, Alive, ReasonReachable, ReasonSilent)
}

// leavingExpired reports whether an entry should try a leaving member again.
func (v *View) leavingExpired(r *record, now time.Duration) bool {
	return !v.params.Heartbeats && r.listed && !r.Leaving && now-r.leavingAt >= v.params.LeavingTTL
}

// contradictsList reports whether a member that the list calls leaving sends heartbeats
// that say otherwise: a lagging list still refers to the previous epoch.
func (v *View) contradictsList(r *record, now time.Duration) bool {
	return r.hasHeartbeat && now-r.lastHeartbeat < v.suspectAfter(r)
}

func (v *View) stateWithoutHeartbeats(r *record) (State, Reason) {
	if r.epoch != 0 {
		return Alive, ReasonReachable
	}
	return Unknown, ReasonListed
}

func (v *View) stateBySilence(r *record, silence time.Duration, initial State, why, silent Reason) (State, Reason) {
	suspect := v.suspectAfter(r)
	switch {
	case silence >= max(v.params.DeadAfter, 2*suspect):
		return Dead, silent
	case silence >= suspect:
		return Suspect, silent
	}
	return initial, why
}

func (v *View) record(id string, now time.Duration) *record {
	r, ok := v.records[id]
	if !ok {
		r = &record{Instance: Instance{ID: id}, firstSeen: now}
		v.records[id] = r
	}
	return r
}

// enterEpoch moves a record to an epoch. What was known of another epoch is void:
// a restarted process has no load, is not leaving and has sent no heartbeat.
func (r *record) enterEpoch(epoch protocol.Epoch) bool {
	if epoch == 0 || r.epoch == epoch {
		return false
	}
	changed := r.epoch != 0
	if changed {
		r.pastEpochs = [2]protocol.Epoch{r.epoch, r.pastEpochs[0]}
		r.leaving = false
		r.hasHeartbeat, r.seq, r.announcedPeriod = false, 0, 0
		r.failures, r.downUntil, r.reportedUntil = 0, 0, 0
	}
	r.epoch = epoch
	return changed
}

// isPastEpoch reports whether an epoch is over. A late heartbeat of a process that has
// been restarted would otherwise overwrite what its successor announced.
func (r *record) isPastEpoch(epoch protocol.Epoch) bool {
	return epoch != 0 && (epoch == r.pastEpochs[0] || epoch == r.pastEpochs[1])
}

func (r *record) markLeaving(now time.Duration) {
	if !r.leaving {
		r.leaving, r.leavingAt = true, now
	}
}

func (v *View) forget(now time.Duration) {
	for id, r := range v.records {
		if !r.listed && now-max(r.firstSeen, r.lastHeartbeat) >= v.params.ForgetAfter {
			delete(v.records, id)
		}
	}
}
