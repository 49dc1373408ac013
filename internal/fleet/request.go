package fleet

import "time"

// PromptPart is one piece of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is what a caller's headers say of its request.
type Request struct {
	// ID names one attempt of a caller; a caller's retry has another.
	ID string
	// Key is the caller's key, "" if it sent none.
	Key string
	// Deadline is how long the caller waits, 0 if it doesn't say.
	Deadline time.Duration
	// Model is the model asked for, "" for a plain request.
	Model string
	// PromptTokens and OutputTokens are the prompt's length and the longest
	// output.
	PromptTokens int
	OutputTokens int
	// HasTokenCounts says that the caller gave these two numbers.
	HasTokenCounts bool
	// ExpectedOutput is the caller's guess of the output's length, 0 if none.
	ExpectedOutput int
	// Parts make up the prompt, the shared ones first. The last belongs to the
	// request or its session.
	Parts []PromptPart
	// LastEvent is the id of the last event that the caller has of a stream, ""
	// at a fresh start.
	LastEvent string
}

// SharedParts returns the parts that other requests may have in common with it.
func (r *Request) SharedParts() []PromptPart {
	if len(r.Parts) < 2 {
		return nil
	}
	return r.Parts[:len(r.Parts)-1]
}

// SharedTokens is the length of the shared parts.
func (r *Request) SharedTokens() int {
	total := 0
	for _, p := range r.SharedParts() {
		total += p.Tokens
	}
	return total
}

// DispatchHeaders is what goes to a replica with a request, beside what the caller sent.
type DispatchHeaders struct {
	// Replica is the name of the one that is to run it; a replica of another name
	// refuses.
	Replica string
	// Deadline is the time left.
	Deadline time.Duration
	// Organisation is the key's holder, "" where no key is asked for.
	Organisation string
	// Version is the version of the weights to run on, 0 to leave it open.
	Version uint64
	// Salt separates cached parts that must not be shared; "" for plain services.
	Salt string
	// Priority is the rank at the engine, 0 first to 9.
	Priority int
	// FetchFrom is the address of a replica that is believed to hold shared parts
	// under the same salt, "" for none.
	FetchFrom string
	// SaveTo is the address of the store that what is read goes to, "" for none.
	SaveTo string
	// LastEvent resumes a stream after this event, "" from its start.
	LastEvent string
}

// Answer is what the head of a replica's answer says.
type Answer struct {
	// RequestID is the request that it answers, "" if it doesn't say.
	RequestID string
	// NotRun is set when the replica says that it didn't run the request.
	NotRun bool
	// Misdirected is set when another incarnation, or one with other weights, has
	// answered.
	Misdirected bool
	// Instance is the name of the replica that answered, "" if it doesn't say.
	Instance string
	// Sealed is set when the replica vouches for the answer.
	Sealed bool
	// Version is the weights' version that the answer was begun on, 0 if unknown.
	Version uint64
	Notice  Notice
}
