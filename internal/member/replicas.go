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
	// troubledAt is when it last failed a request or couldn't be reached, if troubled is set.
	troubled   bool
	troubledAt time.Duration
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
	// occupants are the incarnations that were last listed at an address.
	occupants map[string]occupant
}

// NewReplicas returns an empty view.
func NewReplicas(p ReplicaParams) *Replicas {
	return &Replicas{params: p, states: map[string]*replicaState{}, registrations: map[string]*registration{}, occupants: map[string]occupant{}}
}

// UpdateResult is the effect of a record or report.
type UpdateResult struct {
	// Changed is set if the record contains something new.
	Changed bool
	// SupersededID is the incarnation that this one supersedes, "" for none.
	SupersededID string
	// DisplacedID is the incarnation of another name that was listed at this one's address before, and so has
	// ended; "" for none.
	DisplacedID string
	// Outdated is set if the incarnation was superseded or has ended, or if a replica reports
	// itself after its record was removed.
	Outdated bool
}

// Put takes a replica's record. A record older than the newest one taken is ignored: a
// store that serves stale reads for a while would otherwise bring back a replica that
// leaves.
func (v *Replicas) Put(r *fleet.Replica, offset uint64, now time.Duration) UpdateResult {
	reg := v.registration(r.Name)
	if reg.removed && (offset <= reg.removedAt || reg.isStaleCopy(r, offset)) {
		return UpdateResult{}
	}
	return v.put(reg, r, offset, now)
}

// Adopt takes a replica that has reported itself, before any record of it was read. A
// replica whose record was removed has left or was declared gone, and keeps running for a
// while; it isn't adopted, since no later record would ever remove it again.
func (v *Replicas) Adopt(r *fleet.Replica, now time.Duration) UpdateResult {
	reg := v.registration(r.Name)
	if reg.removed && (reg.id == r.ID || reg.id == "") && v.states[r.ID] == nil {
		return UpdateResult{Outdated: true}
	}
	return v.put(reg, r, reg.removedAt, now)
}

func (v *Replicas) put(reg *registration, r *fleet.Replica, offset uint64, now time.Duration) UpdateResult {
	// Between records of two store eras, the record number tells which one is later.
	later := r.ID == reg.id && r.HeartbeatSeq > reg.heartbeatSeq && v.states[r.ID] != nil && fleet.Era(offset) < fleet.Era(v.states[r.ID].offset)
	ended, ok := reg.advance(r, now)
	if !ok {
		return UpdateResult{Outdated: true}
	}
	if ended != "" && v.states[ended] == nil {
		ended = ""
	}
	delete(v.states, ended)
	reg.leaving = reg.leaving || r.Draining
	s := v.states[r.ID]
	if s == nil {
		v.states[r.ID] = &replicaState{replica: r, offset: offset, draining: reg.leaving}
		return UpdateResult{Changed: true, SupersededID: ended, DisplacedID: v.occupy(r)}
	}
	if offset < s.offset && !later {
		return UpdateResult{}
	}
	changed := !s.replica.Equal(r)
	s.replica, s.offset, s.expiresAt = r, max(s.offset, offset), 0
	s.draining = reg.leaving
	return UpdateResult{Changed: changed}
}

func (v *Replicas) registration(name string) *registration {
	reg := v.registrations[name]
	if reg == nil {
		reg = &registration{}
		v.registrations[name] = reg
	}
	return reg
}

// Remove removes the replica registered under a name. It returns the replica's ID, "" if
// none was known.
func (v *Replicas) Remove(name string, offset uint64, now time.Duration) string {
	reg := v.registration(name)
	s := v.states[reg.id]
	if s != nil && offset < s.offset {
		return ""
	}
	reg.removed, reg.removedAt, reg.lastSeen = true, max(reg.removedAt, offset), now
	if s == nil {
		return ""
	}
	delete(v.states, reg.id)
	return reg.id
}

