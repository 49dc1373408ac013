package rollout

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"skylarklead/internal/attempt"
	"skylarklead/internal/strictcbor"
)

// Phase is where a replica is in a change of weights.
type Phase uint8

// The phases.
const (
	// PhaseOrdered: it is about to load, or loading, and takes no new work.
	PhaseOrdered Phase = iota + 1
	// PhaseServing: it runs requests on the version given.
	PhaseServing
	// PhaseReleased: no order is under way any more, and what it serves is unknown.
	PhaseReleased
	// PhasePlanned: its turn comes in AfterMs. Until then it takes work that ends
	// before.
	PhasePlanned
	phaseEnd
)

var phaseNames = [...]string{"", "ordered", "serving", "released", "planned"}

// String names the phase as logs have it.
func (p Phase) String() string { return phaseNames[p] }

// Record tells all entries what the holder of the lease does with a replica.
type Record struct {
	Holder  string `cbor:"1,keyasint"`
	Replica string `cbor:"2,keyasint"`
	Model   string `cbor:"3,keyasint"`
	Version uint64 `cbor:"4,keyasint"`
	Phase   Phase  `cbor:"5,keyasint"`
	// AcceptedOrders is the number of orders that the replica has accepted.
	AcceptedOrders uint64 `cbor:"6,keyasint,omitempty"`
	// AfterMs is the time until the replica's turn, in milliseconds.
	AfterMs int64 `cbor:"7,keyasint,omitempty"`
}

// Valid reports whether a note that was read makes sense.
func (n *Record) Valid() bool {
	return n.Phase >= PhaseOrdered && n.Phase < phaseEnd && n.Replica != "" && n.AfterMs >= 0
}

// Envelope is one record of the entries' common topic: one of its fields is set.
type Envelope struct {
	Lease   []byte  `cbor:"1,keyasint,omitempty"`
	Rollout *Record `cbor:"2,keyasint,omitempty"`
	// Crash is of a request that was running at a replica that was lost.
	Crash *attempt.CrashReport `cbor:"3,keyasint,omitempty"`
	// Announcement says when a version of weights was named.
	Announcement *Announcement `cbor:"4,keyasint,omitempty"`
}

// Announcement says when the operator named a version of a model's weights, by the clock of
// the entry that read it. Entries that start later can't tell from the version alone.
type Announcement struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	// AtMs is in Unix milliseconds.
	AtMs int64 `cbor:"3,keyasint"`
	// Before is the version that was wanted before, 0 if none was.
	Before uint64 `cbor:"4,keyasint,omitempty"`
}

// Valid reports whether a naming that was read makes sense.
func (n *Announcement) Valid() bool { return n.Model != "" && n.Version > n.Before && n.AtMs > 0 }

// kinds is how many of the fields are set.
func (e *Envelope) kinds() int {
	n := 0
	for _, set := range []bool{e.Lease != nil, e.Rollout != nil, e.Crash != nil, e.Announcement != nil} {
		if set {
			n++
		}
	}
	return n
}

// ErrMalformedRecord is wrapped by errors about a record that can't be read.
var ErrMalformedRecord = errors.New("rollout: malformed record")

var recordMode = strictcbor.Decoder(strictcbor.Bounds{MapPairs: 16})

// Encode returns the bytes of a record.
func (e *Envelope) Encode() []byte {
	data, err := cbor.Marshal(e)
	if err != nil {
		panic(err) // a record is made of plain values
	}
	return data
}

// Decode reads a record. Fields that a newer build adds are refused like any other
// malformed record: all readers skip it. Errors wrap ErrRecord.
func Decode(data []byte) (*Envelope, error) {
	e := new(Envelope)
	if err := recordMode.Unmarshal(data, e); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformedRecord, err)
	}
	if e.kinds() != 1 {
		return nil, fmt.Errorf("%w: not one of its kinds", ErrMalformedRecord)
	}
	if n := e.Rollout; n != nil && !n.Valid() {
		return nil, fmt.Errorf("%w: phase %d of %q", ErrMalformedRecord, n.Phase, n.Replica)
	}
	if e.Announcement != nil && !e.Announcement.Valid() {
		return nil, fmt.Errorf("%w: naming of no version", ErrMalformedRecord)
	}
	if e.Crash != nil && !e.Crash.Valid() {
		return nil, fmt.Errorf("%w: strike of no replica", ErrMalformedRecord)
	}
	return e, nil
}
