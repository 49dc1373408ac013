package member

import (
	"maps"
	"math"
	"slices"
	"time"

	"skylarklead/internal/fleet"
)

// ReplicaParams time what an entry makes of its own evidence about replicas that
// it feeds directly.
type ReplicaParams struct {
	// BackoffMin and BackoffMax bound the pause between tries to reach a replica; it
	// doubles with each failure in a row.
	BackoffMin, BackoffMax time.Duration
	// SilenceCheckInterval is the least time between looks at a replica that is silent.
	SilenceCheckInterval time.Duration
	// BusyBackoff is how long a replica that refused a request gets no other.
	BusyBackoff time.Duration
	// MaxRequestedBackoff is the longest rest that a replica is given at its word.
	MaxRequestedBackoff time.Duration
	// FaultHalfLife is how fast faults are forgotten, in time.
	FaultHalfLife time.Duration
	// FaultLimit is the weight of recent faults from which on a replica gets work
	// only where no other can take it.
	FaultLimit float64
	// TombstoneTTL is how long a replica that was taken off the list stays off, however
	// old the records are that still name it.
	TombstoneTTL time.Duration
}

// DefaultReplicaParams try a replica that is down three times in the first second,
// as a crash lasts seconds, and take three quick faults for more than chance.
var DefaultReplicaParams = ReplicaParams{
	BackoffMin: 200 * time.Millisecond, BackoffMax: 800 * time.Millisecond,
	SilenceCheckInterval: 500 * time.Millisecond, BusyBackoff: 200 * time.Millisecond, MaxRequestedBackoff: 10 * time.Minute,
	FaultHalfLife: 2 * time.Second, FaultLimit: 2.5,
	TombstoneTTL: 2 * time.Minute,
}

// Fault is what went wrong at a replica that could be reached.
type Fault uint8

// The faults, by how much they say against the replica.
const (
	// FaultConnectionLost: it broke a connection off with a request on it.
	FaultConnectionLost Fault = iota
	// FaultTimeout: it didn't answer in time.
	FaultTimeout
	// FaultMalformedAnswer: what it sent is no answer.
	FaultMalformedAnswer
)

// listed is what is known of one replica.
//
// Invariants: it is of one incarnation; offset is that of the newest record taken;
// draining is never unset, since an incarnation that leaves doesn't come back.
type listed struct {
	replica  *fleet.Replica
	offset   uint64
	draining bool
	failures int
	// unreachable is set from a failed connection until one is made; probeAt is when
	// one is tried next.
	unreachable bool
	probeAt     time.Duration
	probing     bool
	// busyUntil is how long it is left alone after it refused a request.
	busyUntil time.Duration
	// restUntil is how long it gets nothing, as it has asked.
	restUntil time.Duration
	// checkedAt is when it was last looked at for being silent, if it was checked.
	checked   bool
	checkedAt time.Duration
	// lapsesAt is when a replica that fell off the list during an outage of the
	// store is taken as gone, 0 while it is on it; offAt is when its removal was read.
	lapsesAt time.Duration
	offAt    time.Duration
	faults   float64
	faultsAt time.Duration
}

// Replicas is one entry's picture of the replicas. Their own records propose; what
// the entry's connections meet decides for a while. It is pure and not safe for
// concurrent use.
//
// Invariant: of each name at most the latest incarnation is known.
type Replicas struct {
	params ReplicaParams
	known  map[string]*listed
	names  map[string]*name
}

// NewReplicas returns an empty picture.
func NewReplicas(p ReplicaParams) *Replicas {
	return &Replicas{params: p, known: map[string]*listed{}, names: map[string]*name{}}
}

// UpdateResult is what a record changed.
type UpdateResult struct {
	// Changed is set where the record says something new.
	Changed bool
	// SupersededID is the incarnation that the record's own one has followed, "" for none.
	SupersededID string
	// Outdated is set where the record is of an incarnation that another has followed.
	Outdated bool
}

// Put takes a replica's record. One older than the newest one taken is ignored: a
// store that serves stale reads for a while would otherwise bring a leaving replica
// back.
func (v *Replicas) Put(r *fleet.Replica, offset uint64, now time.Duration) UpdateResult {
	n := v.named(r.Name)
	if n.removed && (offset <= n.removedAt || n.copied(r, offset)) {
		return UpdateResult{}
	}
	return v.put(n, r, offset, now)
}

// Adopt takes a replica's own word that it runs, which no record tells yet. One whose
// record was removed has left or is taken for gone, and runs on for a while: in use again it would
// stay so, as the list has nothing more to say of it.
func (v *Replicas) Adopt(r *fleet.Replica, now time.Duration) UpdateResult {
	n := v.named(r.Name)
	if n.removed && (n.id == r.ID || n.id == "") && v.known[r.ID] == nil {
		return UpdateResult{Outdated: true}
	}
	return v.put(n, r, n.removedAt, now)
}

