package peermessage

import (
	"maps"

	"skylarklead/internal/rollout"
)

// RolloutRecords are records of rollouts that the sender has written to the store.
type RolloutRecords []rollout.Record

// Reports are states that replicas reported while the store was unavailable.
type Reports []ReplicaReport

// ReplicaReport is a replica's report, sent to peers that the store does not answer either, so that
// they need not poll the replica.
type ReplicaReport struct {
	Replica  string            `cbor:"1,keyasint"`
	Weights  map[string]uint64 `cbor:"2,keyasint,omitempty"`
	Draining bool              `cbor:"3,keyasint,omitempty"`
	Busy     bool              `cbor:"4,keyasint,omitempty"`
	Orders   uint64            `cbor:"5,keyasint,omitempty"`
}

// Equal reports whether two reports say the same.
func (r *ReplicaReport) Equal(b *ReplicaReport) bool {
	return r.Replica == b.Replica && maps.Equal(r.Weights, b.Weights) &&
		r.Draining == b.Draining && r.Busy == b.Busy && r.Orders == b.Orders
}

// Notices are what replicas announced about themselves in answers.
type Notices []Notice

// Notice is what a replica has announced to the sender: that it leaves, or else a rate limit or its
// end.
type Notice struct {
	Replica string  `cbor:"1,keyasint"`
	Rate    float64 `cbor:"2,keyasint,omitempty"`
	Lifted  bool    `cbor:"3,keyasint,omitempty"`
	Leaving bool    `cbor:"4,keyasint,omitempty"`
}

// Kind implements Message.
func (RolloutRecords) Kind() Kind { return KindRolloutRecords }

// Kind implements Message.
func (Reports) Kind() Kind { return KindReports }

// Kind implements Message.
func (Notices) Kind() Kind { return KindNotices }

func (m RolloutRecords) put(d *datagram) { d.RolloutRecords = m }
func (m Reports) put(d *datagram)        { d.Reports = m }
func (m Notices) put(d *datagram)        { d.Notices = m }
