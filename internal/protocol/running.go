package protocol

import (
	"encoding/hex"
	"fmt"

	"skylarklead/internal/prefix"
)

// AttemptID identifies one attempt to run a request. It is never reused.
type AttemptID [16]byte

// String returns the ID in hex.
func (a AttemptID) String() string { return hex.EncodeToString(a[:]) }

// ParseAttemptID parses the result of String.
func ParseAttemptID(text string) (a AttemptID, err error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(a) {
		return a, fmt.Errorf("protocol: attempt ID %q is not %d hex digits", text, 2*len(a))
	}
	return AttemptID(raw), nil
}

// Call is a call to a plain service.
type Call struct {
	Service     string `cbor:"1,keyasint"`
	Method      string `cbor:"2,keyasint"`
	Path        string `cbor:"3,keyasint"`
	ContentType string `cbor:"4,keyasint,omitempty"`
	Body        []byte `cbor:"5,keyasint,omitempty"`
}

// Run sends a request to its executor. Exactly one of Messages and Call is set.
type Run struct {
	Attempt      AttemptID        `cbor:"1,keyasint"`
	Request      string           `cbor:"2,keyasint"`
	Organisation string           `cbor:"3,keyasint"`
	Group        string           `cbor:"4,keyasint"`
	Model        string           `cbor:"5,keyasint,omitempty"`
	Version      string           `cbor:"6,keyasint,omitempty"`
	Messages     []prefix.Message `cbor:"7,keyasint,omitempty"`
	Call         *Call            `cbor:"8,keyasint,omitempty"`
	// Instructions is the log offset of the organisation's record whose standing
	// instructions precede Messages. The executor has their text, or fetches it
	// from the sender.
	Instructions uint64         `cbor:"9,keyasint,omitempty"`
	Levels       []prefix.Level `cbor:"10,keyasint,omitempty"`
	PromptTokens int            `cbor:"11,keyasint,omitempty"`
	// MaxTokens limits new tokens, excluding those of Partial.
	MaxTokens   int    `cbor:"12,keyasint,omitempty"`
	Priority    int    `cbor:"13,keyasint,omitempty"`
	Fingerprint uint64 `cbor:"14,keyasint,omitempty"`
	DeadlineMs  int64  `cbor:"15,keyasint,omitempty"`
	// Partial is the text that was already received of an interrupted answer; the
	// engine continues it. Chunks are numbered from FirstSeq.
	Partial  string `cbor:"16,keyasint,omitempty"`
	FirstSeq uint64 `cbor:"17,keyasint,omitempty"`
	// Key is the digest of organisation and idempotency key, empty without a key.
	// KeyAgeMs is the key's age if the key contains its creation time, else 0.
	Key      []byte `cbor:"18,keyasint,omitempty"`
	KeyAgeMs int64  `cbor:"19,keyasint,omitempty"`
	// Window is how many chunks may be sent ahead of the receiver's Credit.
	Window       uint32 `cbor:"20,keyasint"`
	Owner        string `cbor:"21,keyasint,omitempty"`
	Suspect      bool   `cbor:"22,keyasint,omitempty"`
	ConfigOffset uint64 `cbor:"23,keyasint"`
	// Redirected is set when an executor has already redirected this request; it
	// must not be redirected again.
	Redirected bool `cbor:"24,keyasint,omitempty"`
	// Parameters are the caller's fields for the engine, as selected by package
	// parameters: a JSON object of at most parameters.MaxBytes, empty without such
	// fields.
	Parameters []byte `cbor:"25,keyasint,omitempty"`
	// Donor is copied from the Decision.
	Donor *Donor `cbor:"26,keyasint,omitempty"`
}

// Cancel ends an attempt that no caller waits for. The entry sends it when the
// caller of an answer that isn't streamed disconnects, and for a stream when the
// caller has not resumed it within the grace period. The executor accepts it only
// on the session that the attempt was last run or resumed on, because the caller
// may have returned through another entry. If that session is lost, the executor
// applies the grace period itself.
type Cancel struct {
	Attempt AttemptID `cbor:"1,keyasint"`
}

// Resolve asks for the outcome of an attempt whose session was lost. An attempt
// that the executor has not seen is fenced: the executor answers not_run and
// refuses the attempt should its Run still arrive.
type Resolve struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Epoch   Epoch     `cbor:"2,keyasint"`
}

// Resolved answers Resolve. Running is set while the attempt continues.
type Resolved struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Outcome Outcome   `cbor:"2,keyasint"`
	Running bool      `cbor:"3,keyasint,omitempty"`
}
