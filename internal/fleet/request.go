package fleet

import "time"

// PromptPart is one section of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is what the headers of a caller's request say.
type Request struct {
	// ID identifies one attempt of a caller; a caller's retry has another ID.
	ID string
	// Key is the caller's API key, "" if it sent none.
	Key string
	// Deadline is how long the caller waits, 0 if it doesn't say.
	Deadline time.Duration
	// Model is the requested model, "" for a plain request.
	Model string
	// PromptTokens and OutputTokens are the lengths of the prompt and of the longest
	// output.
	PromptTokens int
	OutputTokens int
	// HasTokenCounts is set if the caller gave these two numbers.
	HasTokenCounts bool
	// ExpectedOutput is the caller's estimate of the output's length, 0 if none.
	ExpectedOutput int
	// Parts make up the prompt, the shared ones first. The last one is specific to the request
	// or its session.
	Parts []PromptPart
	// LastEvent is the id of the last event that the caller has of a stream, "" at a fresh
	// start.
	LastEvent string
	// Resumes is the ID of the attempt that brought the first event of a stream that the caller
	// takes up again, "" if it doesn't say.
	Resumes string
}

// SharedParts returns the parts that other requests may have in common with it.
func (r *Request) SharedParts() []PromptPart {
	if len(r.Parts) < 2 {
		return nil
	}
	return r.Parts[:len(r.Parts)-1]
}

// SharedTokens is the length of the shared parts in tokens.
func (r *Request) SharedTokens() int {
	total := 0
	for _, p := range r.SharedParts() {
		total += p.Tokens
	}
	return total
}

// DispatchHeaders is what an entry adds to the caller's request when it dispatches it to a
// replica.
type DispatchHeaders struct {
	// Replica is the name of the replica that is to run it; a replica of another name
	// refuses.
	Replica string
	// Deadline is the time left.
	Deadline time.Duration
	// Organisation is the key's holder, "" where no key is required.
	Organisation string
	// Version is the version of the weights to run on, 0 for any.
	Version uint64
	// Salt separates cached parts that must not be shared; "" for plain services.
	Salt string
	// Priority is the rank at the engine, from 0, the highest, to 9.
	Priority int
	// FetchFrom is the address of a replica that is believed to hold shared parts under the
	// same salt, "" for none.
	FetchFrom string
	// SaveTo is the address of the KV store that the prefilled parts are saved to, "" for none.
	SaveTo string
	// LastEvent resumes a stream after this event, "" from its start.
	LastEvent string
	// BackupTo is the address of the replica that keeps a backup of the run, "" for none.
	BackupTo string
	// ContinueFrom is the copy that the run goes on from; zero for none.
	ContinueFrom RunCopy
}

// Answer is what the headers of a replica's answer say.
type Answer struct {
	// RequestID is the request that it answers, "" if it doesn't say.
	RequestID string
	// NotRun is set if the replica says that it didn't run the request.
	NotRun bool
	// Misdirected is set if another incarnation, or one with other weights, has answered.
	Misdirected bool
	// Instance is the name of the replica that answered, "" if it doesn't say.
	Instance string
	// Sealed is set if the answer has the replica's seal.
	Sealed bool
	// Version is the version of the weights that the answer was begun on, 0 if unknown.
	Version uint64
	Notice  Notice
}
