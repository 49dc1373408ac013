package protocol

import "skylarklead/internal/prefix"

// Ask asks a model's owner where to run a request. It has no effect on whether
// the request runs, so it may be repeated and hedged freely.
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
	// Fingerprint is a hash of organisation and body: the same request sent
	// again has the same one.
	Fingerprint uint64 `cbor:"10,keyasint"`
	DeadlineMs  int64  `cbor:"11,keyasint,omitempty"`
	// Exclude lists endpoints that this request has already failed at.
	Exclude []string `cbor:"12,keyasint,omitempty"`
	// Crashed lists endpoints whose engine crashed while running it.
	Crashed []string `cbor:"13,keyasint,omitempty"`
	// Entry is the asking entry's failure domain.
	FailureDomain string `cbor:"14,keyasint,omitempty"`
	// AnyVersion is set when the caller named no version: while the group's
	// engines change theirs, the one that most of them have will do.
	AnyVersion bool `cbor:"15,keyasint,omitempty"`
	// Explain asks for the candidates in the Decision. They are two thirds of its
	// bytes; the owner's own record has them in any case.
	Explain bool `cbor:"16,keyasint,omitempty"`
}

// Candidate explains what was thought of one endpoint.
type Candidate struct {
	Endpoint     string  `cbor:"1,keyasint" json:"endpoint"`
	Excluded     string  `cbor:"2,keyasint,omitempty" json:"excluded,omitempty"`
	Score        float64 `cbor:"3,keyasint,omitempty" json:"score"`
	CachedTokens int     `cbor:"4,keyasint,omitempty" json:"cached_tokens"`
	WaitMs       float64 `cbor:"5,keyasint,omitempty" json:"wait_ms"`
}

// Target is where to send a Run.
type Target struct {
	Endpoint string `cbor:"1,keyasint"`
	Address  string `cbor:"2,keyasint"`
	Epoch    Epoch  `cbor:"3,keyasint,omitempty"`
}

// Decision answers an Ask: an executor or a refusal.
type Decision struct {
	Request         string      `cbor:"1,keyasint"`
	Owner           string      `cbor:"2,keyasint"`
	Executor        Target      `cbor:"3,keyasint"`
	Reason          string      `cbor:"4,keyasint"`
	PredictedCached int         `cbor:"5,keyasint"`
	Candidates      []Candidate `cbor:"6,keyasint,omitempty"`
	Refusal         *Refusal    `cbor:"7,keyasint,omitempty"`
	// Suspect marks a request that was running when an engine crashed: its
	// executor runs it alone.
	Suspect bool `cbor:"8,keyasint,omitempty"`
	// Unavailable lists the group's endpoints that are dead or leaving.
	Unavailable []string `cbor:"9,keyasint,omitempty"`
	// ConfigOffset is the owner's: an entry that is behind fetches from it.
	ConfigOffset uint64 `cbor:"10,keyasint,omitempty"`
	// Version comes with a Refusal: the entry is to ask again for this version of
	// the model, with levels of its salt.
	Version string `cbor:"11,keyasint,omitempty"`
	// Donor holds more of the prompt than the executor, which is to import it;
	// nil if there is none or computing is cheaper.
	Donor *Donor `cbor:"12,keyasint,omitempty"`
}
