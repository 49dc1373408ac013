package member

import (
	"maps"
	"math"
	"slices"
	"time"

	"skylarklead/internal/fleet"
)

// ReplicaParams are the times and limits by which an entry judges replicas that it sends
// requests to directly.
type ReplicaParams struct {
	// BackoffMin and BackoffMax bound the pause between attempts to connect to a replica;
	// it doubles with each consecutive failure.
	BackoffMin, BackoffMax time.Duration
	// SilenceCheckInterval is the least time between connection checks of a silent replica.
	SilenceCheckInterval time.Duration
	// BusyBackoff is how long a replica that refused a request as busy gets no other.
	BusyBackoff time.Duration
	// MaxRequestedBackoff bounds the backoff that a replica may ask for.
	MaxRequestedBackoff time.Duration
	// FaultHalfLife is the half-life of the fault count.
	FaultHalfLife time.Duration
	// FaultLimit is the decayed fault count from which on a replica gets work only if no
	// other can take it.
	FaultLimit float64
	// TombstoneTTL is how long a removed replica stays removed, however old the records
	// are that still name it.
	TombstoneTTL time.Duration
}

// DefaultReplicaParams try an unreachable replica three times in the first second, as a
// crash lasts seconds, and treat three faults in quick succession as more than chance.
var DefaultReplicaParams = ReplicaParams{
	BackoffMin: 200 * time.Millisecond, BackoffMax: 800 * time.Millisecond,
	SilenceCheckInterval: 500 * time.Millisecond, BusyBackoff: 200 * time.Millisecond, MaxRequestedBackoff: 10 * time.Minute,
	FaultHalfLife: 2 * time.Second, FaultLimit: 2.5,
	TombstoneTTL: 2 * time.Minute,
}

// Fault is a kind of failure of a replica that could be reached.
type Fault uint8

// The faults, by severity. RecordFault counts all of them alike.
const (
	// FaultConnectionLost: it closed a connection with a request on it.
	FaultConnectionLost Fault = iota
	// FaultTimeout: it didn't answer in time.
	FaultTimeout
	// FaultMalformedAnswer: what it sent is not a valid answer.
	FaultMalformedAnswer
)

// replicaState is what is known of one replica.
//
// Invariants: it describes one incarnation; offset is that of the newest record taken;
// draining is never unset, since an incarnation that leaves doesn't come back.
type replicaState struct {
	replica  *fleet.Replica
	offset   uint64
	draining bool
	failures int
	// unreachable is set from a failed connection until one succeeds; probeAt is when the
	// next attempt is due.
	unreachable bool
	probeAt     time.Duration
	probing     bool
	// busyUntil is the end of the backoff after it refused a request as busy.
	busyUntil time.Duration
	// backoffUntil is the end of the backoff that it asked for.
	backoffUntil time.Duration
	// checkedAt is when its connection was last checked because it was silent, if checked is set.
	checked   bool
	checkedAt time.Duration
	// expiresAt is when a replica whose record expired during an outage of the store counts
	// as gone, 0 while its record exists; unlistedAt is when the removal was read.
	expiresAt  time.Duration
	unlistedAt time.Duration
	faults     float64
	faultsAt   time.Duration
}

// Replicas is one entry's view of the replicas. Their records list them; failures and
// answers on the entry's own connections override that for a while. It is pure and not
// safe for concurrent use.
//
// Invariant: of each name at most the latest incarnation is known.
type Replicas struct {
	params        ReplicaParams
	states        map[string]*replicaState
	registrations map[string]*registration
}

// NewReplicas returns an empty view.
func NewReplicas(p ReplicaParams) *Replicas {
	return &Replicas{params: p, states: map[string]*replicaState{}, registrations: map[string]*registration{}}
}

// UpdateResult is the effect of a record or report.
type UpdateResult struct {
	// Changed is set if the record contains something new.
	Changed bool
	// SupersededID is the incarnation that this one supersedes, "" for none.
	SupersededID string
	// Outdated is set if the incarnation was superseded or has ended, or if a replica reports
	// itself after its record was removed.
	Outdated bool
}

// Put takes a replica's record. A record older than the newest one taken is ignored: a
// store that serves stale reads for a while would otherwise bring back a replica that
// leaves.
func (v *Replicas) Put(r *fleet.Replica, offset uint64, now time.Duration) UpdateResult {
	n := v.registration(r.Name)
	if n.removed && (offset <= n.removedAt || n.isStaleCopy(r, offset)) {
		return UpdateResult{}
	}
	return v.put(n, r, offset, now)
}

// Adopt takes a replica that has reported itself, before any record of it was read. A
// replica whose record was removed has left or was declared gone, and keeps running for a
// while; it isn't adopted, since no later record would ever remove it again.
func (v *Replicas) Adopt(r *fleet.Replica, now time.Duration) UpdateResult {
	n := v.registration(r.Name)
	if n.removed && (n.id == r.ID || n.id == "") && v.states[r.ID] == nil {
		return UpdateResult{Outdated: true}
	}
	return v.put(n, r, n.removedAt, now)
}