func (v *Replicas) put(n *name, r *fleet.Replica, offset uint64, now time.Duration) UpdateResult {
	// Of two eras of the store the numbers tell which record is the later one.
	later := r.ID == n.id && r.HeartbeatSeq > n.beat && v.known[r.ID] != nil && fleet.Era(offset) < fleet.Era(v.known[r.ID].offset)
	ended, ok := n.begin(r, now)
	if !ok {
		return UpdateResult{Outdated: true}
	}
	if ended != "" && v.known[ended] == nil {
		ended = ""
	}
	delete(v.known, ended)
	n.leaving = n.leaving || r.Draining
	l := v.known[r.ID]
	if l == nil {
		v.known[r.ID] = &listed{replica: r, offset: offset, draining: n.leaving}
		return UpdateResult{Changed: true, SupersededID: ended}
	}
	if offset < l.offset && !later {
		return UpdateResult{}
	}
	changed := !l.replica.Equal(r)
	l.replica, l.offset, l.lapsesAt = r, max(l.offset, offset), 0
	l.draining = n.leaving
	return UpdateResult{Changed: changed}
}

func (v *Replicas) named(registered string) *name {
	n := v.names[registered]
	if n == nil {
		n = &name{}
		v.names[registered] = n
	}
	return n
}

// Remove takes the replica of a name off the list. It returns its ID, "" if none was
// on the list.
func (v *Replicas) Remove(registered string, offset uint64, now time.Duration) string {
	n := v.named(registered)
	l := v.known[n.id]
	if l != nil && offset < l.offset {
		return ""
	}
	n.removed, n.removedAt, n.heard = true, max(n.removedAt, offset), now
	if l == nil {
		return ""
	}
	delete(v.known, n.id)
	return n.id
}

// MarkExpired says that the replica of a name fell off the list in an outage of the store, in
// which it could not renew its record. It counts as gone at the time given unless its
// record is back by then: without that an outage of seconds would end with no
// replica left to serve, although all of them run.
func (v *Replicas) MarkExpired(registered string, offset uint64, now, until time.Duration) {
	n := v.names[registered]
	if n == nil {
		return
	}
	l := v.known[n.id]
	if l == nil || offset < l.offset {
		return
	}
	l.offset, l.offAt, l.lapsesAt = offset, now, until
}

// UnlistedFor returns for how long the record of a replica in use has been known to be
// removed, 0 while it is on the list.
func (v *Replicas) UnlistedFor(id string, now time.Duration) time.Duration {
	if l := v.known[id]; l != nil && l.lapsesAt != 0 {
		return now - l.offAt
	}
	return 0
}

// Replaced says that another incarnation has a replica's address: it is gone for
// good, whatever its record says.
func (v *Replicas) Replaced(id string, now time.Duration) {
	l := v.known[id]
	if l == nil {
		return
	}
	n := v.named(l.replica.Name)
	n.over, n.heard = true, now
	delete(v.known, id)
}

// Missing lists the names of known replicas that a full list doesn't have.
func (v *Replicas) Missing(names map[string]bool) []string {
	var missing []string
	for _, id := range v.IDs() {
		if name := v.known[id].replica.Name; !names[name] {
			missing = append(missing, name)
		}
	}
	return missing
}

// IDs lists the replicas in order.
func (v *Replicas) IDs() []string { return slices.Sorted(maps.Keys(v.known)) }

// Get returns a replica, nil if it isn't known.
func (v *Replicas) Get(id string) *fleet.Replica {
	if l := v.known[id]; l != nil {
		return l.replica
	}
	return nil
}

// MarkLeaving takes a replica's own word that it is leaving. It reports whether that is news.
func (v *Replicas) MarkLeaving(id string) bool {
	l := v.known[id]
	if l == nil || l.draining {
		return false
	}
	l.draining = true
	v.named(l.replica.Name).leaving = true
	return true
}

// Draining reports whether a replica is leaving or gone.
func (v *Replicas) Draining(id string) bool {
	l := v.known[id]
	return l == nil || l.draining
}

// MarkUnreachable says that no connection to a replica could be made. It gets no new
// work until one is; Probes says when to try. It reports whether that is news.
func (v *Replicas) MarkUnreachable(id string, now time.Duration) bool {
	l := v.known[id]
	if l == nil || l.unreachable && !l.probing {
		return false
	}
	news := !l.unreachable
	l.probeAt = now + min(v.params.BackoffMin<<min(l.failures, 8), v.params.BackoffMax)
	l.unreachable, l.probing = true, false
	l.failures++
	return news
}

// MarkReachable says that a connection to a replica was made. It reports whether that
// is news.
func (v *Replicas) MarkReachable(id string) bool {
	l := v.known[id]
	if l == nil {
		return false
	}
	l.probing, l.failures = false, 0
	news := l.unreachable
	l.unreachable = false
	return news
}

