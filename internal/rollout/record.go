package rollout

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"skylarklead/internal/attempt"
	"skylarklead/internal/strictcbor"
)

// Phase is the phase of a replica in a change of weights.
type Phase uint8

const (
	// PhaseOrdered: the replica is about to load or is loading, and gets no new work.
	PhaseOrdered Phase = iota + 1
	// PhaseServing: the replica serves requests on the given version.
	PhaseServing
	// PhaseReleased: no order is in progress any more. The version that it serves is unknown.
	PhaseReleased
	// PhasePlanned: the replica's slot starts in AfterMs. Until then it gets work that is
	// expected to end before.
	PhasePlanned
	// PhaseResent: the order in progress is sent again. Nothing else changes.
	PhaseResent
	phaseEnd
)

var phaseNames = [...]string{"", "ordered", "serving", "released", "planned", "resent"}

// String returns the name of the phase in logs.
func (p Phase) String() string { return phaseNames[p] }

// Record is a rollout record: it notifies all entries of what the lease holder does with a replica.
type Record struct {
	Holder  string `cbor:"1,keyasint"`
	Replica string `cbor:"2,keyasint"`
	Model   string `cbor:"3,keyasint"`
	Version uint64 `cbor:"4,keyasint"`
	Phase   Phase  `cbor:"5,keyasint"`
	// AcceptedOrders is the number of orders that the replica has accepted.
	AcceptedOrders uint64 `cbor:"6,keyasint,omitempty"`
	// AfterMs is the time until the scheduled start of the replica's slot, in milliseconds.
	AfterMs int64 `cbor:"7,keyasint,omitempty"`
}

// Valid reports whether a decoded record is consistent.
func (r *Record) Valid() bool {
	return r.Phase >= PhaseOrdered && r.Phase < phaseEnd && r.Replica != "" && r.AfterMs >= 0
}

// MaxSound bounds Envelope.Sound.
const MaxSound = 64

// Envelope is one record of the entries' shared topic. Exactly one of its fields is set, but for AtMs.
type Envelope struct {
	Lease   []byte  `cbor:"1,keyasint,omitempty"`
	Rollout *Record `cbor:"2,keyasint,omitempty"`
	// Crash reports a request that was running at a replica that was lost.
	Crash *attempt.CrashReport `cbor:"3,keyasint,omitempty"`
	// Announcement says when a version of the weights was announced.
	Announcement *Announcement `cbor:"4,keyasint,omitempty"`
	// Sound are keys of crashes with which good answers were given since. Older builds skip such a record.
	Sound []attempt.SoundKey `cbor:"6,keyasint,omitempty"`
	// AtMs is when a crash or Sound was written, in Unix milliseconds; 0 if unknown: entries of older builds don't write it.
	AtMs int64 `cbor:"5,keyasint,omitempty"`
}

// WrittenAgo is how long before a time a crash or Sound was written, 0 if unknown.
func (e *Envelope) WrittenAgo(now time.Time) time.Duration {
	if e.AtMs <= 0 {
		return 0
	}
	return max(0, now.Sub(time.UnixMilli(e.AtMs)))
}

// Announcement says when the operator announced a version of a model's weights, by the clock
// of the entry that read it. Entries that start later can't tell this from the version.
type Announcement struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	// AtMs is in Unix milliseconds.
	AtMs int64 `cbor:"3,keyasint"`
	// Before is the version that was desired before, 0 if there was none.
	Before uint64 `cbor:"4,keyasint,omitempty"`
}

// Valid reports whether a decoded announcement is consistent.
func (a *Announcement) Valid() bool { return a.Model != "" && a.Version > a.Before && a.AtMs > 0 }

// countFields returns how many of the fields are set.
func (e *Envelope) countFields() int {
	n := 0
	for _, set := range []bool{e.Lease != nil, e.Rollout != nil, e.Crash != nil, e.Announcement != nil, len(e.Sound) > 0} {
		if set {
			n++
		}
	}
	return n
}

// ErrMalformedRecord is wrapped by errors about a record that can't be decoded.
var ErrMalformedRecord = errors.New("rollout: malformed record")

var recordDecoder = strictcbor.Decoder(strictcbor.Bounds{MapPairs: 16})

// Encode returns the CBOR encoding of a record.
func (e *Envelope) Encode() []byte {
	data, err := cbor.Marshal(e)
	if err != nil {
		// Cannot fail: a record has only plain values.
		panic(err)
	}
	return data
}

// Decode parses and validates a record. Fields that a newer build adds make it malformed, so that
// all readers skip it. Errors wrap ErrMalformedRecord.
func Decode(data []byte) (*Envelope, error) {
	e := new(Envelope)
	if err := recordDecoder.Unmarshal(data, e); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformedRecord, err)
	}
	if e.countFields() != 1 {
		return nil, fmt.Errorf("%w: the envelope must have exactly one field set", ErrMalformedRecord)
	}
	if r := e.Rollout; r != nil && !r.Valid() {
		return nil, fmt.Errorf("%w: invalid rollout record, phase %d of replica %q", ErrMalformedRecord, r.Phase, r.Replica)
	}
	if e.Announcement != nil && !e.Announcement.Valid() {
		return nil, fmt.Errorf("%w: invalid version announcement", ErrMalformedRecord)
	}
	if len(e.Sound) > MaxSound {
		return nil, fmt.Errorf("%w: %d sound keys", ErrMalformedRecord, len(e.Sound))
	}
	if e.Crash != nil && !e.Crash.Valid() {
		return nil, fmt.Errorf("%w: invalid crash report", ErrMalformedRecord)
	}
	return e, nil
}
