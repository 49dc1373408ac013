// Package wire is the protocol between the system's own processes: CBOR
// messages over authenticated WebSocket sessions.
//
// This file has the messages, session.go the sessions, pool.go the connections
// that a process keeps to its peers. No message carries a wall-clock time:
// durations are relative to its receipt.
package wire

import (
	"encoding/hex"
	"fmt"

	"skylarklead/internal/prefix"
)

// Role is what a process does.
type Role string

// The roles of a process.
const (
	RoleEntry    Role = "entry"
	RoleEndpoint Role = "endpoint"
	RoleTool     Role = "tool"
)

// AttemptID names one attempt to run one request. It is never reused.
type AttemptID [16]byte

// String returns the ID in hex.
func (a AttemptID) String() string { return hex.EncodeToString(a[:]) }

// ParseAttemptID reads what String wrote.
func ParseAttemptID(text string) (a AttemptID, err error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(a) {
		return a, fmt.Errorf("wire: attempt ID %q is not %d hex digits", text, 2*len(a))
	}
	return AttemptID(raw), nil
}

// Epoch is drawn at random when a process starts. Whatever was learnt from one
// epoch (load, cache picture, attempts) is void in another.
type Epoch uint64

// Identity is what a process says of itself when a session opens.
type Identity struct {
	ID            string `cbor:"1,keyasint"`
	Role          Role   `cbor:"2,keyasint"`
	Epoch         Epoch  `cbor:"3,keyasint"`
	FailureDomain string `cbor:"4,keyasint,omitempty"`
	Group         string `cbor:"5,keyasint,omitempty"`
	Address       string `cbor:"6,keyasint,omitempty"`
	ConfigOffset  uint64 `cbor:"7,keyasint,omitempty"`
}

// Outcome says whether a request ran.
type Outcome string

// The outcomes. NotRun is said only by the process that would have run the
// request and knows that it never handed it on, or by one that never sent it.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
)

// Code is the reason of a refusal or failure, as callers see it
// (docs/INTERFACE.md, section 1).
type Code string

// The codes.
const (
	CodeNone           Code = ""
	CodeBadRequest     Code = "bad_request"
	CodeTooLarge       Code = "too_large"
	CodeUnauthorized   Code = "unauthorized"
	CodeForbiddenModel Code = "forbidden_model"
	CodeUnknownModel   Code = "unknown_model"
	CodeUnknownService Code = "unknown_service"
	CodeOverloaded     Code = "overloaded"
	CodeDeadline       Code = "deadline"
	CodeNoEndpoint     Code = "no_endpoint"
	CodeNotRun         Code = "not_run"
	CodeUnknownOutcome Code = "unknown_outcome"
	CodeGivenUp        Code = "given_up"
	CodeKeyConflict    Code = "key_conflict"
	CodeKeyTooOld      Code = "key_too_old"
	CodeLogUnavailable Code = "log_unavailable"
	CodeDraining       Code = "draining"
	CodeCanceled       Code = "canceled"
	CodeInternal       Code = "internal"
)

// Message is one of the message types of this file.
type Message interface{ kind() Kind }

// Refusal tells why a request is not run, or not known to have run.
type Refusal struct {
	Code         Code    `cbor:"1,keyasint"`
	Message      string  `cbor:"2,keyasint,omitempty"`
	Ran          Outcome `cbor:"3,keyasint"`
	RetryAfterMs int64   `cbor:"4,keyasint,omitempty"`
}

// Challenge opens a session: the accepting side's nonce and identity.
type Challenge struct {
	Nonce    []byte   `cbor:"1,keyasint"`
	Identity Identity `cbor:"2,keyasint"`
}

// Hello answers a Challenge. MAC is HMAC-SHA256 by the fleet key over the nonce
// and the identity.
type Hello struct {
	Identity Identity `cbor:"1,keyasint"`
	MAC      []byte   `cbor:"2,keyasint"`
}

// Welcome ends the opening; MAC proves that the accepting side has the key too.
type Welcome struct {
	MAC []byte `cbor:"1,keyasint"`
}

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