// MarkExpired records that the replica registered under a name lost its record during an
// outage of the store, in which it couldn't renew it. The replica counts as gone from until
// on unless its record is back by then. Without this grace period an outage of seconds
// would leave no replica to serve requests, although all of them run.
func (v *Replicas) MarkExpired(name string, offset uint64, now, until time.Duration) {
	reg := v.registrations[name]
	if reg == nil {
		return
	}
	s := v.states[reg.id]
	if s == nil || offset < s.offset {
		return
	}
	s.offset, s.unlistedAt, s.expiresAt = offset, now, until
}

// UnlistedFor returns how long ago the removal of the record of a replica in use was
// read, 0 while the record exists.
func (v *Replicas) UnlistedFor(id string, now time.Duration) time.Duration {
	if s := v.states[id]; s != nil && s.expiresAt != 0 {
		return now - s.unlistedAt
	}
	return 0
}

// Replaced records that another incarnation runs at a replica's address: this one is gone
// for good, whatever its records say.
func (v *Replicas) Replaced(id string, now time.Duration) {
	s := v.states[id]
	if s == nil {
		return
	}
	reg := v.registration(s.replica.Name)
	reg.ended, reg.lastSeen = true, now
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
	if s := v.states[id]; s != nil {
		return s.replica
	}
	return nil
}

// Latest returns the latest incarnation registered under a name, nil if it is gone.
func (v *Replicas) Latest(name string) *fleet.Replica {
	if reg := v.registrations[name]; reg != nil {
		return v.Get(reg.id)
	}
	return nil
}

// MarkLeaving records a replica's announcement that it leaves. It reports whether that is new.
func (v *Replicas) MarkLeaving(id string) bool {
	s := v.states[id]
	if s == nil || s.draining {
		return false
	}
	s.draining = true
	v.registration(s.replica.Name).leaving = true
	return true
}

// Draining reports whether a replica is leaving or gone.
func (v *Replicas) Draining(id string) bool {
	s := v.states[id]
	return s == nil || s.draining
}

// MarkUnreachable records a failed connection to a replica. The replica gets no new work
// until a connection succeeds; DueProbes says when to try. It reports whether the replica
// was reachable before.
func (v *Replicas) MarkUnreachable(id string, now time.Duration) bool {
	s := v.states[id]
	if s == nil || s.unreachable && !s.probing {
		return false
	}
	changed := !s.unreachable
	s.troubled, s.troubledAt = true, now
	s.probeAt = now + min(v.params.BackoffMin<<min(s.failures, 8), v.params.BackoffMax)
	s.unreachable, s.probing = true, false
	s.failures++
	return changed
}

// MarkReachable records a successful connection to a replica. It reports whether the
// replica was unreachable before.
func (v *Replicas) MarkReachable(id string) bool {
	s := v.states[id]
	if s == nil {
		return false
	}
	s.probing, s.failures = false, 0
	changed := s.unreachable
	s.unreachable = false
	return changed
}

// DueProbes returns the unreachable replicas to which a connection is to be tried now.
// Using callers' requests as probes would delay each of them by a timeout.
func (v *Replicas) DueProbes(now time.Duration) []*fleet.Replica {
	var due []*fleet.Replica
	for _, id := range v.IDs() {
		s := v.states[id]
		if s.unreachable && !s.probing && now >= s.probeAt {
			s.probing = true
			due = append(due, s.replica)
		}
	}
	return due
}

// CheckSilent takes a replica that has sent no byte of an answer for long. It reports
// whether to try a connection, which fails if the replica's machine is unreachable.
func (v *Replicas) CheckSilent(id string, now time.Duration) bool {
	s := v.states[id]
	if s == nil || s.unreachable || s.checked && now < s.checkedAt+v.params.SilenceCheckInterval {
		return false
	}
	s.checked, s.checkedAt = true, now
	return true
}