// DueProbes returns the unreachable replicas to which a connection is to be tried now.
// Trying with a caller's request instead would hold that up for a timeout each time.
func (v *Replicas) DueProbes(now time.Duration) []*fleet.Replica {
	var due []*fleet.Replica
	for _, id := range v.IDs() {
		l := v.known[id]
		if l.unreachable && !l.probing && now >= l.probeAt {
			l.probing = true
			due = append(due, l.replica)
		}
	}
	return due
}

// CheckSilent says that a replica hasn't sent a byte to a request for long. It reports
// whether to try a connection to it, which a dark one won't take.
func (v *Replicas) CheckSilent(id string, now time.Duration) bool {
	l := v.known[id]
	if l == nil || l.unreachable || l.checked && now < l.checkedAt+v.params.SilenceCheckInterval {
		return false
	}
	l.checked, l.checkedAt = true, now
	return true
}

// MarkBusy says that a replica refused a request since it is full or carries out an
// order. It is left alone for a moment, and counts as sound.
func (v *Replicas) MarkBusy(id string, now time.Duration) {
	if l := v.known[id]; l != nil {
		l.busyUntil = now + v.params.BusyBackoff
	}
}

// Backoff says that a replica turned a request away and wants none for a time. It counts as sound. Of
// two such words the one that ends later holds: an answer may overtake another. It reports whether
// the rest begins now.
func (v *Replicas) Backoff(id string, d, now time.Duration) (begins bool) {
	l := v.known[id]
	if l == nil {
		return false
	}
	begins = l.restUntil <= now
	l.restUntil = max(l.restUntil, now+min(d, v.params.MaxRequestedBackoff))
	return begins
}

// BackoffUntil returns until when a replica wants nothing, a time that is over if it doesn't rest.
func (v *Replicas) BackoffUntil(id string) time.Duration {
	if l := v.known[id]; l != nil {
		return l.restUntil
	}
	return 0
}

// RecordFault says that a request met a fault at a replica.
func (v *Replicas) RecordFault(id string, _ Fault, now time.Duration) {
	l := v.known[id]
	if l == nil {
		return
	}
	l.faults = v.decayed(l, now) + 1
	l.faultsAt = now
}

// RecordSuccess says that a replica answered a request as it should.
func (v *Replicas) RecordSuccess(id string, now time.Duration) {
	l := v.known[id]
	if l == nil {
		return
	}
	l.failures, l.unreachable = 0, false
	l.faults = max(0, v.decayed(l, now)-workedCredit)
	l.faultsAt = now
}

// workedCredit is what one good answer takes off a replica's faults. A replica that
// fails two requests of five stays above the limit; one that lost a single
// connection with many requests is back after some answers.
const workedCredit = 0.2

func (v *Replicas) decayed(l *listed, now time.Duration) float64 {
	if l.faults == 0 {
		return 0
	}
	halves := float64(now-l.faultsAt) / float64(v.params.FaultHalfLife)
	return l.faults * math.Exp2(-halves)
}

// Health is whether a replica may get new work.
type Health uint8

// The healths, best first.
const (
	Healthy Health = iota
	// Degraded replicas get work only where no healthy one can take it.
	Degraded
	// Down replicas can't be reached, have just refused a request, or rest.
	Down
	// Left replicas are leaving or gone; they get nothing.
	Left
)

var healthNames = [...]string{"healthy", "doubtful", "down", "left"}

// String names the health as logs have it.
func (h Health) String() string { return healthNames[h] }

// lapsed reports whether a replica is gone, as its record lapsed and isn't back in time.
// It counts from that moment, not from when the next sweep removes it.
func (l *listed) lapsed(now time.Duration) bool { return l.lapsesAt != 0 && now >= l.lapsesAt }

// Health returns what is thought of a replica now.
func (v *Replicas) Health(id string, now time.Duration) Health {
	l := v.known[id]
	switch {
	case l == nil || l.draining || l.lapsed(now):
		return Left
	case l.unreachable || now < max(l.busyUntil, l.restUntil):
		return Down
	case v.decayed(l, now) >= v.params.FaultLimit:
		return Degraded
	}
	return Healthy
}

// Tick removes replicas that have lapsed and forgets those that have been gone for
// long. It returns those removed.
func (v *Replicas) Tick(now time.Duration) []string {
	var removed []string
	for _, id := range v.IDs() {
		if l := v.known[id]; l.lapsed(now) {
			v.Remove(l.replica.Name, l.offset, now)
			removed = append(removed, id)
		}
	}
	v.forgetNames(now)
	return removed
}

// forgetNames drops names of which nothing was heard for as long as a tombstone stands.
func (v *Replicas) forgetNames(now time.Duration) {
	for registered, n := range v.names {
		if v.known[n.id] == nil && now-n.heard > v.params.TombstoneTTL {
			delete(v.names, registered)
		}
	}
}