// Call is a call to a plain service.
type Call struct {
	Service     string `cbor:"1,keyasint"`
	Method      string `cbor:"2,keyasint"`
	Path        string `cbor:"3,keyasint"`
	ContentType string `cbor:"4,keyasint,omitempty"`
	Body        []byte `cbor:"5,keyasint,omitempty"`
}

// Run hands a request to its executor. Exactly one of Messages and Call is set.
type Run struct {
	Attempt      AttemptID        `cbor:"1,keyasint"`
	Request      string           `cbor:"2,keyasint"`
	Organisation string           `cbor:"3,keyasint"`
	Group        string           `cbor:"4,keyasint"`
	Model        string           `cbor:"5,keyasint,omitempty"`
	Version      string           `cbor:"6,keyasint,omitempty"`
	Messages     []prefix.Message `cbor:"7,keyasint,omitempty"`
	Call         *Call            `cbor:"8,keyasint,omitempty"`
	// Instructions is the log offset of the organisation's record whose
	// standing instructions go before Messages. The executor has the text, or
	// fetches it from the sender.
	Instructions uint64         `cbor:"9,keyasint,omitempty"`
	Levels       []prefix.Level `cbor:"10,keyasint,omitempty"`
	PromptTokens int            `cbor:"11,keyasint,omitempty"`
	// MaxTokens counts new tokens, without those of Partial.
	MaxTokens   int    `cbor:"12,keyasint,omitempty"`
	Priority    int    `cbor:"13,keyasint,omitempty"`
	Fingerprint uint64 `cbor:"14,keyasint,omitempty"`
	DeadlineMs  int64  `cbor:"15,keyasint,omitempty"`
	// Partial is what the caller already has of a cut answer; the engine goes on
	// from there. Chunks are numbered from FirstSeq.
	Partial  string `cbor:"16,keyasint,omitempty"`
	FirstSeq uint64 `cbor:"17,keyasint,omitempty"`
	// Key is the digest of organisation and idempotency key, empty if none;
	// KeyAgeMs is its age where the key tells its birth, else 0.
	Key      []byte `cbor:"18,keyasint,omitempty"`
	KeyAgeMs int64  `cbor:"19,keyasint,omitempty"`
	// Window is how many chunks may be sent ahead of the receiver's Credit.
	Window       uint32 `cbor:"20,keyasint"`
	Owner        string `cbor:"21,keyasint,omitempty"`
	Suspect      bool   `cbor:"22,keyasint,omitempty"`
	ConfigOffset uint64 `cbor:"23,keyasint"`
	// Redirected is set when an executor has already passed this request on;
	// it is then not passed on again.
	Redirected bool `cbor:"24,keyasint,omitempty"`
	// Parameters are the caller's fields for the engine, as package parameters
	// picks them: a JSON object of at most parameters.MaxBytes, empty if none.
	Parameters []byte `cbor:"25,keyasint,omitempty"`
	// Donor is the Decision's.
	Donor *Donor `cbor:"26,keyasint,omitempty"`
}

// Start says that the request was handed to the engine or service and that its
// answer begins.
type Start struct {
	Attempt     AttemptID `cbor:"1,keyasint"`
	Status      int       `cbor:"2,keyasint,omitempty"`
	ContentType string    `cbor:"3,keyasint,omitempty"`
}

// Chunk is one piece of an answer. Seq numbers the pieces of one request's
// answer from 0, without gaps, across attempts. Of a chat answer, Data is the
// UTF-8 text of one delta (the entry makes the caller's events of it; finish
// reason and usage come with End); of a service call, bytes of the body.
type Chunk struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Seq     uint64    `cbor:"2,keyasint"`
	Data    []byte    `cbor:"3,keyasint"`
}

