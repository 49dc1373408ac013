package protocol

import "skylarklead/internal/prefix"

// Donor names an endpoint whose engine holds a prefix that the executor of a
// Decision lacks. The donor checks all fields but the address, and the executor
// checks them again: blocks of another process, engine incarnation or weights
// version are not those that the owner's decision was based on.
type Donor struct {
	Target      Target       `cbor:"1,keyasint"`
	Incarnation string       `cbor:"2,keyasint"`
	Version     string       `cbor:"3,keyasint"`
	Level       prefix.Level `cbor:"4,keyasint"`
}

// Export requests cache blocks from a donor's process. Hashes range from the first
// block that the requester lacks to the last of the donor's level, in the order of
// the prompt.
type Export struct {
	Epoch       Epoch         `cbor:"1,keyasint"`
	Incarnation string        `cbor:"2,keyasint"`
	Version     string        `cbor:"3,keyasint"`
	Hashes      []prefix.Hash `cbor:"4,keyasint"`
}

// ExportRefusal is why an Export was answered without blocks, empty if it wasn't.
type ExportRefusal string

const (
	ExportBusy             ExportRefusal = "busy"
	ExportTooLarge         ExportRefusal = "too_large"
	ExportOtherEpoch       ExportRefusal = "other_epoch"
	ExportOtherIncarnation ExportRefusal = "other_incarnation"
	ExportOtherWeights     ExportRefusal = "other_weights"
	ExportNothingHeld      ExportRefusal = "nothing_held"
	ExportFailed           ExportRefusal = "export_failed"
)

// Exported answers an Export. Blob holds the blocks of Hashes in the engine's own
// format, at most MaxExportBytes.
type Exported struct {
	Refusal     ExportRefusal `cbor:"1,keyasint,omitempty"`
	Epoch       Epoch         `cbor:"2,keyasint"`
	Incarnation string        `cbor:"3,keyasint,omitempty"`
	Version     string        `cbor:"4,keyasint,omitempty"`
	Hashes      []prefix.Hash `cbor:"5,keyasint,omitempty"`
	Blob        []byte        `cbor:"6,keyasint,omitempty"`
}

// MaxExportBytes bounds Blob. It is well below the maximum size of a frame,
// wire.MaxFrameBytes.
const MaxExportBytes = 4 << 20