// MarkBusy records that a replica refused a request because it is full or carries out an
// order. It gets no requests for BusyBackoff; its health is not affected otherwise.
func (v *Replicas) MarkBusy(id string, now time.Duration) {
	if s := v.states[id]; s != nil {
		s.busyUntil = now + v.params.BusyBackoff
	}
}

// Backoff records that a replica refused a request and asked for none for a time d. Its
// health is not affected otherwise. Of several such answers the latest end counts, since
// answers may arrive out of order. It reports whether a backoff begins now.
func (v *Replicas) Backoff(id string, d, now time.Duration) (begins bool) {
	s := v.states[id]
	if s == nil {
		return false
	}
	begins = s.backoffUntil <= now
	s.backoffUntil = max(s.backoffUntil, now+min(d, v.params.MaxRequestedBackoff))
	return begins
}

// BackoffUntil returns the end of the backoff that a replica asked for; it is in the past if there is none.
func (v *Replicas) BackoffUntil(id string) time.Duration {
	if s := v.states[id]; s != nil {
		return s.backoffUntil
	}
	return 0
}

// RecordFault counts a request that failed at a replica.
func (v *Replicas) RecordFault(id string, _ Fault, now time.Duration) {
	s := v.states[id]
	if s == nil {
		return
	}
	s.faults = v.decayedFaults(s, now) + 1
	s.faultsAt = now
	s.troubled, s.troubledAt = true, now
}

// TroubledSince reports whether a replica has failed a request or couldn't be reached since the given
// time, or isn't known any more.
func (v *Replicas) TroubledSince(id string, at time.Duration) bool {
	s := v.states[id]
	return s == nil || s.troubled && s.troubledAt >= at
}

// RecordSuccess counts a request that a replica answered as it should.
func (v *Replicas) RecordSuccess(id string, now time.Duration) {
	s := v.states[id]
	if s == nil {
		return
	}
	s.failures, s.unreachable = 0, false
	s.faults = max(0, v.decayedFaults(s, now)-successCredit)
	s.faultsAt = now
}

// successCredit is what one good answer subtracts from a replica's fault count. A replica
// that fails two of five requests stays above the limit; one that lost a single connection
// with many requests on it recovers after a few answers.
const successCredit = 0.2

func (v *Replicas) decayedFaults(s *replicaState, now time.Duration) float64 {
	if s.faults == 0 {
		return 0
	}
	halfLives := float64(now-s.faultsAt) / float64(v.params.FaultHalfLife)
	return s.faults * math.Exp2(-halfLives)
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
func (s *replicaState) expired(now time.Duration) bool { return s.expiresAt != 0 && now >= s.expiresAt }

// Health returns a replica's health now.
func (v *Replicas) Health(id string, now time.Duration) Health {
	s := v.states[id]
	switch {
	case s == nil || s.draining || s.expired(now):
		return Left
	case s.unreachable || now < max(s.busyUntil, s.backoffUntil):
		return Down
	case v.decayedFaults(s, now) >= v.params.FaultLimit:
		return Degraded
	}
	return Healthy
}

// Tick removes the replicas that have expired and drops names without a record or report for
// TombstoneTTL. It returns the IDs of the removed replicas.
func (v *Replicas) Tick(now time.Duration) []string {
	var removed []string
	for _, id := range v.IDs() {
		if s := v.states[id]; s.expired(now) {
			v.Remove(s.replica.Name, s.offset, now)
			removed = append(removed, id)
		}
	}
	v.forgetRegistrations(now)
	return removed
}

// forgetRegistrations drops the names of which nothing was read or reported for TombstoneTTL.
func (v *Replicas) forgetRegistrations(now time.Duration) {
	for name, reg := range v.registrations {
		if v.states[reg.id] == nil && now-reg.lastSeen > v.params.TombstoneTTL {
			delete(v.registrations, name)
		}
	}
	maps.DeleteFunc(v.occupants, func(_ string, o occupant) bool { return v.registrations[o.name] == nil })
}