// End is the explicit end of an attempt. Seq is the number that the next chunk
// would have had, so that a receiver knows that it has all of them.
type End struct {
	Attempt          AttemptID `cbor:"1,keyasint"`
	Seq              uint64    `cbor:"2,keyasint"`
	Outcome          Outcome   `cbor:"3,keyasint"`
	Code             Code      `cbor:"4,keyasint,omitempty"`
	Message          string    `cbor:"5,keyasint,omitempty"`
	RetryAfterMs     int64     `cbor:"6,keyasint,omitempty"`
	Redirect         *Target   `cbor:"7,keyasint,omitempty"`
	PromptTokens     int       `cbor:"8,keyasint,omitempty"`
	CachedTokens     int       `cbor:"9,keyasint,omitempty"`
	CompletionTokens int       `cbor:"10,keyasint,omitempty"`
	FinishReason     string    `cbor:"11,keyasint,omitempty"`
	// EngineCrashed is set when the engine was lost while it ran this attempt.
	EngineCrashed bool `cbor:"12,keyasint,omitempty"`
}

// Credit lets the sender of an attempt's chunks go on up to, not including, Seq.
type Credit struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Seq     uint64    `cbor:"2,keyasint"`
}

// Cancel ends an attempt that nobody waits for. The entry sends it when a caller
// of a whole answer hangs up, and for a stream when nobody has resumed it within
// the grace. The executor ignores it on any session but the one that the attempt
// was last run or resumed on: through another entry the caller may be back. For
// an attempt whose session is lost, the executor waits the grace out itself.
type Cancel struct {
	Attempt AttemptID `cbor:"1,keyasint"`
}

// Resume asks the executor to send an attempt's chunks again from Seq, on this
// session. It is answered by chunks and End, or by End with Unknown when this
// epoch doesn't know the attempt.
type Resume struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Epoch   Epoch     `cbor:"2,keyasint"`
	Seq     uint64    `cbor:"3,keyasint"`
	Window  uint32    `cbor:"4,keyasint"`
	// Organisation is who asks for the stream; the executor answers Unknown if
	// the attempt is another organisation's.
	Organisation string `cbor:"5,keyasint,omitempty"`
}

// Resolve asks what became of an attempt whose session was lost. An attempt that
// the executor has not seen is fenced: it answers not_run and refuses the attempt
// should its Run still arrive.
type Resolve struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Epoch   Epoch     `cbor:"2,keyasint"`
}

// Resolved answers Resolve. Running is set while the attempt goes on.
type Resolved struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Outcome Outcome   `cbor:"2,keyasint"`
	Running bool      `cbor:"3,keyasint,omitempty"`
}

// Load is a load summary of an endpoint, in tokens of work.
type Load struct {
	Running         int    `cbor:"1,keyasint" json:"running"`
	Queued          int    `cbor:"2,keyasint" json:"queued"`
	QueuedTokens    int    `cbor:"3,keyasint" json:"queued_tokens"`
	DecodeTokens    int    `cbor:"4,keyasint" json:"decode_tokens"`
	CacheUsed       int    `cbor:"5,keyasint" json:"cache_used"`
	CacheTotal      int    `cbor:"6,keyasint" json:"cache_total"`
	Saturated       bool   `cbor:"7,keyasint,omitempty" json:"saturated"`
	EngineUp        bool   `cbor:"8,keyasint" json:"engine_up"`
	Incarnation     string `cbor:"9,keyasint,omitempty" json:"incarnation"`
	Model           string `cbor:"10,keyasint,omitempty" json:"model"`
	Version         string `cbor:"11,keyasint,omitempty" json:"version"`
	PictureAgeMs    int64  `cbor:"12,keyasint,omitempty" json:"picture_age_ms"`
	PictureDoubtful bool   `cbor:"13,keyasint,omitempty" json:"picture_doubtful"`
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

// Strike counts the engines that crashed while running a request, by its
// fingerprint. GivenUp makes it final for the whole group.
type Strike struct {
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
	ID           string     `cbor:"1,keyasint"`
	Epoch        Epoch      `cbor:"2,keyasint"`
	Seq          uint64     `cbor:"3,keyasint"`
	Leaving      bool       `cbor:"4,keyasint,omitempty"`
	ConfigOffset uint64     `cbor:"5,keyasint"`
	Load         Load       `cbor:"6,keyasint"`
	Residents    []Resident `cbor:"7,keyasint,omitempty"`
	Strikes      []Strike   `cbor:"8,keyasint,omitempty"`
	// Full marks that Residents is all there is for the receiver, not a change.
	Full bool `cbor:"9,keyasint,omitempty"`
	// Silent names members that gave the sender no sign of life when asked; the
	// receiver asks them itself.
	Silent []string `cbor:"10,keyasint,omitempty"`
}

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
}

