package fleet

import (
	"maps"
	"strconv"
)

// Replica is one incarnation of an endpoint, as it registered itself.
type Replica struct {
	// ID is IncarnationID(Name, StartedAtMs). All state about a replica is kept under this ID and
	// ends with it.
	ID string
	// Name is the name that it registered under and is addressed by. It may restart under the
	// same name.
	Name string
	// StartedAtMs is when it started, in Unix milliseconds by its own clock, 0 if unknown. It
	// distinguishes and orders the incarnations of a name.
	StartedAtMs int64
	// Software is the version of the replica's software, "" if unknown. It says nothing of the
	// weights.
	Software      string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	// Draining replicas get no new work.
	Draining bool
	// HeartbeatSeq numbers the registrations that this incarnation has written.
	HeartbeatSeq uint64
	// Weights maps each loaded model to its version.
	Weights map[string]uint64
}

// IncarnationID is the ID of the replica that started under a name at a time, 0 if unknown.
func IncarnationID(name string, startedAtMs int64) string {
	if startedAtMs == 0 {
		return name
	}
	return name + "@" + strconv.FormatInt(startedAtMs, 10)
}

// Matches reports whether a replica that reports to have started at a time, 0 if unknown, can be
// this one. If the registration has no start time, a later incarnation can't be told from this
// one by its reports.
func (r *Replica) Matches(at int64) bool { return at == 0 || r.StartedAtMs == 0 || at == r.StartedAtMs }

// Restarted returns the incarnation of the same address that started under a name at a time.
// Its software and the weights that it serves are not known yet.
func (r *Replica) Restarted(name string, startedAtMs int64) *Replica {
	fresh := *r
	fresh.Name, fresh.StartedAtMs, fresh.ID = name, startedAtMs, IncarnationID(name, startedAtMs)
	fresh.Draining, fresh.Software = false, ""
	return &fresh
}

// Equal reports whether two registrations say the same, apart from HeartbeatSeq.
func (r *Replica) Equal(o *Replica) bool {
	return r.ID == o.ID && r.Software == o.Software && r.Service == o.Service && r.Address == o.Address &&
		r.FailureDomain == o.FailureDomain && r.Slots == o.Slots &&
		r.Draining == o.Draining && maps.Equal(r.Weights, o.Weights)
}

// MisdirectedError says that another incarnation answered at a replica's address.
type MisdirectedError struct {
	// Instance is the name of the replica that answered, "" if it didn't say.
	Instance string
}

func (e *MisdirectedError) Error() string {
	return "another incarnation answered: " + strconv.Quote(e.Instance)
}

// Report is a replica's answer to a query for its state. It is a few hundred milliseconds old.
type Report struct {
	// StartedAtMs is when the replica that answered started, as in Replica.
	StartedAtMs int64
	Weights     map[string]uint64
	// Draining is set once it is leaving.
	Draining bool
	// Busy is set while an order is executed.
	Busy bool
	// AcceptedOrders is how many orders it has accepted since its start. An order has this
	// number as ExpectedOrders, so that one that arrives late is refused.
	AcceptedOrders uint64
	Queued         int
	Running        int
	// UsedTokens is the KV memory that can't yield, MemoryTokens all of it; both 0 if unknown.
	UsedTokens, MemoryTokens int
}
