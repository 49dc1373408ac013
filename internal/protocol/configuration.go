package protocol

// ConfigFetch requests accepted configuration that is newer than After.
type ConfigFetch struct {
	After uint64 `cbor:"1,keyasint"`
	// Part requests a further part of an answer. Offset is that of the answer's
	// first part.
	Part   int    `cbor:"2,keyasint,omitempty"`
	Offset uint64 `cbor:"3,keyasint,omitempty"`
}

// ConfigState answers ConfigFetch with the part of the sender's accepted state that
// is newer than After, encoded and compressed by package config. State is empty if
// there is nothing newer.
type ConfigState struct {
	Offset uint64 `cbor:"1,keyasint"`
	State  []byte `cbor:"2,keyasint,omitempty"`
	// Parts is the number of parts that State is split into, if more than one. A
	// long frame would delay the streams of its session.
	Parts int `cbor:"3,keyasint,omitempty"`
	// SnapshotTTLMs is for how many more milliseconds the newest snapshot on the
	// log is recent enough, as far as the sender knows; 0 if it isn't. It is sent
	// with the first part, even if there is nothing newer.
	SnapshotTTLMs int64 `cbor:"4,keyasint,omitempty"`
}
