package protocol

import "skylarklead/internal/prefix"

// Donor names an endpoint whose engine holds a prefix that the executor of a
// Decision lacks. All but the address is checked by the donor and again by the
// executor: blocks of another process, engine incarnation or weights version are
// not those that the owner decided on.
type Donor struct {
	Target      Target       `cbor:"1,keyasint"`
	Incarnation string       `cbor:"2,keyasint"`
	Version     string       `cbor:"3,keyasint"`
	Level       prefix.Level `cbor:"4,keyasint"`
}

// Export asks a donor's process for cache blocks. Hashes go from the first block
// that the asker lacks to the last of the donor's level, in the order of the
// prompt.
type Export struct {
	Epoch       Epoch         `cbor:"1,keyasint"`
	Incarnation string        `cbor:"2,keyasint"`
	Version     string        `cbor:"3,keyasint"`
	Hashes      []prefix.Hash `cbor:"4,keyasint"`
}

// ExportRefusal is why an Export brought no blocks, empty if it did.
type ExportRefusal string

// The refusals of an Export.
const (
	ExportBusy             ExportRefusal = "busy"
	ExportTooLarge         ExportRefusal = "too_large"
	ExportOtherEpoch       ExportRefusal = "other_epoch"
	ExportOtherIncarnation ExportRefusal = "other_incarnation"
	ExportOtherWeights     ExportRefusal = "other_weights"
	ExportNothingHeld      ExportRefusal = "nothing_held"
	ExportFailed           ExportRefusal = "export_failed"
)

// Exported answers an Export. Blob is the engine's own form of the blocks named,
// MaxExportBytes at most.
type Exported struct {
	Refusal     ExportRefusal `cbor:"1,keyasint,omitempty"`
	Epoch       Epoch         `cbor:"2,keyasint"`
	Incarnation string        `cbor:"3,keyasint,omitempty"`
	Version     string        `cbor:"4,keyasint,omitempty"`
	Hashes      []prefix.Hash `cbor:"5,keyasint,omitempty"`
	Blob        []byte        `cbor:"6,keyasint,omitempty"`
}

// MaxExportBytes bounds a Blob, well within MaxFrame.
const MaxExportBytes = 4 << 20
