package attempt

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"skylarklead/internal/protocol"
	"skylarklead/internal/strictcbor"
)

// KeyDigest stands for an organisation's idempotency key: the first 16 bytes of
// a cryptographic digest of both.
type KeyDigest [16]byte

// ClaimBatch is one record of the log stream claims.GROUP, all of one process.
// Its parts apply in the order of the fields.
//
// A claim is known by the offset of its record, so a batch has each key once.
type ClaimBatch struct {
	Endpoint      string         `cbor:"1,keyasint"`
	Epoch         protocol.Epoch `cbor:"2,keyasint"`
	Settlements   []Settlement   `cbor:"3,keyasint,omitempty"`
	CarriedClaims []CarriedClaim `cbor:"4,keyasint,omitempty"`
	Claims        []Claim        `cbor:"5,keyasint,omitempty"`
}

// Claim says that the batch's process wants to run a key. The lowest offset
// wins.
type Claim struct {
	Key         KeyDigest `cbor:"1,keyasint"`
	Fingerprint uint64    `cbor:"2,keyasint"`
	// AgeMs is the key's age where the key tells its birth, else 0.
	AgeMs int64 `cbor:"3,keyasint,omitempty"`
}

// Settlement is the winner's word on the claim at offset Claim. Done keeps it for
// good; NotRun releases the key: the winner has not run it under this claim and
// never will.
type Settlement struct {
	Key     KeyDigest        `cbor:"1,keyasint"`
	Claim   uint64           `cbor:"2,keyasint"`
	Outcome protocol.Outcome `cbor:"3,keyasint"`
}

// CarriedClaim repeats what the log says of an undated key before retention takes the
// records that say it.
type CarriedClaim struct {
	Key         KeyDigest      `cbor:"1,keyasint"`
	Fingerprint uint64         `cbor:"2,keyasint"`
	Endpoint    string         `cbor:"3,keyasint"`
	Epoch       protocol.Epoch `cbor:"4,keyasint"`
	Claim       uint64         `cbor:"5,keyasint"`
	// Done is set when the claim was settled as done.
	Done bool `cbor:"6,keyasint,omitempty"`
	// AgeMs is how long ago the key was first claimed.
	AgeMs int64 `cbor:"7,keyasint,omitempty"`
}

// ErrClaims is wrapped by errors about a record of claims.GROUP that can't be
// read. Every reader skips the same records.
var ErrClaims = errors.New("attempt: malformed claims record")

// maxBatch bounds the claims, settles and carries of one record each.
const maxBatch = 256

var claimsMode = strictcbor.Decoder(strictcbor.Bounds{ArrayElements: maxBatch, MapPairs: 16, NestedLevels: 6})

// EncodeClaims returns the record of a batch.
func EncodeClaims(b *ClaimBatch) ([]byte, error) {
	data, err := cbor.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("attempt: encode claims: %w", err)
	}
	return data, nil
}

// DecodeClaims reads a record. Errors wrap ErrClaims.
func DecodeClaims(data []byte) (*ClaimBatch, error) {
	b := new(ClaimBatch)
	if err := claimsMode.Unmarshal(data, b); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrClaims, err)
	}
	if b.Endpoint == "" || b.Epoch == 0 {
		return nil, fmt.Errorf("%w: no process", ErrClaims)
	}
	return b, nil
}

// KeyedRun is one sending of a request that may run at most once.
type KeyedRun struct {
	Attempt     protocol.AttemptID
	Key         KeyDigest
	Fingerprint uint64
	// Age is the key's age, 0 where it isn't known.
	Age time.Duration
	// CallerTimeout is how long its caller still waits for the answer, 0 where it isn't
	// known.
	CallerTimeout time.Duration
	Redirected    bool
}

// Result is the answer of a finished key, kept for its next sender.
type Result struct {
	Status      int
	ContentType string
	Chunks      [][]byte
	End         protocol.End
}

func (r *Result) size() int {
	n := len(r.ContentType) + len(r.End.Message)
	for _, c := range r.Chunks {
		n += len(c)
	}
	return n
}

// OnceAction is what a Once asks its process to do.
type OnceAction interface{ onceAction() }

// AppendClaims appends Data to claims.GROUP and reports the result by Appended,
// AppendFailed or AppendUnknown with the same Batch.
type AppendClaims struct {
	Batch uint64
	Data  []byte
}

// Execute hands the attempt to the back end, and then reports Finished.
type Execute struct {
	Attempt protocol.AttemptID
	Key     KeyDigest
}

// Attach answers Attempt with all of what the running attempt To gets.
type Attach struct {
	Attempt protocol.AttemptID
	To      protocol.AttemptID
}

// Replay answers Attempt with a kept result.
type Replay struct {
	Attempt protocol.AttemptID
	Result  *Result
}

// Answer ends Attempt without running it here. A Redirect lacks its address.
type Answer struct {
	Attempt protocol.AttemptID
	End     protocol.End
}

func (AppendClaims) onceAction() {}
func (Execute) onceAction()      {}
func (Attach) onceAction()       {}
func (Replay) onceAction()       {}
func (Answer) onceAction()       {}
