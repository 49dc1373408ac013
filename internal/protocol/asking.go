package protocol

import "skylarklead/internal/prefix"

// Ask asks the owner of a prompt's prefix where to run a request. It does not
// affect whether the request runs, so it may be repeated and hedged.
type Ask struct {
	Request      string         `cbor:"1,keyasint"`
	Organisation string         `cbor:"2,keyasint"`
	Group        string         `cbor:"3,keyasint"`
	Model        string         `cbor:"4,keyasint"`
	Version      string         `cbor:"5,keyasint"`
	Levels       []prefix.Level `cbor:"6,keyasint,omitempty"`
	PromptTokens int            `cbor:"7,keyasint"`
	MaxTokens    int            `cbor:"8,keyasint"`
	Priority     int            `cbor:"9,keyasint,omitempty"`
	// Fingerprint is a hash of the organisation and the body; a repeated request
	// has the same one.
	Fingerprint uint64 `cbor:"10,keyasint"`
	DeadlineMs  int64  `cbor:"11,keyasint,omitempty"`
	// Exclude lists endpoints that this request should not run on: it failed there,
	// or the entry knows that they are unavailable.
	Exclude []string `cbor:"12,keyasint,omitempty"`
	// Crashed lists endpoints whose engine crashed while running this request.
	Crashed []string `cbor:"13,keyasint,omitempty"`
	// FailureDomain is that of the asking entry.
	FailureDomain string `cbor:"14,keyasint,omitempty"`
	// AnyVersion is set when the caller named no version. While the group's engines
	// change versions, the version that most of them have may be used.
	AnyVersion bool `cbor:"15,keyasint,omitempty"`
	// Explain requests the candidates in the Decision. They are two thirds of its
	// size; the owner's own decision record has them in any case.
	Explain bool `cbor:"16,keyasint,omitempty"`
}

// Candidate is the owner's assessment of one endpoint.
type Candidate struct {
	Endpoint     string  `cbor:"1,keyasint" json:"endpoint"`
	Excluded     string  `cbor:"2,keyasint,omitempty" json:"excluded,omitempty"`
	Score        float64 `cbor:"3,keyasint,omitempty" json:"score"`
	CachedTokens int     `cbor:"4,keyasint,omitempty" json:"cached_tokens"`
	WaitMs       float64 `cbor:"5,keyasint,omitempty" json:"wait_ms"`
}

// Target is the process that a Run is sent to.
type Target struct {
	Endpoint string `cbor:"1,keyasint"`
	Address  string `cbor:"2,keyasint"`
	Epoch    Epoch  `cbor:"3,keyasint,omitempty"`
}

// Decision answers an Ask with an executor or a refusal.
type Decision struct {
	Request         string      `cbor:"1,keyasint"`
	Owner           string      `cbor:"2,keyasint"`
	Executor        Target      `cbor:"3,keyasint"`
	Reason          string      `cbor:"4,keyasint"`
	PredictedCached int         `cbor:"5,keyasint"`
	Candidates      []Candidate `cbor:"6,keyasint,omitempty"`
	Refusal         *Refusal    `cbor:"7,keyasint,omitempty"`
	// Suspect marks a request that was running when an engine crashed. Its executor
	// runs it exclusively.
	Suspect bool `cbor:"8,keyasint,omitempty"`
	// Unavailable lists the group's endpoints that are dead or leaving.
	Unavailable []string `cbor:"9,keyasint,omitempty"`
	// ConfigOffset is the owner's. An entry with a lower offset fetches the
	// configuration from the owner.
	ConfigOffset uint64 `cbor:"10,keyasint,omitempty"`
	// Version accompanies a Refusal: the entry should ask again for this version of
	// the model, with levels salted with it.
	Version string `cbor:"11,keyasint,omitempty"`
	// Donor has more of the prompt cached than the executor, which should import
	// it. It is nil if there is no donor or if computing is cheaper.
	Donor *Donor `cbor:"12,keyasint,omitempty"`
}
