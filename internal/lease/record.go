// Package lease decides who holds a lease, from the records of the log stream
// leases.GROUP. A lease is the right to send orders to one engine, or one of a
// group's permits to load weights. The package is pure: it does no I/O.
//
// All readers apply one rule in offset order, without clocks: a claim is valid if
// Supersedes is the offset of the last record of its lease. Only the claimant uses
// time: it claims once that record has not been renewed for the lease duration plus
// a margin, by its own monotonic clock. The holder counts the duration from before
// it sent the append. A lease therefore expires at its holder before another process
// is granted it, whatever the offset between the two clocks, as long as neither runs
// faster than the margin allows.
package lease

import (
	"errors"
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"skylarklead/internal/protocol"
	"skylarklead/internal/strictcbor"
)

// Name identifies a lease within its group.
type Name string

// OrderName names the lease for sending orders to an endpoint's engine.
func OrderName(endpoint string) Name { return Name("order/" + endpoint) }

// PermitName names the lease of the n-th permit to load weights.
func PermitName(n int) Name { return Name(fmt.Sprintf("%s%d", permitPrefix, n)) }

const permitPrefix = "load/"

func isPermit(n Name) bool { return strings.HasPrefix(string(n), permitPrefix) }

// Kind is the operation of a record.
type Kind uint8

const (
	KindClaim Kind = iota + 1
	KindRenew
	KindRelease
)

// Record is one record of leases.GROUP.
type Record struct {
	Kind   Kind           `cbor:"1,keyasint"`
	Name   Name           `cbor:"2,keyasint"`
	Holder string         `cbor:"3,keyasint"`
	Epoch  protocol.Epoch `cbor:"4,keyasint"`
	// Supersedes is set in a claim: the offset of the last record of this lease that
	// the claimant has read, 0 if none.
	Supersedes uint64 `cbor:"5,keyasint,omitempty"`
	// Oldest is set in a claim with nothing to supersede: the oldest offset that the
	// log still had. Earlier records were removed by retention.
	Oldest uint64 `cbor:"6,keyasint,omitempty"`
	// Fence is set in a renewal or release: the offset of the holder's grant.
	Fence uint64 `cbor:"7,keyasint,omitempty"`
	// DurationMs is the lease duration, counted from before the append was sent. In a release
	// it is for how long other processes must not use the lease yet.
	DurationMs int64 `cbor:"8,keyasint,omitempty"`
	// Seq numbers the records of a process and thereby identifies when each was sent:
	// an earlier renewal that is appended late must not be counted from the time of a
	// later one.
	Seq uint64 `cbor:"9,keyasint"`
}

// ErrMalformedRecord is wrapped by errors about a record that can't be decoded. All
// readers skip the same records.
var ErrMalformedRecord = errors.New("lease: malformed record")

var recordDecoder = strictcbor.Decoder(strictcbor.Bounds{MapPairs: 16})

// Encode returns the CBOR encoding of a record.
func Encode(r *Record) ([]byte, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("lease: encode record: %w", err)
	}
	return data, nil
}

// Decode parses and validates a record. Errors wrap ErrMalformedRecord.
func Decode(data []byte) (*Record, error) {
	r := new(Record)
	if err := recordDecoder.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformedRecord, err)
	}
	if r.Kind < KindClaim || r.Kind > KindRelease || r.Name == "" || r.Holder == "" || r.Epoch == 0 || r.DurationMs < 0 {
		return nil, fmt.Errorf("%w: invalid field in record of kind %d for lease %q", ErrMalformedRecord, r.Kind, r.Name)
	}
	return r, nil
}
