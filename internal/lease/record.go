// Package lease decides who holds a lease on the log stream leases.GROUP: the
// right to give one engine orders, or one of a group's permits to load weights.
//
// Readers apply one rule in offset order, without clocks: a claim is valid if it
// names the offset of the last record of its lease as the one it supersedes. Only
// the claimant looks at time: it claims once it has seen that record unrenewed
// for the whole duration and a margin, by its own monotonic clock. The holder
// counts from before it sent the append. So a holder's time is over before
// another's grant, however the two clocks stand, as long as neither runs faster
// than the margin allows.
package lease

import (
	"errors"
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"skylarklead/internal/protocol"
	"skylarklead/internal/strictcbor"
)

// Name is what a lease is for.
type Name string

// OrderName is the lease of the right to give an endpoint's engine orders.
func OrderName(endpoint string) Name { return Name("order/" + endpoint) }

// PermitName is the lease of the n-th permit to load weights.
func PermitName(n int) Name { return Name(fmt.Sprintf("%s%d", permitPrefix, n)) }

const permitPrefix = "load/"

func isPermit(n Name) bool { return strings.HasPrefix(string(n), permitPrefix) }

// Kind is what a record does.
type Kind uint8

// The kinds.
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
	// Supersedes is, in a claim, the offset of the last record of this lease that
	// the claimant has read, 0 if none.
	Supersedes uint64 `cbor:"5,keyasint,omitempty"`
	// Oldest is, in a claim with nothing to supersede, the oldest offset that the
	// log still had: earlier records are gone by retention.
	Oldest uint64 `cbor:"6,keyasint,omitempty"`
	// Fence is, in a renewal or release, the offset of the holder's grant.
	Fence uint64 `cbor:"7,keyasint,omitempty"`
	// DurationMs is how long the lease lasts from before the append was sent.
	DurationMs int64 `cbor:"8,keyasint,omitempty"`
	// Seq numbers what a process sends. It ties a record to when it was sent: an
	// earlier renewal that lands late must not be counted from a later sending.
	Seq uint64 `cbor:"9,keyasint"`
}

// ErrMalformedRecord is wrapped by errors about a record that can't be read. Every reader
// skips the same records.
var ErrMalformedRecord = errors.New("lease: malformed record")

var recordMode = strictcbor.Decoder(strictcbor.Bounds{MapPairs: 16})

// Encode returns the bytes of a record.
func Encode(r *Record) ([]byte, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("lease: encode record: %w", err)
	}
	return data, nil
}

// Decode reads a record. Errors wrap ErrRecord.
func Decode(data []byte) (*Record, error) {
	r := new(Record)
	if err := recordMode.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformedRecord, err)
	}
	if r.Kind < KindClaim || r.Kind > KindRelease || r.Name == "" || r.Holder == "" || r.Epoch == 0 || r.DurationMs < 0 {
		return nil, fmt.Errorf("%w: kind %d of %q", ErrMalformedRecord, r.Kind, r.Name)
	}
	return r, nil
}
