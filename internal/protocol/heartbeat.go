package protocol

import "skylarklead/internal/prefix"

// Load summarises an endpoint's load, in tokens of work.
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
	// Organisations is the number of organisations with waiting requests.
	Organisations int `cbor:"14,keyasint,omitempty" json:"organisations"`
	// Heavy lists those of them that exceed their share or have a backlog of their
	// own at this endpoint, by route.OrganisationHash. Their requests wait for the
	// whole queue.
	Heavy []uint64 `cbor:"15,keyasint,omitempty" json:"heavy,omitempty"`
	// OutputShare is the mean ratio of generated output tokens to the allowed
	// maximum.
	OutputShare float64 `cbor:"16,keyasint,omitempty" json:"output_share"`
}

// Resident reports that an endpoint's engine holds blocks of a level: the first
// Tokens tokens of it without a gap. 0 withdraws an earlier report.
type Resident struct {
	Hash   prefix.Hash `cbor:"1,keyasint"`
	Tokens int         `cbor:"2,keyasint"`
}

// CrashCount is the number of engines that crashed while running a request, which
// is identified by its fingerprint. GivenUp means that the whole group no longer
// runs it.
type CrashCount struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	Count       int    `cbor:"2,keyasint"`
	GivenUp     bool   `cbor:"3,keyasint,omitempty"`
	// Generation counts how often a completion of the request reset Count. A higher
	// generation overrides any Count of a lower one.
	Generation uint32 `cbor:"4,keyasint,omitempty"`
	// AgeMs is the time since the last of the crashes, so that counts expire even
	// while peers keep exchanging them.
	AgeMs int64 `cbor:"5,keyasint,omitempty"`
	// Lost identifies engines that were lost while they ran the request since it last completed, at
	// most MaxLostEngines. LostGeneration counts the completions; a higher one overrides any Lost of a
	// lower one.
	Lost           []uint64 `cbor:"6,keyasint,omitempty"`
	LostGeneration uint32   `cbor:"7,keyasint,omitempty"`
}

// MaxLostEngines bounds CrashCount.Lost: more say nothing new.
const MaxLostEngines = 3

// Heartbeat is sent by each endpoint process to the others of its group.
type Heartbeat struct {
	ID           string       `cbor:"1,keyasint"`
	Epoch        Epoch        `cbor:"2,keyasint"`
	Seq          uint64       `cbor:"3,keyasint"`
	Leaving      bool         `cbor:"4,keyasint,omitempty"`
	ConfigOffset uint64       `cbor:"5,keyasint"`
	Load         Load         `cbor:"6,keyasint"`
	Residents    []Resident   `cbor:"7,keyasint,omitempty"`
	CrashCounts  []CrashCount `cbor:"8,keyasint,omitempty"`
	// Full marks that Residents is the complete list for the receiver, not a
	// change.
	Full bool `cbor:"9,keyasint,omitempty"`
	// Unresponsive names members that did not answer the sender's probe. The
	// receiver probes them itself.
	Unresponsive []string `cbor:"10,keyasint,omitempty"`
	// PeriodMs is the time in milliseconds within which the sender's next heartbeat
	// follows. It is 0 from versions without this field, which send one a second.
	PeriodMs int64 `cbor:"11,keyasint,omitempty"`
}