func (v *Replicas) put(n *registration, r *fleet.Replica, offset uint64, now time.Duration) UpdateResult {
	// Between records of two store eras, the record number tells which one is later.
	later := r.ID == n.id && r.HeartbeatSeq > n.beat && v.states[r.ID] != nil && fleet.Era(offset) < fleet.Era(v.states[r.ID].offset)
	ended, ok := n.advance(r, now)
	if !ok {
		return UpdateResult{Outdated: true}
	}
	if ended != "" && v.states[ended] == nil {
		ended = ""
	}
	delete(v.states, ended)
	n.leaving = n.leaving || r.Draining
	l := v.states[r.ID]
	if l == nil {
		v.states[r.ID] = &replicaState{replica: r, offset: offset, draining: n.leaving}
		return UpdateResult{Changed: true, SupersededID: ended}
	}
	if offset < l.offset && !later {
		return UpdateResult{}
	}
	changed := !l.replica.Equal(r)
	l.replica, l.offset, l.expiresAt = r, max(l.offset, offset), 0
	l.draining = n.leaving
	return UpdateResult{Changed: changed}
}

func (v *Replicas) registration(name string) *registration {
	n := v.registrations[name]
	if n == nil {
		n = &registration{}
		v.registrations[name] = n
	}
	return n
}

// Remove removes the replica registered under a name. It returns the replica's ID, "" if
// none was known.
func (v *Replicas) Remove(name string, offset uint64, now time.Duration) string {
	n := v.registration(name)
	l := v.states[n.id]
	if l != nil && offset < l.offset {
		return ""
	}
	n.removed, n.removedAt, n.lastSeen = true, max(n.removedAt, offset), now
	if l == nil {
		return ""
	}
	delete(v.states, n.id)
	return n.id
}

// MarkExpired records that the replica registered under a name lost its record during an
// outage of the store, in which it couldn't renew it. The replica counts as gone from until
// on unless its record is back by then. Without this grace period an outage of seconds
// would leave no replica to serve requests, although all of them run.
func (v *Replicas) MarkExpired(name string, offset uint64, now, until time.Duration) {
	n := v.registrations[name]
	if n == nil {
		return
	}
	l := v.states[n.id]
	if l == nil || offset < l.offset {
		return
	}
	l.offset, l.unlistedAt, l.expiresAt = offset, now, until
}

// UnlistedFor returns how long ago the removal of the record of a replica in use was
// read, 0 while the record exists.
func (v *Replicas) UnlistedFor(id string, now time.Duration) time.Duration {
	if l := v.states[id]; l != nil && l.expiresAt != 0 {
		return now - l.unlistedAt
	}
	return 0
}

// Replaced records that another incarnation runs at a replica's address: this one is gone
// for good, whatever its records say.
func (v *Replicas) Replaced(id string, now time.Duration) {
	l := v.states[id]
	if l == nil {
		return
	}
	n := v.registration(l.replica.Name)
	n.ended, n.lastSeen = true, now
	delete(v.states, id)
}

// Missing returns the names of known replicas that aren't in a full list.
func (v *Replicas) Missing(names map[string]bool) []string {
	var missing []string
	for _, id := range v.IDs() {
		if name := v.states[id].replica.Name; !names[name] {
			missing = append(missing, name)
		}
	}
	return missing
}

// IDs returns the IDs of the known replicas, sorted.
func (v *Replicas) IDs() []string { return slices.Sorted(maps.Keys(v.states)) }

// Get returns a replica, nil if it isn't known.
func (v *Replicas) Get(id string) *fleet.Replica {
	if l := v.states[id]; l != nil {
		return l.replica
	}
	return nil
}

// MarkLeaving records a replica's announcement that it leaves. It reports whether that is new.
func (v *Replicas) MarkLeaving(id string) bool {
	l := v.states[id]
	if l == nil || l.draining {
		return false
	}
	l.draining = true
	v.registration(l.replica.Name).leaving = true
	return true
}

// Draining reports whether a replica is leaving or gone.
func (v *Replicas) Draining(id string) bool {
	l := v.states[id]
	return l == nil || l.draining
}

// MarkUnreachable records a failed connection to a replica. The replica gets no new work
// until a connection succeeds; DueProbes says when to try. It reports whether the replica
// was reachable before.
func (v *Replicas) MarkUnreachable(id string, now time.Duration) bool {
	l := v.states[id]
	if l == nil || l.unreachable && !l.probing {
		return false
	}
	changed := !l.unreachable
	l.probeAt = now + min(v.params.BackoffMin<<min(l.failures, 8), v.params.BackoffMax)
	l.unreachable, l.probing = true, false
	l.failures++
	return changed
}

// MarkReachable records a successful connection to a replica. It reports whether the
// replica was unreachable before.
func (v *Replicas) MarkReachable(id string) bool {
	l := v.states[id]
	if l == nil {
		return false
	}
	l.probing, l.failures = false, 0
	changed := l.unreachable
	l.unreachable = false
	return changed
}

