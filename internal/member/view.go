// Package member decides who is alive, suspect, leaving or dead in a group or
// the fleet. The platform's instance list lags, so it only proposes; heartbeats,
// connection failures and an endpoint's own word decide.
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

// State is what a View thinks of a member.
type State uint8

// The states. Only Alive and Unknown members get new work; Unknown ones, which
// are listed but not heard of, only where nobody sends heartbeats.
const (
	Unknown State = iota
	Alive
	Suspect
	Dead
	Leaving
)

var stateNames = [...]string{"unknown", "alive", "suspect", "dead", "leaving"}

// String names the state as logs and status pages have it.
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

// Instance is one line of the platform's list.
type Instance struct {
	ID            string
	Address       string
	FailureDomain string
	Group         string
	Leaving       bool
}

// Member is a View's answer about one instance.
type Member struct {
	Instance
	Epoch  protocol.Epoch
	State  State
	Reason Reason
	// Since is when it was last heard, or when it was first listed.
	Since time.Duration
}

// Usable reports whether new work may be sent to the member.
func (m Member) Usable() bool { return m.State == Alive || m.State == Unknown }

// Params time a View.
type Params struct {
	// Heartbeats is set at a group's endpoints, which hear of each other; entries
	// learn by connection failures and from owners instead.
	Heartbeats bool
	// Interval is how often a heartbeat goes to each peer, of PeersPerInterval at
	// most. With more of them the period grows in proportion.
	Interval         time.Duration
	PeersPerInterval int
	// SuspectAfter is the silence after which a peer gets no new work, DeadAfter
	// that after which it counts as gone. Both grow with the period that the peer
	// announces, if that is longer than Interval.
	SuspectAfter time.Duration
	DeadAfter    time.Duration
	// BackoffMin and BackoffMax bound how long a failed connection keeps a member
	// down; it doubles with each failure in a row.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// ReportTTL is how long an owner's word that a member is unavailable holds.
	ReportTTL time.Duration
	// LeavingTTL is how long an entry holds a member to its word that it leaves
	// while the list calls it live. An entry opens no session to a leaving member
	// and so doesn't see its new epoch; it has to exceed the list's lag.
	LeavingTTL time.Duration
	// ForgetAfter is how long an unlisted, unheard member is remembered. It has
	// to exceed the list's lag, or a leaving endpoint would come back with a
	// stale list.
	ForgetAfter time.Duration
}

// DefaultParams notice a silent peer in 3 s (in a group of up to 11) and outlast a
// list that lags by half a minute tenfold.
var DefaultParams = Params{
	Interval: time.Second, PeersPerInterval: 10, SuspectAfter: 3 * time.Second, DeadAfter: 10 * time.Second,
	BackoffMin: 250 * time.Millisecond, BackoffMax: 10 * time.Second,
	ReportTTL: 3 * time.Second, LeavingTTL: 2 * time.Minute, ForgetAfter: 5 * time.Minute,
}

// record is what is known of one instance.
//
// Invariants: leaving, the member's own word, is never unset within an epoch;
// heard, downUntil and reportedUntil speak of the current epoch only; past epochs
// never become the current one again.
type record struct {
	Instance
	epoch         protocol.Epoch
	past          [2]protocol.Epoch
	listed        bool
	known         time.Duration
	seen          bool
	heard         time.Duration
	seq           uint64
	leaving       bool
	leavingAt     time.Duration
	failures      uint8
	downUntil     time.Duration
	reportedUntil time.Duration
	nextBeat      time.Duration
	// period is the longest time until the next heartbeat to it, announced the one
	// that it gave for its own; 0 is not known.
	period    time.Duration
	announced time.Duration
}

// View is one process's picture of the others.
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

// InstancesListed takes a snapshot of the instance list. A member missing from it stays
// as long as it is heard.
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

// HeartbeatReceived takes a peer's heartbeat. It returns false for one of an older epoch or
// a doubled one, which must not be used.
func (v *View) HeartbeatReceived(hb *protocol.Heartbeat, now time.Duration) bool {
	r := v.record(hb.ID, now)
	if r.epoch == hb.Epoch && r.seen && hb.Seq <= r.seq || r.isPast(hb.Epoch) {
		return false
	}
	r.enter(hb.Epoch)
	if !r.seen {
		// It may hold us for silent until it hears us: at its start, a whole
		// period that it doesn't know of yet.
		r.nextBeat = 0
	}
	r.seen, r.heard, r.seq = true, now, hb.Seq
	r.announced = min(time.Duration(hb.PeriodMs)*time.Millisecond, maxAnnounced)
	r.failures, r.downUntil, r.reportedUntil = 0, 0, 0
	if hb.Leaving {
		r.leave(now)
	}
	return true
}

// EpochObserved takes the epoch that a session's opening showed. It reports whether
// the member was restarted, so that what was learnt of it is void.
func (v *View) EpochObserved(id string, epoch protocol.Epoch, now time.Duration) bool {
	r := v.record(id, now)
	if r.isPast(epoch) {
		return false
	}
	changed := r.enter(epoch)
	r.failures, r.downUntil = 0, 0
	return changed
}

