package attempt

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"skylarklead/internal/protocol"
	"skylarklead/internal/strictcbor"
)

// KeyDigest identifies an organisation's idempotency key: the first 16 bytes of a
// cryptographic digest of both.
type KeyDigest [16]byte

// ClaimBatch is one record of the log stream claims.GROUP, written by one process. Its
// fields apply in this order: Settlements, CarriedClaims, Claims.
//
// A claim is identified by the offset of its record, so each key occurs once in a
// batch.
type ClaimBatch struct {
	Endpoint      string         `cbor:"1,keyasint"`
	Epoch         protocol.Epoch `cbor:"2,keyasint"`
	Settlements   []Settlement   `cbor:"3,keyasint,omitempty"`
	CarriedClaims []CarriedClaim `cbor:"4,keyasint,omitempty"`
	Claims        []Claim        `cbor:"5,keyasint,omitempty"`
}

// Claim announces that the process of the batch wants to run a key. The claim with the
// lowest offset wins.
type Claim struct {
	Key         KeyDigest `cbor:"1,keyasint"`
	Fingerprint uint64    `cbor:"2,keyasint"`
	// AgeMs is the age of a dated key (one that carries its creation time), else 0.
	AgeMs int64 `cbor:"3,keyasint,omitempty"`
}

// Settlement is the winner's statement about the claim at offset Claim. Done marks the
// key as run for good. NotRun releases the key: the winner has not run it under this
// claim and never will.
type Settlement struct {
	Key     KeyDigest        `cbor:"1,keyasint"`
	Claim   uint64           `cbor:"2,keyasint"`
	Outcome protocol.Outcome `cbor:"3,keyasint"`
}

// CarriedClaim repeats the state of an undated key before retention removes the
// records that hold it.
type CarriedClaim struct {
	Key         KeyDigest      `cbor:"1,keyasint"`
	Fingerprint uint64         `cbor:"2,keyasint"`
	Endpoint    string         `cbor:"3,keyasint"`
	Epoch       protocol.Epoch `cbor:"4,keyasint"`
	Claim       uint64         `cbor:"5,keyasint"`
	// Done is set when the claim was settled as done.
	Done bool `cbor:"6,keyasint,omitempty"`
	// AgeMs is the time since the key was first claimed.
	AgeMs int64 `cbor:"7,keyasint,omitempty"`
}

// ErrClaims is wrapped by errors about a record of claims.GROUP that can't be decoded.
// Every reader skips the same records.
var ErrClaims = errors.New("attempt: malformed claims record")

// maxBatch bounds the number of claims, of settlements and of carried claims in one
// record.
const maxBatch = 256

var claimsDecoder = strictcbor.Decoder(strictcbor.Bounds{ArrayElements: maxBatch, MapPairs: 16, NestedLevels: 6})

// EncodeClaims returns the encoded record of a batch.
func EncodeClaims(b *ClaimBatch) ([]byte, error) {
	data, err := cbor.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("attempt: encode claims: %w", err)
	}
	return data, nil
}

// DecodeClaims decodes a record. Errors wrap ErrClaims.
func DecodeClaims(data []byte) (*ClaimBatch, error) {
	b := new(ClaimBatch)
	if err := claimsDecoder.Unmarshal(data, b); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrClaims, err)
	}
	if b.Endpoint == "" || b.Epoch == 0 {
		return nil, fmt.Errorf("%w: endpoint or epoch is missing", ErrClaims)
	}
	return b, nil
}

// KeyedRun is one Run message for a request that may run at most once.
type KeyedRun struct {
	Attempt     protocol.AttemptID
	Key         KeyDigest
	Fingerprint uint64
	// Age is the key's age, 0 if unknown.
	Age time.Duration
	// CallerTimeout is how much longer the caller waits for the answer, 0 if unknown.
	CallerTimeout time.Duration
	Redirected    bool
}

// Result is the answer of a finished key, kept for later Runs of the same key.
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

// OnceAction is an instruction from a Once to its process.
type OnceAction interface{ onceAction() }

// AppendClaims asks to append Data to claims.GROUP. The result is reported by
// Appended, AppendFailed or AppendUnknown with the same Batch.
type AppendClaims struct {
	Batch uint64
	Data  []byte
}

// Execute asks to send the attempt to the back end. The end is reported by Finished.
type Execute struct {
	Attempt protocol.AttemptID
	Key     KeyDigest
}

// Attach asks to answer Attempt with the full stream of the running attempt To.
type Attach struct {
	Attempt protocol.AttemptID
	To      protocol.AttemptID
}

// Replay asks to answer Attempt with a kept result.
type Replay struct {
	Attempt protocol.AttemptID
	Result  *Result
}

// Answer ends Attempt without running it here. The address of a Redirect is left for
// the process to fill in.
type Answer struct {
	Attempt protocol.AttemptID
	End     protocol.End
}

func (AppendClaims) onceAction() {}
func (Execute) onceAction()      {}
func (Attach) onceAction()       {}
func (Replay) onceAction()       {}
func (Answer) onceAction()       {}
