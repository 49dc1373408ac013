package fleet

import (
	"maps"
	"strconv"
)

// Replica is one incarnation of an endpoint, as it registered itself.
type Replica struct {
	// ID is Incarnation(Name, Born): what is known of a replica is known of this ID, and
	// ends with it.
	ID string
	// Name is what it registered under and is addressed by. It may start again under
	// the same name.
	Name string
	// StartedAtMs is when it started, in Unix milliseconds by its own clock, 0 if it doesn't
	// say. It tells apart the incarnations of a name and orders them.
	StartedAtMs   int64
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	// Draining replicas take no new work.
	Draining bool
	// HeartbeatSeq numbers what this incarnation has written of itself.
	HeartbeatSeq uint64
	// Weights has the version of each model that is loaded.
	Weights map[string]uint64
}

// IncarnationID is the ID of the replica that started under a name at a time, 0 if it
// doesn't say when.
func IncarnationID(name string, born int64) string {
	if born == 0 {
		return name
	}
	return name + "@" + strconv.FormatInt(born, 10)
}

// Matches reports whether a replica that says that it started at a time, 0 if it doesn't
// say, can be this one. One whose record doesn't say when it started can't be told from
// a later one by its reports.
func (r *Replica) Matches(at int64) bool { return at == 0 || r.StartedAtMs == 0 || at == r.StartedAtMs }

// Restarted is the incarnation of the same name and address that started at a time.
// What it serves isn't known yet.
func (r *Replica) Restarted(name string, born int64) *Replica {
	fresh := *r
	fresh.Name, fresh.StartedAtMs, fresh.ID = name, born, IncarnationID(name, born)
	fresh.Draining = false
	return &fresh
}

// Equal reports whether two records say the same.
func (r *Replica) Equal(o *Replica) bool {
	return r.ID == o.ID && r.Service == o.Service && r.Address == o.Address &&
		r.FailureDomain == o.FailureDomain && r.Slots == o.Slots &&
		r.Draining == o.Draining && maps.Equal(r.Weights, o.Weights)
}

// MisdirectedError says that another incarnation answered at a replica's address.
type MisdirectedError struct {
	// Instance is the name of the one that answered, "" if it didn't say.
	Instance string
}

// Error implements error.
func (e *MisdirectedError) Error() string {
	return "another incarnation answered: " + strconv.Quote(e.Instance)
}

// Report is what a replica answers when asked for its state. It is some hundred
// milliseconds old.
type Report struct {
	// StartedAtMs is when the replica that answered started, as Replica.StartedAtMs.
	StartedAtMs int64
	Weights     map[string]uint64
	// Draining is set once it is leaving.
	Draining bool
	// Busy is set while an order is carried out.
	Busy bool
	// AcceptedOrders is how many orders it has accepted since its start; an order names it
	// so that one carried out late finds itself overtaken.
	AcceptedOrders uint64
	Queued         int
	Running        int
}
