package protocol

import "skylarklead/internal/prefix"

// Load is a load summary of an endpoint, in tokens of work.
type Load struct {
	Running        int    `cbor:"1,keyasint" json:"running"`
	Queued         int    `cbor:"2,keyasint" json:"queued"`
	QueuedTokens   int    `cbor:"3,keyasint" json:"queued_tokens"`
	DecodeTokens   int    `cbor:"4,keyasint" json:"decode_tokens"`
	CacheUsed      int    `cbor:"5,keyasint" json:"cache_used"`
	CacheTotal     int    `cbor:"6,keyasint" json:"cache_total"`
	Saturated      bool   `cbor:"7,keyasint,omitempty" json:"saturated"`
	EngineUp       bool   `cbor:"8,keyasint" json:"engine_up"`
	Incarnation    string `cbor:"9,keyasint,omitempty" json:"incarnation"`
	Model          string `cbor:"10,keyasint,omitempty" json:"model"`
	Version        string `cbor:"11,keyasint,omitempty" json:"version"`
	CacheViewAgeMs int64  `cbor:"12,keyasint,omitempty" json:"picture_age_ms"`
	CacheViewStale bool   `cbor:"13,keyasint,omitempty" json:"picture_doubtful"`
	// Organisations is how many organisations have requests waiting.
	Organisations int `cbor:"14,keyasint,omitempty" json:"organisations"`
	// Heavy are those of them that have more than their share or a backlog of
	// their own here, by route.OrganisationHash: their requests wait for the whole
	// queue.
	Heavy []uint64 `cbor:"15,keyasint,omitempty" json:"heavy,omitempty"`
	// OutputShare is the mean of output tokens over the most allowed.
	OutputShare float64 `cbor:"16,keyasint,omitempty" json:"output_share"`
}

// Resident says that an endpoint's engine holds a level's blocks, Tokens of it
// in a row from the start; 0 withdraws it.
type Resident struct {
	Hash   prefix.Hash `cbor:"1,keyasint"`
	Tokens int         `cbor:"2,keyasint"`
}

// CrashCount counts the engines that crashed while running a request, by its
// fingerprint. GivenUp makes it final for the whole group.
type CrashCount struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	Count       int    `cbor:"2,keyasint"`
	GivenUp     bool   `cbor:"3,keyasint,omitempty"`
	// Generation counts how often a completion cleared the strikes; a higher one
	// outdoes any Count of a lower one.
	Generation uint32 `cbor:"4,keyasint,omitempty"`
	// AgeMs is how long ago the last engine crashed, so that strikes passed to
	// and fro still expire.
	AgeMs int64 `cbor:"5,keyasint,omitempty"`
}

// Heartbeat goes from each endpoint process to the others of its group.
type Heartbeat struct {
	ID           string       `cbor:"1,keyasint"`
	Epoch        Epoch        `cbor:"2,keyasint"`
	Seq          uint64       `cbor:"3,keyasint"`
	Leaving      bool         `cbor:"4,keyasint,omitempty"`
	ConfigOffset uint64       `cbor:"5,keyasint"`
	Load         Load         `cbor:"6,keyasint"`
	Residents    []Resident   `cbor:"7,keyasint,omitempty"`
	CrashCounts  []CrashCount `cbor:"8,keyasint,omitempty"`
	// Full marks that Residents is all there is for the receiver, not a change.
	Full bool `cbor:"9,keyasint,omitempty"`
	// Unresponsive names members that gave the sender no sign of life when asked; the
	// receiver asks them itself.
	Unresponsive []string `cbor:"10,keyasint,omitempty"`
	// PeriodMs is within how many milliseconds the sender's next heartbeat goes to
	// the receiver; 0 from builds that don't tell and send one a second.
	PeriodMs int64 `cbor:"11,keyasint,omitempty"`
}