// StatusRequest asks a process for its Status.
type StatusRequest struct{}

// Status is what `skylarkctl status` shows of one process.
type Status struct {
	Identity      Identity       `cbor:"1,keyasint" json:"identity"`
	Leaving       bool           `cbor:"2,keyasint" json:"leaving"`
	ConfigOffset  uint64         `cbor:"3,keyasint" json:"config_offset"`
	ConfigSource  string         `cbor:"4,keyasint" json:"config_source"`
	Load          Load           `cbor:"5,keyasint" json:"load"`
	Members       []MemberStatus `cbor:"6,keyasint,omitempty" json:"members,omitempty"`
	InFlight      int            `cbor:"7,keyasint" json:"in_flight"`
	UptimeMs      int64          `cbor:"8,keyasint" json:"uptime_ms"`
	LogReachable  bool           `cbor:"9,keyasint" json:"log_reachable"`
	UnknownSchema int            `cbor:"10,keyasint,omitempty" json:"unknown_schema"`
}

// MemberStatus is one process's view of another.
type MemberStatus struct {
	ID    string `cbor:"1,keyasint" json:"id"`
	State string `cbor:"2,keyasint" json:"state"`
	AgeMs int64  `cbor:"3,keyasint" json:"age_ms"`
	// Address, Group and FailureDomain let a process that can't read the
	// platform's list learn of the endpoints from a peer.
	Address       string `cbor:"4,keyasint,omitempty" json:"address,omitempty"`
	Group         string `cbor:"5,keyasint,omitempty" json:"group,omitempty"`
	FailureDomain string `cbor:"6,keyasint,omitempty" json:"failure_domain,omitempty"`
}

// ExplainRequest asks for the decisions that a process remembers of a request.
type ExplainRequest struct {
	Request string `cbor:"1,keyasint"`
}

// Explanation answers ExplainRequest with decision records, oldest first.
type Explanation struct {
	Records []DecisionRecord `cbor:"1,keyasint,omitempty" json:"records"`
}

// DecisionRecord is one routing or placement decision, as logged.
type DecisionRecord struct {
	Request         string      `cbor:"1,keyasint" json:"request"`
	Process         string      `cbor:"2,keyasint" json:"process"`
	Kind            string      `cbor:"3,keyasint" json:"kind"`
	Organisation    string      `cbor:"4,keyasint,omitempty" json:"organisation"`
	Owner           string      `cbor:"5,keyasint,omitempty" json:"owner"`
	Executor        string      `cbor:"6,keyasint,omitempty" json:"executor"`
	Reason          string      `cbor:"7,keyasint" json:"reason"`
	PredictedCached int         `cbor:"8,keyasint" json:"predicted_cached"`
	ActualCached    int         `cbor:"9,keyasint" json:"actual_cached"`
	Candidates      []Candidate `cbor:"10,keyasint,omitempty" json:"candidates,omitempty"`
	Outcome         Outcome     `cbor:"11,keyasint,omitempty" json:"outcome,omitempty"`
	AgeMs           int64       `cbor:"12,keyasint" json:"age_ms"`
	// Donor is the endpoint that a prefix is, or was, to be imported from.
	Donor string `cbor:"13,keyasint,omitempty" json:"donor,omitempty"`
}

// Drain orders an endpoint process to take no new work, for good.
type Drain struct {
	Endpoint string `cbor:"1,keyasint"`
}

// Drained answers Drain.
type Drained struct {
	Endpoint string `cbor:"1,keyasint"`
	InFlight int    `cbor:"2,keyasint"`
}

// Failure answers a request that the peer could not serve.
type Failure struct {
	Refusal Refusal `cbor:"1,keyasint"`
}