// EpochReported takes the epoch that another process gave for a member, such as the
// executor of a decision. It reports the same as EpochSeen, but is no sign that
// the member can be reached from here.
func (v *View) EpochReported(id string, epoch protocol.Epoch, now time.Duration) bool {
	r := v.record(id, now)
	if epoch == 0 || r.isPast(epoch) {
		return false
	}
	return r.enter(epoch)
}

// LeavingAnnounced takes a member's own word, given in an epoch, that it is leaving.
func (v *View) LeavingAnnounced(id string, epoch protocol.Epoch, now time.Duration) {
	r := v.record(id, now)
	if r.isPast(epoch) {
		return
	}
	r.enter(epoch)
	r.leave(now)
}

// ConnectionFailed takes a failed connection. The member is down for a short time that
// doubles with each failure in a row, jittered so that entries don't all try it
// again together.
func (v *View) ConnectionFailed(id string, now time.Duration) {
	r := v.record(id, now)
	down := min(v.params.BackoffMin<<min(r.failures, 16), v.params.BackoffMax)
	if r.failures < 16 {
		r.failures++
	}
	r.downUntil = now + down/2 + time.Duration(v.rng.Int64N(int64(down/2)+1))
	// What couldn't be told isn't left for a whole period of a large group.
	r.nextBeat = min(r.nextBeat, now+v.params.Interval)
}

// UnavailableReported takes an owner's list of members that are dead or leaving. It holds
// for a while only: the owner may be wrong, or out of date. In a group it holds
// until the member is heard or suspected for its silence: a stopped process would
// else get work again in between.
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

// AppendUsable appends the members of a group that may get new work, in no
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
	since := r.known
	if r.seen {
		since = r.heard
	}
	return Member{Instance: r.Instance, Epoch: r.epoch, State: state, Reason: why, Since: since}
}

func (v *View) state(r *record, now time.Duration) (State, Reason) {
	if r.leaving && !v.lapsed(r, now) {
		return Leaving, ReasonAnnouncedLeaving
	}
	if r.Leaving && !v.contradicts(r, now) {
		return Leaving, ReasonListedLeaving
	}
	if now < r.downUntil {
		return Dead, ReasonConnectionFailed
	}
	if now < r.reportedUntil {
		return Suspect, ReasonReportedUnavailable
	}
	if !v.params.Heartbeats {
		return v.stateUnheard(r)
	}
	if !r.seen {
		return v.bySilence(r, now-r.known, Unknown, ReasonListed, ReasonNoHeartbeat)
	}
	return v.bySilence(r, now-r.heard, Alive, ReasonReachable, ReasonSilent)
}

// lapsed reports whether an entry should try a leaving member again.
func (v *View) lapsed(r *record, now time.Duration) bool {
	return !v.params.Heartbeats && r.listed && !r.Leaving && now-r.leavingAt >= v.params.LeavingTTL
}

// contradicts reports whether a member that the list calls leaving says
// otherwise: a lagging list still speaks of the epoch before.
func (v *View) contradicts(r *record, now time.Duration) bool {
	return r.seen && now-r.heard < v.suspectAfter(r)
}

func (v *View) stateUnheard(r *record) (State, Reason) {
	if r.epoch != 0 {
		return Alive, ReasonReachable
	}
	return Unknown, ReasonListed
}

func (v *View) bySilence(r *record, silence time.Duration, fresh State, why, silent Reason) (State, Reason) {
	suspect := v.suspectAfter(r)
	switch {
	case silence >= max(v.params.DeadAfter, 2*suspect):
		return Dead, silent
	case silence >= suspect:
		return Suspect, silent
	}
	return fresh, why
}

func (v *View) record(id string, now time.Duration) *record {
	r, ok := v.records[id]
	if !ok {
		r = &record{Instance: Instance{ID: id}, known: now}
		v.records[id] = r
	}
	return r
}

// enter moves a record to an epoch. Whatever was learnt of another one is void:
// a restarted process has no load, is not leaving and has sent no heartbeat.
func (r *record) enter(epoch protocol.Epoch) bool {
	if epoch == 0 || r.epoch == epoch {
		return false
	}
	changed := r.epoch != 0
	if changed {
		r.past = [2]protocol.Epoch{r.epoch, r.past[0]}
		r.leaving = false
		r.seen, r.seq, r.announced = false, 0, 0
		r.failures, r.downUntil, r.reportedUntil = 0, 0, 0
	}
	r.epoch = epoch
	return changed
}

// isPast reports whether an epoch is over. A late heartbeat of a process that has
// been restarted would otherwise undo what its successor said.
func (r *record) isPast(epoch protocol.Epoch) bool {
	return epoch != 0 && (epoch == r.past[0] || epoch == r.past[1])
}

func (r *record) leave(now time.Duration) {
	if !r.leaving {
		r.leaving, r.leavingAt = true, now
	}
}

func (v *View) forget(now time.Duration) {
	for id, r := range v.records {
		if !r.listed && now-max(r.known, r.heard) >= v.params.ForgetAfter {
			delete(v.records, id)
		}
	}
}
