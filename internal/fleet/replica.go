package fleet

import (
	"maps"
	"strconv"
)

// Replica is one incarnation of a back end, as it registered itself.
type Replica struct {
	// ID names the incarnation: a restarted back end has another.
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	// Draining replicas take no new work.
	Draining bool
	// Weights has the version of each model that is loaded.
	Weights map[string]uint64
}

// Equal reports whether two records say the same.
func (r *Replica) Equal(o *Replica) bool {
	return r.ID == o.ID && r.Service == o.Service && r.Address == o.Address &&
		r.FailureDomain == o.FailureDomain && r.Slots == o.Slots &&
		r.Draining == o.Draining && maps.Equal(r.Weights, o.Weights)
}

// MisdirectedError says that another incarnation answered at a replica's address.
type MisdirectedError struct {
	// Instance is the one that answered, "" if it didn't say.
	Instance string
}

// Error implements error.
func (e *MisdirectedError) Error() string {
	return "another incarnation answered: " + strconv.Quote(e.Instance)
}

// Report is what a replica answers when asked for its state. It is some hundred
// milliseconds old.
type Report struct {
	Weights map[string]uint64
	// Busy is set while an order is carried out.
	Busy bool
	// Orders is how many orders it has accepted since its start; an order names it
	// so that one carried out late finds itself overtaken.
	Orders  uint64
	Queued  int
	Running int
}