// DueProbes returns the unreachable replicas to which a connection is to be tried now.
// Using callers' requests as probes would delay each of them by a timeout.
func (v *Replicas) DueProbes(now time.Duration) []*fleet.Replica {
	var due []*fleet.Replica
	for _, id := range v.IDs() {
		l := v.states[id]
		if l.unreachable && !l.probing && now >= l.probeAt {
			l.probing = true
			due = append(due, l.replica)
		}
	}
	return due
}

// CheckSilent takes a replica that has sent no byte of an answer for long. It reports
// whether to try a connection, which fails if the replica's machine is unreachable.
func (v *Replicas) CheckSilent(id string, now time.Duration) bool {
	l := v.states[id]
	if l == nil || l.unreachable || l.checked && now < l.checkedAt+v.params.SilenceCheckInterval {
		return false
	}
	l.checked, l.checkedAt = true, now
	return true
}

// MarkBusy records that a replica refused a request because it is full or carries out an
// order. It gets no requests for BusyBackoff; its health is not affected otherwise.
func (v *Replicas) MarkBusy(id string, now time.Duration) {
	if l := v.states[id]; l != nil {
		l.busyUntil = now + v.params.BusyBackoff
	}
}

// Backoff records that a replica refused a request and asked for none for a time d. Its
// health is not affected otherwise. Of several such answers the latest end counts, since
// answers may arrive out of order. It reports whether a backoff begins now.
func (v *Replicas) Backoff(id string, d, now time.Duration) (begins bool) {
	l := v.states[id]
	if l == nil {
		return false
	}
	begins = l.backoffUntil <= now
	l.backoffUntil = max(l.backoffUntil, now+min(d, v.params.MaxRequestedBackoff))
	return begins
}

// BackoffUntil returns the end of the backoff that a replica asked for; it is in the past if there is none.
func (v *Replicas) BackoffUntil(id string) time.Duration {
	if l := v.states[id]; l != nil {
		return l.backoffUntil
	}
	return 0
}

// RecordFault counts a request that failed at a replica.
func (v *Replicas) RecordFault(id string, _ Fault, now time.Duration) {
	l := v.states[id]
	if l == nil {
		return
	}
	l.faults = v.decayedFaults(l, now) + 1
	l.faultsAt = now
}

// RecordSuccess counts a request that a replica answered as it should.
func (v *Replicas) RecordSuccess(id string, now time.Duration) {
	l := v.states[id]
	if l == nil {
		return
	}
	l.failures, l.unreachable = 0, false
	l.faults = max(0, v.decayedFaults(l, now)-successCredit)
	l.faultsAt = now
}

// successCredit is what one good answer subtracts from a replica's fault count. A replica
// that fails two of five requests stays above the limit; one that lost a single connection
// with many requests on it recovers after a few answers.
const successCredit = 0.2

func (v *Replicas) decayedFaults(l *replicaState, now time.Duration) float64 {
	if l.faults == 0 {
		return 0
	}
	halfLives := float64(now-l.faultsAt) / float64(v.params.FaultHalfLife)
	return l.faults * math.Exp2(-halfLives)
}

// Health says whether a replica may get new work.
type Health uint8

// The healths, best first.
const (
	Healthy Health = iota
	// Degraded replicas get work only if no healthy one can take it.
	Degraded
	// Down replicas can't be reached, have just refused a request, or asked for a backoff.
	Down
	// Left replicas are leaving or gone; they get no work.
	Left
)

var healthNames = [...]string{"healthy", "doubtful", "down", "left"}

// String returns the name used in logs.
func (h Health) String() string { return healthNames[h] }

// expired reports whether a replica is gone because its record expired and wasn't written
// again in time. It holds from that moment on, before the next Tick removes the replica.
func (l *replicaState) expired(now time.Duration) bool { return l.expiresAt != 0 && now >= l.expiresAt }

// Health returns a replica's health now.
func (v *Replicas) Health(id string, now time.Duration) Health {
	l := v.states[id]
	switch {
	case l == nil || l.draining || l.expired(now):
		return Left
	case l.unreachable || now < max(l.busyUntil, l.backoffUntil):
		return Down
	case v.decayedFaults(l, now) >= v.params.FaultLimit:
		return Degraded
	}
	return Healthy
}

// Tick removes the replicas that have expired and drops names without a record or report for
// TombstoneTTL. It returns the IDs of the removed replicas.
func (v *Replicas) Tick(now time.Duration) []string {
	var removed []string
	for _, id := range v.IDs() {
		if l := v.states[id]; l.expired(now) {
			v.Remove(l.replica.Name, l.offset, now)
			removed = append(removed, id)
		}
	}
	v.forgetRegistrations(now)
	return removed
}

// forgetRegistrations drops the names of which nothing was read or reported for TombstoneTTL.
func (v *Replicas) forgetRegistrations(now time.Duration) {
	for name, n := range v.registrations {
		if v.states[n.id] == nil && now-n.lastSeen > v.params.TombstoneTTL {
			delete(v.registrations, name)
		}
	}
}
