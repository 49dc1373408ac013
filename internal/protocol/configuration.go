package protocol

// ConfigFetch asks for accepted configuration newer than After.
type ConfigFetch struct {
	After uint64 `cbor:"1,keyasint"`
	// Part asks for a further part of the answer whose first one had the state's
	// Offset.
	Part   int    `cbor:"2,keyasint,omitempty"`
	Offset uint64 `cbor:"3,keyasint,omitempty"`
}

// ConfigState answers ConfigFetch: what the sender's accepted state has after
// that offset, encoded and compressed by package config, or empty if it has
// nothing newer.
type ConfigState struct {
	Offset uint64 `cbor:"1,keyasint"`
	State  []byte `cbor:"2,keyasint,omitempty"`
	// Parts is how many parts State is split into, if more than one. A long frame
	// would hold up the streams of its session.
	Parts int `cbor:"3,keyasint,omitempty"`
	// SnapshotTTLMs is for how many milliseconds the newest snapshot on the log is
	// young enough, as far as the sender knows; 0 if it isn't. It is told with the
	// first part, also when there is nothing newer.
	SnapshotTTLMs int64 `cbor:"4,keyasint,omitempty"`
}
